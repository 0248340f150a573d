package roster

import (
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// threeTargets returns a state with the idle targets a, b and c, which are not in
// the data centre of the instance.
func threeTargets() *State {
	s := &State{LocalDataCentre: "north"}
	for _, id := range []unit.Target{"a", "b", "c"} {
		s.Upsert(0, platform.TargetEntry{Target: id, Pool: "p", Address: string(id), Slots: 2, DataCentre: "south"})
	}
	return s
}

func TestPickReturnsLeastLoaded(t *testing.T) {
	s := threeTargets()
	s.AttemptStarted("a")
	s.AttemptStarted("b")
	for range 5 {
		if got := s.Pick(0, "p", nil); got.Target != "c" {
			t.Errorf("picked %s", got.Target)
		}
	}
	if got := s.Pick(0, "p", []unit.Target{"a", "b", "c"}); got != nil {
		t.Errorf("picked %s, which was tried already", got.Target)
	}
	if got := s.Pick(0, "other", nil); got != nil {
		t.Errorf("picked %s from another pool", got.Target)
	}
}

func TestSuspectTargetsArePickedLast(t *testing.T) {
	s := threeTargets()
	s.AttemptStarted("a")
	s.AttemptEnded(0, "a", true)
	for range 5 {
		if got := s.Pick(1, "p", nil); got.Target == "a" {
			t.Error("picked the target that has just failed")
		}
	}
	if got := s.Pick(1, "p", []unit.Target{"b", "c"}); got == nil || got.Target != "a" {
		t.Error("the suspect target was not picked although no other is left")
	}
}

func TestLeavingTargetsAreNotUsable(t *testing.T) {
	s := threeTargets()
	s.Upsert(1, platform.TargetEntry{Target: "a", Pool: "p", Leaving: true})
	s.Remove(1, "b")
	if got := s.Usable("p"); len(got) != 1 || got[0].Target != "c" {
		t.Errorf("%d usable targets, want only c", len(got))
	}
}

func TestMissingEntriesMayBeRestoredAfterOutage(t *testing.T) {
	const back clock.Millis = 1000
	s := threeTargets()
	s.StoreBackAt = back
	s.ReplaceAll(back, []platform.TargetEntry{{Target: "a", Pool: "p"}})
	if len(s.Usable("p")) != 3 {
		t.Error("targets with missing entries were dropped within the grace period")
	}
	s.Upsert(back+500, platform.TargetEntry{Target: "b", Pool: "p"})
	s.Tick(back + expiryGrace)
	if got := s.Usable("p"); len(got) != 2 || got[1].Target != "b" {
		t.Errorf("%d targets are left, want a and b", len(got))
	}
}

func TestTargetsBecomeSlowAfterConsecutiveRounds(t *testing.T) {
	s := threeTargets()
	for round := range clock.Millis(minSlowRounds) {
		s.ApplyEventTimes(round, map[unit.Target]float64{"a": 40, "b": 42, "c": 130})
	}
	if !s.Slow(10, "c") || s.Slow(10, "a") {
		t.Error("want target c to be slow and target a not")
	}
	if s.Slow(slowCooldown+10, "c") {
		t.Error("target c is still slow after its cooldown")
	}
	s = threeTargets()
	s.ApplyEventTimes(0, map[unit.Target]float64{"a": 40, "b": 42, "c": 130})
	s.ApplyEventTimes(1, map[unit.Target]float64{"a": 40, "b": 42, "c": 45})
	s.ApplyEventTimes(2, map[unit.Target]float64{"a": 40, "b": 42, "c": 130})
	if s.Slow(3, "c") {
		t.Error("target c became slow without two consecutive slow rounds")
	}
}

func TestVersionsOnlyRise(t *testing.T) {
	s := &State{}
	s.Upsert(0, platform.TargetEntry{Target: "a", Models: []platform.ModelState{{Model: "m", Version: 2}}})
	s.RecordVersion("a", "m", 3)
	s.RecordVersion("a", "m", 1)
	if v := s.Targets["a"].VersionOf("m"); v != 3 {
		t.Errorf("got version %d, want 3", v)
	}
}

func BenchmarkPick(b *testing.B) {
	s := threeTargets()
	for b.Loop() {
		s.Pick(0, "p", nil)
	}
}

// TestPlacesInUseAreAttemptsInFlight guards against targets that get more attempts than
// they have slots, or fewer, after their entries were gone for a while: random orders
// of entries that come and go, and of attempts.
func TestPlacesInUseAreAttemptsInFlight(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParameters())
	properties.Property("places in use equal attempts in flight", prop.ForAll(func(steps []int) bool {
		s, inFlight := threeTargets(), make(map[unit.Target]int)
		for now, step := range steps {
			id := []unit.Target{"a", "b", "c"}[step%3]
			switch step / 3 {
			case 0:
				s.Upsert(clock.Millis(now), platform.TargetEntry{Target: id, Pool: "p", Slots: 2, Born: int64(now / 8)})
			case 1:
				s.Remove(clock.Millis(now), id)
			case 2:
				if s.Targets[id] != nil {
					s.AttemptStarted(id)
					inFlight[id]++
				}
			case 3:
				if inFlight[id] > 0 {
					s.AttemptEnded(clock.Millis(now), id, now%2 == 0)
					inFlight[id]--
				}
			case 4:
				if inFlight[id] > 0 {
					s.AttemptCancelled(id)
					inFlight[id]--
				}
			}
			for id, target := range s.Targets {
				if target.Running != inFlight[id] {
					return false
				}
			}
		}
		return true
	}, gen.SliceOf(gen.IntRange(0, 14))))
	properties.TestingRun(t)
}
