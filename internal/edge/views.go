package edge

import (
	"github.com/catkinhead/catkinhead/internal/batch"
	"github.com/catkinhead/catkinhead/internal/duty"
	"github.com/catkinhead/catkinhead/internal/forward"
	"github.com/catkinhead/catkinhead/internal/metering"
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// forwardView returns what decisions on callers' requests depend on.
func (s *State) forwardView(now clock.Millis) forward.View {
	return forward.View{
		Roster: &s.Roster, Table: s.Table, Fresh: s.KeysFresh(now), Age: s.Age(now), Metering: &s.Metering,
		Wall: s.Wall(now), Crashes: s.crashes, Stop: s.stop(),
	}
}

// batchView returns what decisions on jobs depend on.
func (s *State) batchView() batch.View {
	return batch.View{Roster: &s.Roster, Table: s.Table, Draining: s.Draining}
}

// holder returns this instance as the holder of the duties' lease.
func (s *State) holder(now clock.Millis) duty.Holder {
	fence, until, _ := s.Leases.Held(dutiesScope, now)
	return duty.Holder{Self: s.Environment.Instance, Fence: fence, Until: until}
}

// dutyView returns what decisions on model versions and on the number of targets
// depend on.
func (s *State) dutyView(now clock.Millis) duty.View {
	h := s.holder(now)
	return duty.View{Holder: h, Roster: &s.Roster, Table: s.Table, Demands: s.demands(now, h.Fence)}
}

// demands returns the demand for each model by the jobs of this instance and of
// each live peer. It is nil if the fencing token is 0, since only the lease
// holder needs it.
func (s *State) demands(now clock.Millis, fence unit.Fence) []op.Demand {
	if fence == 0 {
		return nil
	}
	out := s.Batch.Demands()
	for _, p := range s.Heartbeats.LivePeers(now) {
		out = append(out, p.Demands...)
	}
	return out
}

// meteringView returns what decisions on usage reports depend on.
func (s *State) meteringView(now clock.Millis) metering.View {
	return metering.View{Wall: s.Wall(now), Holder: s.holder(now)}
}
