package provision

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/catkinhead/catkinhead/internal/lease"
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/spec"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// intentReadInterval is the time between reads of a data centre's intents.
	intentReadInterval clock.Millis = clock.Second
	// maxListLag is the longest time until the platform's list shows the effect
	// of an accepted order.
	maxListLag clock.Millis = 60 * clock.Second
)

// LeaseScope returns the lease whose holder sends the orders of a data centre.
func LeaseScope(dc unit.DataCentre) unit.Scope { return unit.Scope("orders." + string(dc)) }

// State holds the orders of all data centres whose lease this instance holds.
type State struct {
	Centres map[unit.DataCentre]*DataCentreOrders
}

// DataCentreOrders holds the orders of one data centre during one grant of its
// lease.
type DataCentreOrders struct {
	// Fence is the fencing token of the grant.
	Fence unit.Fence
	// Intents are the stored intents as last read, and Revision the revision of
	// the object that holds them.
	Intents  []op.Intent
	Revision unit.Revision
	// Known is set if the intents have been read since the grant and since the
	// last write.
	Known bool
	// Calling is set while a read or write of intents is in flight. ReadAt is
	// the time of the next read.
	Calling bool
	ReadAt  clock.Millis
	// Sending holds the IDs of orders in flight.
	Sending map[string]bool
	// Taken holds the IDs of orders that the platform has accepted, and when
	// this instance learned of it.
	Taken map[string]clock.Millis
	// Serial counts the intents created during this grant, stored or not.
	Serial int
}

// HeldLease is the lease of a data centre, held by this instance until Until.
type HeldLease struct {
	DataCentre unit.DataCentre
	Fence      unit.Fence
	Until      clock.Millis
}

// View holds the inputs from other packages.
type View struct {
	// HeldLeases are the leases that this instance holds.
	HeldLeases []HeldLease
	// Listed are the targets in the platform's list.
	Listed []platform.TargetState
	// Pools are the configured pools, whose Counts say how many targets to run
	// in each data centre.
	Pools map[unit.Pool]spec.Pool
}

// Reduce handles the orders of the data centres whose lease this instance
// holds.
func (s *State) Reduce(now clock.Millis, ev op.Event, v View, out *op.List) {
	s.syncGrants(v)
	switch e := ev.(type) {
	case op.Tick:
		for _, g := range v.HeldLeases {
			s.tick(now, g, v, out)
		}
	case op.IntentsRead:
		if c := s.Centres[e.DataCentre]; c != nil {
			c.Calling = false
			if e.Result == op.Done {
				c.Known, c.Intents, c.Revision = true, e.Intents, e.Revision
				c.updateTaken(now)
			}
		}
	case op.IntentsWritten:
		if c := s.Centres[e.DataCentre]; c != nil {
			c.Calling, c.Known, c.ReadAt = false, false, now
		}
	case op.OrderSent:
		if c := s.Centres[e.DataCentre]; c != nil {
			delete(c.Sending, e.ID)
			if e.Result == op.Done {
				c.Taken[e.ID] = now
			}
		}
	}
}

// syncGrants creates empty state for each new grant and deletes the state of
// grants that are no longer held.
func (s *State) syncGrants(v View) {
	if s.Centres == nil {
		s.Centres = make(map[unit.DataCentre]*DataCentreOrders)
	}
	held := make(map[unit.DataCentre]bool)
	for _, g := range v.HeldLeases {
		held[g.DataCentre] = true
		if c := s.Centres[g.DataCentre]; c == nil || c.Fence != g.Fence {
			s.Centres[g.DataCentre] = &DataCentreOrders{
				Fence: g.Fence, Sending: make(map[string]bool),
				Taken: make(map[string]clock.Millis),
			}
		}
	}
	for dc := range s.Centres {
		if !held[dc] {
			delete(s.Centres, dc)
		}
	}
}

// tick takes the next action for a data centre: it reads the intents, writes
// them if they have to change, or sends the orders of pending intents.
func (s *State) tick(now clock.Millis, g HeldLease, v View, out *op.List) {
	c := s.Centres[g.DataCentre]
	if c.Calling {
		return
	}
	if !c.Known || now >= c.ReadAt {
		c.Calling = true
		c.ReadAt = now + intentReadInterval
		out.Add(op.ReadIntents{DataCentre: g.DataCentre})
		return
	}
	next := append(c.pendingIntents(now, v), c.newIntents(g, v)...)
	if !slices.Equal(next, c.Intents) {
		c.Calling = true
		out.Add(op.WriteIntents{DataCentre: g.DataCentre, Intents: next, IfRev: c.Revision})
		return
	}
	c.sendOrders(now, g, out)
}

