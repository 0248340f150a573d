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
	// expiryGrace is how long after an outage of the store a target is kept
	// although its entry is missing, so that it can register again.
	expiryGrace clock.Millis = 2 * clock.Second
	// suspectTime is how long a target is suspect after a failed attempt. It
	// doubles with each consecutive failure.
	suspectTime clock.Millis = 500
	// A target is slow if the mean time between its output events is at least
	// slowFactor times the median of its pool, in minSlowRounds consecutive rounds
	// of measurements. Rounds with fewer than minMeasuredTargets targets of the
	// pool are ignored.
	slowFactor         = 1.7
	minSlowRounds      = 2
	minMeasuredTargets = 3
	// slowCooldown is how long a slow target is avoided before it is used again.
	slowCooldown clock.Millis = 2500
	// maxSuspectTime is the upper bound of suspectTime's doubling.
	maxSuspectTime clock.Millis = 4 * clock.Second
)

// Target is the store entry of a target together with its observed state.
type Target struct {
	platform.TargetEntry
	// GoneAt is when a target whose entry is missing is dropped, 0 while the
	// entry exists.
	GoneAt clock.Millis
	// Running counts the attempts of this instance in flight at the target, also those
	// that began before its entry was gone for a while.
	Running int
	// Elsewhere counts the attempts of other instances in flight at the target,
	// as their heartbeats report.
	Elsewhere int
	// SlowRounds counts the consecutive rounds of measurements in which the
	// target's output events were slow. The target is avoided until SlowUntil, and
	// while SlowElsewhere is set: another instance has found it slow.
	SlowRounds    int
	SlowUntil     clock.Millis
	SlowElsewhere bool
	// Failures counts consecutive failed attempts. The target is suspect until
	// SuspectUntil: requests go to it only if there is no other target, and batch
	// items do not go to it at all.
	Failures     int
	SuspectUntil clock.Millis
}

// State holds all targets.
type State struct {
	Targets map[unit.Target]*Target
	// LocalDataCentre is the data centre of this instance. Among equally loaded
	// targets, those in the same data centre are preferred.
	LocalDataCentre unit.DataCentre
	// StoreBackAt is when the store became reachable after its last outage, 0
	// if there was none.
	StoreBackAt clock.Millis
	// usable holds the result of Usable by pool, until a target is added, changed or
	// removed.
	usable map[unit.Pool][]*Target
	// attempts counts the attempts of this instance in flight at each target. A target
	// whose entry is gone for a while still runs them.
	attempts map[unit.Target]int
	// picks counts the calls of Pick. It rotates the order of equal targets.
	picks uint64
}

// ReplaceAll replaces the entries by a complete list from the store. Targets
// whose entries are missing are removed as by Remove.
func (s *State) ReplaceAll(now clock.Millis, entries []platform.TargetEntry) {
	seen := make(map[unit.Target]bool, len(entries))
	for _, e := range entries {
		seen[e.Target] = true
		s.Upsert(now, e)
	}
	for id := range s.Targets {
		if !seen[id] {
			s.Remove(now, id)
		}
	}
}

// Upsert adds or updates the entry of a target. The failures of a target that
// has restarted are reset.
func (s *State) Upsert(_ clock.Millis, e platform.TargetEntry) {
	if s.Targets == nil {
		s.Targets = make(map[unit.Target]*Target)
	}
	t := s.Targets[e.Target]
	if t == nil {
		t = &Target{Running: s.attempts[e.Target]}
		s.Targets[e.Target] = t
	}
	if t.Born != e.Born {
		t.Failures, t.SuspectUntil = 0, 0
	}
	t.TargetEntry, t.GoneAt = e, 0
	s.usable = nil
}

// Remove handles the removal of an entry. If it comes within expiryGrace after an
// outage of the store, the target may only have been unable to renew its entry, so
// it is kept until that time has passed. Otherwise, or if the target is leaving, it
// is dropped.
func (s *State) Remove(now clock.Millis, id unit.Target) {
	t := s.Targets[id]
	if t == nil {
		return
	}
	if t.GoneAt == 0 && s.StoreBackAt > 0 && now < s.StoreBackAt+expiryGrace && !t.Leaving {
		t.GoneAt = s.StoreBackAt + expiryGrace
		return
	}
	if t.GoneAt == 0 || now >= t.GoneAt {
		s.drop(id)
	}
}

