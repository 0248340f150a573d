package admit

import (
	"math"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
)

// Placement chooses a target for a run among those that can take it, nil if
// there is none.
type Placement interface {
	place(now clock.Millis, s *State, p *Pool, run *Run) *Target
}

// Sharing decides the order of a pool's queue: virtualStart returns the sort
// key of a new run, and the lowest is dispatched first.
type Sharing interface {
	virtualStart(p *Pool, f *flow, run *Run, weight float64) float64
}

// Affinity tries the target that a run's prefix hashes to and then the next
// few, and uses the first one that can take the run and whose load is not far
// above the mean. Otherwise it uses the least loaded target. It is the default.
type Affinity struct{}

func (Affinity) place(now clock.Millis, s *State, p *Pool, run *Run) *Target {
	n := len(p.Targets)
	if run.Prefix != 0 {
		bound := int(maxLoadFactor*float64(p.InFlight+1)/float64(n)) + 1
		first := int(run.Prefix % uint64(n))
		for i := range min(prefixProbes, n) {
			t := p.Targets[(first+i)%n]
			if t.InFlight < bound && s.canTake(now, t, run) {
				return t
			}
		}
	}
	return LeastLoaded{}.place(now, s, p, run)
}

// LeastLoaded places a run on the target with the fewest requests in flight
// per slot, including those of other instances.
type LeastLoaded struct{}

func (LeastLoaded) place(now clock.Millis, s *State, p *Pool, run *Run) *Target {
	var best *Target
	var least float64
	for _, t := range p.Targets {
		if !s.canTake(now, t, run) {
			continue
		}
		load := float64(t.InFlight+t.Others+1) / float64(max(t.Load.Slots, 1))
		if best == nil || load < least {
			best, least = t, load
		}
	}
	return best
}

// RoundRobin cycles through the targets.
type RoundRobin struct{}

func (RoundRobin) place(now clock.Millis, s *State, p *Pool, run *Run) *Target {
	for range p.Targets {
		p.roundRobinIndex++
		if t := p.Targets[p.roundRobinIndex%len(p.Targets)]; s.canTake(now, t, run) {
			return t
		}
	}
	return nil
}

// Fair is weighted fair queueing of flows, measured in tokens. It is the
// default.
type Fair struct{}

func (Fair) virtualStart(p *Pool, f *flow, run *Run, weight float64) float64 {
	at := max(p.virtualTime, f.finish)
	f.finish = at + float64(max(run.Cost, 1))/weight
	return at
}

// FirstCome serves runs in order of arrival.
type FirstCome struct{}

func (FirstCome) virtualStart(p *Pool, _ *flow, _ *Run, _ float64) float64 {
	p.arrivals++
	return float64(p.arrivals)
}

// Policy selects the algorithms of admission. The zero value is the one for
// production; the others are baselines for comparison.
type Policy struct {
	// Placement is Affinity if nil.
	Placement Placement
	// Sharing is Fair if nil.
	Sharing Sharing
	// Unlimited turns the in-flight limits off, so that nothing is queued here
	// while a target is available.
	Unlimited bool
}

// Policies maps the names used in settings and traces to policies. The empty
// name is not in the map, so that looking it up gives the zero Policy, which is
// the default.
var Policies = map[string]Policy{
	"fair":         {},
	"round-robin":  {Placement: RoundRobin{}, Sharing: FirstCome{}, Unlimited: true},
	"least-loaded": {Placement: LeastLoaded{}, Sharing: FirstCome{}, Unlimited: true},
	"first-come":   {Placement: LeastLoaded{}, Sharing: FirstCome{}},
}

func (p Policy) placement() Placement {
	if p.Placement == nil {
		return Affinity{}
	}
	return p.Placement
}

func (p Policy) sharing() Sharing {
	if p.Sharing == nil {
		return Fair{}
	}
	return p.Sharing
}

// limit returns how many requests this instance may have in flight on a target,
// as it applies to a new request of a class. Samples may fill the engine's own
// queue with one request per slot, since no caller waits for a single sample.
// While samples run there, live requests get the higher limit too: they have to
// wait behind the samples in the engine, but go ahead of those queued here.
func (s *State) limit(t *Target, c op.Class) int {
	if s.Policy.Unlimited {
		return math.MaxInt
	}
	n := t.ownLimit(s.instancesPerTarget(t.Pool))
	if c == op.Trainer || t.Samples > 0 {
		n += t.Load.Slots
	}
	return n
}
