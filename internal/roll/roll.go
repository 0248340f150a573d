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
	// leastLoads is how many targets of a pool may load at the same time; a
	// large pool may load one in loadsPart. More make each load slower.
	leastLoads = 2
	loadsPart  = 5
	// jobLag is how long after a version was named the job that comes with it
	// may be unknown here.
	jobLag clock.Millis = 400
	// deferMost is how long a load waits for items that the target could still
	// take under the version that it has.
	deferMost clock.Millis = 3 * clock.Second
)

// State is the versions wanted and the orders under way.
type State struct {
	Wanted map[unit.Model]unit.Version
	// Assigned is the model of each target, while it is a target.
	Assigned map[unit.Target]unit.Model
	orders   map[unit.Target]*order
	// namedAt is when the version wanted of a model rose last; strict models
	// have jobs that take no older version.
	namedAt map[unit.Model]clock.Millis
	strict  map[unit.Model]bool
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
	// Demands are what the jobs of all instances wait for.
	Demands []op.Demand
}

// Reduce handles named versions and the ends of orders.
func (s *State) Reduce(now clock.Millis, ev op.Event, v View, out *op.List) {
	switch e := ev.(type) {
	case op.VersionWanted:
		if s.Wanted == nil {
			s.Wanted = make(map[unit.Model]unit.Version)
			s.namedAt = make(map[unit.Model]clock.Millis)
			s.strict = make(map[unit.Model]bool)
		}
		if e.Version > s.Wanted[e.Model] {
			s.Wanted[e.Model], s.namedAt[e.Model] = e.Version, now
		}
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

// order sends the orders that are due, those that jobs wait for first.
func (s *State) order(now clock.Millis, targets []*roster.Target, v View, out *op.List) {
	loading := s.settle(now, targets)
	most := max(leastLoads, len(targets)/loadsPart)
	for _, must := range []bool{true, false} {
		for _, t := range targets {
			if loading >= most {
				return
			}
			m := s.Assigned[t.Target]
			if o := s.orders[t.Target]; o != nil && (o.sending || now < o.again) {
				continue
			}
			if !s.due(now, t, m, targets, must, v) {
				continue
			}
			s.orders[t.Target] = &order{model: m, version: s.Wanted[m], sending: true}
			loading++
			out.Add(op.OrderVersion{Order: platform.VersionOrder{
				Target: t.Target, Address: t.Address, Model: m, Version: s.Wanted[m],
				Holder: v.Self, Fence: v.Fence, SendBefore: min(v.Until, now+sendTime),
			}})
		}
	}
}

// settle drops the orders that are carried out, and counts those under way.
func (s *State) settle(now clock.Millis, targets []*roster.Target) int {
	loading := 0
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
			loading++
		}
	}
	return loading
}

// due tells whether a target should load the version wanted of its model now.
//
// A job takes versions that are up to the slack older than the newest. A target
// that the next job could not use must load. Of the others half do, one after
// another and once no item waits: so at each change half of the targets can
// take the new job at once, and only half of the loads are made.
func (s *State) due(now clock.Millis, t *roster.Target, m unit.Model, targets []*roster.Target, must bool, v View) bool {
	wanted := s.Wanted[m]
	has := t.VersionOf(m)
	if has >= wanted {
		return false
	}
	demand := s.demand(m, v)
	s.learn(now, m, demand)
	if has+s.slackOf(m) < wanted || has < demand.MinWaiting {
		return must
	}
	if must || now < s.namedAt[m]+jobLag {
		return false
	}
	newest, all := 0, 0
	for _, o := range targets {
		if s.Assigned[o.Target] != m {
			continue
		}
		all++
		if u := s.orders[o.Target]; o.VersionOf(m) >= wanted || u != nil && u.version >= wanted {
			newest++
		}
	}
	if newest >= (all+1)/2 {
		return false
	}
	return demand.Waiting == 0 || now >= s.namedAt[m]+deferMost
}

// demand adds up what the jobs of a model wait for.
func (s *State) demand(m unit.Model, v View) op.Demand {
	sum := op.Demand{Model: m}
	for _, d := range v.Demands {
		if d.Model != m {
			continue
		}
		sum.Waiting += d.Waiting
		sum.MinWaiting = max(sum.MinWaiting, d.MinWaiting)
		sum.Newest = max(sum.Newest, d.Newest)
	}
	return sum
}

// learn notes whether the jobs of a model take the newest version only. It
// looks once the job that comes with a version is surely known.
func (s *State) learn(now clock.Millis, m unit.Model, d op.Demand) {
	if d.Newest > 1 && now >= s.namedAt[m]+2*jobLag {
		s.strict[m] = d.Newest >= s.Wanted[m]
	}
}

// slackOf returns how many versions older than the newest the next job takes.
func (s *State) slackOf(m unit.Model) unit.Version {
	if s.strict[m] {
		return 0
	}
	return 1
}