// drop removes a target.
func (s *State) drop(id unit.Target) {
	delete(s.Targets, id)
	s.usable = nil
}

// Tick drops targets whose entries were not restored within the grace period.
func (s *State) Tick(now clock.Millis) {
	for id, t := range s.Targets {
		if t.GoneAt > 0 && now >= t.GoneAt {
			s.drop(id)
		}
	}
}

// Usable returns the targets of a pool that are not leaving, sorted by name. The
// slice must not be changed.
func (s *State) Usable(pool unit.Pool) []*Target {
	if out, ok := s.usable[pool]; ok {
		return out
	}
	var out []*Target
	for _, id := range slices.Sorted(maps.Keys(s.Targets)) {
		if t := s.Targets[id]; t.Pool == pool && !t.Leaving {
			out = append(out, t)
		}
	}
	if s.usable == nil {
		s.usable = make(map[unit.Pool][]*Target)
	}
	s.usable[pool] = out
	return out
}

// Pick returns the best target of a pool that is not among tried, nil if there is
// none. It prefers targets that are not suspect, then those with the fewest
// attempts of this instance per slot, then those in the data centre of this
// instance. Remaining ties are broken in rotation.
func (s *State) Pick(now clock.Millis, pool unit.Pool, tried []unit.Target) *Target {
	return s.pick(now, pool, func(t *Target) bool { return !slices.Contains(tried, t.Target) })
}

// AnyFree reports whether any usable target of a pool has a free slot.
func (s *State) AnyFree(pool unit.Pool) bool {
	return slices.ContainsFunc(s.Usable(pool), func(t *Target) bool { return t.FreeSlots() > 0 })
}

// PickFree is Pick among the targets that have more than reserve free slots. It
// returns nil if only suspect targets have, but others exist: one of those will
// soon have a free slot.
func (s *State) PickFree(now clock.Millis, pool unit.Pool, tried []unit.Target, reserve int) *Target {
	best := s.pick(now, pool, func(t *Target) bool {
		return !slices.Contains(tried, t.Target) && t.FreeSlots() > min(reserve, max(t.Slots, 1)-1)
	})
	if best == nil || now >= best.SuspectUntil {
		return best
	}
	for _, t := range s.Usable(pool) {
		if now >= t.SuspectUntil && !slices.Contains(tried, t.Target) {
			return nil
		}
	}
	return best
}

// pick returns the best of the pool's targets that are eligible, nil if there is
// none.
func (s *State) pick(now clock.Millis, pool unit.Pool, eligible func(*Target) bool) *Target {
	var best *Target
	s.picks++
	usable := s.Usable(pool)
	for i := range usable {
		t := usable[(i+int(s.picks%uint64(len(usable))))%len(usable)]
		if eligible(t) && (best == nil || s.better(now, t, best)) {
			best = t
		}
	}
	return best
}

// better reports whether target a is preferred to b.
func (s *State) better(now clock.Millis, a, b *Target) bool {
	if x, y := now < a.SuspectUntil, now < b.SuspectUntil; x != y {
		return y
	}
	if c := cmp.Compare(a.Running*max(b.Slots, 1), b.Running*max(a.Slots, 1)); c != 0 {
		return c < 0
	}
	return a.DataCentre == s.LocalDataCentre && b.DataCentre != s.LocalDataCentre
}

// AttemptStarted counts a new attempt at a target.
func (s *State) AttemptStarted(id unit.Target) { s.countAttempt(id, 1) }

// countAttempt adds n to the attempts in flight at a target.
func (s *State) countAttempt(id unit.Target, n int) {
	if s.attempts == nil {
		s.attempts = make(map[unit.Target]int)
	}
	running := max(s.attempts[id]+n, 0)
	s.attempts[id] = running
	if running == 0 {
		delete(s.attempts, id)
	}
	if t := s.Targets[id]; t != nil {
		t.Running = running
	}
}

// AttemptCancelled uncounts an attempt that this instance has cancelled. It does
// not change whether the target is suspect.
func (s *State) AttemptCancelled(id unit.Target) { s.countAttempt(id, -1) }

