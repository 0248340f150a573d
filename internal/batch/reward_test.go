package batch

import (
	"fmt"
	"testing"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/internal/route"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// scored is the shape of an item with a reward call.
var scored = op.ItemShape{Reward: op.RewardShape{Host: "h", Path: "/score/x"}}

// newRewardFixture returns an owner with one engine, and with plain targets of
// four slots each for reward calls.
func newRewardFixture(plain ...unit.Target) *fixture {
	f := newFixture(target("engine", 32, 1))
	f.view.Table = route.New(platform.Configuration{Routes: []platform.RouteRule{
		{Name: "r", Repeat: platform.Batch, MaxAttempts: 2, GiveUpAfter: 40_000, DueAfter: 7500, Split: []platform.WeightedPool{{Pool: "p"}}},
		{Name: "score", Host: "h", PathPrefix: "/score/", Repeat: platform.Idempotent, MaxAttempts: 3, Timeout: 1500, Split: []platform.WeightedPool{{Pool: "plain"}}},
	}}, 1)
	for _, id := range plain {
		f.view.Roster.Upsert(0, platform.TargetEntry{Target: id, Pool: "plain", Address: string(id), Slots: 4})
	}
	return f
}

// calls returns the attempts of reward calls that the last event started.
func (f *fixture) calls() []op.SendRewardCall {
	var out []op.SendRewardCall
	for _, e := range f.out {
		if c, ok := e.(op.SendRewardCall); ok {
			out = append(out, c)
		}
	}
	return out
}

// answer reports the end of an attempt of a reward call.
func (f *fixture) answer(c op.SendRewardCall, end op.RewardEnd) {
	f.apply(op.RewardCallEnded{Job: c.Job, Item: c.Item, Run: c.Run, Target: c.Target, End: end})
}

func TestRewardCallFollowsCompleteOutput(t *testing.T) {
	f := newRewardFixture("a")
	f.ownJob(1, scored)
	if len(f.calls()) != 0 {
		t.Fatal("called before the output is complete")
	}
	f.end(0, op.ItemComplete, 5)
	calls := f.calls()
	if len(calls) != 1 || calls[0].Target != "a" || calls[0].Route != "score" {
		t.Fatalf("calls: %+v", calls)
	}
	if f.chunk() != nil {
		t.Error("listed without a score")
	}
	if n := f.view.Roster.Targets["engine"].Running; n != 0 {
		t.Errorf("%d slots of the engine are in use during the reward call", n)
	}
	f.answer(calls[0], op.RewardScored)
	if c := f.chunk(); c == nil || len(c.Done) != 1 {
		t.Errorf("not listed after the score: %+v", c)
	}
}

func TestRewardCallIsSentAgainElsewhere(t *testing.T) {
	tests := map[string]op.RewardEnd{"no valid answer": op.RewardBroken, "refused": op.RewardNotRun}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			f := newRewardFixture("a", "b")
			f.ownJob(1, scored)
			f.end(0, op.ItemComplete, 5)
			first := f.calls()[0]
			f.answer(first, end)
			if second := f.calls(); len(second) != 1 || second[0].Target == first.Target {
				t.Errorf("after %s: %+v", first.Target, second)
			}
		})
	}
}

func TestRewardCallWithoutAnswerIsDelayed(t *testing.T) {
	f := newRewardFixture("a")
	f.ownJob(1, scored)
	f.end(0, op.ItemComplete, 5)
	for range breaksBeforeRewardBackoff + 1 {
		if len(f.calls()) == 0 {
			f.now += suspectRetry
			f.apply(op.Tick{})
		}
		f.answer(f.calls()[0], op.RewardBroken)
	}
	if it := f.state.Jobs["j"].Items[0]; it.Phase != unscored || it.NotBefore <= f.now {
		t.Errorf("item is %+v", it)
	}
}

// suspectRetry is longer than a target stays suspect.
const suspectRetry = 10_000

func TestItemIsGivenUpAfterFailuresOfItsRewardCall(t *testing.T) {
	f := newRewardFixture("a", "b")
	f.ownJob(1, scored)
	f.end(0, op.ItemComplete, 5)
	for range 2 {
		f.answer(f.calls()[0], op.RewardFailed)
		f.now += failureDelay
		f.apply(op.Tick{})
	}
	f.answer(f.calls()[0], op.RewardFailed)
	if c := f.chunk(); c == nil || len(c.GivenUp) != 1 {
		t.Errorf("after three failures: %+v", c)
	}
	for id, target := range f.view.Roster.Targets {
		if target.Failures > 0 {
			t.Errorf("%s is suspect because of a failure that it reported", id)
		}
	}
}

