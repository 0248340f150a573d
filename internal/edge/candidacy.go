package edge

import (
	"strconv"

	"github.com/catkinhead/catkinhead/internal/lease"
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
)

const (
	// acquireDelay is how long after its start an instance waits for a heartbeat
	// of the lease holder before it tries to acquire the lease.
	acquireDelay clock.Millis = 600
	// yieldTime is how long after its start an instance that has restarted as the
	// holder of the lease leaves it to steadier peers. It exceeds the grace of the
	// lease by enough time to hand it over.
	yieldTime = 10 * clock.Second
)

// updateCandidacy decides whether this instance tries to hold the lease. A
// holder keeps it until it drains or yields. If no live instance holds it, the
// live instance with the highest rank tries to acquire it.
func (s *State) updateCandidacy(now clock.Millis) {
	wantLease := !s.Draining && !s.yieldsDuties(now) && (s.holdsDuties(now) || s.succeedsHolder(now))
	s.Leases.SetWanted(dutiesScope, wantLease)
}

// holdsDuties reports whether this instance has the lease, or had it before it
// started again.
func (s *State) holdsDuties(now clock.Millis) bool {
	_, _, held := s.Leases.Held(dutiesScope, now)
	return held || s.Leases.HeldByOwnInstance(dutiesScope)
}

// succeedsHolder reports whether no peer holds the lease and this instance ranks
// first among those that may.
func (s *State) succeedsHolder(now clock.Millis) bool {
	if now < s.startedAt+acquireDelay {
		return false
	}
	for _, p := range s.Heartbeats.LivePeers(now) {
		if p.Holder && !p.Leaving {
			return false
		}
	}
	return s.Heartbeats.RanksFirstForDuties(now, string(dutiesScope))
}

// yieldsDuties reports whether this instance leaves the lease to its peers. A
// holder that has restarted may well end again, so it goes on only until the calls of
// its former process have arrived, and hands over to a peer that has been running
// for longer. If it has restarted too often in a row, it does not go on at all.
func (s *State) yieldsDuties(now clock.Millis) bool {
	uptime := now - s.startedAt
	if uptime >= yieldTime {
		return false
	}
	switch s.Leases.Restart(dutiesScope) {
	case lease.FailingHolder:
		return true
	case lease.FormerHolder:
		return uptime >= leaseTimes(s.Environment.Bounds).Grace && s.Heartbeats.HasSteadierPeer(now, uptime)
	default:
		return false
	}
}

// logYielding logs when this instance begins or ends to leave the lease to its
// peers.
func (s *State) logYielding(now clock.Millis, out *op.List) {
	yielding := s.yieldsDuties(now)
	if yielding == s.wasYielding {
		return
	}
	s.wasYielding = yielding
	out.Add(op.Note{Level: "info", Message: "duties left to peers since this instance has restarted", Fields: map[string]string{
		"Yields": strconv.FormatBool(yielding), "UptimeMillis": formatMillis(now - s.startedAt),
		"Failing": strconv.FormatBool(s.Leases.Restart(dutiesScope) == lease.FailingHolder),
	}})
}
