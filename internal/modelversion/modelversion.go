package modelversion

import (
	"maps"
	"slices"

	"github.com/catkinhead/catkinhead/internal/duty"
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/internal/roster"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// busyRetryDelay is the retry delay after a target refused an order because it
	// is carrying out another one.
	busyRetryDelay clock.Millis = 300
	// unknownRetryDelay is the retry delay after an order whose outcome is unknown.
	unknownRetryDelay clock.Millis = 700
	// loadTimeout is how long after an accepted order the target's entry may still
	// show the old version before the order is sent again. It covers the duration
	// of the load and the lag of the entry.
	loadTimeout clock.Millis = 4 * clock.Second
	// The targets of a pool that may load at the same time are one in
	// loadsDivisor, but at least minConcurrentLoads. Each further load in parallel
	// makes all of them slower.
	minConcurrentLoads = 2
	loadsDivisor       = 5
	// jobDiscoveryLag is how long after a version was requested the job that needs
	// it may still be unknown to this instance.
	jobDiscoveryLag clock.Millis = 400
	// maxLoadDeferral is how long after a version was requested an optional load is
	// deferred while there are waiting items, which the target can still run with
	// its present version.
	maxLoadDeferral clock.Millis = 3 * clock.Second
)

// State holds the requested versions, the models assigned to targets, and the
// orders that are not carried out yet.
type State struct {
	// Wanted is the newest version that was requested of each model.
	Wanted map[unit.Model]unit.Version
	// Assigned is the model that each target is to serve. It is nil without the
	// lease.
	Assigned map[unit.Target]unit.Model
	// orders holds the last order for each target until it is carried out.
	orders map[unit.Target]*order
	// wantedSince is when the entry in Wanted was last raised.
	wantedSince map[unit.Model]clock.Millis
	// newestOnly models have jobs that accept only the newest version.
	newestOnly map[unit.Model]bool
}

// order is an order to a target to load a version of a model.
type order struct {
	model   unit.Model
	version unit.Version
	// inFlight is set while the call is in flight, accepted once the target has
	// accepted the order.
	inFlight, accepted bool
	// retryAt is when the next order may be sent to the target.
	retryAt clock.Millis
}

// Reduce applies a requested version or the end of an order, then sends the orders
// that are due.
func (s *State) Reduce(now clock.Millis, ev op.Event, v duty.View, out *op.List) {
	switch e := ev.(type) {
	case op.VersionWanted:
		if s.Wanted == nil {
			s.Wanted = make(map[unit.Model]unit.Version)
			s.wantedSince = make(map[unit.Model]clock.Millis)
			s.newestOnly = make(map[unit.Model]bool)
		}
		if e.Version > s.Wanted[e.Model] {
			s.Wanted[e.Model], s.wantedSince[e.Model] = e.Version, now
		}
	case op.VersionOrdered:
		s.orderEnded(now, e)
	}
	s.Advance(now, v, out)
}

// orderEnded records the outcome of an order, unless it is not the last one for
// its target.
func (s *State) orderEnded(now clock.Millis, e op.VersionOrdered) {
	o := s.orders[e.Target]
	if o == nil || o.model != e.Model || o.version != e.Version {
		return
	}
	o.inFlight = false
	switch e.Result {
	case op.Done:
		o.accepted, o.retryAt = true, now+loadTimeout
	case op.Conflict:
		o.retryAt = now + busyRetryDelay
	default:
		o.retryAt = now + unknownRetryDelay
	}
}

// Advance assigns models to targets and sends the orders that are due. Without
// the lease or a configuration, or shortly before the lease ends, it only resets
// the state.
func (s *State) Advance(now clock.Millis, v duty.View, out *op.List) {
	if v.Table == nil || !v.CanSend(now) {
		s.reset()
		return
	}
	s.forgetGone(v)
	for _, pool := range slices.Sorted(maps.Keys(v.Table.Pools)) {
		rule := v.Table.Pools[pool]
		if len(rule.Models) > 0 {
			s.assign(v.Roster.Usable(pool), rule.Models)
			s.sendOrders(now, v.Roster.Usable(pool), v, out)
		}
	}
}

// forgetGone drops the assignments and orders of targets that no pool has any more, and
// those for a model that the target's pool does not serve.
func (s *State) forgetGone(v duty.View) {
	for id, m := range s.Assigned {
		t := v.Roster.Targets[id]
		if t == nil || t.Leaving || !slices.Contains(v.Table.Pools[t.Pool].Models, m) {
			delete(s.Assigned, id)
			delete(s.orders, id)
		}
	}
}

// reset drops assignments and orders. The next holder of the lease starts from the
// entries of the targets.
func (s *State) reset() {
	s.Assigned, s.orders = nil, nil
}

// assign assigns a model to each target and keeps the models' shares even. A new
// target is assigned to a model whose newest version it already serves, if that
// model lacks targets, otherwise to the model with the fewest targets.
func (s *State) assign(targets []*roster.Target, models []unit.Model) {
	if s.Assigned == nil {
		s.Assigned = make(map[unit.Target]unit.Model)
		s.orders = make(map[unit.Target]*order)
	}
	count := make(map[unit.Model]int)
	for _, t := range targets {
		if m, ok := s.Assigned[t.Target]; ok {
			count[m]++
		}
	}
	maxShare := (len(targets) + len(models) - 1) / len(models)
	for _, t := range targets {
		if _, ok := s.Assigned[t.Target]; ok {
			continue
		}
		m := s.chooseModel(t, models, count, maxShare)
		s.Assigned[t.Target] = m
		count[m]++
	}
	s.rebalance(targets, models, count)
}

