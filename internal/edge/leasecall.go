package edge

import (
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
)

// startLeaseCalls records the effects that are calls under the duties lease.
func (s *State) startLeaseCalls(effects op.List) {
	for _, e := range effects {
		switch e.(type) {
		case op.OrderVersion, op.OrderTargets, op.SendCounts:
			s.Leases.StartCall(dutiesScope)
		}
	}
}

// endLeaseCall records an event that ends a call under the duties lease.
func (s *State) endLeaseCall(now clock.Millis, ev op.Event) {
	switch e := ev.(type) {
	case op.VersionOrdered:
		s.Leases.EndCall(now, dutiesScope, e.Result)
	case op.TargetsOrdered:
		s.Leases.EndCall(now, dutiesScope, e.Result)
	case op.CountsSent:
		s.Leases.EndCall(now, dutiesScope, e.Result)
	}
}