func TestRewardCallsUseFreeSlotsOnly(t *testing.T) {
	f := newRewardFixture("a", "b")
	items := make([]op.ItemShape, 12)
	for i := range items {
		items[i] = scored
	}
	f.ownJob(1, items...)
	f.view.Roster.SetRemoteAttempts(map[unit.Target]int{"a": 2})
	var calls []op.SendRewardCall
	for i := range items {
		f.end(i, op.ItemComplete, 5)
		calls = append(calls, f.calls()...)
	}
	if len(calls) != 4 {
		t.Errorf("%d calls with 6 free slots of which %d are reserved", len(calls), 2*reservedSlots)
	}
	f.answer(calls[0], op.RewardScored)
	if len(f.calls()) != 1 {
		t.Error("a free slot is not used by the next call")
	}
}

func TestRewardCallsThatCompleteGroupsComeFirst(t *testing.T) {
	f := newRewardFixture()
	shape := func(group string) op.ItemShape { return op.ItemShape{Group: group, Reward: scored.Reward} }
	f.ownJob(1, shape("long"), shape("long"), shape("short"))
	f.end(0, op.ItemComplete, 5)
	f.end(2, op.ItemComplete, 5)
	f.view.Roster.Upsert(0, platform.TargetEntry{Target: "a", Pool: "plain", Slots: 2})
	f.now += rewardRetryDelay
	f.apply(op.Tick{})
	if calls := f.calls(); len(calls) != 1 || calls[0].Item != 2 {
		t.Errorf("called %+v", calls)
	}
}

func TestEndOfJobStopsRewardCalls(t *testing.T) {
	f := newRewardFixture("a")
	f.ownJob(1, scored)
	f.end(0, op.ItemComplete, 5)
	call := f.calls()[0]
	f.apply(op.EndRequested{Job: "j", Call: 1})
	stopped := false
	for _, e := range f.out {
		if s, ok := e.(op.StopItem); ok && s.Run == call.Run {
			stopped = true
		}
	}
	if !stopped || len(f.calls()) != 0 || f.view.Roster.Targets["a"].Running != 0 {
		t.Errorf("effects: %+v", f.out)
	}
}

func TestNewOwnerMakesOnlyTheRewardCall(t *testing.T) {
	f := newRewardFixture("a")
	f.apply(op.JobOwnershipGained{
		Epoch: 1, Whole: []int{0, 1}, Scored: []int{1},
		Shape: op.JobShape{ID: "j", Route: "r", Items: []op.ItemShape{scored, scored}},
	})
	if calls := f.calls(); len(f.runs) != 0 || len(calls) != 1 || calls[0].Item != 0 {
		t.Errorf("runs %+v, calls %+v", f.runs, calls)
	}
}

func TestDrainingInstanceWaitsForRewardCalls(t *testing.T) {
	f := newRewardFixture("a")
	f.ownJob(1, scored, scored)
	f.end(0, op.ItemComplete, 5)
	call := f.calls()[0]
	f.view.Draining = true
	f.apply(op.Tick{})
	f.end(1, op.ItemMoved, 2)
	if c := f.chunk(); c != nil {
		t.Fatalf("handed over during the reward call: %+v", c)
	}
	f.answer(call, op.RewardScored)
	if c := f.chunk(); c == nil || len(c.Done) != 1 || !c.Save {
		t.Errorf("handed over with %+v", c)
	}
}

func TestRewardCallWaitsForItsRoute(t *testing.T) {
	f := newRewardFixture("a")
	shape := scored
	shape.Reward.Path = "/other/x"
	f.ownJob(1, shape)
	f.end(0, op.ItemComplete, 5)
	if len(f.calls()) != 0 {
		t.Fatal("called without a route")
	}
	f.now = 40_001
	f.apply(op.Tick{})
	if c := f.chunk(); c == nil || len(c.GivenUp) != 1 {
		t.Errorf("not given up in time: %+v", c)
	}
}

// BenchmarkItemEnds measures an event of a large job whose reward calls wait for
// targets: 160 items of which half wait, 48 engines and 4 plain targets.
func BenchmarkItemEnds(b *testing.B) {
	f := newRewardFixture("a", "b", "c", "d")
	for i := range 48 {
		e := target(unit.Target(fmt.Sprint("engine", i)), 8, 1)
		e.Pool = "p"
		f.view.Roster.Upsert(0, e)
	}
	f.view.Roster.SetRemoteAttempts(map[unit.Target]int{"a": 4, "b": 4, "c": 4, "d": 4})
	items := make([]op.ItemShape, 160)
	for i := range items {
		items[i] = op.ItemShape{Group: fmt.Sprint(i / 16), Expected: i, Reward: scored.Reward}
	}
	f.ownJob(1, items...)
	f.state.Jobs["j"].WantGroups = 9
	for i := range 80 {
		f.end(i, op.ItemComplete, 5)
	}
	b.ReportAllocs()
	for b.Loop() {
		f.now++
		f.apply(op.ItemRunEnded{Job: "j", Item: 159, Run: -1, End: op.ItemBroken})
	}
}
