package lease

import (
	"maps"
	"slices"
	"strings"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// Duration is the term of a lease, counted from just before the write that
	// grants or renews it is sent.
	Duration clock.Millis = 5 * clock.Second
	// Grace is how long after the end of a term a call that was sent under the
	// lease and has no answer may still arrive at its receiver. Nobody acts under
	// a new fencing token before that. It also covers clock drift.
	Grace clock.Millis = 3 * clock.Second
	// MaxOrderTime is the longest time that sending an order may take.
	MaxOrderTime clock.Millis = clock.Second
	// renewInterval is the time between renewals of a lease held by this
	// instance.
	renewInterval clock.Millis = 1500
	// pollInterval is the time between reads of a lease held by another
	// instance.
	pollInterval clock.Millis = clock.Second
	// retryDelay is the pause after a write that conflicted or whose outcome is
	// unknown.
	retryDelay clock.Millis = 300
)

// restartMargin is the minimum time from the first sight of a lease record to a
// heartbeat of another incarnation of the holder's instance for that heartbeat
// to prove that the holder has ended. Without the margin, a delayed datagram
// from an incarnation before the holder could be mistaken for one from its
// successor.
const restartMargin clock.Millis = 300

// Times overrides the timing constants of the package. If Duration is 0, all
// constants apply; otherwise all fields must be set.
type Times struct {
	Duration, Grace, RenewEvery, PollEvery clock.Millis
}

func (t Times) orDefault() Times {
	if t.Duration == 0 {
		return Times{Duration: Duration, Grace: Grace, RenewEvery: renewInterval, PollEvery: pollInterval}
	}
	return t
}

// State holds all leases that this instance holds or wants to hold. Self must
// be set.
type State struct {
	Self unit.Incarnation
	// Address is where other instances reach this one. A process with the same
	// instance and address as a former one is on the same machine. Empty means not
	// known.
	Address string
	Times   Times
	Leases  map[unit.Scope]*Lease
	// lastSeen maps each instance to its incarnation that sent the latest
	// heartbeat.
	lastSeen map[unit.Instance]seenIncarnation
}

// seenIncarnation is an incarnation and the times of its first and its latest
// heartbeat.
type seenIncarnation struct {
	incarnation unit.Incarnation
	since, at   clock.Millis
}

// ObserveHeartbeat records a heartbeat from an incarnation. If a different
// incarnation of the same instance holds a lease, its term is over, because two
// incarnations of an instance never run at the same time.
func (s *State) ObserveHeartbeat(now clock.Millis, i unit.Incarnation) {
	if s.lastSeen == nil {
		s.lastSeen = make(map[unit.Instance]seenIncarnation)
	}
	seen := s.lastSeen[instanceOf(i)]
	if seen.incarnation != i {
		seen = seenIncarnation{incarnation: i, since: now}
	}
	seen.at = now
	s.lastSeen[instanceOf(i)] = seen
}

// ObserveRenewal records the lease revision that the holder announced in a
// heartbeat. When this revision is later read from the store, the wait for a
// takeover counts from the announcement instead of from the read.
func (s *State) ObserveRenewal(now clock.Millis, scope unit.Scope, rev unit.Revision) {
	if l := s.lease(scope); rev > l.ToldRevision {
		l.ToldRevision, l.ToldAt = rev, now
	}
}

// lease returns the entry of a scope and creates an empty one if there is none.
func (s *State) lease(scope unit.Scope) *Lease {
	if s.Leases == nil {
		s.Leases = make(map[unit.Scope]*Lease)
	}
	l := s.Leases[scope]
	if l == nil {
		l = &Lease{}
		s.Leases[scope] = l
	}
	return l
}

// instanceOf returns the instance part of an incarnation ("instance#start").
func instanceOf(i unit.Incarnation) unit.Instance {
	name, _, _ := strings.Cut(string(i), "#")
	return unit.Instance(name)
}