// sendOrders sends the order of every intent that the platform has not accepted
// and that is not in flight.
func (c *DataCentreOrders) sendOrders(now clock.Millis, g HeldLease, out *op.List) {
	for _, x := range c.Intents {
		if c.Sending[x.ID] || x.Taken {
			continue
		}
		c.Sending[x.ID] = true
		out.Add(op.SendOrder{Order: platform.Order{
			ID: x.ID, Kind: x.Kind, Target: x.Target, Pool: x.Pool, DataCentre: g.DataCentre,
			Fence: g.Fence, SendBefore: min(g.Until, now+lease.MaxOrderTime),
		}})
	}
}

// updateTaken rebuilds Taken for the stored intents, keeping the times already
// known.
func (c *DataCentreOrders) updateTaken(now clock.Millis) {
	taken := make(map[string]clock.Millis)
	for _, x := range c.Intents {
		at, ok := c.Taken[x.ID]
		switch {
		case ok:
			taken[x.ID] = at
		case x.Taken:
			taken[x.ID] = now
		}
	}
	c.Taken = taken
}

// pendingIntents returns the intents to keep, with Taken up to date. An intent
// is dropped once the platform has accepted it and either its list shows the
// effect or maxListLag has passed.
func (c *DataCentreOrders) pendingIntents(now clock.Millis, v View) []op.Intent {
	listed := make(map[unit.Target]bool)
	for _, t := range v.Listed {
		listed[t.Target] = !t.Leaving
	}
	var out []op.Intent
	for _, x := range c.Intents {
		at, taken := c.Taken[x.ID]
		x.Taken = x.Taken || taken
		visible := listed[x.Target] == (x.Kind == platform.Start)
		if x.Taken && (visible || now-at >= maxListLag) {
			continue
		}
		out = append(out, x)
	}
	return out
}

// newIntents returns the additional intents that bring the pools to their
// configured target counts.
func (c *DataCentreOrders) newIntents(g HeldLease, v View) []op.Intent {
	var out []op.Intent
	for _, name := range slices.Sorted(maps.Keys(v.Pools)) {
		for _, n := range v.Pools[name].Counts {
			if n.DataCentre == g.DataCentre {
				out = append(out, c.scalePool(g, name, n.Targets, v)...)
			}
		}
	}
	return out
}

// scalePool returns the intents that bring a pool to the wanted number of
// targets. It counts and stops only targets that were started by this function,
// which it recognises by their name prefix. Stored intents count as already
// carried out.
func (c *DataCentreOrders) scalePool(g HeldLease, pool unit.Pool, want int, v View) []op.Intent {
	prefix := fmt.Sprintf("%s-%s-", pool, g.DataCentre)
	have := make(map[unit.Target]bool)
	for _, t := range v.Listed {
		if t.Pool == pool && strings.HasPrefix(string(t.Target), prefix) && !t.Leaving {
			have[t.Target] = true
		}
	}
	for _, x := range c.Intents {
		if x.Pool != pool || !strings.HasPrefix(string(x.Target), prefix) {
			continue
		}
		if x.Kind == platform.Start {
			have[x.Target] = true
		} else {
			delete(have, x.Target)
		}
	}
	present := slices.Sorted(maps.Keys(have))
	var out []op.Intent
	for i := len(present) - 1; i >= want; i-- {
		out = append(out, c.newIntent(g, platform.Stop, present[i], pool))
	}
	for len(present)+len(out) < want {
		name := fmt.Sprintf("%s%d.%d", prefix, g.Fence, c.Serial+1)
		out = append(out, c.newIntent(g, platform.Start, unit.Target(name), pool))
	}
	return out
}

// newIntent creates an intent. Its ID contains the fencing token, so no other
// grant can create the same ID.
func (c *DataCentreOrders) newIntent(g HeldLease, k platform.OrderKind, t unit.Target, pool unit.Pool) op.Intent {
	c.Serial++
	return op.Intent{
		ID:   fmt.Sprintf("%s.%s.%d.%d", k, t, g.Fence, c.Serial),
		Kind: k, Target: t, Pool: pool,
	}
}
