package batch

import (
	"testing"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/internal/roster"
	"github.com/catkinhead/catkinhead/internal/route"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// fixture drives a State with a set of targets. It records all runs that were
// started, and the effects of the last event.
type fixture struct {
	state State
	view  View
	now   clock.Millis
	runs  []op.RunItem
	out   op.List
}

// newFixture returns an owner without jobs, with targets that are all in the pool
// of the only route.
func newFixture(targets ...platform.TargetEntry) *fixture {
	f := &fixture{state: State{Self: "a"}}
	f.view = View{Roster: &roster.State{}, Table: route.New(platform.Configuration{Routes: []platform.RouteRule{{
		Name: "r", Repeat: platform.Batch, MaxAttempts: 2, GiveUpAfter: 40_000, DueAfter: 7500,
		Split: []platform.WeightedPool{{Pool: "p"}},
	}}}, 1)}
	for _, t := range targets {
		t.Pool = "p"
		f.view.Roster.Upsert(0, t)
	}
	return f
}

// target returns the entry of a target that serves a version of model m.
func target(id unit.Target, slots int, version unit.Version) platform.TargetEntry {
	return platform.TargetEntry{Target: id, Slots: slots, Models: []platform.ModelState{{Model: "m", Version: version}}}
}

// apply applies an event and records its effects.
func (f *fixture) apply(ev op.Event) {
	f.out = nil
	f.state.Reduce(f.now, ev, f.view, &f.out)
	for _, e := range f.out {
		if r, ok := e.(op.RunItem); ok {
			f.runs = append(f.runs, r)
		}
	}
}

// ownJob makes the fixture the owner of a new job with the given items.
func (f *fixture) ownJob(minVersion unit.Version, items ...op.ItemShape) {
	for i := range items {
		items[i].Model = "m"
	}
	f.apply(op.JobOwnershipGained{Epoch: 1, Shape: op.JobShape{
		ID: "j", Route: "r", MinVersion: minVersion, WantGroups: 1, Items: items,
	}})
}

// end reports the end of the latest run of an item.
func (f *fixture) end(item int, end op.ItemEnd, last int64) {
	for i := len(f.runs) - 1; i >= 0; i-- {
		if r := f.runs[i]; r.Item == item {
			f.apply(op.ItemRunEnded{Job: "j", Item: item, Run: r.Run, Target: r.Target, End: end, Last: last})
			return
		}
	}
}

// chunk returns the write that the last event caused, nil if there is none.
func (f *fixture) chunk() *op.AppendChunk {
	for _, e := range f.out {
		if c, ok := e.(op.AppendChunk); ok {
			return &c
		}
	}
	return nil
}

func TestLongestItemsStartFirst(t *testing.T) {
	f := newFixture(target("t", 2, 1))
	f.ownJob(1, op.ItemShape{Expected: 5}, op.ItemShape{Expected: 900}, op.ItemShape{Expected: 50})
	if len(f.runs) != 2 || f.runs[0].Item != 1 || f.runs[1].Item != 2 {
		t.Errorf("started %+v", f.runs)
	}
}

func TestTargetsBelowMinVersionGetNoItems(t *testing.T) {
	f := newFixture(target("old", 4, 2), target("new", 1, 3))
	f.ownJob(3, op.ItemShape{}, op.ItemShape{})
	if len(f.runs) != 1 || f.runs[0].Target != "new" || f.runs[0].MinVersion != 3 {
		t.Errorf("started %+v", f.runs)
	}
}

func TestSlotsUsedByOtherInstancesAreNotUsed(t *testing.T) {
	f := newFixture(target("t", 4, 1))
	f.view.Roster.SetRemoteAttempts(map[unit.Target]int{"t": 3})
	f.ownJob(1, op.ItemShape{}, op.ItemShape{})
	if len(f.runs) != 1 {
		t.Errorf("started %d runs with one free slot", len(f.runs))
	}
}

func TestRunsStayAtSlowTargetWithoutFreeSlots(t *testing.T) {
	f := newFixture(target("slow", 4, 1), target("full", 1, 1), target("other", 1, 1))
	f.view.Roster.SetRemoteAttempts(map[unit.Target]int{"full": 3, "other": 1})
	f.ownJob(1, op.ItemShape{}, op.ItemShape{})
	f.view.Roster.Targets["slow"].SlowUntil = f.now + 1000
	f.apply(op.Tick{})
	for _, e := range f.out {
		if m, ok := e.(op.MoveItem); ok {
			t.Errorf("%+v although no other target has a free slot", m)
		}
	}
	f.view.Roster.SetRemoteAttempts(map[unit.Target]int{"full": 3})
	f.apply(op.Tick{})
	if moves := len(f.out); moves != 1 {
		t.Errorf("%d effects with one free slot at another target: %+v", moves, f.out)
	}
}

func TestRefusingTargetIsProbedWithOneItem(t *testing.T) {
	f := newFixture(target("t", 4, 1))
	f.ownJob(1, op.ItemShape{}, op.ItemShape{}, op.ItemShape{})
	for i := range 3 {
		f.end(i, op.ItemNotRun, -1)
	}
	f.runs = nil
	f.now += refusalCooldown
	f.apply(op.Tick{})
	if len(f.runs) != 1 {
		t.Fatalf("%d items probe a target that refused, want 1", len(f.runs))
	}
	f.apply(op.VersionReported{Target: "t", Model: "m"})
	if len(f.runs) != 3 {
		t.Errorf("%d items run at a target that accepts them again, want 3", len(f.runs))
	}
}

func TestBrokenRunsResumeAfterLastEvent(t *testing.T) {
	f := newFixture(target("t", 1, 1), target("u", 1, 1))
	f.ownJob(1, op.ItemShape{})
	first := f.runs[0].Target
	f.end(0, op.ItemBroken, 17)
	if got := f.runs[len(f.runs)-1]; len(f.runs) != 2 || got.After != 17 || got.Target == first {
		t.Errorf("resumed with %+v", got)
	}
}

func TestItemsAreGivenUp(t *testing.T) {
	tests := map[string]struct {
		ends []op.ItemEnd
		want bool
	}{
		"impossible":          {[]op.ItemEnd{op.ItemImpossible}, true},
		"failed once":         {[]op.ItemEnd{op.ItemFailed}, false},
		"failed on every run": {[]op.ItemEnd{op.ItemFailed, op.ItemFailed}, true},
		"broken repeatedly":   {[]op.ItemEnd{op.ItemBroken, op.ItemBroken, op.ItemBroken, op.ItemBroken}, false},
		"refused repeatedly":  {[]op.ItemEnd{op.ItemNotRun, op.ItemNotRun, op.ItemNotRun}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(target("t", 9, 1))
			f.ownJob(1, op.ItemShape{})
			for _, end := range tt.ends {
				f.end(0, end, -1)
				for range 100 {
					f.now += 50
					if c := f.chunk(); c == nil {
						f.apply(op.Tick{})
					}
				}
			}
			if got := f.state.Jobs["j"].Items[0].Phase == givenUp; got != tt.want {
				t.Errorf("given up: %v", got)
			}
		})
	}
}

