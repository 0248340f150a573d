package roll

import (
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
	// sendTime bounds how long an order may take to be written.
	sendTime clock.Millis = 500
	// busyPause is the pause after a target that has another order to finish.
	busyPause clock.Millis = 300
	// lostPause is the pause after an order whose fate is unknown.
	lostPause clock.Millis = 700
	// loadTime is how long an accepted load may stay invisible before it is
	// ordered again: the load itself, and the lag of the target's entry.
	loadTime clock.Millis = 4 * clock.Second
	// loadsAtOnce is how many targets of a model load at the same time; more
	// make each load slower.
	loadsAtOnce = 2
)

// State is the versions wanted and the orders under way.
type State struct {
	Wanted map[unit.Model]unit.Version
	// Assigned is the model of each target, while it is a target.
	Assigned map[unit.Target]unit.Model
	orders   map[unit.Target]*order
}

type order struct {
	model   unit.Model
	version unit.Version
	// sending is set until the call ended; accepted once the target took it.
	sending, accepted bool
	// again is when another order may be sent.
	again clock.Millis
}

// View is what decisions on versions rest on. Fence is 0 without the lease.
type View struct {
	Roster *roster.State
	Table  *route.Table
	Self   unit.Instance
	Fence  unit.Fence
	Until  clock.Millis
}

// Reduce handles named versions and the ends of orders.
func (s *State) Reduce(now clock.Millis, ev op.Event, v View, out *op.List) {
	switch e := ev.(type) {
	case op.VersionWanted:
		if s.Wanted == nil {
			s.Wanted = make(map[unit.Model]unit.Version)
		}
		s.Wanted[e.Model] = max(s.Wanted[e.Model], e.Version)
	case op.OrderEnded:
		s.ended(now, e)
	}
	s.Advance(now, v, out)
}

func (s *State) ended(now clock.Millis, e op.OrderEnded) {
	o := s.orders[e.Target]
	if o == nil || o.model != e.Model || o.version != e.Version {
		return
	}
	o.sending = false
	switch e.Result {
	case op.Done:
		o.accepted, o.again = true, now+loadTime
	case op.Conflict:
		o.again = now + busyPause
	default:
		o.again = now + lostPause
	}
}

// Advance orders what may be ordered now.
func (s *State) Advance(now clock.Millis, v View, out *op.List) {
	if v.Table == nil || v.Fence == 0 || now+sendTime >= v.Until {
		s.forget()
		return
	}
	for _, pool := range slices.Sorted(maps.Keys(v.Table.Pools)) {
		rule := v.Table.Pools[pool]
		if len(rule.Models) > 0 {
			s.assign(v.Roster.Usable(pool), rule.Models)
			s.order(now, v.Roster.Usable(pool), v, out)
		}
	}
}

// forget drops orders once the lease is gone; the next holder looks anew.
func (s *State) forget() {
	s.Assigned, s.orders = nil, nil
}

// assign gives each target a model and keeps the shares even. A target that
// has none goes to the model whose newest version it has, then to the one with
// the fewest targets.
func (s *State) assign(targets []*roster.Target, models []unit.Model) {
	if s.Assigned == nil {
		s.Assigned = make(map[unit.Target]unit.Model)
		s.orders = make(map[unit.Target]*order)
	}
	count := make(map[unit.Model]int)
	live := make(map[unit.Target]bool)
	for _, t := range targets {
		live[t.Target] = true
		if m, ok := s.Assigned[t.Target]; ok && slices.Contains(models, m) {
			count[m]++
		}
	}
	for id := range s.Assigned {
		if !live[id] {
			delete(s.Assigned, id)
			delete(s.orders, id)
		}
	}
	most := (len(targets) + len(models) - 1) / len(models)
	for _, t := range targets {
		if _, ok := s.Assigned[t.Target]; ok {
			continue
		}
		m := s.home(t, models, count, most)
		s.Assigned[t.Target] = m
		count[m]++
	}
	s.even(targets, models, count)
}

func (s *State) home(t *roster.Target, models []unit.Model, count map[unit.Model]int, most int) unit.Model {
	var best unit.Model
	for _, m := range models {
		w := s.Wanted[m]
		if w > 1 && t.VersionOf(m) == w && count[m] < most {
			return m
		}
		if best == "" || count[m] < count[best] {
			best = m
		}
	}
	return best
}

// even moves a target from the largest share to the smallest while they differ
// by two or more.
func (s *State) even(targets []*roster.Target, models []unit.Model, count map[unit.Model]int) {
	for {
		least, most := models[0], models[0]
		for _, m := range models {
			if count[m] < count[least] {
				least = m
			}
			if count[m] > count[most] {
				most = m
			}
		}
		if count[most]-count[least] < 2 {
			return
		}
		i := slices.IndexFunc(targets, func(t *roster.Target) bool { return s.Assigned[t.Target] == most })
		s.Assigned[targets[i].Target] = least
		count[most]--
		count[least]++
	}
}

func (s *State) order(now clock.Millis, targets []*roster.Target, v View, out *op.List) {
	loading := make(map[unit.Model]int)
	for _, t := range targets {
		o := s.orders[t.Target]
		if o == nil {
			continue
		}
		if t.VersionOf(o.model) >= o.version {
			delete(s.orders, t.Target)
			continue
		}
		if o.sending || now < o.again {
			loading[o.model]++
		}
	}
	for _, t := range targets {
		m := s.Assigned[t.Target]
		w := s.Wanted[m]
		o := s.orders[t.Target]
		if t.VersionOf(m) >= w || loading[m] >= loadsAtOnce || o != nil && (o.sending || now < o.again) {
			continue
		}
		s.orders[t.Target] = &order{model: m, version: w, sending: true}
		loading[m]++
		out.Add(op.OrderVersion{Order: platform.VersionOrder{
			Target: t.Target, Address: t.Address, Model: m, Version: w,
			Holder: v.Self, Fence: v.Fence, SendBefore: min(v.Until, now+sendTime),
		}})
	}
}
