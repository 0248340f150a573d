package edge

import (
	"time"

	"github.com/catkinhead/catkinhead/internal/forward"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
)

const (
	// stopReserve is the part of the time between the stop signal and the kill that
	// is reserved for closing the listeners and ending the process.
	stopReserve = 500 * time.Millisecond
	// minServeTime is how long a stopping instance serves at least, whatever the
	// bounds say.
	minServeTime = time.Second
	// unreadyDelay is how long after the stop signal the load balancer may still
	// send callers here: it checks readiness every second and may need two checks to
	// notice.
	unreadyDelay = 2500 * time.Millisecond
)

// StopPlan divides the time of a graceful shutdown. Both times count from the stop
// signal.
type StopPlan struct {
	// Unready is when the load balancer sends no new callers any more.
	Unready time.Duration
	// Serve is how long requests are served. Those still in flight are then cut off.
	Serve time.Duration
}

// NewStopPlan returns the plan for the time that the platform gives a stopping
// process.
func NewStopPlan(b platform.Bounds) StopPlan {
	serve := max(b.StopWithin-stopReserve, minServeTime)
	return StopPlan{Unready: min(unreadyDelay, serve/2), Serve: serve}
}

// stop returns what decisions on callers' requests depend on during a graceful
// shutdown.
func (s *State) stop() forward.Stop {
	if !s.Draining {
		return forward.Stop{}
	}
	plan := NewStopPlan(s.Environment.Bounds)
	return forward.Stop{
		Stopping:  true,
		UnreadyAt: s.drainingSince + clock.FromDuration(plan.Unready),
		Until:     s.drainingSince + clock.FromDuration(plan.Serve),
		JobTime:   endJobTimeout + clock.FromDuration(peerTimeout),
	}
}
