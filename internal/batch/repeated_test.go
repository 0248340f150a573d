package batch

import (
	"testing"

	"github.com/catkinhead/catkinhead/internal/op"
)

// TestItemOfLaterJobRunsOnce guards against two targets that work on one item (TWICE):
// the end of a step hangs, and the next step, which repeats the item, runs it too.
func TestItemOfLaterJobRunsOnce(t *testing.T) {
	f := newFixture(target("t", 1, 1))
	f.ownJob(1, op.ItemShape{Expected: 9}, op.ItemShape{}, op.ItemShape{})
	run := f.runs[0].Run
	f.apply(op.ItemsRepeated{Job: "j", Items: []int{0, 1}})
	stopped := false
	for _, e := range f.out {
		if stop, ok := e.(op.StopItem); ok && stop.Run == run {
			stopped = true
		}
	}
	if !stopped {
		t.Errorf("the run of a repeated item goes on: %+v", f.out)
	}
	f.end(0, op.ItemBroken, 3)
	for range 3 {
		f.now += 1000
		f.apply(op.Tick{})
	}
	if len(f.runs) != 2 || f.runs[1].Item != 2 {
		t.Errorf("runs after the items were repeated: %+v", f.runs)
	}
	if d := f.state.Demands(); len(d) != 1 || d[0].Open != 1 || d[0].Waiting != 0 {
		t.Errorf("demands %+v, want one open item", d)
	}
	if running := f.view.Roster.LocalAttempts()["t"]; running != 1 {
		t.Errorf("%d attempts at the target, want that of the third item", running)
	}
	f.now += 60_000
	f.apply(op.Tick{})
	if c := f.chunk(); c == nil || len(c.GivenUp) != 3 {
		t.Errorf("chunk after the time of the job is over: %+v", c)
	}
}
