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
	// Duration is how long a grant lasts from before its write was sent.
	Duration clock.Millis = 5 * clock.Second
	// Grace is what a successor waits beyond Duration: the longest time an
	// order may be under way, and the drift of clocks.
	Grace clock.Millis = 1500
	// OrderTime is the longest time an order may take to be written.
	OrderTime clock.Millis = clock.Second
	// renewEvery is the time between renewals of a held lease.
	renewEvery clock.Millis = 1500
	// pollEvery is the time between reads of a lease held elsewhere.
	pollEvery clock.Millis = clock.Second
	// retryAfter is the pause after a call whose end is unknown.
	retryAfter clock.Millis = 300
)

// restartMargin is how much later than a lease was seen another incarnation of
// its holder must be heard, so that no delayed datagram of a former incarnation
// is taken for a later one.
const restartMargin clock.Millis = 300

// Times are the time limits of leases. The zero value means the constants of
// the package.
type Times struct {
	Duration, Grace, RenewEvery, PollEvery clock.Millis
}

func (t Times) orDefault() Times {
	if t.Duration == 0 {
		return Times{Duration: Duration, Grace: Grace, RenewEvery: renewEvery, PollEvery: pollEvery}
	}
	return t
}

// State is all leases that an instance takes part in. Self must be set.
type State struct {
	Self   unit.Incarnation
	Times  Times
	Leases map[unit.Scope]*Lease
	// heard is the incarnation of each instance that was heard last.
	heard map[unit.Instance]heardIncarnation
}

type heardIncarnation struct {
	incarnation unit.Incarnation
	at          clock.Millis
}

// Heard notes that an incarnation is alive. A lease that another incarnation
// of the same instance holds then is free: two never run at a time.
func (s *State) Heard(now clock.Millis, i unit.Incarnation) {
	if s.heard == nil {
		s.heard = make(map[unit.Instance]heardIncarnation)
	}
	s.heard[instanceOf(i)] = heardIncarnation{i, now}
}

// Renewed notes that a lease stood at a revision, as its holder said.
func (s *State) Renewed(now clock.Millis, scope unit.Scope, rev unit.Revision) {
	if l := s.lease(scope); rev > l.ToldRevision {
		l.ToldRevision, l.ToldAt = rev, now
	}
}

// lease returns a lease, which is unknown at first.
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

func instanceOf(i unit.Incarnation) unit.Instance {
	name, _, _ := strings.Cut(string(i), "#")
	return unit.Instance(name)
}

// Lease is one lease as this instance sees it.
type Lease struct {
	// Wanted is set while this instance stands for the lease.
	Wanted bool
	// Held is set from a grant until it is lost; Until bounds it.
	Held  bool
	Until clock.Millis
	// Record and Revision are the object as last seen; SeenAt is when this
	// revision was first seen.
	Record   op.LeaseRecord
	Revision unit.Revision
	SeenAt   clock.Millis
	// ToldRevision is the newest revision that the holder told of, at ToldAt.
	ToldRevision unit.Revision
	ToldAt       clock.Millis
	// Known is set once the object was read.
	Known bool
	// Busy is set while a call is under way, so that there is one at a time.
	Busy   bool
	NextAt clock.Millis
}

// Want makes this instance stand for a lease, or give it up.
func (s *State) Want(scope unit.Scope, wanted bool) {
	if s.Leases[scope] == nil && !wanted {
		return
	}
	s.lease(scope).Wanted = wanted
}

// Holds returns the fencing number and the end of a lease held now.
func (s *State) Holds(scope unit.Scope, now clock.Millis) (unit.Fence, clock.Millis, bool) {
	l := s.Leases[scope]
	if l == nil || !l.Held || now >= l.Until {
		return 0, 0, false
	}
	return l.Record.Fence, l.Until, true
}

// HoldsAny tells whether any lease is held now.
func (s *State) HoldsAny(now clock.Millis) bool {
	for scope := range s.Leases {
		if _, _, ok := s.Holds(scope, now); ok {
			return true
		}
	}
	return false
}

// Reduce handles ticks and the ends of lease calls.
func (s *State) Reduce(now clock.Millis, ev op.Event, out *op.List) {
	switch e := ev.(type) {
	case op.Tick:
		for _, scope := range slices.Sorted(maps.Keys(s.Leases)) {
			s.tick(now, scope, s.Leases[scope], out)
		}
	case op.LeaseRead:
		if l := s.Leases[e.Scope]; l != nil {
			s.read(now, l, e, out)
		}
	case op.LeaseWritten:
		if l := s.Leases[e.Scope]; l != nil {
			s.written(now, l, e, out)
		}
	}
}

