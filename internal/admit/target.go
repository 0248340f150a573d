package admit

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
	"github.com/cespare/xxhash/v2"
)

const (
	// minPollInterval is the minimum interval between load reports of a target.
	minPollInterval clock.Millis = 500
	// The interval between load reports of a target is pollIntervalPerTarget
	// times the number of targets of this instance, but at least
	// minPollInterval. So the instance reads at most 1000/pollIntervalPerTarget
	// reports per second in total.
	pollIntervalPerTarget clock.Millis = 36
	// failurePause is how long a target gets no requests after an attempt that
	// crashed it or that it did not take, unless a load report arrives earlier.
	failurePause clock.Millis = clock.Second
	// initialLimit is the in-flight limit of a target before its first report.
	initialLimit = 2
	// minGrowShare is the minimum part of a target's free capacity that each
	// instance may use.
	minGrowShare = 0.5
	// maxTargets is the maximum number of targets that an instance uses, and
	// minPoolTargets the minimum per pool, which takes precedence.
	maxTargets     = 96
	minPoolTargets = 4
	// announceLeavingFor is how long peers are told that a target is leaving.
	announceLeavingFor clock.Millis = 30 * clock.Second
)

// Target is this instance's view of a target.
type Target struct {
	platform.TargetState
	Name unit.Target
	// Load is the latest load report. Reported is false before the first one.
	Load     platform.Load
	Reported bool
	// Others is the number of other instances' requests in flight according to
	// the latest report.
	Others int
	// Limit is this instance's in-flight limit computed from the latest
	// report.
	Limit int
	// InFlight counts this instance's running requests; Samples and Suspects
	// count the samples and the crash suspects among them.
	InFlight int
	Samples  int
	Suspects int
	// Leaving is set once this instance knows that the target is going to stop, or
	// the target is no longer listed; LeavingAt is when it was set. The target gets
	// no new requests then, and the flag is never reset.
	Leaving   bool
	LeavingAt clock.Millis
	// DownUntil is when a target that failed may get requests again.
	DownUntil clock.Millis
	// Polling is set while a load report is being read; PollAt is when the next
	// one is due.
	Polling bool
	PollAt  clock.Millis
}

// SetTargets replaces the list of targets. Targets that are no longer listed are
// marked as leaving; their attempts continue.
func (s *State) SetTargets(now clock.Millis, list []platform.TargetState, out *op.List) {
	seen := make(map[unit.Target]bool)
	for _, x := range s.usedTargets(list) {
		seen[x.Target] = true
		t := s.Targets[x.Target]
		if t == nil || t.Address != x.Address {
			t = &Target{TargetState: x, Name: x.Target}
			s.Targets[x.Target] = t
		}
		t.Pool, t.DataCentre = x.Pool, x.DataCentre
		if x.Leaving {
			t.markLeaving(now)
		}
	}
	for name, t := range s.Targets {
		if !seen[name] {
			t.markLeaving(now)
			if t.InFlight == 0 && now-t.LeavingAt > announceLeavingFor {
				delete(s.Targets, name)
			}
		}
	}
	s.rebuildPools()
	s.dispatchAllPools(now, out)
}

// usedTargets chooses the targets that this instance uses. If there are more than
// maxTargets it uses a limited number of each pool, chosen by rendezvous hashing,
// so that adding or removing a target changes at most one of the chosen targets.
func (s *State) usedTargets(list []platform.TargetState) []platform.TargetState {
	byPool := make(map[unit.Pool][]platform.TargetState)
	for _, x := range list {
		byPool[x.Pool] = append(byPool[x.Pool], x)
	}
	if len(list) <= maxTargets {
		for _, p := range s.Pools {
			p.Used = 0
		}
		return list
	}
	maxPerPool := max(maxTargets/len(byPool), minPoolTargets)
	var out []platform.TargetState
	for _, name := range slices.Sorted(maps.Keys(byPool)) {
		ts := byPool[name]
		s.pool(name).Used = float64(min(maxPerPool, len(ts))) / float64(len(ts))
		if len(ts) > maxPerPool {
			slices.SortFunc(ts, func(a, b platform.TargetState) int {
				return cmp.Compare(s.rendezvousHash(b.Target), s.rendezvousHash(a.Target))
			})
			ts = ts[:maxPerPool]
		}
		out = append(out, ts...)
	}
	return out
}

// rendezvousHash is the rendezvous hash of this instance and a target.
func (s *State) rendezvousHash(t unit.Target) uint64 {
	return xxhash.Sum64String(string(s.Self) + "/" + string(t))
}

