package lease

import (
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// Restart says what the former process of this instance was to a lease when this
// one started.
type Restart int

// The values of Restart.
const (
	// RestartUnknown means that the lease has not been read yet.
	RestartUnknown Restart = iota
	// NotHolder means that no former process of this instance held the lease.
	NotHolder
	// FormerHolder means that one held it.
	FormerHolder
	// FailingHolder means that one held it, and that the instance has restarted too
	// often in a row to go on.
	FailingHolder
)

// restartOf returns the Restart that the first record read shows.
func (s *State) restartOf(r op.LeaseRecord) Restart {
	switch {
	case s.ownWay(r) != ownInstance:
		return NotHolder
	case r.Restarts >= maxRestarts:
		return FailingHolder
	}
	return FormerHolder
}

// Restart returns what the former process of this instance was to a lease.
func (s *State) Restart(scope unit.Scope) Restart {
	if l := s.Leases[scope]; l != nil {
		return l.Restart
	}
	return RestartUnknown
}