// chooseModel returns the model to assign to a new target.
func (s *State) chooseModel(t *roster.Target, models []unit.Model, count map[unit.Model]int, maxShare int) unit.Model {
	var best unit.Model
	for _, m := range models {
		wanted := s.Wanted[m]
		if wanted > 1 && t.VersionOf(m) == wanted && count[m] < maxShare {
			return m
		}
		if best == "" || count[m] < count[best] {
			best = m
		}
	}
	return best
}

// rebalance reassigns targets from the model with the most to the one with the
// fewest until their numbers differ by at most one.
func (s *State) rebalance(targets []*roster.Target, models []unit.Model, count map[unit.Model]int) {
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

// urgency says how soon a target should load the wanted version of its model.
type urgency int

const (
	// noLoad means that the target should not load the version now.
	noLoad urgency = iota
	// optional loads let the target run the newest version. The present one still
	// fits the next job.
	optional
	// mandatory loads are those without which the target cannot run the next job.
	mandatory
	// awaited loads are those for which items wait that no target can run.
	awaited
)

// sendOrders sends the orders that are due, up to the limit of concurrent loads,
// the most urgent ones first.
func (s *State) sendOrders(now clock.Millis, targets []*roster.Target, v duty.View, out *op.List) {
	loading := s.pruneOrders(now, targets)
	maxLoads := max(minConcurrentLoads, len(targets)/loadsDivisor)
	for _, level := range []urgency{awaited, mandatory, optional} {
		for _, t := range targets {
			if loading >= maxLoads {
				return
			}
			m := s.Assigned[t.Target]
			if o := s.orders[t.Target]; o != nil && (o.inFlight || now < o.retryAt) {
				continue
			}
			if s.loadUrgency(now, t, m, targets, v) != level {
				continue
			}
			s.orders[t.Target] = &order{model: m, version: s.Wanted[m], inFlight: true}
			loading++
			out.Add(op.OrderVersion{Order: platform.VersionOrder{
				Target: t.Target, Address: t.Address, Model: m, Version: s.Wanted[m],
				Holder: v.Self, Fence: v.Fence, SendBefore: v.SendBefore(now),
			}})
		}
	}
}

// pruneOrders drops the orders that are carried out. It returns how many of the
// others count as concurrent loads: those in flight, and those that are not due to
// be sent again yet.
func (s *State) pruneOrders(now clock.Millis, targets []*roster.Target) int {
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
		if o.inFlight || now < o.retryAt {
			loading++
		}
	}
	return loading
}

// loadUrgency returns how urgently a target should load the wanted version of its
// model.
//
// Jobs accept versions that are up to versionSlack older than the newest one. A
// load is mandatory if the target's present version is too old for the next job or
// for a waiting item. Otherwise it is optional: half of the model's targets load
// the version, and they defer it until no item is waiting, at most by
// maxLoadDeferral. So with each new version, half of the targets can run the new
// job immediately, and only half of the loads are needed.
func (s *State) loadUrgency(now clock.Millis, t *roster.Target, m unit.Model, targets []*roster.Target, v duty.View) urgency {
	wanted := s.Wanted[m]
	has := t.VersionOf(m)
	if has >= wanted {
		return noLoad
	}
	demand := s.demand(m, v)
	s.updateNewestOnly(now, m, demand)
	if has < demand.MinWaiting && !s.served(m, demand.MinWaiting, targets) {
		return awaited
	}
	if has+s.versionSlack(m) < wanted || has < demand.MinWaiting {
		return mandatory
	}
	if now < s.wantedSince[m]+jobDiscoveryLag {
		return noLoad
	}
	newest, all := 0, 0
	for _, other := range targets {
		if s.Assigned[other.Target] != m {
			continue
		}
		all++
		if pending := s.orders[other.Target]; other.VersionOf(m) >= wanted || pending != nil && pending.version >= wanted {
			newest++
		}
	}
	if newest >= (all+1)/2 || demand.Waiting > 0 && now < s.wantedSince[m]+maxLoadDeferral {
		return noLoad
	}
	return optional
}

// served reports whether any target has a version of a model, or has been ordered
// to load it.
func (s *State) served(m unit.Model, version unit.Version, targets []*roster.Target) bool {
	for _, t := range targets {
		pending := s.orders[t.Target]
		if t.VersionOf(m) >= version || pending != nil && pending.model == m && pending.version >= version {
			return true
		}
	}
	return false
}

// demand sums up the demand for a model over all instances.
func (s *State) demand(m unit.Model, v duty.View) op.Demand {
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

// updateNewestOnly records whether the jobs of a model accept only the newest
// version. It waits until the job that needs the wanted version is certainly known.
func (s *State) updateNewestOnly(now clock.Millis, m unit.Model, d op.Demand) {
	if d.Newest > 1 && now >= s.wantedSince[m]+2*jobDiscoveryLag {
		s.newestOnly[m] = d.Newest >= s.Wanted[m]
	}
}

// versionSlack returns how many versions older than the newest one the next job is
// expected to accept.
func (s *State) versionSlack(m unit.Model) unit.Version {
	if s.newestOnly[m] {
		return 0
	}
	return 1
}
