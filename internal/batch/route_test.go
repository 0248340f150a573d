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

// routeTable returns a configuration in which the route of the job leads to pools.
func routeTable(giveUpAfter clock.Millis, split ...platform.WeightedPool) *route.Table {
	return route.New(platform.Configuration{Routes: []platform.RouteRule{{
		Name: "r", Repeat: platform.Batch, MaxAttempts: 2, GiveUpAfter: giveUpAfter, DueAfter: 7500, Split: split,
	}}}, 1)
}

// poolsFixture returns an owner with one target of two slots in each pool. The targets
// bear the names of their pools.
func poolsFixture(pools ...unit.Pool) *fixture {
	f := &fixture{state: State{Self: "a"}, view: View{Roster: &roster.State{}}}
	for _, pool := range pools {
		e := target(unit.Target(pool), 2, 1)
		e.Pool = pool
		f.view.Roster.Upsert(0, e)
	}
	return f
}

// TestItemsFollowTheRouteInForce guards against accepted items that nobody runs, because
// their route has been moved and the pool of their submission is gone (LOST), and
// against items at a pool that no configuration in force allows (ROUTE, CONFIG).
func TestItemsFollowTheRouteInForce(t *testing.T) {
	only := func(pool unit.Pool) []platform.WeightedPool { return []platform.WeightedPool{{Pool: pool, Weight: 1}} }
	tests := map[string]struct {
		// after is the configuration that comes once the first two items run at "old".
		after *route.Table
		// leaves tells that the target of "old" leaves.
		leaves bool
		want   map[unit.Target]int
	}{
		"not moved":              {routeTable(40_000, only("old")...), false, map[unit.Target]int{"old": 2}},
		"moved":                  {routeTable(40_000, only("new")...), false, map[unit.Target]int{"old": 2, "new": 2}},
		"moved, old pool leaves": {routeTable(40_000, only("new")...), true, map[unit.Target]int{"old": 2, "new": 2}},
		"weight of zero":         {routeTable(40_000, platform.WeightedPool{Pool: "old"}, platform.WeightedPool{Pool: "new", Weight: 1}), false, map[unit.Target]int{"old": 2, "new": 2}},
		"split":                  {routeTable(40_000, platform.WeightedPool{Pool: "new", Weight: 1}, platform.WeightedPool{Pool: "third", Weight: 1}), true, map[unit.Target]int{"old": 2, "new": 2, "third": 2}},
		"split, one has no targets": {
			routeTable(40_000, platform.WeightedPool{Pool: "none", Weight: 9}, platform.WeightedPool{Pool: "new", Weight: 1}),
			true,
			map[unit.Target]int{"old": 2, "new": 2},
		},
		"removed": {route.New(platform.Configuration{}, 2), false, map[unit.Target]int{"old": 2}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := poolsFixture("old", "new", "third")
			f.view.Table = routeTable(40_000, only("old")...)
			f.ownJob(1, make([]op.ItemShape, 6)...)
			f.view.Table = tt.after
			if tt.leaves {
				f.view.Roster.Remove(f.now, "old")
			}
			f.now += 50
			f.apply(op.Tick{})
			got := make(map[unit.Target]int)
			for _, r := range f.runs {
				got[r.Target]++
			}
			for _, pool := range []unit.Target{"old", "new", "third"} {
				if got[pool] != tt.want[pool] {
					t.Errorf("%d runs at %s, want %d", got[pool], pool, tt.want[pool])
				}
			}
		})
	}
}

// TestItemsFollowTheWeightsInForce guards against items of which all go to the first
// pool of a split.
func TestItemsFollowTheWeightsInForce(t *testing.T) {
	f := poolsFixture()
	for _, pool := range []unit.Pool{"most", "some", "none"} {
		e := target(unit.Target(pool), 200, 1)
		e.Pool = pool
		f.view.Roster.Upsert(0, e)
	}
	f.view.Table = routeTable(40_000, platform.WeightedPool{Pool: "none"}, platform.WeightedPool{Pool: "most", Weight: 90}, platform.WeightedPool{Pool: "some", Weight: 10})
	f.ownJob(1, make([]op.ItemShape, 100)...)
	got := make(map[unit.Target]int)
	for _, r := range f.runs {
		got[r.Target]++
	}
	if got["most"] != 90 || got["some"] != 10 {
		t.Errorf("runs are %v", got)
	}
}

// TestTimesFollowTheRouteInForce guards against items that are given up by the times of
// their submission, or never since their route was away when the job was taken over.
func TestTimesFollowTheRouteInForce(t *testing.T) {
	tests := map[string]struct {
		before, after *route.Table
		want          clock.Millis
	}{
		"longer":                {routeTable(10_000), routeTable(20_000), 20_000},
		"shorter":               {routeTable(20_000), routeTable(10_000), 10_000},
		"removed":               {routeTable(10_000), route.New(platform.Configuration{}, 2), 10_000},
		"away when taken over":  {route.New(platform.Configuration{}, 2), routeTable(10_000), 10_000},
		"no time to give up at": {routeTable(10_000), routeTable(0), never},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := poolsFixture()
			f.view.Table = tt.before
			f.now = 300
			f.apply(op.JobOwnershipGained{Epoch: 2, Shape: op.JobShape{ID: "j", Route: "r", Age: 300, Items: make([]op.ItemShape, 1)}})
			f.view.Table = tt.after
			f.now = 400
			f.apply(op.Tick{})
			if got := f.state.Jobs["j"].GiveUpAt; got != tt.want {
				t.Errorf("given up at %d, want %d", got, tt.want)
			}
		})
	}
}
