package roster

import (
	"testing"

	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

func three() *State {
	s := &State{Here: "north"}
	for _, id := range []unit.Target{"a", "b", "c"} {
		s.Changed(0, platform.TargetEntry{Target: id, Pool: "p", Address: string(id), Slots: 2, DataCentre: "south"})
	}
	return s
}

func TestPickTakesTheLeastLoaded(t *testing.T) {
	s := three()
	s.Began("a")
	s.Began("b")
	for range 5 {
		if got := s.Pick(0, "p", nil); got.Target != "c" {
			t.Errorf("picked %s", got.Target)
		}
	}
	if got := s.Pick(0, "p", []unit.Target{"a", "b", "c"}); got != nil {
		t.Errorf("picked %s again", got.Target)
	}
	if got := s.Pick(0, "other", nil); got != nil {
		t.Errorf("picked %s of another pool", got.Target)
	}
}

func TestFailedTargetsGoLast(t *testing.T) {
	s := three()
	s.Began("a")
	s.Ended(0, "a", true)
	for range 5 {
		if got := s.Pick(1, "p", nil); got.Target == "a" {
			t.Error("picked the target that has just failed")
		}
	}
	if got := s.Pick(1, "p", []unit.Target{"b", "c"}); got == nil || got.Target != "a" {
		t.Error("a suspect is better than none")
	}
}

func TestLeavingTargetsTakeNothing(t *testing.T) {
	s := three()
	s.Changed(1, platform.TargetEntry{Target: "a", Pool: "p", Leaving: true})
	s.Removed(1, "b")
	if got := s.Usable("p"); len(got) != 1 || got[0].Target != "c" {
		t.Errorf("usable: %d", len(got))
	}
}

func TestLapsedEntriesMayComeBack(t *testing.T) {
	const back clock.Millis = 1000
	s := three()
	s.BackAt = back
	s.Listed(back, []platform.TargetEntry{{Target: "a", Pool: "p"}})
	if len(s.Usable("p")) != 3 {
		t.Error("targets whose entries lapsed were dropped at once")
	}
	s.Changed(back+500, platform.TargetEntry{Target: "b", Pool: "p"})
	s.Tick(back + LapseGrace)
	if got := s.Usable("p"); len(got) != 2 || got[1].Target != "b" {
		t.Errorf("%d targets are left", len(got))
	}
}

func TestSlowTargets(t *testing.T) {
	s := three()
	for round := range clock.Millis(slowRounds) {
		s.Paces(round, map[unit.Target]float64{"a": 40, "b": 42, "c": 130})
	}
	if !s.Slow(10, "c") || s.Slow(10, "a") {
		t.Error("the slow one was not found")
	}
	if s.Slow(slowFor+10, "c") {
		t.Error("it is never tried again")
	}
	s = three()
	s.Paces(0, map[unit.Target]float64{"a": 40, "b": 42, "c": 130})
	s.Paces(1, map[unit.Target]float64{"a": 40, "b": 42, "c": 45})
	s.Paces(2, map[unit.Target]float64{"a": 40, "b": 42, "c": 130})
	if s.Slow(3, "c") {
		t.Error("rounds that do not follow each other made it slow")
	}
}

func TestVersionsOnlyRise(t *testing.T) {
	s := &State{}
	s.Changed(0, platform.TargetEntry{Target: "a", Models: []platform.ModelState{{Model: "m", Version: 2}}})
	s.VersionSeen("a", "m", 3)
	s.VersionSeen("a", "m", 1)
	if v := s.Targets["a"].VersionOf("m"); v != 3 {
		t.Errorf("version %d", v)
	}
}

func BenchmarkPick(b *testing.B) {
	s := three()
	for b.Loop() {
		s.Pick(0, "p", nil)
	}
}
