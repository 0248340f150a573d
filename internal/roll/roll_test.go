package roll

import (
	"fmt"
	"testing"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/internal/roster"
	"github.com/catkinhead/catkinhead/internal/route"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// fleet is a pool of engines that take orders at once.
type fleet struct {
	t      *testing.T
	now    clock.Millis
	state  State
	roster roster.State
	view   View
	// loads counts the orders by version.
	loads map[unit.Version]int
	// loading holds the orders that targets carry out.
	loading []platform.VersionOrder
}

func newFleet(t *testing.T, targets int, models ...unit.Model) *fleet {
	f := &fleet{t: t, loads: make(map[unit.Version]int)}
	for i := range targets {
		e := platform.TargetEntry{Target: unit.Target(fmt.Sprintf("t%02d", i)), Pool: "p", Slots: 4}
		for _, m := range models {
			e.Models = append(e.Models, platform.ModelState{Model: m, Version: 1})
		}
		f.roster.Changed(0, e)
	}
	table := route.New(platform.Configuration{Pools: map[unit.Pool]platform.PoolRule{"p": {Name: "p", Models: models}}}, 1)
	f.view = View{Roster: &f.roster, Table: table, Self: "a", Fence: 3, Until: 1 << 40}
	return f
}

func (f *fleet) apply(ev op.Event) {
	var out op.List
	f.state.Reduce(f.now, ev, f.view, &out)
	for _, e := range out {
		o := e.(op.OrderVersion).Order
		f.loads[o.Version]++
		f.loading = append(f.loading, o)
	}
}

// finish lets all loads end.
func (f *fleet) finish() {
	loading := f.loading
	f.loading = nil
	for _, o := range loading {
		f.apply(op.OrderEnded{Target: o.Target, Model: o.Model, Version: o.Version, Result: op.Done})
		f.roster.VersionSeen(o.Target, o.Model, o.Version)
	}
	f.now += 100
	f.apply(op.Tick{})
}

func (f *fleet) count(m unit.Model, v unit.Version) int {
	n := 0
	for _, t := range f.roster.Usable("p") {
		if f.state.Assigned[t.Target] == m && t.VersionOf(m) >= v {
			n++
		}
	}
	return n
}

func TestHalfOfTheTargetsTakeEachNewJobAtOnce(t *testing.T) {
	f := newFleet(t, 8, "m")
	for v := unit.Version(2); v <= 9; v++ {
		f.apply(op.VersionWanted{Model: "m", Version: v})
		if v > 2 && f.count("m", v-1) < 4 {
			t.Errorf("version %d: only %d targets can take its job at once", v, f.count("m", v-1))
		}
		f.now += 2 * jobLag
		for range 8 {
			f.finish()
		}
		if f.count("m", v-1) != 8 {
			t.Errorf("version %d: only %d targets fit its job in the end", v, f.count("m", v-1))
		}
		f.now += 4000
	}
	for v := unit.Version(3); v <= 9; v++ {
		if f.loads[v] != 4 {
			t.Errorf("version %d was loaded %d times", v, f.loads[v])
		}
	}
}

func TestLoadsWaitForItemsButNotForever(t *testing.T) {
	f := newFleet(t, 4, "m")
	f.view.Demands = []op.Demand{{Model: "m", Newest: 1, Waiting: 5, MinWaiting: 1}}
	f.apply(op.VersionWanted{Model: "m", Version: 2})
	f.now += 2 * jobLag
	f.apply(op.Tick{})
	if f.loads[2] != 0 {
		t.Errorf("%d loads while items wait that the targets can take", f.loads[2])
	}
	f.now = deferMost + 1
	f.apply(op.Tick{})
	if f.loads[2] != 2 {
		t.Errorf("%d loads after the longest wait", f.loads[2])
	}
}

func TestLoadsAtOnceWhenItemsNeedThem(t *testing.T) {
	f := newFleet(t, 4, "m")
	f.apply(op.VersionWanted{Model: "m", Version: 3})
	if f.loads[3] != leastLoads {
		t.Errorf("%d loads of a version without which nothing can run", f.loads[3])
	}
}

func TestStrictJobsMakeAllTargetsLoad(t *testing.T) {
	f := newFleet(t, 4, "m")
	f.apply(op.VersionWanted{Model: "m", Version: 2})
	f.view.Demands = []op.Demand{{Model: "m", Newest: 2, Waiting: 5, MinWaiting: 2}}
	for range 20 {
		f.now += jobLag
		f.finish()
	}
	if f.count("m", 2) != 4 {
		t.Errorf("%d targets have the only version that jobs take", f.count("m", 2))
	}
}

func TestModelsShareTargets(t *testing.T) {
	f := newFleet(t, 11, "m", "n", "o")
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
			f.roster.Removed(f.now, id)
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

func TestNobodyOrdersWithoutTheLease(t *testing.T) {
	for name, change := range map[string]func(*View){
		"no lease":     func(v *View) { v.Fence = 0 },
		"lease ending": func(v *View) { v.Until = sendTime },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 4, "m")
			change(&f.view)
			f.apply(op.VersionWanted{Model: "m", Version: 3})
			if len(f.loading) != 0 {
				t.Errorf("sent %+v", f.loading)
			}
		})
	}
}

func TestUnansweredOrdersAreSentAgainLater(t *testing.T) {
	f := newFleet(t, 1, "m")
	f.apply(op.VersionWanted{Model: "m", Version: 3})
	o := f.loading[0]
	f.apply(op.OrderEnded{Target: o.Target, Model: "m", Version: 3, Result: op.Lost})
	if len(f.loading) != 1 {
		t.Error("sent again at once")
	}
	f.now += lostPause
	f.apply(op.Tick{})
	if len(f.loading) != 2 {
		t.Error("not sent again")
	}
}

func BenchmarkAdvance(b *testing.B) {
	f := newFleet(nil, 48, "m", "n", "o")
	f.apply(op.VersionWanted{Model: "m", Version: 3})
	for b.Loop() {
		var out op.List
		f.state.Advance(f.now, f.view, &out)
	}
}
