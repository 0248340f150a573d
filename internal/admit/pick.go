package admit

import (
	"math"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// probes is how many targets near a prefix's own are tried.
	probes = 4
	// lookAhead is how many waiting runs of a flow are looked through for one
	// whose prefix is cached at a free target.
	lookAhead = 32
	// loadBound is how far above the mean a target may be for a prefix.
	loadBound = 1.25
)

// next returns the run that is due and a target for it. A run that no target
// can take now is passed over, so that it does not hold up other flows.
func (s *State) next(now clock.Millis, p *Pool) (*Run, *Target) {
	if p.Waiting == 0 || len(p.heap) == 0 {
		return nil, nil
	}
	first := p.heap[0]
	if t := s.pick(now, p, first.runs[0]); t != nil {
		return p.takeNear(first, s.nearest(now, p, first, t)), t
	}
	return s.nextOther(now, p)
}

// nearest returns the place in a flow of the run to send to a target: the
// first, or one shortly behind it whose prefix is cached there. No run is
// passed over more than lookAhead times, nor by a shorter one, since a step
// waits for its longest.
func (s *State) nearest(now clock.Millis, p *Pool, f *flow, t *Target) int {
	head := f.runs[0]
	if s.Policy.Placement != nil || head.passed >= lookAhead || p.prefers(head, t) {
		return 0
	}
	for i, run := range f.runs[1:min(len(f.runs), lookAhead)] {
		if !run.gone && run.Cost >= head.Cost && p.prefers(run, t) && s.fits(now, t, run) && !s.heldOff(now, run) {
			return i + 1
		}
	}
	return 0
}

// prefers tells whether a target is the one for a run's prefix.
func (p *Pool) prefers(run *Run, t *Target) bool {
	n := uint64(len(p.Targets))
	return run.Prefix != 0 && p.Targets[run.Prefix%n] == t
}

// nextOther looks through the first runs of all flows in order.
func (s *State) nextOther(now clock.Millis, p *Pool) (*Run, *Target) {
	if !s.room(now, p) {
		return nil, nil
	}
	var best *flow
	var on *Target
	for _, f := range p.heap {
		if best != nil && best.runs[0].start <= f.runs[0].start {
			continue
		}
		if t := s.pick(now, p, f.runs[0]); t != nil {
			best, on = f, t
		}
	}
	if best == nil {
		return nil, nil
	}
	return p.take(best), on
}

// room tells whether any target can take a run.
func (s *State) room(now clock.Millis, p *Pool) bool {
	for _, t := range p.Targets {
		if t.open(now) && t.InFlight < s.limit(t, op.Trainer) {
			return true
		}
	}
	return false
}

// pick chooses a target for a run, or none.
func (s *State) pick(now clock.Millis, p *Pool, run *Run) *Target {
	if len(p.Targets) == 0 || s.heldOff(now, run) {
		return nil
	}
	return s.Policy.placement().place(now, s, p, run)
}

// fits tells whether a target may take a run now.
func (s *State) fits(now clock.Millis, t *Target, run *Run) bool {
	if !t.open(now) || t.InFlight >= s.limit(t, run.Class) {
		return false
	}
	if run.Suspect && t.Suspects > 0 {
		return false
	}
	return !run.Bounded || t.Load.Version >= max(s.oldest(run), 1)
}

// open tells whether the target takes new work at all.
func (t *Target) open(now clock.Millis) bool {
	return !t.Leaving && now >= t.DownUntil && t.Address != ""
}

// sharers is how many instances use one target of a pool on average.
func (s *State) sharers(name unit.Pool) int {
	p := s.pool(name)
	if p.Used == 0 {
		return s.Peers
	}
	return int(math.Ceil(float64(s.Peers) * p.Used))
}
