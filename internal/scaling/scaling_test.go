package scaling

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

// newFixture returns a view of a pool that has two targets with four slots in each
// of two data centres, and a number of unfinished items.
func newFixture(items int) (*State, duty.View) {
	v := duty.View{
		Roster: &roster.State{}, Holder: duty.Holder{Self: "a", Fence: 1, Until: 1 << 40},
		Table: route.New(platform.Configuration{Pools: map[unit.Pool]platform.PoolRule{"p": {
			Name: "p", Slots: 4, Models: []unit.Model{"m"},
			Scaling: &platform.Scaling{Min: 1, Max: 5, BootAfter: 4000, Prices: map[unit.DataCentre]float64{"north": 1, "south": 0.8}},
		}}}, 1),
		Demands: []op.Demand{{Model: "m", Open: items}, {Model: "other", Open: 500}},
	}
	for i := range 4 {
		dc := unit.DataCentre("north")
		if i%2 == 1 {
			dc = "south"
		}
		v.Roster.Upsert(0, platform.TargetEntry{Target: unit.Target(fmt.Sprint("t", i)), Pool: "p", DataCentre: dc, Slots: 4})
	}
	return &State{}, v
}

// orders advances the state and returns the number of targets ordered in each
// data centre.
func orders(s *State, now clock.Millis, v duty.View) map[unit.DataCentre]int {
	var out op.List
	s.Advance(now, v, &out)
	got := make(map[unit.DataCentre]int)
	for _, e := range out {
		o := e.(op.OrderTargets).Order
		got[o.DataCentre] = o.Count
	}
	return got
}

func TestPoolsScaleUpToUnfinishedItems(t *testing.T) {
	tests := map[string]struct {
		items int
		want  map[unit.DataCentre]int
	}{
		"enough":          {16, nil},
		"one more":        {17, map[unit.DataCentre]int{"south": 3}},
		"both":            {24, map[unit.DataCentre]int{"north": 3, "south": 3}},
		"above the limit": {400, map[unit.DataCentre]int{"north": 5, "south": 5}},
		"no items":        {0, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s, v := newFixture(tt.items)
			if got := orders(s, 100, v); fmt.Sprint(got) != fmt.Sprint(tt.want) && len(got)+len(tt.want) > 0 {
				t.Errorf("ordered %v, want %v", got, tt.want)
			}
		})
	}
}

func TestOneOrderInFlightAtATime(t *testing.T) {
	s, v := newFixture(24)
	orders(s, 100, v)
	if got := orders(s, 150, v); len(got) != 0 {
		t.Errorf("ordered %v while the first orders are in flight", got)
	}
	tests := map[string]struct {
		result op.Result
		after  clock.Millis
	}{
		"taken":       {op.Done, 4000 + targetDiscoveryLag},
		"no capacity": {op.Conflict, noCapacityRetryDelay},
		"unknown":     {op.Lost, unknownRetryDelay},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s, v := newFixture(24)
			orders(s, 100, v)
			for _, dc := range []unit.DataCentre{"north", "south"} {
				s.Reduce(200, op.TargetsOrdered{Pool: "p", DataCentre: dc, Result: tt.result}, v, &op.List{})
			}
			if got := orders(s, 200+tt.after-1, v); len(got) != 0 {
				t.Errorf("ordered %v too early", got)
			}
			if got := orders(s, 200+tt.after, v); len(got) != 2 {
				t.Errorf("ordered %v after the delay, want orders for both data centres", got)
			}
		})
	}
}

func TestNoOrdersWithoutLease(t *testing.T) {
	s, v := newFixture(24)
	v.Fence = 0
	if got := orders(s, 100, v); len(got) != 0 {
		t.Errorf("ordered %v", got)
	}
	v.Fence, v.Until = 1, 100+duty.SendTimeout
	if got := orders(s, 100, v); len(got) != 0 {
		t.Errorf("ordered %v although the lease is about to end", got)
	}
}

func TestLostTargetIsReplaced(t *testing.T) {
	s, v := newFixture(16)
	orders(s, 100, v)
	v.Roster.Remove(200, "t0")
	v.Demands = nil
	if got := orders(s, 300, v); got["north"] != 2 {
		t.Errorf("ordered %v after a target was lost, want 2 in north", got)
	}
	if got := orders(s, 300+peakRetention, v); len(got) != 0 {
		t.Errorf("ordered %v after the peak expired", got)
	}
}

func BenchmarkAdvance(b *testing.B) {
	s, v := newFixture(16)
	for b.Loop() {
		var out op.List
		s.Advance(100, v, &out)
	}
}
