package decide

import (
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/internal/provision"
	"github.com/catkinhead/catkinhead/internal/usage"
	"github.com/catkinhead/catkinhead/internal/weights"
	"github.com/catkinhead/catkinhead/pkg/clock"
)

// startLeaseCalls records the effects that are calls under a lease, which must
// not change hands while they may still arrive.
func (s *State) startLeaseCalls(effects op.List) {
	for _, e := range effects {
		switch e := e.(type) {
		case op.SendOrder:
			s.Leases.StartCall(provision.LeaseScope(e.Order.DataCentre))
		case op.SendSwap:
			s.Leases.StartCall(weights.LeaseScope(e.Pool))
		case op.Report:
			s.Leases.StartCall(usage.LeaseScope)
		}
	}
}

// endLeaseCall records an event that ends a call under a lease.
func (s *State) endLeaseCall(now clock.Millis, ev op.Event) {
	switch e := ev.(type) {
	case op.OrderSent:
		s.Leases.EndCall(now, provision.LeaseScope(e.DataCentre), e.Result)
	case op.SwapSent:
		s.Leases.EndCall(now, weights.LeaseScope(e.Pool), e.Result)
	case op.WindowReported:
		s.Leases.EndCall(now, usage.LeaseScope, e.Result)
	}
}