func TestItemsDoneByEarlierJobAreListedWithoutRun(t *testing.T) {
	f := newFixture(target("t", 9, 1))
	f.apply(op.JobOwnershipGained{
		Shape: op.JobShape{ID: "j", Route: "r", MinVersion: 1, Items: []op.ItemShape{{Model: "m"}, {Model: "m"}, {Model: "m"}}},
		Epoch: 1, Whole: []int{1}, Saved: map[int]int64{2: 40},
	})
	if len(f.runs) != 2 || f.runs[0].Item != 0 || f.runs[1].Item != 2 || f.runs[1].After != 40 {
		t.Errorf("started %+v", f.runs)
	}
	if c := f.chunk(); c == nil || len(c.Done) != 1 || c.Done[0] != 1 {
		t.Errorf("wrote %+v", c)
	}
}

func TestItemsAreGivenUpAfterTimeLimit(t *testing.T) {
	f := newFixture(target("t", 1, 1))
	f.ownJob(1, op.ItemShape{}, op.ItemShape{})
	f.now = 40_000
	f.apply(op.Tick{})
	if c := f.chunk(); c == nil || len(c.GivenUp) != 2 {
		t.Errorf("wrote %+v", c)
	}
}

func TestItemsThatAlwaysBreakBackOff(t *testing.T) {
	f := newFixture(target("t", 9, 1), target("u", 9, 1), target("v", 9, 1))
	f.ownJob(1, op.ItemShape{})
	for f.now = 0; f.now < 20_000; f.now += 50 {
		f.apply(op.Tick{})
		f.end(0, op.ItemBroken, -1)
	}
	if n := len(f.runs); n > 16 {
		t.Errorf("%d runs within 20 s of an item that always breaks, want at most 16", n)
	}
}

