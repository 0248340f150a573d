package admit

import (
	"math"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
)

// Placement chooses a target among those that fit a run, or none.
type Placement interface {
	place(now clock.Millis, s *State, p *Pool, run *Run) *Target
}

// Sharing gives a run its place in the order of a pool's queue; the lowest
// goes first.
type Sharing interface {
	start(p *Pool, f *flow, run *Run, weight float64) float64
}

// Affinity places a run near its prefix unless that target has more than its
// share of the load, and on the least loaded otherwise. It is the default.
type Affinity struct{}

func (Affinity) place(now clock.Millis, s *State, p *Pool, run *Run) *Target {
	n := len(p.Targets)
	if run.Prefix != 0 {
		bound := int(loadBound*float64(p.InFlight+1)/float64(n)) + 1
		first := int(run.Prefix % uint64(n))
		for i := range min(probes, n) {
			t := p.Targets[(first+i)%n]
			if t.InFlight < bound && s.fits(now, t, run) {
				return t
			}
		}
	}
	return LeastLoaded{}.place(now, s, p, run)
}

// LeastLoaded places a run on the target with the least in flight for its
// slots.
type LeastLoaded struct{}

func (LeastLoaded) place(now clock.Millis, s *State, p *Pool, run *Run) *Target {
	var best *Target
	var least float64
	for _, t := range p.Targets {
		if !s.fits(now, t, run) {
			continue
		}
		load := float64(t.InFlight+t.Others+1) / float64(max(t.Load.Slots, 1))
		if best == nil || load < least {
			best, least = t, load
		}
	}
	return best
}

// RoundRobin places runs on targets in turn.
type RoundRobin struct{}

func (RoundRobin) place(now clock.Millis, s *State, p *Pool, run *Run) *Target {
	for range p.Targets {
		p.turn++
		if t := p.Targets[p.turn%len(p.Targets)]; s.fits(now, t, run) {
			return t
		}
	}
	return nil
}

// Fair shares a pool between flows by weight, in tokens. It is the default.
type Fair struct{}

func (Fair) start(p *Pool, f *flow, run *Run, weight float64) float64 {
	at := max(p.now, f.finish)
	f.finish = at + float64(max(run.Cost, 1))/weight
	return at
}

// FirstCome serves runs in the order in which they came.
type FirstCome struct{}

func (FirstCome) start(p *Pool, _ *flow, _ *Run, _ float64) float64 {
	p.arrivals++
	return float64(p.arrivals)
}

// Policy is how an instance admits. The zero value is what the product uses;
// the others are baselines to compare it with.
type Policy struct {
	Placement Placement
	Sharing   Sharing
	// Unlimited sends everything to the targets at once.
	Unlimited bool
}

// Policies are the policies by name.
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

// limit is how many runs this instance may have on a target before it sends
// another of a class. Samples may keep a backlog in the engine, since nobody
// waits for a single one; live requests come ahead of further samples, behind
// that backlog.
func (s *State) limit(t *Target, c op.Class) int {
	if s.Policy.Unlimited {
		return math.MaxInt
	}
	n := t.allowed(s.sharers(t.Pool))
	if c == op.Trainer || t.Samples > 0 {
		n += t.Load.Slots
	}
	return n
}
