package modelversion

import (
	"fmt"
	"testing"

	"github.com/catkinhead/catkinhead/internal/duty"
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/internal/roster"
	"github.com/catkinhead/catkinhead/internal/route"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// fixture drives a State with a pool of targets that accept all orders.
type fixture struct {
	t      *testing.T
	now    clock.Millis
	state  State
	roster roster.State
	view   duty.View
	// loads counts the orders by version.
	loads map[unit.Version]int
	// loading holds the orders that were sent and not finished.
	loading []platform.VersionOrder
}

// newFixture returns a fixture that holds the lease, with targets that serve
// version 1 of all models.
func newFixture(t *testing.T, targets int, models ...unit.Model) *fixture {
	f := &fixture{t: t, loads: make(map[unit.Version]int)}
	for i := range targets {
		e := platform.TargetEntry{Target: unit.Target(fmt.Sprintf("t%02d", i)), Pool: "p", Slots: 4}
		for _, m := range models {
			e.Models = append(e.Models, platform.ModelState{Model: m, Version: 1})
		}
		f.roster.Upsert(0, e)
	}
	table := route.New(platform.Configuration{Pools: map[unit.Pool]platform.PoolRule{"p": {Name: "p", Models: models}}}, 1)
	f.view = duty.View{Roster: &f.roster, Table: table, Holder: duty.Holder{Self: "a", Fence: 3, Until: 1 << 40}}
	return f
}

// apply applies an event and records the orders that it causes.
func (f *fixture) apply(ev op.Event) {
	var out op.List
	f.state.Reduce(f.now, ev, f.view, &out)
	for _, e := range out {
		o := e.(op.OrderVersion).Order
		f.loads[o.Version]++
		f.loading = append(f.loading, o)
	}
}

// finish completes all loads in flight and advances the time by 100 ms.
func (f *fixture) finish() {
	loading := f.loading
	f.loading = nil
	for _, o := range loading {
		f.apply(op.VersionOrdered{Target: o.Target, Model: o.Model, Version: o.Version, Result: op.Done})
		f.roster.RecordVersion(o.Target, o.Model, o.Version)
	}
	f.now += 100
	f.apply(op.Tick{})
}

// count returns how many targets of a model have a version or a newer one.
func (f *fixture) count(m unit.Model, v unit.Version) int {
	n := 0
	for _, t := range f.roster.Usable("p") {
		if f.state.Assigned[t.Target] == m && t.VersionOf(m) >= v {
			n++
		}
	}
	return n
}

func TestHalfOfTargetsRunEachNewJobImmediately(t *testing.T) {
	f := newFixture(t, 8, "m")
	for v := unit.Version(2); v <= 9; v++ {
		f.apply(op.VersionWanted{Model: "m", Version: v})
		if v > 2 && f.count("m", v-1) < 4 {
			t.Errorf("version %d: only %d targets can run its job immediately", v, f.count("m", v-1))
		}
		f.now += 2 * jobDiscoveryLag
		for range 8 {
			f.finish()
		}
		if f.count("m", v-1) != 8 {
			t.Errorf("version %d: only %d targets can run its job after all loads", v, f.count("m", v-1))
		}
		f.now += 4000
	}
	for v := unit.Version(3); v <= 9; v++ {
		if f.loads[v] != 4 {
			t.Errorf("version %d was loaded %d times, want 4", v, f.loads[v])
		}
	}
}

func TestOptionalLoadsAreDeferredWhileItemsWait(t *testing.T) {
	f := newFixture(t, 4, "m")
	f.view.Demands = []op.Demand{{Model: "m", Newest: 1, Waiting: 5, MinWaiting: 1}}
	f.apply(op.VersionWanted{Model: "m", Version: 2})
	f.now += 2 * jobDiscoveryLag
	f.apply(op.Tick{})
	if f.loads[2] != 0 {
		t.Errorf("%d loads while there are waiting items that the targets can run", f.loads[2])
	}
	f.now = maxLoadDeferral + 1
	f.apply(op.Tick{})
	if f.loads[2] != 2 {
		t.Errorf("%d loads after the maximum deferral, want 2", f.loads[2])
	}
}

func TestMandatoryLoadsAreNotDeferred(t *testing.T) {
	f := newFixture(t, 4, "m")
	f.apply(op.VersionWanted{Model: "m", Version: 3})
	if f.loads[3] != minConcurrentLoads {
		t.Errorf("%d loads of a version without which no item can run", f.loads[3])
	}
}

func TestAllTargetsLoadForStrictJobs(t *testing.T) {
	f := newFixture(t, 4, "m")
	f.apply(op.VersionWanted{Model: "m", Version: 2})
	f.view.Demands = []op.Demand{{Model: "m", Newest: 2, Waiting: 5, MinWaiting: 2}}
	for range 20 {
		f.now += jobDiscoveryLag
		f.finish()
	}
	if f.count("m", 2) != 4 {
		t.Errorf("%d targets have the only version that jobs accept, want 4", f.count("m", 2))
	}
}

func TestTargetsAreDividedEvenlyAmongModels(t *testing.T) {
	f := newFixture(t, 11, "m", "n", "o")
	f.apply(op.VersionWanted{Model: "m", Version: 3})
	counts := map[unit.Model]int{}
	for _, m := range f.state.Assigned {
		counts[m]++
	}
	for _, m := range []unit.Model{"m", "n", "o"} {
		if counts[m] < 3 || counts[m] > 4 {
			t.Errorf("%s has %d targets: %v", m, counts[m], counts)
		}
	}
	gone := 0
	for id, m := range f.state.Assigned {
		if m == "m" && gone < 3 {
			f.roster.Remove(f.now, id)
			gone++
		}
	}
	f.now += 100
	f.apply(op.Tick{})
	counts = map[unit.Model]int{}
	for _, m := range f.state.Assigned {
		counts[m]++
	}
	if len(f.state.Assigned) != 8 || counts["m"] < 2 {
		t.Errorf("after the loss of %d targets: %v", gone, counts)
	}
}

func TestNoOrdersWithoutLease(t *testing.T) {
	for name, change := range map[string]func(*duty.View){
		"no lease":     func(v *duty.View) { v.Fence = 0 },
		"lease ending": func(v *duty.View) { v.Until = duty.SendTimeout },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 4, "m")
			change(&f.view)
			f.apply(op.VersionWanted{Model: "m", Version: 3})
			if len(f.loading) != 0 {
				t.Errorf("sent %+v", f.loading)
			}
		})
	}
}

