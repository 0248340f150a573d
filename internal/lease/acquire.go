package lease

import (
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
)

// way is why an instance may acquire a lease.
type way string

// The ways to a lease.
const (
	// none means that another instance may still hold the lease.
	none way = ""
	// neverHeld leases have no record, or one that names no holder yet.
	neverHeld way = "NeverHeld"
	// ownRecord means that the record names this process.
	ownRecord way = "OwnRecord"
	// ownInstance means that the record names a former process of this instance.
	ownInstance way = "OwnInstance"
	// released means that the last holder has given the lease back.
	released way = "Released"
	// restarted means that another process of the holder's instance has started.
	restarted way = "HolderRestarted"
	// lapsed means that the holder's term has ended.
	lapsed way = "Lapsed"
)

// wayToAcquire returns why this instance may act under the lease at once if it
// acquires it, or none if the calls of an earlier holder may still arrive at
// their receivers. An instance that held the lease before waits for Grace after
// that term and after the last time at which one of its own calls may have arrived,
// so that it does not act in turn with a holder in between.
//
// If the record names this instance, no other one has held the lease since, and
// there is nobody to wait for. An instance that has restarted too often in a row
// leaves the lease to others until it has been running for steadyUptime.
func (s *State) wayToAcquire(now clock.Millis, l *Lease) way {
	grace := s.Times.orDefault().Grace
	own := s.ownWay(l.Record)
	switch {
	case l.Record.Fence == 0:
		return neverHeld
	case own == ownInstance && l.Restart == FailingHolder && now < steadyUptime:
		return none
	case own != none:
		return own
	case !l.Calls.settled(now) || now < l.quietSince()+grace:
		return none
	}
	way, endedAt := s.endOfTerm(l)
	if way == released && l.Record.Settled || now >= endedAt+grace {
		return way
	}
	return none
}

// quietSince returns the time since when no call of this instance arrives any more:
// the end of its last term, or when its calls without an answer are settled.
func (l *Lease) quietSince() clock.Millis {
	if l.Calls.SettledAt > 0 {
		return max(l.EndedAt, l.Calls.SettledAt)
	}
	return l.EndedAt
}

// ownWay returns ownRecord or ownInstance if the record names this instance, else
// none. A process of the same name at another address may be on another machine,
// whose calls have to be waited for. If this process is named but does not hold
// the lease, either the response to the write was lost or the term has expired.
func (s *State) ownWay(r op.LeaseRecord) way {
	switch {
	case r.Holder == s.Self:
		return ownRecord
	case r.Holder != "" && instanceOf(r.Holder) == instanceOf(s.Self) && s.Address != "" && r.Address == s.Address:
		return ownInstance
	}
	return none
}

// endOfTerm returns how the term in the record has ended or will end, and when
// at the latest.
func (s *State) endOfTerm(l *Lease) (way, clock.Millis) {
	if l.Record.Holder == "" {
		return released, l.SeenAt
	}
	lapsedAt := l.SeenAt + s.Times.orDefault().Duration
	if at, ok := s.holderRestartedAt(l); ok && at < lapsedAt {
		return restarted, at
	}
	return lapsed, lapsedAt
}

// holderRestartedAt returns a time by which the incarnation named in the record
// had ended. That is proven by a later heartbeat from another incarnation of its
// instance at its address. There is no proof if heartbeats are not observed, as in package
// decide.
func (s *State) holderRestartedAt(l *Lease) (clock.Millis, bool) {
	h := s.lastSeen[instanceOf(l.Record.Holder)]
	if h.incarnation == "" || h.incarnation == l.Record.Holder || h.at < l.SeenAt+restartMargin {
		return 0, false
	}
	if h.address == "" || h.address != l.Record.Address {
		return 0, false
	}
	return max(h.since, l.SeenAt), true
}
