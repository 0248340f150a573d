package size

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

// world has a pool of two targets with four slots in each of two data centres.
func world(items int) (*State, View) {
	v := View{
		Roster: &roster.State{}, Self: "a", Fence: 1, Until: 1 << 40,
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
		v.Roster.Changed(0, platform.TargetEntry{Target: unit.Target(fmt.Sprint("t", i)), Pool: "p", DataCentre: dc, Slots: 4})
	}
	return &State{}, v
}

func orders(s *State, now clock.Millis, v View) map[unit.DataCentre]int {
	var out op.List
	s.Advance(now, v, &out)
	got := make(map[unit.DataCentre]int)
	for _, e := range out {
		o := e.(op.OrderSize).Order
		got[o.DataCentre] = o.Count
	}
	return got
}

func TestPoolsGrowToWhatIsOpenAtOnce(t *testing.T) {
	tests := map[string]struct {
		items int
		want  map[unit.DataCentre]int
	}{
		"enough":             {16, nil},
		"one more":           {17, map[unit.DataCentre]int{"south": 3}},
		"both":               {24, map[unit.DataCentre]int{"north": 3, "south": 3}},
		"beyond what may be": {400, map[unit.DataCentre]int{"north": 5, "south": 5}},
		"nothing to do":      {0, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s, v := world(tt.items)
			if got := orders(s, 100, v); fmt.Sprint(got) != fmt.Sprint(tt.want) && len(got)+len(tt.want) > 0 {
				t.Errorf("ordered %v, want %v", got, tt.want)
			}
		})
	}
}

func TestOneOrderAtATime(t *testing.T) {
	s, v := world(24)
	orders(s, 100, v)
	if got := orders(s, 150, v); len(got) != 0 {
		t.Errorf("ordered %v again before the first was answered", got)
	}
	tests := map[string]struct {
		result op.Result
		after  clock.Millis
	}{
		"taken":      {op.Done, 4000 + listLag},
		"none there": {op.Conflict, dryPause},
		"unknown":    {op.Lost, lostPause},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s, v := world(24)
			orders(s, 100, v)
			for _, dc := range []unit.DataCentre{"north", "south"} {
				s.Reduce(200, op.SizeOrdered{Pool: "p", DataCentre: dc, Result: tt.result}, v, &op.List{})
			}
			if got := orders(s, 200+tt.after-1, v); len(got) != 0 {
				t.Errorf("ordered %v too early", got)
			}
			if got := orders(s, 200+tt.after, v); len(got) != 2 {
				t.Errorf("ordered %v although targets still lack", got)
			}
		})
	}
}

func TestWithoutTheLeaseNothingIsOrdered(t *testing.T) {
	s, v := world(24)
	v.Fence = 0
	if got := orders(s, 100, v); len(got) != 0 {
		t.Errorf("ordered %v", got)
	}
	v.Fence, v.Until = 1, 100+sendTime
	if got := orders(s, 100, v); len(got) != 0 {
		t.Errorf("ordered %v at the end of the lease", got)
	}
}

func TestALostTargetIsReplaced(t *testing.T) {
	s, v := world(16)
	orders(s, 100, v)
	v.Roster.Removed(200, "t0")
	v.Demands = nil
	if got := orders(s, 300, v); got["north"] != 2 {
		t.Errorf("ordered %v after a target was lost", got)
	}
	if got := orders(s, 300+peakFor, v); len(got) != 0 {
		t.Errorf("ordered %v long after the last items", got)
	}
}

func BenchmarkAdvance(b *testing.B) {
	s, v := world(16)
	for b.Loop() {
		var out op.List
		s.Advance(100, v, &out)
	}
}