// RecordVersion records the model version that a target answered with, if it is
// newer than the one in its entry. The entry may be stale.
func (s *State) RecordVersion(id unit.Target, m unit.Model, v unit.Version) {
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

// AttemptEnded uncounts an attempt that was not cancelled. If failed is set, the
// target becomes suspect, otherwise its failures are reset.
func (s *State) AttemptEnded(now clock.Millis, id unit.Target, failed bool) {
	s.countAttempt(id, -1)
	t := s.Targets[id]
	if t == nil {
		return
	}
	if !failed {
		t.Failures, t.SuspectUntil = 0, 0
		return
	}
	t.Failures++
	t.SuspectUntil = now + min(suspectTime<<min(t.Failures-1, 8), maxSuspectTime)
}

// InFlight returns how many attempts are in flight at the target, those of other
// instances included.
func (t *Target) InFlight() int { return t.Running + t.Elsewhere }

// FreeSlots returns the number of free slots. It is negative if more attempts are
// in flight than the target has slots. A target counts as having at least one slot.
func (t *Target) FreeSlots() int { return max(t.Slots, 1) - t.InFlight() }

// Slow reports whether the target is avoided because its output events are slow.
func (t *Target) Slow(now clock.Millis) bool { return now < t.SlowUntil || t.SlowElsewhere }

// Slow reports whether a target is known and is avoided because its output events
// are slow.
func (s *State) Slow(now clock.Millis, id unit.Target) bool {
	t := s.Targets[id]
	return t != nil && t.Slow(now)
}

// LocalSlow returns the targets that this instance has found slow, sorted.
func (s *State) LocalSlow(now clock.Millis) []unit.Target {
	var out []unit.Target
	for id, t := range s.Targets {
		if now < t.SlowUntil {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// SetRemoteSlow sets which targets other instances have found slow.
func (s *State) SetRemoteSlow(slow map[unit.Target]bool) {
	for id, t := range s.Targets {
		t.SlowElsewhere = slow[id]
	}
}

// ApplyEventTimes applies a round of measurements: the mean time between output
// events of each target, in milliseconds. Targets that are much slower than the
// median of their pool in minSlowRounds consecutive rounds become slow for
// slowCooldown. It returns the targets that have newly become slow.
func (s *State) ApplyEventTimes(now clock.Millis, millis map[unit.Target]float64) []unit.Target {
	byPool := make(map[unit.Pool][]float64)
	for id, ms := range millis {
		if t := s.Targets[id]; t != nil {
			byPool[t.Pool] = append(byPool[t.Pool], ms)
		}
	}
	var slow []unit.Target
	for _, id := range slices.Sorted(maps.Keys(millis)) {
		t := s.Targets[id]
		if t == nil || len(byPool[t.Pool]) < minMeasuredTargets {
			continue
		}
		if millis[id] < slowFactor*median(byPool[t.Pool]) {
			t.SlowRounds = 0
			continue
		}
		t.SlowRounds++
		if t.SlowRounds >= minSlowRounds {
			if now >= t.SlowUntil {
				slow = append(slow, id)
			}
			t.SlowUntil = now + slowCooldown
		}
	}
	return slow
}

// median returns the median, the lower one of the two middle values if their
// number is even. It sorts xs.
func median(xs []float64) float64 {
	slices.Sort(xs)
	return xs[(len(xs)-1)/2]
}

// SetRemoteAttempts sets the number of attempts that other instances have in
// flight at each target.
func (s *State) SetRemoteAttempts(sum map[unit.Target]int) {
	for id, t := range s.Targets {
		t.Elsewhere = sum[id]
	}
}

// LocalAttempts returns the number of attempts that this instance has in flight
// at each target. Targets at which it has none are left out.
func (s *State) LocalAttempts() map[unit.Target]int {
	out := make(map[unit.Target]int)
	for id, t := range s.Targets {
		if t.Running > 0 {
			out[id] = t.Running
		}
	}
	return out
}

// VersionOf returns the version of a model that the target serves, 0 if it does
// not serve the model.
func (t *Target) VersionOf(m unit.Model) unit.Version {
	for _, s := range t.Models {
		if s.Model == m {
			return s.Version
		}
	}
	return 0
}