func TestItemsMoveAwayFromSlowTargets(t *testing.T) {
	f := newFixture(target("t", 1, 1), target("u", 1, 1), target("v", 1, 1))
	f.ownJob(1, op.ItemShape{})
	slow := f.runs[0].Target
	eventMillis := map[unit.Target]float64{"t": 40, "u": 40, "v": 40}
	eventMillis[slow] = 130
	for range 2 {
		f.view.Roster.ApplyEventTimes(f.now, eventMillis)
	}
	f.apply(op.Tick{})
	moved := 0
	for _, e := range f.out {
		if _, ok := e.(op.MoveItem); ok {
			moved++
		}
	}
	if moved != 1 {
		t.Fatalf("%d items moved, want 1", moved)
	}
	f.end(0, op.ItemMoved, 30)
	if got := f.runs[len(f.runs)-1]; got.Target == slow || got.After != 30 {
		t.Errorf("resumed with %+v", got)
	}
}

func TestResultsAreWrittenInBatches(t *testing.T) {
	f := newFixture(target("t", 9, 1))
	f.ownJob(1, op.ItemShape{Group: "g"}, op.ItemShape{Group: "g"}, op.ItemShape{Group: "h"}, op.ItemShape{Group: "h"})
	f.state.Jobs["j"].WantGroups = 2
	f.end(0, op.ItemComplete, 3)
	c := f.chunk()
	if c == nil || len(c.Done) != 1 {
		t.Fatalf("wrote %+v", c)
	}
	f.apply(op.ChunkAppended{Job: "j", Chunk: 0, Result: op.Done, Other: op.ChunkShape{Items: c.Done, Owner: "a", Epoch: 1}})
	f.end(1, op.ItemComplete, 3)
	f.end(2, op.ItemComplete, 3)
	if c := f.chunk(); c != nil {
		t.Errorf("wrote %+v before the minimum interval was over", c)
	}
	f.end(3, op.ItemComplete, 3)
	if c := f.chunk(); c == nil || len(c.Done) != 3 {
		t.Errorf("the results that complete the job were not written immediately: %+v", c)
	}
}

func TestDrainingOwnerSavesAndReleasesJob(t *testing.T) {
	f := newFixture(target("t", 9, 1))
	f.ownJob(1, op.ItemShape{}, op.ItemShape{})
	f.view.Draining = true
	f.apply(op.Tick{})
	f.end(0, op.ItemMoved, 12)
	if f.chunk() != nil {
		t.Error("wrote a chunk before all runs had ended")
	}
	f.end(1, op.ItemMoved, 13)
	c := f.chunk()
	if c == nil || !c.Save {
		t.Fatalf("wrote %+v", c)
	}
	f.apply(op.ChunkAppended{Job: "j", Chunk: 0, Result: op.Lost})
	if len(f.state.Jobs) != 1 {
		t.Error("released a job whose output is not saved")
	}
	f.now += appendRetryDelay
	f.apply(op.Tick{})
	if c := f.chunk(); c == nil || !c.Save {
		t.Fatalf("the chunk was not written again: %+v", c)
	}
	f.apply(op.ChunkAppended{Job: "j", Chunk: 0, Result: op.Done, Other: op.ChunkShape{Owner: "a", Epoch: 1}})
	if len(f.state.Jobs) != 0 {
		t.Error("the job was not released after its output was saved")
	}
}

func TestClosedJobsAreDroppedFromMemory(t *testing.T) {
	f := newFixture(target("t", 9, 1))
	f.ownJob(1, op.ItemShape{})
	f.end(0, op.ItemComplete, 3)
	f.now = 1000
	f.apply(op.ChunkAppended{Job: "j", Chunk: 0, Result: op.Done, Other: op.ChunkShape{Items: []int{0}, Owner: "a", Epoch: 1}})
	f.now += closedRetention - 1
	f.apply(op.Tick{})
	if len(f.state.Jobs) != 1 {
		t.Fatal("the closed job was dropped too early")
	}
	f.now++
	f.apply(op.Tick{})
	if len(f.state.Jobs) != 0 {
		t.Error("the closed job was not dropped")
	}
}

func BenchmarkAdvance(b *testing.B) {
	f := newFixture(target("t", 16, 1), target("u", 16, 1))
	items := make([]op.ItemShape, 256)
	f.ownJob(1, items...)
	for b.Loop() {
		var out op.List
		f.state.Advance(f.now, f.view, &out)
	}
}

