package lease

import (
	"strings"

	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// restartMargin is the minimum time from the first sight of a lease record to a
// heartbeat of another incarnation of the holder's instance for that heartbeat
// to prove that the holder has ended. Without the margin, a delayed datagram
// from an incarnation before the holder could be mistaken for one from its
// successor.
const restartMargin clock.Millis = 300

// seenIncarnation is an incarnation, its address, and the times of its first and its
// latest heartbeat.
type seenIncarnation struct {
	incarnation unit.Incarnation
	address     string
	since, at   clock.Millis
}

// ObserveHeartbeat records a heartbeat from an incarnation at an address. If a different
// incarnation of the same instance, at the same address, holds a lease, its term is over:
// no two processes have one address at the same time. At another address the former one
// may still be running.
func (s *State) ObserveHeartbeat(now clock.Millis, i unit.Incarnation, address string) {
	if s.lastSeen == nil {
		s.lastSeen = make(map[unit.Instance]seenIncarnation)
	}
	seen := s.lastSeen[instanceOf(i)]
	if seen.incarnation != i {
		seen = seenIncarnation{incarnation: i, address: address, since: now}
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

// instanceOf returns the instance part of an incarnation ("instance#start").
func instanceOf(i unit.Incarnation) unit.Instance {
	name, _, _ := strings.Cut(string(i), "#")
	return unit.Instance(name)
}
