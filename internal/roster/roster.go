package roster

import (
	"cmp"
	"maps"
	"slices"

	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// LapseGrace is how long after the return of the store a missing entry may
	// still come back.
	LapseGrace clock.Millis = 2 * clock.Second
	// suspectFor is how long a target that failed is used only if no other is
	// left. It doubles with each failure in a row.
	suspectFor clock.Millis = 500
	// slowTimes is how many times the median pace of its pool makes a target
	// slow, slowRounds for how many rounds, slowAmong among how many targets.
	slowTimes  = 1.7
	slowRounds = 2
	slowAmong  = 3
	// slowFor is how long a slow target is passed over before it is tried again.
	slowFor clock.Millis = 2500
	// maxSuspect bounds that time.
	maxSuspect clock.Millis = 4 * clock.Second
)

// Target is a target and what traffic has shown of it.
type Target struct {
	platform.TargetEntry
	// GoneAt is when a lapsed entry's target is no longer used; 0 while the
	// entry stands.
	GoneAt clock.Millis
	// Running counts the attempts of this instance that it has now.
	Running int
	// Elsewhere counts the attempts of other instances, as they told.
	Elsewhere int
	// SlowRounds counts the rounds in a row in which its events came slowly;
	// SlowUntil is how long it is passed over for that.
	SlowRounds int
	SlowUntil  clock.Millis
	// Failures counts failed attempts in a row; SuspectUntil follows from them.
	Failures     int
	SuspectUntil clock.Millis
}

// State is all targets.
type State struct {
	Targets map[unit.Target]*Target
	// Here is the data centre of this instance, whose targets go first among
	// equals.
	Here unit.DataCentre
	// BackAt is when the store was reached again after an outage.
	BackAt clock.Millis
	turn   uint64
}

// Listed takes the whole list of entries. After an outage, entries that are
// missing keep their targets for a while.
func (s *State) Listed(now clock.Millis, entries []platform.TargetEntry) {
	seen := make(map[unit.Target]bool, len(entries))
	for _, e := range entries {
		seen[e.Target] = true
		s.Changed(now, e)
	}
	for id := range s.Targets {
		if !seen[id] {
			s.Removed(now, id)
		}
	}
}

// Changed takes one entry. A target that was born anew has lost what it did.
func (s *State) Changed(_ clock.Millis, e platform.TargetEntry) {
	if s.Targets == nil {
		s.Targets = make(map[unit.Target]*Target)
	}
	t := s.Targets[e.Target]
	if t == nil {
		t = &Target{}
		s.Targets[e.Target] = t
	}
	if t.Born != e.Born {
		t.Failures, t.SuspectUntil = 0, 0
	}
	t.TargetEntry, t.GoneAt = e, 0
}

// Removed takes the removal of an entry.
func (s *State) Removed(now clock.Millis, id unit.Target) {
	t := s.Targets[id]
	if t == nil {
		return
	}
	if t.GoneAt == 0 && s.BackAt > 0 && now < s.BackAt+LapseGrace && !t.Leaving {
		t.GoneAt = s.BackAt + LapseGrace
		return
	}
	if t.GoneAt == 0 || now >= t.GoneAt {
		delete(s.Targets, id)
	}
}

// Tick drops targets whose entries did not come back.
func (s *State) Tick(now clock.Millis) {
	for id, t := range s.Targets {
		if t.GoneAt > 0 && now >= t.GoneAt {
			delete(s.Targets, id)
		}
	}
}

// Usable returns the targets of a pool that take new work, in the order of
// their names.
func (s *State) Usable(pool unit.Pool) []*Target {
	var out []*Target
	for _, id := range slices.Sorted(maps.Keys(s.Targets)) {
		if t := s.Targets[id]; t.Pool == pool && !t.Leaving {
			out = append(out, t)
		}
	}
	return out
}

// Pick returns the best target of a pool that is not among tried, nil if there
// is none: one that has not failed lately, with the least of this instance's
// work for its slots, in this data centre.
func (s *State) Pick(now clock.Millis, pool unit.Pool, tried []unit.Target) *Target {
	var best *Target
	s.turn++
	usable := s.Usable(pool)
	for i := range usable {
		t := usable[(i+int(s.turn%uint64(len(usable))))%len(usable)]
		if slices.Contains(tried, t.Target) {
			continue
		}
		if best == nil || s.better(now, t, best) {
			best = t
		}
	}
	return best
}

