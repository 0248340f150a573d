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
	// pollEvery is the shortest time between load reports of a target.
	pollEvery clock.Millis = 500
	// pollShare is the time that a report adds to the pause, so that an
	// instance asks for no more than 1000/pollShare a second.
	pollShare clock.Millis = 36
	// downFor is how long a failed target gets no work without a report.
	downFor clock.Millis = clock.Second
	// untriedLimit is what a target gets before its first report.
	untriedLimit = 2
	// growPart is the part of a lack that an instance makes up at the least.
	growPart = 0.5
	// maxTargets bounds the targets that an instance uses, and minTargets is
	// what it uses of each pool at the least.
	maxTargets = 96
	minTargets = 4
	// leavingTold is how long peers are told that a target leaves.
	leavingTold clock.Millis = 30 * clock.Second
)

// Target is one target as this instance sees it.
type Target struct {
	platform.TargetState
	Name unit.Target
	// Load is the newest report; Reported is set once there was one.
	Load     platform.Load
	Reported bool
	// Others is what other instances had there at the newest report.
	Others int
	// Limit is what the newest report allows this instance.
	Limit int
	// InFlight counts our own runs, Samples and Suspects those among them.
	InFlight int
	Samples  int
	Suspects int
	// Leaving closes admission. It never opens again.
	Leaving   bool
	LeavingAt clock.Millis
	// DownUntil bounds a pause after a failure.
	DownUntil clock.Millis
	Polling   bool
	PollAt    clock.Millis
}

// SetTargets puts a list of targets in force. Runs on targets that are gone
// from it go on.
func (s *State) SetTargets(now clock.Millis, list []platform.TargetState, out *op.List) {
	seen := make(map[unit.Target]bool)
	for _, x := range s.subset(list) {
		seen[x.Target] = true
		t := s.Targets[x.Target]
		if t == nil || t.Address != x.Address {
			t = &Target{TargetState: x, Name: x.Target}
			s.Targets[x.Target] = t
		}
		t.Pool, t.DataCentre = x.Pool, x.DataCentre
		if x.Leaving {
			t.leave(now)
		}
	}
	for name, t := range s.Targets {
		if !seen[name] {
			t.leave(now)
			if t.InFlight == 0 && now-t.LeavingAt > leavingTold {
				delete(s.Targets, name)
			}
		}
	}
	s.regroup()
	s.driveAll(now, out)
}

// subset picks the targets that this instance uses of each pool, by rendezvous
// hashing, so that the coming or going of one moves only one.
func (s *State) subset(list []platform.TargetState) []platform.TargetState {
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
	most := max(maxTargets/len(byPool), minTargets)
	var out []platform.TargetState
	for _, name := range slices.Sorted(maps.Keys(byPool)) {
		ts := byPool[name]
		s.pool(name).Used = float64(min(most, len(ts))) / float64(len(ts))
		if len(ts) > most {
			slices.SortFunc(ts, func(a, b platform.TargetState) int {
				return cmp.Compare(s.affinity(b.Target), s.affinity(a.Target))
			})
			ts = ts[:most]
		}
		out = append(out, ts...)
	}
	return out
}

func (s *State) affinity(t unit.Target) uint64 {
	return xxhash.Sum64String(string(s.Self) + "/" + string(t))
}

// regroup lists the targets of each pool anew.
func (s *State) regroup() {
	for _, p := range s.Pools {
		p.Targets = nil
	}
	for _, name := range slices.Sorted(maps.Keys(s.Targets)) {
		t := s.Targets[name]
		p := s.pool(t.Pool)
		p.Targets = append(p.Targets, t)
	}
}

func (s *State) pool(name unit.Pool) *Pool {
	p := s.Pools[name]
	if p == nil {
		p = &Pool{Name: name}
		s.Pools[name] = p
	}
	return p
}

// Leave closes admission to a target for good.
func (s *State) Leave(now clock.Millis, name unit.Target) bool {
	t := s.Targets[name]
	if t == nil || t.Leaving {
		return false
	}
	t.leave(now)
	return true
}

// LeavingTargets returns the targets that peers should hear are leaving.
func (s *State) LeavingTargets(now clock.Millis) []unit.Target {
	var out []unit.Target
	for name, t := range s.Targets {
		if t.Leaving && now-t.LeavingAt < leavingTold {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Poll asks for the load reports that are due.
func (s *State) Poll(now clock.Millis, out *op.List) {
	pause := max(pollEvery, clock.Millis(len(s.Targets))*pollShare)
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

// Loaded takes a load report in. It returns whether the target now leaves.
func (s *State) Loaded(now clock.Millis, e op.LoadRead, out *op.List) bool {
	t := s.Targets[e.Target]
	if t == nil {
		return false
	}
	t.Polling = false
	if e.Result != op.Done {
		t.DownUntil = now + 2*pollEvery
		return false
	}
	was := t.Leaving
	t.Load, t.Reported, t.DownUntil = e.Load, true, 0
	t.learn()
	if e.Load.Leaving {
		t.leave(now)
	}
	s.drive(now, s.pool(t.Pool), out)
	return t.Leaving && !was
}

func (t *Target) leave(now clock.Millis) {
	if !t.Leaving {
		t.Leaving, t.LeavingAt = true, now
	}
}

// learn sets the limit from a report: what the target lacks or has too much of
// is made up by this instance in proportion to its part of the load. Reports
// lag, so an instance that took all of it back, or left it all to the others,
// would swing between too much and too little.
func (t *Target) learn() {
	slots := max(t.Load.Slots, 1)
	goal := slots + max(slots/2, 2)
	total := max(t.Load.Running+t.Load.Waiting, t.InFlight)
	t.Others = total - t.InFlight
	part := 1.0
	if total > 0 {
		part = float64(t.InFlight) / float64(total)
	}
	lack := float64(goal - total)
	if lack > 0 {
		part = max(part, growPart)
	}
	t.Limit = t.InFlight + int(math.Round(lack*part))
}

// allowed is how many runs this instance may have on the target: what it
// learnt, and at least an equal share.
func (t *Target) allowed(sharers int) int {
	if !t.Reported {
		return untriedLimit
	}
	return max(t.Limit, t.Load.Slots/max(sharers, 1), 1)
}

func (t *Target) attach(run *Run) {
	t.InFlight++
	if run.Class == op.Trainer {
		t.Samples++
	}
	if run.Suspect {
		t.Suspects++
	}
}

func (t *Target) detach(run *Run) {
	t.InFlight--
	if run.Class == op.Trainer {
		t.Samples--
	}
	if run.Suspect {
		t.Suspects--
	}
}

// ended learns from the end of an attempt.
func (t *Target) ended(now clock.Millis, e op.Finished) {
	if e.Leaving {
		t.leave(now)
	}
	if !e.OK && (e.Crashed || e.Outcome == unit.NotRun) {
		t.DownUntil = now + downFor
	}
}