// rebuildPools rebuilds the target lists of all pools.
func (s *State) rebuildPools() {
	for _, p := range s.Pools {
		p.Targets = nil
	}
	for _, name := range slices.Sorted(maps.Keys(s.Targets)) {
		t := s.Targets[name]
		p := s.pool(t.Pool)
		p.Targets = append(p.Targets, t)
	}
}

// pool returns a pool, which it creates if needed.
func (s *State) pool(name unit.Pool) *Pool {
	p := s.Pools[name]
	if p == nil {
		p = &Pool{Name: name}
		s.Pools[name] = p
	}
	return p
}

// MarkTargetLeaving marks a target as leaving, so that it gets no new requests.
// It reports whether that is a change.
func (s *State) MarkTargetLeaving(now clock.Millis, name unit.Target) bool {
	t := s.Targets[name]
	if t == nil || t.Leaving {
		return false
	}
	t.markLeaving(now)
	return true
}

// LeavingTargets returns the leaving targets to announce to peers, in order of
// name.
func (s *State) LeavingTargets(now clock.Millis) []unit.Target {
	var out []unit.Target
	for name, t := range s.Targets {
		if t.Leaving && now-t.LeavingAt < announceLeavingFor {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Poll requests the load reports that are due.
func (s *State) Poll(now clock.Millis, out *op.List) {
	pause := max(minPollInterval, clock.Millis(len(s.Targets))*pollIntervalPerTarget)
	for _, name := range slices.Sorted(maps.Keys(s.Targets)) {
		t := s.Targets[name]
		if t.Polling || now < t.PollAt {
			continue
		}
		t.Polling = true
		t.PollAt = now + pause
		out.Add(op.ReadLoad{Target: name, Address: t.Address})
	}
}

// HandleLoadRead handles a load report or the failure to read one, after which
// the target gets no requests for a while. It reports whether the target has
// started to leave.
func (s *State) HandleLoadRead(now clock.Millis, e op.LoadRead, out *op.List) bool {
	t := s.Targets[e.Target]
	if t == nil {
		return false
	}
	t.Polling = false
	if e.Result != op.Done {
		t.DownUntil = now + 2*minPollInterval
		return false
	}
	was := t.Leaving
	t.Load, t.Reported, t.DownUntil = e.Load, true, 0
	t.updateLimit()
	if e.Load.Leaving {
		t.markLeaving(now)
	}
	s.dispatchQueued(now, s.pool(t.Pool), out)
	return t.Leaving && !was
}

// markLeaving marks the target as leaving.
func (t *Target) markLeaving(now clock.Millis) {
	if !t.Leaving {
		t.Leaving, t.LeavingAt = true, now
	}
}

// updateLimit computes the in-flight limit from a load report. The goal is to
// keep the slots busy with a short queue behind them. This instance corrects a
// surplus or a deficit in proportion to its part of the load, and at least
// minGrowShare of a deficit. Reports are delayed, so an instance that corrected
// all of it, or left all of it to the others, would swing between too much and
// too little.
func (t *Target) updateLimit() {
	slots := max(t.Load.Slots, 1)
	goal := slots + max(slots/2, 2)
	total := max(t.Load.Running+t.Load.Waiting, t.InFlight)
	t.Others = total - t.InFlight
	share := 1.0
	if total > 0 {
		share = float64(t.InFlight) / float64(total)
	}
	deficit := float64(goal - total)
	if deficit > 0 {
		share = max(share, minGrowShare)
	}
	t.Limit = t.InFlight + int(math.Round(deficit*share))
}

// ownLimit returns this instance's in-flight limit on the target: the limit
// computed from load reports, but at least an equal share of the slots among
// the instances that use the target.
func (t *Target) ownLimit(instances int) int {
	if !t.Reported {
		return initialLimit
	}
	return max(t.Limit, t.Load.Slots/max(instances, 1), 1)
}

// addRun counts a run that was dispatched to the target.
func (t *Target) addRun(run *Run) {
	t.InFlight++
	if run.Class == op.Trainer {
		t.Samples++
	}
	if run.Suspect {
		t.Suspects++
	}
}

// removeRun reverts addRun once the attempt has ended.
func (t *Target) removeRun(run *Run) {
	t.InFlight--
	if run.Class == op.Trainer {
		t.Samples--
	}
	if run.Suspect {
		t.Suspects--
	}
}

// attemptEnded updates the target's availability after an attempt: a leaving
// target gets no more requests, and one that crashed or did not take the
// request gets none for a while.
func (t *Target) attemptEnded(now clock.Millis, e op.Finished) {
	if e.Leaving {
		t.markLeaving(now)
	}
	if !e.OK && (e.Crashed || e.Outcome == unit.NotRun) {
		t.DownUntil = now + failurePause
	}
}
