package scaling

import (
	"cmp"
	"maps"
	"slices"

	"github.com/catkinhead/catkinhead/internal/duty"
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// peakRetention is how long a peak of unfinished items is remembered: several
	// steps of a trainer.
	peakRetention = 20 * clock.Second
	// targetDiscoveryLag is how long after its start a new target may still be
	// unknown to this instance.
	targetDiscoveryLag = 3 * clock.Second
	// noCapacityRetryDelay is the retry delay after an order for which the platform
	// has no capacity.
	noCapacityRetryDelay = 4 * clock.Second
	// unknownRetryDelay is the retry delay after an order whose outcome is unknown.
	unknownRetryDelay = clock.Second
)

// poolPart identifies the part of a pool in one data centre, which has its own
// orders.
type poolPart struct {
	pool unit.Pool
	dc   unit.DataCentre
}

// peak is the highest recent number of unfinished items for a pool, and when it
// was seen.
type peak struct {
	items int
	at    clock.Millis
}

// order is the last order for a pool in a data centre.
type order struct {
	// inFlight is set while the call is in flight.
	inFlight bool
	// retryAt is when the next order may be sent.
	retryAt clock.Millis
}

// State holds the recent peaks of demand and the last orders.
type State struct {
	peaks  map[unit.Pool]peak
	orders map[poolPart]*order
}

// Reduce applies the end of an order, then sends the orders that are due.
func (s *State) Reduce(now clock.Millis, ev op.Event, v duty.View, out *op.List) {
	if e, ok := ev.(op.TargetsOrdered); ok {
		s.orderEnded(now, e, v)
	}
	s.Advance(now, v, out)
}

// orderEnded sets when the next order may be sent. After a success, that is when
// the new targets should have started and this instance should know them.
func (s *State) orderEnded(now clock.Millis, e op.TargetsOrdered, v duty.View) {
	o := s.orders[poolPart{e.Pool, e.DataCentre}]
	if o == nil {
		return
	}
	o.inFlight = false
	switch e.Result {
	case op.Done:
		o.retryAt = now + targetDiscoveryLag
		if v.Table != nil {
			if rule := v.Table.Pools[e.Pool]; rule.Scaling != nil {
				o.retryAt += rule.Scaling.BootAfter
			}
		}
	case op.Conflict:
		o.retryAt = now + noCapacityRetryDelay
	default:
		o.retryAt = now + unknownRetryDelay
	}
}

// Advance sends orders for the pools that have too few targets. Without the lease
// or a configuration, or shortly before the lease ends, it only resets the state.
func (s *State) Advance(now clock.Millis, v duty.View, out *op.List) {
	if v.Table == nil || !v.CanSend(now) {
		s.peaks, s.orders = nil, nil
		return
	}
	if s.orders == nil {
		s.peaks, s.orders = make(map[unit.Pool]peak), make(map[poolPart]*order)
	}
	for _, pool := range slices.Sorted(maps.Keys(v.Table.Pools)) {
		if rule := v.Table.Pools[pool]; rule.Scaling != nil && rule.Slots > 0 {
			s.scaleUp(now, rule, v, out)
		}
	}
}

// scaleUp sends orders for the data centres in which a pool has too few targets.
// Spot targets do not count, and a data centre that has no other usable target of
// the pool gets no order.
func (s *State) scaleUp(now clock.Millis, rule platform.PoolRule, v duty.View, out *op.List) {
	have := make(map[unit.DataCentre]int)
	for _, t := range v.Roster.Usable(rule.Name) {
		if !t.Spot {
			have[t.DataCentre]++
		}
	}
	total := targetsFor(s.recentPeak(now, rule, v.Demands), rule)
	for dc, want := range spread(total, have, rule.Scaling) {
		if have[dc] >= want {
			continue
		}
		o := s.orders[poolPart{rule.Name, dc}]
		if o != nil && (o.inFlight || now < o.retryAt) {
			continue
		}
		s.orders[poolPart{rule.Name, dc}] = &order{inFlight: true}
		out.Add(op.OrderTargets{Order: platform.SizeOrder{
			Pool: rule.Name, DataCentre: dc, Count: want, Holder: v.Self, Fence: v.Fence, SendBefore: v.SendBefore(now),
		}})
	}
}

// recentPeak updates and returns the peak of unfinished items for a pool. The
// peak is replaced by the present number if that is not lower, or once the peak is
// older than peakRetention.
func (s *State) recentPeak(now clock.Millis, rule platform.PoolRule, demands []op.Demand) int {
	items := 0
	for _, d := range demands {
		if slices.Contains(rule.Models, d.Model) {
			items += d.Open
		}
	}
	p := s.peaks[rule.Name]
	if items >= p.items || now > p.at+peakRetention {
		p = peak{items, now}
		s.peaks[rule.Name] = p
	}
	return p.items
}

// targetsFor returns how many targets have enough slots for a number of items.
func targetsFor(items int, rule platform.PoolRule) int {
	return (items + rule.Slots - 1) / rule.Slots
}

// spread divides a number of targets evenly among the data centres in have, with
// the remainder in the cheaper ones, and limits each share to the bounds of the
// rule.
func spread(total int, have map[unit.DataCentre]int, rule *platform.Scaling) map[unit.DataCentre]int {
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