// Lease is this instance's view of one lease.
type Lease struct {
	// Wanted is set while this instance tries to acquire or keep the lease.
	Wanted bool
	// Held is set while this instance holds the lease; the term ends at Until.
	// EndedAt is when its last term ended; before the first one, that is the start
	// of the process, time 0.
	Held    bool
	Until   clock.Millis
	EndedAt clock.Millis
	// Releasing is set from when this instance stops acting under the lease until
	// the release was written: it waits for the answers to its calls.
	Releasing bool
	// Record and Revision are the stored object as last seen. SeenAt is when
	// this instance first saw that revision.
	Record   op.LeaseRecord
	Revision unit.Revision
	SeenAt   clock.Millis
	// ToldRevision is the newest revision that the holder announced in a
	// heartbeat, received at ToldAt.
	ToldRevision unit.Revision
	ToldAt       clock.Millis
	// Inspecting is set if the record is to be read although the lease is not
	// wanted.
	Inspecting bool
	// Known is set once Record and Revision have been read or written. It is
	// cleared when a conditional write conflicts, until the next read.
	Known bool
	// Busy is set while a store call is in flight; there is at most one per
	// lease. NextAt is the earliest time of the next one.
	Busy   bool
	NextAt clock.Millis
	// Calls are the calls to receivers that are sent under the lease.
	Calls Calls
	// way is why the attempt to acquire the lease that is in flight was allowed,
	// and waited the time since the record was first seen.
	way    way
	waited clock.Millis
}

// SetWanted sets whether this instance tries to acquire and keep a lease. Once
// it is false, a tick releases a held lease.
func (s *State) SetWanted(scope unit.Scope, wanted bool) {
	if s.Leases[scope] == nil && !wanted {
		return
	}
	s.lease(scope).Wanted = wanted
}

// Inspect makes the next tick read a lease even if this instance does not want it,
// so that HeldByOwnInstance can tell whether a former process held it.
func (s *State) Inspect(scope unit.Scope) { s.lease(scope).Inspecting = true }

// HeldByOwnInstance reports whether the record of a lease, as last read, names a
// process of this instance as the holder.
func (s *State) HeldByOwnInstance(scope unit.Scope) bool {
	l := s.Leases[scope]
	return l != nil && s.ownWay(l.Record) != none
}

// Held returns the fencing token and the end of the term if this instance
// holds the lease at the given time.
func (s *State) Held(scope unit.Scope, now clock.Millis) (unit.Fence, clock.Millis, bool) {
	l := s.Leases[scope]
	if l == nil || !l.Held || now >= l.Until {
		return 0, 0, false
	}
	return l.Record.Fence, l.Until, true
}

// AnyHeld reports whether this instance holds any lease at the given time, or has
// yet to release one.
func (s *State) AnyHeld(now clock.Millis) bool {
	for scope, l := range s.Leases {
		if _, _, ok := s.Held(scope, now); ok || l.Releasing {
			return true
		}
	}
	return false
}

// Reduce handles ticks and the results of lease reads and writes.
func (s *State) Reduce(now clock.Millis, ev op.Event, out *op.List) {
	switch e := ev.(type) {
	case op.Tick:
		for _, scope := range slices.Sorted(maps.Keys(s.Leases)) {
			s.tick(now, scope, s.Leases[scope], out)
		}
	case op.LeaseRead:
		if l := s.Leases[e.Scope]; l != nil {
			s.handleRead(now, l, e, out)
		}
	case op.LeaseWritten:
		if l := s.Leases[e.Scope]; l != nil {
			s.handleWritten(now, l, e, out)
		}
	}
}

// tick ends an expired term and starts the next store call for a lease: a
// renewal, a release, or a read to find out whether it can be acquired.
func (s *State) tick(now clock.Millis, scope unit.Scope, l *Lease, out *op.List) {
	if l.Held && now >= l.Until {
		l.end(now)
		logCalls(out, "lease lapsed", scope, l)
	}
	if l.Held && !l.Wanted {
		l.end(now)
		l.Releasing = true
		logCalls(out, "lease is being released", scope, l)
	}
	switch {
	case l.Busy:
	case l.Releasing:
		s.release(now, scope, l, out)
	case !l.Wanted && !l.Inspecting || now < l.NextAt:
	case l.Held:
		next := l.Record
		next.Beat++
		s.startWrite(scope, l, next, out)
	default:
		l.Busy = true
		out.Add(op.ReadLease{Scope: scope})
	}
}

// end ends the term of this instance.
func (l *Lease) end(now clock.Millis) { l.Held, l.EndedAt = false, now }

