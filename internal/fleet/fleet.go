package fleet

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
	// readEvery is the time between reads of a data centre's intents.
	readEvery clock.Millis = clock.Second
	// listLag is how long the list may lack the effect of an order.
	listLag clock.Millis = 60 * clock.Second
)

// Scope returns the lease for ordering in a data centre.
func Scope(dc unit.DataCentre) unit.Scope { return unit.Scope("orders." + string(dc)) }

// State is the orders of all data centres this instance holds.
type State struct {
	Centres map[unit.DataCentre]*Centre
}

// Centre is the orders of one data centre under one grant of its lease.
type Centre struct {
	Fence    unit.Fence
	Intents  []op.Intent
	Revision unit.Revision
	// Known is set once the intents were read under this grant.
	Known bool
	// Calling is set while a read or write of intents is under way.
	Calling bool
	ReadAt  clock.Millis
	// Sending holds the ids of orders on their way.
	Sending map[string]bool
	// Taken holds ids that the platform took and when this was first known.
	Taken map[string]clock.Millis
	// Serial numbers the intents made under this grant.
	Serial int
}

// Grant is a data centre's lease as it is held.
type Grant struct {
	DataCentre unit.DataCentre
	Fence      unit.Fence
	Until      clock.Millis
}

// View is what fleet needs to know of the rest.
type View struct {
	// Grants are the leases held now.
	Grants []Grant
	// Listed are the targets of the platform's list.
	Listed []platform.TargetState
	Pools  map[unit.Pool]spec.Pool
}

// Reduce drives the orders of the data centres whose lease is held.
func (s *State) Reduce(now clock.Millis, ev op.Event, v View, out *op.List) {
	s.adopt(v)
	switch e := ev.(type) {
	case op.Tick:
		for _, g := range v.Grants {
			s.tick(now, g, v, out)
		}
	case op.IntentsRead:
		if c := s.Centres[e.DataCentre]; c != nil {
			c.Calling = false
			if e.Result == op.Done {
				c.Known, c.Intents, c.Revision = true, e.Intents, e.Revision
				c.learn(now)
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

// adopt starts anew for each new grant and drops what is no longer held.
func (s *State) adopt(v View) {
	if s.Centres == nil {
		s.Centres = make(map[unit.DataCentre]*Centre)
	}
	held := make(map[unit.DataCentre]bool)
	for _, g := range v.Grants {
		held[g.DataCentre] = true
		if c := s.Centres[g.DataCentre]; c == nil || c.Fence != g.Fence {
			s.Centres[g.DataCentre] = &Centre{
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

func (s *State) tick(now clock.Millis, g Grant, v View, out *op.List) {
	c := s.Centres[g.DataCentre]
	if c.Calling {
		return
	}
	if !c.Known || now >= c.ReadAt {
		c.Calling = true
		c.ReadAt = now + readEvery
		out.Add(op.ReadIntents{DataCentre: g.DataCentre})
		return
	}
	next := append(c.open(now, v), c.wanted(g, v)...)
	if !slices.Equal(next, c.Intents) {
		c.Calling = true
		out.Add(op.WriteIntents{DataCentre: g.DataCentre, Intents: next, IfRev: c.Revision})
		return
	}
	c.send(now, g, out)
}

// send sends every open intent that is not on its way.
func (c *Centre) send(now clock.Millis, g Grant, out *op.List) {
	for _, x := range c.Intents {
		if c.Sending[x.ID] || x.Taken {
			continue
		}
		c.Sending[x.ID] = true
		out.Add(op.SendOrder{Order: platform.Order{
			ID: x.ID, Kind: x.Kind, Target: x.Target, Pool: x.Pool, DataCentre: g.DataCentre,
			Fence: g.Fence, SendBefore: min(g.Until, now+lease.OrderTime),
		}})
	}
}

// learn notes when taken orders were first known.
func (c *Centre) learn(now clock.Millis) {
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

// open returns the intents whose effect does not show yet, with what is known
// of them.
func (c *Centre) open(now clock.Millis, v View) []op.Intent {
	listed := make(map[unit.Target]bool)
	for _, t := range v.Listed {
		listed[t.Target] = !t.Leaving
	}
	var out []op.Intent
	for _, x := range c.Intents {
		at, taken := c.Taken[x.ID]
		x.Taken = x.Taken || taken
		shows := listed[x.Target] == (x.Kind == platform.Start)
		if x.Taken && (shows || now-at >= listLag) {
			continue
		}
		out = append(out, x)
	}
	return out
}

// wanted returns the intents that bring pools to their counts.
func (c *Centre) wanted(g Grant, v View) []op.Intent {
	var out []op.Intent
	for _, name := range slices.Sorted(maps.Keys(v.Pools)) {
		for _, n := range v.Pools[name].Counts {
			if n.DataCentre == g.DataCentre {
				out = append(out, c.balance(g, name, n.Targets, v)...)
			}
		}
	}
	return out
}

// balance starts or stops targets of one pool that were started by the
// system, which their names show. Open intents count as carried out.
func (c *Centre) balance(g Grant, pool unit.Pool, want int, v View) []op.Intent {
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
		out = append(out, c.intent(g, platform.Stop, present[i], pool))
	}
	for len(present)+len(out) < want {
		name := fmt.Sprintf("%s%d.%d", prefix, g.Fence, c.Serial+1)
		out = append(out, c.intent(g, platform.Start, unit.Target(name), pool))
	}
	return out
}

// intent makes an intent with an id that no other grant can make.
func (c *Centre) intent(g Grant, k platform.OrderKind, t unit.Target, pool unit.Pool) op.Intent {
	c.Serial++
	return op.Intent{
		ID:   fmt.Sprintf("%s.%s.%d.%d", k, t, g.Fence, c.Serial),
		Kind: k, Target: t, Pool: pool,
	}
}