func TestLongItemsAreSpreadOverTargets(t *testing.T) {
	f := newFixture(target("a", 8, 1), target("b", 8, 1), target("c", 8, 1))
	f.ownJob(1, op.ItemShape{Expected: 900}, op.ItemShape{Expected: 300}, op.ItemShape{Expected: 290},
		op.ItemShape{Expected: 20}, op.ItemShape{Expected: 20}, op.ItemShape{Expected: 20}, op.ItemShape{Expected: 20})
	long := f.runs[0].Target
	for _, r := range f.runs[1:] {
		if r.Target == long {
			t.Errorf("item %d was sent to the target of the longest item", r.Item)
		}
	}
}

func TestItemsWithoutEstimateAreSpreadOverTargets(t *testing.T) {
	f := newFixture(target("a", 4, 1), target("b", 4, 1))
	f.ownJob(1, op.ItemShape{}, op.ItemShape{}, op.ItemShape{}, op.ItemShape{})
	for _, id := range []unit.Target{"a", "b"} {
		if n := f.view.Roster.Targets[id].Running; n != 2 {
			t.Errorf("%d of four items were sent to %s", n, id)
		}
	}
}

func TestInstancesStartAtDifferentTargets(t *testing.T) {
	chosen := make(map[unit.Target]bool)
	for _, self := range []unit.Instance{"a", "b", "c", "d", "e", "f"} {
		f := newFixture(target("t1", 8, 1), target("t2", 8, 1), target("t3", 8, 1))
		f.state.Self = self
		f.ownJob(1, op.ItemShape{Expected: 900})
		chosen[f.runs[0].Target] = true
	}
	if len(chosen) < 2 {
		t.Errorf("all instances chose %v", chosen)
	}
}

func TestJobAheadOfItsStorage(t *testing.T) {
	f := newFixture(target("t", 4, 1))
	f.apply(op.JobOwnershipGained{Epoch: 3, Ahead: true, Shape: op.JobShape{
		ID: "j", Route: "r", MinVersion: 1, Items: []op.ItemShape{{Model: "m"}},
	}})
	if len(f.runs) != 1 {
		t.Fatalf("%d runs", len(f.runs))
	}
	f.end(0, op.ItemComplete, 4)
	if c := f.chunk(); c != nil {
		t.Fatalf("wrote %+v before the job was stored", c)
	}
	f.apply(op.JobStored{Job: "j"})
	if c := f.chunk(); c == nil || len(c.Done) != 0 || c.Epoch != 3 {
		t.Fatalf("claimed with %+v", c)
	}
	f.apply(op.ChunkAppended{Job: "j", Result: op.Done, Other: op.ChunkShape{Owner: "a", Epoch: 3}})
	if c := f.chunk(); c == nil || len(c.Done) != 1 {
		t.Errorf("listed %+v", c)
	}
}

func TestDrainingInstanceDropsJobAheadOfItsStorage(t *testing.T) {
	f := newFixture(target("t", 4, 1))
	f.apply(op.JobOwnershipGained{Epoch: 3, Ahead: true, Shape: op.JobShape{
		ID: "j", Route: "r", MinVersion: 1, Items: []op.ItemShape{{Model: "m"}},
	}})
	f.view.Draining = true
	f.apply(op.Tick{})
	f.end(0, op.ItemMoved, 1)
	if len(f.state.Jobs) != 0 {
		t.Errorf("jobs are %v", f.state.Jobs)
	}
}

func TestHandOverWritesAllParts(t *testing.T) {
	f := newFixture(target("t", 4, 1))
	f.ownJob(1, op.ItemShape{}, op.ItemShape{})
	f.view.Draining = true
	f.apply(op.Tick{})
	f.end(0, op.ItemMoved, 5)
	f.end(1, op.ItemMoved, 5)
	if c := f.chunk(); c == nil || !c.Save {
		t.Fatalf("wrote %+v", c)
	}
	f.apply(op.ChunkAppended{Job: "j", Result: op.Done, Other: op.ChunkShape{Owner: "a", Epoch: 1}, Shortened: true})
	if c := f.chunk(); c == nil || !c.Save {
		t.Fatalf("the job was released before all parts were written: %+v", f.out)
	}
	f.apply(op.ChunkAppended{Job: "j", Chunk: 1, Result: op.Done, Other: op.ChunkShape{Owner: "a", Epoch: 1}})
	if len(f.state.Jobs) != 0 {
		t.Error("the job was not released")
	}
}