// release clears the holder in the stored record once none of this instance's
// calls can arrive any more, so that another instance can acquire the lease
// without waiting.
func (s *State) release(now clock.Millis, scope unit.Scope, l *Lease, out *op.List) {
	if l.Calls.settled(now) {
		s.startWrite(scope, l, op.LeaseRecord{Fence: l.Record.Fence, Beat: l.Record.Beat + 1, Settled: true}, out)
	}
}

// startWrite starts a write of the record, conditional on the last seen
// revision.
func (s *State) startWrite(scope unit.Scope, l *Lease, r op.LeaseRecord, out *op.List) {
	l.Busy = true
	out.Add(op.WriteLease{Scope: scope, Record: r, IfRev: l.Revision})
}

// handleRead stores the record that was read and tries to acquire the lease if
// it is wanted and free.
func (s *State) handleRead(now clock.Millis, l *Lease, e op.LeaseRead, out *op.List) {
	l.Busy = false
	l.NextAt = now + s.Times.orDefault().PollEvery
	if e.Result != op.Done {
		return
	}
	l.Inspecting = false
	if !l.Known || l.Revision != e.Revision {
		l.Known, l.Record, l.Revision, l.SeenAt = true, e.Record, e.Revision, now
		if l.ToldRevision == e.Revision {
			l.SeenAt = l.ToldAt
		}
	}
	if !l.Wanted {
		l.NextAt = now
	}
	if !l.Wanted || l.Held || l.Releasing {
		return
	}
	way := s.wayToAcquire(now, l)
	if way == none {
		return
	}
	l.way, l.waited = way, now-l.SeenAt
	next := op.LeaseRecord{Holder: s.Self, Address: s.Address, Fence: l.Record.Fence + 1, Beat: l.Record.Beat + 1}
	if way == ownRecord || way == ownInstance {
		// Nobody else held the lease since, so this is a late renewal.
		next.Fence = l.Record.Fence
	}
	s.startWrite(e.Scope, l, next, out)
}

// handleWritten applies the result of a conditional write: a new term, a lost
// lease, or an unknown outcome.
func (s *State) handleWritten(now clock.Millis, l *Lease, e op.LeaseWritten, out *op.List) {
	l.Busy = false
	switch e.Result {
	case op.Done:
		gained := !l.Held && e.Record.Holder == s.Self
		l.Known, l.Record, l.Revision, l.SeenAt = true, e.Record, e.Revision, now
		l.Until = e.SentAt + s.Times.orDefault().Duration
		l.Held = e.Record.Holder == s.Self && now < l.Until && !l.Releasing
		l.NextAt = now + s.Times.orDefault().RenewEvery
		switch {
		case gained && l.Held:
			s.startTerm(l)
			logGained(e.Scope, l, out)
		case e.Record.Holder == "":
			l.Releasing = false
			logCalls(out, "lease released", e.Scope, l)
		}
	case op.Conflict:
		if l.Held {
			l.end(now)
			logCalls(out, "lease lost", e.Scope, l)
		}
		l.Known, l.Releasing = false, false
		l.NextAt = now + retryDelay
	default:
		s.handleUnknownWrite(now, e, l, out)
	}
}

// startTerm starts to count the calls under the lease. Those of a former process of
// this instance are not known; they can arrive until Grace after the start of this
// one, time 0.
func (s *State) startTerm(l *Lease) {
	l.Calls.Unanswered = 0
	if l.way == ownInstance {
		l.Calls.SettledAt = max(l.Calls.SettledAt, s.Times.orDefault().Grace)
	}
}

// handleUnknownWrite handles a write that may or may not have taken effect.
// After a renewal, the current term remains valid until its end, and the write
// is tried again with the same revision after retryDelay. If the first write
// did take effect, the second conflicts, and the object is read again. Once no
// more than a quarter of Duration is left, the lease is given up instead, so
// that the object is read before the next write. An attempt to acquire the
// lease is followed by a read, and a release is not repeated.
func (s *State) handleUnknownWrite(now clock.Millis, e op.LeaseWritten, l *Lease, out *op.List) {
	l.NextAt = now + retryDelay
	if e.Record.Holder == "" {
		l.Releasing = false
	}
	if l.Held && now+s.Times.orDefault().Duration/4 >= l.Until {
		l.end(now)
		logCalls(out, "lease given up: its renewal is not confirmed", e.Scope, l)
	}
}
