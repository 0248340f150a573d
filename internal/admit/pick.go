package admit

import (
	"math"

	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// probes is how many targets near a prefix's own are tried.
	probes = 4
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
		return p.take(first), t
	}
	return s.nextOther(now, p)
}

// nextOther looks through the first runs of all flows in order.
func (s *State) nextOther(now clock.Millis, p *Pool) (*Run, *Target) {
	if !p.room(now, s.sharers(p.Name)) {
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
func (p *Pool) room(now clock.Millis, sharers int) bool {
	for _, t := range p.Targets {
		if t.open(now) && t.InFlight < t.limit(sharers) {
			return true
		}
	}
	return false
}

// pick chooses a target for a run: one near its prefix with no more than its
// share of the load, or else the least loaded.
func (s *State) pick(now clock.Millis, p *Pool, run *Run) *Target {
	n := len(p.Targets)
	if n == 0 || s.heldOff(now, run) {
		return nil
	}
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
	return s.leastLoaded(now, p, run)
}

func (s *State) leastLoaded(now clock.Millis, p *Pool, run *Run) *Target {
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

// fits tells whether a target may take a run now.
func (s *State) fits(now clock.Millis, t *Target, run *Run) bool {
	if !t.open(now) || t.InFlight >= t.limit(s.sharers(t.Pool)) {
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