func TestOrdersWithUnknownOutcomeAreRetried(t *testing.T) {
	f := newFixture(t, 1, "m")
	f.apply(op.VersionWanted{Model: "m", Version: 3})
	o := f.loading[0]
	f.apply(op.VersionOrdered{Target: o.Target, Model: "m", Version: 3, Result: op.Lost})
	if len(f.loading) != 1 {
		t.Error("the order was sent again without a delay")
	}
	f.now += unknownRetryDelay
	f.apply(op.Tick{})
	if len(f.loading) != 2 {
		t.Error("the order was not sent again after the delay")
	}
}

func BenchmarkAdvance(b *testing.B) {
	f := newFixture(nil, 48, "m", "n", "o")
	f.apply(op.VersionWanted{Model: "m", Version: 3})
	for b.Loop() {
		var out op.List
		f.state.Advance(f.now, f.view, &out)
	}
}

// TestAwaitedLoadsComeFirst plays a holder that learns of several versions at
// once, after it could not reach the store: items of one model wait that no target
// can run.
func TestAwaitedLoadsComeFirst(t *testing.T) {
	f := newFixture(t, 6, "a", "b", "c")
	f.view.Demands = []op.Demand{{Model: "c", Newest: 4, Waiting: 9, MinWaiting: 4, Open: 9}}
	f.view.Until = 0
	for _, m := range []unit.Model{"a", "b", "c"} {
		f.apply(op.VersionWanted{Model: m, Version: 5})
	}
	f.view.Until = 1 << 40
	f.apply(op.Tick{})
	if len(f.loading) == 0 || f.loading[0].Model != "c" {
		t.Errorf("ordered %+v", f.loading)
	}
}

// TestPoolsOfOneModelAreOrderedOnce guards against a flood of orders, hundreds of
// thousands in half a minute, which leaves the holder of the duties no time for its jobs:
// the orders to the targets of one pool were forgotten with each look at the next.
func TestPoolsOfOneModelAreOrderedOnce(t *testing.T) {
	f := newFixture(t, 4, "m")
	pools := map[unit.Pool]platform.PoolRule{"p": {Name: "p", Models: []unit.Model{"m"}}, "q": {Name: "q", Models: []unit.Model{"m"}}}
	f.view.Table = route.New(platform.Configuration{Pools: pools}, 1)
	for _, id := range []unit.Target{"q0", "q1"} {
		f.roster.Upsert(0, platform.TargetEntry{Target: id, Pool: "q", Slots: 4, Models: []platform.ModelState{{Model: "m", Version: 1}}})
	}
	f.now = 10_000
	f.apply(op.VersionWanted{Model: "m", Version: 3})
	ordered := make(map[unit.Target]int)
	for range 50 {
		f.now += 10
		f.apply(op.Tick{})
	}
	for _, o := range f.loading {
		ordered[o.Target]++
	}
	if len(ordered) < 3 {
		t.Errorf("only %d targets were ordered to load the version", len(ordered))
	}
	for id, n := range ordered {
		if n > 1 {
			t.Errorf("%s got %d orders while the first was in flight", id, n)
		}
	}
}
