package lease

import (
	"maps"
	"slices"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

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
	// Restart tells whether this process follows one that held the lease.
	Restart Restart
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
	case l.Releasing && l.Known:
		s.release(now, scope, l, out)
	case l.Releasing:
		s.readAgain(now, scope, l, out)
	case !l.Wanted && !l.Inspecting || now < l.NextAt:
	case l.Held:
		next := l.Record
		next.Beat++
		if now >= steadyUptime {
			next.Restarts = 0
		}
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

// readAgain reads the record because it is not known whether the release or the
// renewal before it took effect. After the end of the term nobody relies on the
// release any more.
func (s *State) readAgain(now clock.Millis, scope unit.Scope, l *Lease, out *op.List) {
	switch {
	case now >= l.Until:
		l.Releasing = false
	case now >= l.NextAt:
		l.Busy = true
		out.Add(op.ReadLease{Scope: scope})
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
	if l.Restart == RestartUnknown {
		l.Restart = s.restartOf(e.Record)
	}
	if !l.Known || l.Revision != e.Revision {
		l.Known, l.Record, l.Revision, l.SeenAt = true, e.Record, e.Revision, now
		if l.ToldRevision == e.Revision {
			l.SeenAt = l.ToldAt
		}
	}
	if l.Releasing && s.ownWay(l.Record) != ownRecord {
		l.Releasing = false
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
		next.Fence, next.Restarts = l.Record.Fence, l.Record.Restarts
	}
	if way == ownInstance {
		next.Restarts++
	}
	s.startWrite(e.Scope, l, next, out)
}
