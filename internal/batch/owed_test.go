package batch

import (
	"testing"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
)

const (
	// owedWithin is how long an item may be at no target while targets have room.
	owedWithin clock.Millis = 5 * clock.Second
	// burst is how often targets crash under the same item.
	burst = 12
)

// placedWithin returns how long it takes until there are more than a number of
// runs, at most limit.
func (f *fixture) placedWithin(runs int, limit clock.Millis) clock.Millis {
	since := f.now
	for len(f.runs) <= runs && f.now < since+limit {
		f.now += 50
		f.apply(op.Tick{})
	}
	return f.now - since
}

// TestItemUnderWhichTargetsCrashedIsPlacedAgain guards against an item that waits
// longer and longer because targets crashed under it.
func TestItemUnderWhichTargetsCrashedIsPlacedAgain(t *testing.T) {
	f := newFixture(target("t", 1, 1), target("u", 1, 1), target("v", 1, 1))
	f.ownJob(1, op.ItemShape{})
	for n := range burst {
		runs := len(f.runs)
		f.end(0, op.ItemBroken, -1)
		if waited := f.placedWithin(runs, 2*owedWithin); waited >= owedWithin {
			t.Fatalf("after %d crashes the item is placed after %d ms, want less than %d", n+1, waited, owedWithin)
		}
	}
}

// TestStoppedProbeDoesNotBarTarget guards against a target that gets no items any
// more because the item that probed it was stopped.
func TestStoppedProbeDoesNotBarTarget(t *testing.T) {
	f := newFixture(target("t", 1, 1))
	f.ownJob(1, op.ItemShape{})
	f.end(0, op.ItemNotRun, -1)
	f.placedWithin(1, owedWithin)
	f.apply(op.JobOwnershipLost{Job: "j"})
	f.runs = nil
	f.ownJob(1, op.ItemShape{})
	if waited := f.placedWithin(0, owedWithin); waited >= owedWithin {
		t.Errorf("an item of the next job is not placed within %d ms", waited)
	}
}