func (s *State) tick(now clock.Millis, scope unit.Scope, l *Lease, out *op.List) {
	if l.Held && now >= l.Until {
		l.Held = false
		note(out, "lease lapsed", scope, l.Record)
	}
	if l.Busy || l.Wanted && now < l.NextAt {
		return
	}
	switch {
	case l.Held && l.Wanted:
		next := l.Record
		next.Beat++
		s.write(scope, l, next, out)
	case l.Held:
		s.giveBack(scope, l, out)
	case l.Wanted:
		l.Busy = true
		out.Add(op.ReadLease{Scope: scope})
	}
}

// giveBack frees a lease for the next holder without a wait. The holder stops
// acting before the write is sent.
func (s *State) giveBack(scope unit.Scope, l *Lease, out *op.List) {
	l.Held = false
	s.write(scope, l, op.LeaseRecord{Fence: l.Record.Fence, Beat: l.Record.Beat + 1}, out)
}

func (s *State) write(scope unit.Scope, l *Lease, r op.LeaseRecord, out *op.List) {
	l.Busy = true
	out.Add(op.WriteLease{Scope: scope, Record: r, IfRev: l.Revision})
}

func (s *State) read(now clock.Millis, l *Lease, e op.LeaseRead, out *op.List) {
	l.Busy = false
	l.NextAt = now + s.Times.orDefault().PollEvery
	if e.Result != op.Done {
		return
	}
	if !l.Known || l.Revision != e.Revision {
		l.Known, l.Record, l.Revision, l.SeenAt = true, e.Record, e.Revision, now
		if l.ToldRevision == e.Revision {
			l.SeenAt = l.ToldAt
		}
	}
	if !l.Wanted || l.Held || !s.mayTake(now, l) {
		return
	}
	next := op.LeaseRecord{Holder: s.Self, Fence: l.Record.Fence + 1, Beat: l.Record.Beat + 1}
	s.write(e.Scope, l, next, out)
}

// mayTake tells whether nobody else can hold the lease any more. A record of
// our own that we do not hold is from a write whose answer was lost, or has
// lapsed; no other instance has written since.
func (s *State) mayTake(now clock.Millis, l *Lease) bool {
	if l.Record.Holder == "" || l.Record.Holder == s.Self {
		return true
	}
	if s.restarted(l) {
		return true
	}
	t := s.Times.orDefault()
	return now-l.SeenAt >= t.Duration+t.Grace
}

// restarted tells whether the incarnation that holds the lease has ended, since
// another of its instance runs.
func (s *State) restarted(l *Lease) bool {
	holder := instanceOf(l.Record.Holder)
	if s.heard == nil || holder == "" {
		return false
	}
	if holder == instanceOf(s.Self) {
		return true
	}
	h := s.heard[holder]
	return h.incarnation != "" && h.incarnation != l.Record.Holder && h.at >= l.SeenAt+restartMargin
}

func (s *State) written(now clock.Millis, l *Lease, e op.LeaseWritten, out *op.List) {
	l.Busy = false
	switch e.Result {
	case op.Done:
		gained := !l.Held && e.Record.Holder == s.Self
		l.Known, l.Record, l.Revision, l.SeenAt = true, e.Record, e.Revision, now
		l.Until = e.SentAt + s.Times.orDefault().Duration
		l.Held = e.Record.Holder == s.Self && now < l.Until
		l.NextAt = now + s.Times.orDefault().RenewEvery
		if gained && l.Held {
			note(out, "lease gained", e.Scope, e.Record)
		}
	case op.Conflict:
		if l.Held {
			note(out, "lease lost", e.Scope, l.Record)
		}
		l.Held, l.Known = false, false
		l.NextAt = now + retryAfter
	default:
		s.unknown(now, l)
	}
}

// unknown handles a write that may have taken effect. The grant so far stays
// good until its end; the object must be read before it is written again, so
// the lease is let go early enough to read it back.
func (s *State) unknown(now clock.Millis, l *Lease) {
	l.NextAt = now + retryAfter
	if l.Held && now+s.Times.orDefault().Duration/4 >= l.Until {
		l.Held = false
	}
}

func note(out *op.List, msg string, scope unit.Scope, r op.LeaseRecord) {
	out.Add(op.Note{Level: "info", Message: msg, Fields: map[string]string{
		"Scope": string(scope), "Holder": string(r.Holder), "Term": fenceText(r.Fence),
	}})
}
