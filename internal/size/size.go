package size

import (
	"cmp"
	"maps"
	"slices"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/internal/roster"
	"github.com/catkinhead/catkinhead/internal/route"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// peakFor is how long the most items that were open at once count: several
	// steps of a trainer.
	peakFor = 20 * clock.Second
	// sendTime bounds how long an order may take to be written.
	sendTime clock.Millis = 500
	// listLag is how long after its start a new target may be unknown here.
	listLag = 3 * clock.Second
	// dryPause is the pause after an order that could not be met, lostPause after
	// one whose fate is unknown.
	dryPause  = 4 * clock.Second
	lostPause = clock.Second
)

// subject is what one order is about.
type subject struct {
	pool unit.Pool
	dc   unit.DataCentre
}

// peak is the most items of a pool that were open at once.
type peak struct {
	items int
	at    clock.Millis
}

// order is the last order of a subject.
type order struct {
	busy bool
	// again is when another may be sent.
	again clock.Millis
}

// State is the demand that was seen and the orders that were sent.
type State struct {
	peaks  map[unit.Pool]peak
	orders map[subject]*order
}

// View is what decisions on sizes rest on. Fence is 0 without the lease.
type View struct {
	Roster  *roster.State
	Table   *route.Table
	Self    unit.Instance
	Fence   unit.Fence
	Until   clock.Millis
	Demands []op.Demand
}

// Reduce handles the ends of orders.
func (s *State) Reduce(now clock.Millis, ev op.Event, v View, out *op.List) {
	if e, ok := ev.(op.SizeOrdered); ok {
		s.ended(now, e, v)
	}
	s.Advance(now, v, out)
}

func (s *State) ended(now clock.Millis, e op.SizeOrdered, v View) {
	o := s.orders[subject{e.Pool, e.DataCentre}]
	if o == nil {
		return
	}
	o.busy = false
	switch e.Result {
	case op.Done:
		o.again = now + listLag
		if v.Table != nil {
			if rule := v.Table.Pools[e.Pool]; rule.Scaling != nil {
				o.again += rule.Scaling.BootAfter
			}
		}
	case op.Conflict:
		o.again = now + dryPause
	default:
		o.again = now + lostPause
	}
}

// Advance orders what is lacking.
func (s *State) Advance(now clock.Millis, v View, out *op.List) {
	if v.Table == nil || v.Fence == 0 || now+sendTime >= v.Until {
		s.peaks, s.orders = nil, nil
		return
	}
	if s.orders == nil {
		s.peaks, s.orders = make(map[unit.Pool]peak), make(map[subject]*order)
	}
	for _, pool := range slices.Sorted(maps.Keys(v.Table.Pools)) {
		if rule := v.Table.Pools[pool]; rule.Scaling != nil && rule.Slots > 0 {
			s.grow(now, rule, v, out)
		}
	}
}

func (s *State) grow(now clock.Millis, rule platform.PoolRule, v View, out *op.List) {
	have := make(map[unit.DataCentre]int)
	for _, t := range v.Roster.Usable(rule.Name) {
		if !t.Spot {
			have[t.DataCentre]++
		}
	}
	total := Targets(s.peak(now, rule, v.Demands), rule)
	for dc, want := range Spread(total, have, rule.Scaling) {
		if have[dc] >= want {
			continue
		}
		o := s.orders[subject{rule.Name, dc}]
		if o != nil && (o.busy || now < o.again) {
			continue
		}
		s.orders[subject{rule.Name, dc}] = &order{busy: true}
		out.Add(op.OrderSize{Order: platform.SizeOrder{
			Pool: rule.Name, DataCentre: dc, Count: want, Holder: v.Self, Fence: v.Fence, SendBefore: min(v.Until, now+sendTime),
		}})
	}
}

// peak returns the most items of a pool that were open at once lately.
func (s *State) peak(now clock.Millis, rule platform.PoolRule, demands []op.Demand) int {
	items := 0
	for _, d := range demands {
		if slices.Contains(rule.Models, d.Model) {
			items += d.Open
		}
	}
	p := s.peaks[rule.Name]
	if items >= p.items || now > p.at+peakFor {
		p = peak{items, now}
		s.peaks[rule.Name] = p
	}
	return p.items
}

// Targets returns how many targets a number of items fills.
func Targets(items int, rule platform.PoolRule) int {
	return (items + rule.Slots - 1) / rule.Slots
}

// Spread shares targets out among the data centres in which a pool runs, within
// the bounds of each; the cheaper ones get what does not divide evenly.
func Spread(total int, have map[unit.DataCentre]int, rule *platform.Scaling) map[unit.DataCentre]int {
	dcs := slices.Collect(maps.Keys(have))
	slices.SortFunc(dcs, func(a, b unit.DataCentre) int {
		return cmp.Or(cmp.Compare(rule.Prices[a], rule.Prices[b]), cmp.Compare(a, b))
	})
	out := make(map[unit.DataCentre]int, len(dcs))
	for i, dc := range dcs {
		share := total / len(dcs)
		if i < total%len(dcs) {
			share++
		}
		out[dc] = min(max(share, rule.Min), rule.Max)
	}
	return out
}
