package admit

import (
	"math"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// prefixProbes is how many targets are tried for a prefix, starting with
	// the one that it hashes to.
	prefixProbes = 4
	// lookAhead is how many queued runs of a flow are searched for one whose
	// prefix is cached on the chosen target. It is also how often a run may be
	// overtaken in this way.
	lookAhead = 32
	// maxLoadFactor is the factor by which a target may exceed the mean load and
	// still be chosen for a prefix (consistent hashing with bounded loads).
	maxLoadFactor = 1.25
)

// next removes the next run to dispatch from the queue and returns it with its
// target. If no target can take the first run now, runs of other flows are
// tried, so that it does not block them.
func (s *State) next(now clock.Millis, p *Pool) (*Run, *Target) {
	if p.Waiting == 0 || len(p.heap) == 0 {
		return nil, nil
	}
	first := p.heap[0]
	if t := s.chooseTarget(now, p, first.runs[0]); t != nil {
		return p.popAt(first, s.cachedRunIndex(now, p, first, t)), t
	}
	return s.nextOfAnyFlow(now, p)
}

// cachedRunIndex returns the index in a flow of the run to send to a target: the
// first, or one shortly behind it whose prefix is cached there. A run is
// overtaken at most lookAhead times, and never by one of lower cost, since a
// step is complete only when its longest sample is. If Policy.Placement is
// set, the result is always 0.
func (s *State) cachedRunIndex(now clock.Millis, p *Pool, f *flow, t *Target) int {
	head := f.runs[0]
	if s.Policy.Placement != nil || head.overtaken >= lookAhead || p.cachesPrefix(head, t) {
		return 0
	}
	for i, run := range f.runs[1:min(len(f.runs), lookAhead)] {
		if !run.removed && run.Cost >= head.Cost && p.cachesPrefix(run, t) && s.canTake(now, t, run) && !s.isDelayed(now, run) {
			return i + 1
		}
	}
	return 0
}

// cachesPrefix reports whether a run's prefix hashes to a target.
func (p *Pool) cachesPrefix(run *Run, t *Target) bool {
	n := uint64(len(p.Targets))
	return run.Prefix != 0 && p.Targets[run.Prefix%n] == t
}

// nextOfAnyFlow is the slow path of next. Among the first runs of all flows, it
// takes the one with the lowest virtual start that some target can take.
func (s *State) nextOfAnyFlow(now clock.Millis, p *Pool) (*Run, *Target) {
	if !s.hasRoom(now, p) {
		return nil, nil
	}
	var best *flow
	var bestTarget *Target
	for _, f := range p.heap {
		if best != nil && best.runs[0].virtualStart <= f.runs[0].virtualStart {
			continue
		}
		if t := s.chooseTarget(now, p, f.runs[0]); t != nil {
			best, bestTarget = f, t
		}
	}
	if best == nil {
		return nil, nil
	}
	return p.popFirst(best), bestTarget
}

// hasRoom reports whether any target is below its in-flight limit for samples,
// which is never below that for live requests.
func (s *State) hasRoom(now clock.Millis, p *Pool) bool {
	for _, t := range p.Targets {
		if t.available(now) && t.InFlight < s.limit(t, op.Trainer) {
			return true
		}
	}
	return false
}

// chooseTarget chooses a target for a run by the placement policy. It returns
// nil if none can take the run now.
func (s *State) chooseTarget(now clock.Millis, p *Pool, run *Run) *Target {
	if len(p.Targets) == 0 || s.isDelayed(now, run) {
		return nil
	}
	return s.Policy.placement().place(now, s, p, run)
}

// canTake reports whether a target may take a run now: it is available and below
// its limit, has no other suspect if the run is one, and serves a recent enough
// version.
func (s *State) canTake(now clock.Millis, t *Target, run *Run) bool {
	if !t.available(now) || t.InFlight >= s.limit(t, run.Class) {
		return false
	}
	if run.Suspect && t.Suspects > 0 {
		return false
	}
	return !run.Bounded || t.Load.Version >= max(s.minVersion(run), 1)
}

// available reports whether the target may get new requests at all.
func (t *Target) available(now clock.Millis) bool {
	return !t.Leaving && now >= t.DownUntil && t.Address != ""
}

// instancesPerTarget returns the average number of instances that use a target
// of the pool, rounded up.
func (s *State) instancesPerTarget(name unit.Pool) int {
	p := s.pool(name)
	if p.Used == 0 {
		return s.Peers
	}
	return int(math.Ceil(float64(s.Peers) * p.Used))
}