func (s *State) better(now clock.Millis, a, b *Target) bool {
	if x, y := now < a.SuspectUntil, now < b.SuspectUntil; x != y {
		return y
	}
	if c := cmp.Compare(a.Running*max(b.Slots, 1), b.Running*max(a.Slots, 1)); c != 0 {
		return c < 0
	}
	return a.DataCentre == s.Here && b.DataCentre != s.Here
}

// Began notes an attempt.
func (s *State) Began(id unit.Target) {
	if t := s.Targets[id]; t != nil {
		t.Running++
	}
}

// Released notes that an attempt was broken off here, which says nothing of
// the target.
func (s *State) Released(id unit.Target) {
	if t := s.Targets[id]; t != nil {
		t.Running = max(t.Running-1, 0)
	}
}

// VersionSeen notes the version that a target answered with, which may be
// newer than its entry.
func (s *State) VersionSeen(id unit.Target, m unit.Model, v unit.Version) {
	t := s.Targets[id]
	if t == nil {
		return
	}
	for i := range t.Models {
		if t.Models[i].Model == m && t.Models[i].Version < v {
			t.Models[i].Version = v
		}
	}
}

// Ended notes the end of an attempt. A failed one makes the target suspect.
func (s *State) Ended(now clock.Millis, id unit.Target, failed bool) {
	t := s.Targets[id]
	if t == nil {
		return
	}
	t.Running = max(t.Running-1, 0)
	if !failed {
		t.Failures, t.SuspectUntil = 0, 0
		return
	}
	t.Failures++
	t.SuspectUntil = now + min(suspectFor<<min(t.Failures-1, 8), maxSuspect)
}

// Taken counts the attempts that the target has, as far as they are known.
func (t *Target) Taken() int { return t.Running + t.Elsewhere }

// Free returns how many slots are free.
func (t *Target) Free() int { return max(t.Slots, 1) - t.Taken() }

// Slow tells whether a target's events come too slowly.
func (s *State) Slow(now clock.Millis, id unit.Target) bool {
	t := s.Targets[id]
	return t != nil && now < t.SlowUntil
}

// Paces takes the mean times between events of a round. A target that is much
// slower than the median of its pool, in two rounds, is slow for a while.
func (s *State) Paces(now clock.Millis, millis map[unit.Target]float64) []unit.Target {
	byPool := make(map[unit.Pool][]float64)
	for id, ms := range millis {
		if t := s.Targets[id]; t != nil {
			byPool[t.Pool] = append(byPool[t.Pool], ms)
		}
	}
	var slow []unit.Target
	for _, id := range slices.Sorted(maps.Keys(millis)) {
		t := s.Targets[id]
		if t == nil || len(byPool[t.Pool]) < slowAmong {
			continue
		}
		if millis[id] < slowTimes*median(byPool[t.Pool]) {
			t.SlowRounds = 0
			continue
		}
		t.SlowRounds++
		if t.SlowRounds >= slowRounds {
			if now >= t.SlowUntil {
				slow = append(slow, id)
			}
			t.SlowUntil = now + slowFor
		}
	}
	return slow
}

func median(xs []float64) float64 {
	slices.Sort(xs)
	return xs[(len(xs)-1)/2]
}

// Elsewhere takes what other instances have at targets.
func (s *State) Elsewhere(sum map[unit.Target]int) {
	for id, t := range s.Targets {
		t.Elsewhere = sum[id]
	}
}

// Own returns what this instance has at targets.
func (s *State) Own() map[unit.Target]int {
	out := make(map[unit.Target]int)
	for id, t := range s.Targets {
		if t.Running > 0 {
			out[id] = t.Running
		}
	}
	return out
}

// VersionOf returns the version of a model that a target has, 0 for none.
func (t *Target) VersionOf(m unit.Model) unit.Version {
	for _, s := range t.Models {
		if s.Model == m {
			return s.Version
		}
	}
	return 0
}
