package batch

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/internal/roster"
	"github.com/catkinhead/catkinhead/internal/route"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// moveFromSlow stops runs at slow targets, at most as many as there are free
// slots at other targets, so that their items resume there.
func (s *State) moveFromSlow(now clock.Millis, j *Job, v View, out *op.List) {
	free := -1
	for _, i := range j.Order {
		it := &j.Items[i]
		if it.Phase != running || it.Moving || !v.Roster.Slow(now, it.Target) {
			continue
		}
		if free < 0 {
			free = s.freeSlots(now, j, it, v)
		}
		if free <= 0 {
			return
		}
		free--
		it.Moving = true
		out.Add(op.MoveItem{Job: j.ID, Item: i, Run: it.Run})
	}
}

// freeSlots counts the free slots of the targets that can run an item and are
// not slow.
func (s *State) freeSlots(now clock.Millis, j *Job, it *Item, v View) int {
	n := 0
	for _, pool := range j.pools(v) {
		for _, t := range v.Roster.Usable(pool) {
			if s.canRun(now, j, it, t) && !t.Slow(now) {
				n += max(t.FreeSlots(), 0)
			}
		}
	}
	return n
}

// pools returns the pools whose targets may run the job's items: those that the job's
// route leads to now. There are none while the configuration has no such route.
func (j *Job) pools(v View) []unit.Pool {
	if v.Table == nil {
		return nil
	}
	rule, _ := v.Table.RouteByName(j.Route)
	return route.Pools(rule)
}

// anyFree reports whether any target that may run the job's items has a free slot.
func (j *Job) anyFree(v View) bool {
	return slices.ContainsFunc(j.pools(v), v.Roster.AnyFree)
}

// startItems sends waiting items of a job to targets with free slots.
func (s *State) startItems(now clock.Millis, j *Job, v View, out *op.List) {
	if j.Ending || j.Leaving || v.Table == nil {
		return
	}
	rule, ok := v.Table.RouteByName(j.Route)
	if !ok {
		return
	}
	var load workload
	for _, i := range j.Order {
		it := &j.Items[i]
		if it.Phase != waiting || now < it.NotBefore {
			continue
		}
		if load.own == nil {
			if !j.anyFree(v) {
				return
			}
			load = s.workloadFor(j)
		}
		t := s.pickByWeight(now, j, it, rule, load, v)
		if t == nil {
			continue
		}
		s.lastRun++
		it.Phase, it.Run, it.Target, it.Moving = running, s.lastRun, t.Target, false
		load.own[t.Target] += it.work()
		v.Roster.AttemptStarted(t.Target)
		if c := s.Cooldowns[targetModel{t.Target, it.Model}]; c != nil {
			c.probeRun = it.Run
		}
		out.Add(op.RunItem{
			Job: j.ID, Item: i, Run: it.Run, Target: t.Target, Address: t.Address, Model: it.Model,
			MinVersion: j.MinVersion, SingleVersion: rule.SingleVersion, After: it.Last, Until: j.GiveUpAt,
		})
	}
}

// pickByWeight returns a target for an item from the pool that the weights of the
// route give it, or else from another one with a weight: a free slot is of more use to
// an item that is due than an exact share.
func (s *State) pickByWeight(now clock.Millis, j *Job, it *Item, rule platform.RouteRule, load workload, v View) *roster.Target {
	for _, pool := range s.split.Order(rule) {
		if t := s.pickTarget(now, j, it, pool, load, v); t != nil {
			return t
		}
	}
	return nil
}

// pickTarget returns the best target of a pool with a free slot that can run an item,
// nil if there is none. Targets that are not slow come first, then those with the
// least work. Instances order equal targets differently, so that those that start
// jobs at the same time do not choose the same ones.
func (s *State) pickTarget(now clock.Millis, j *Job, it *Item, pool unit.Pool, load workload, v View) *roster.Target {
	var best *roster.Target
	for _, t := range v.Roster.Usable(pool) {
		if t.FreeSlots() <= 0 || !s.canRun(now, j, it, t) {
			continue
		}
		if best == nil || s.better(now, t, best, load) {
			best = t
		}
	}
	return best
}

// better reports whether target a is preferred to b.
func (s *State) better(now clock.Millis, a, b *roster.Target, load workload) bool {
	if x, y := a.Slow(now), b.Slow(now); x != y {
		return y
	}
	if c := cmp.Compare(load.of(a), load.of(b)); c != 0 {
		return c < 0
	}
	return s.tieRank(a.Target) < s.tieRank(b.Target)
}

// tieRank returns the rank of a target among equal ones at this instance.
func (s *State) tieRank(t unit.Target) uint64 {
	return xxhash.Sum64String(string(s.Self) + "\x00" + string(t))
}

// canRun reports whether a target may run an item now: it has the minimum
// version, has not failed recently, and is neither in cooldown for the model nor
// being probed with another item.
func (s *State) canRun(now clock.Millis, j *Job, it *Item, t *roster.Target) bool {
	if c := s.Cooldowns[targetModel{t.Target, it.Model}]; c != nil && (now < c.until || c.probeRun != 0) {
		return false
	}
	return now >= t.SuspectUntil && t.VersionOf(it.Model) >= j.MinVersion
}

// Demands returns, for each model, how many items of the open jobs are unfinished
// and how many of them wait for a target.
func (s *State) Demands() []op.Demand {
	byModel := make(map[unit.Model]*op.Demand)
	for _, j := range s.openJobs() {
		for i := range j.Items {
			it := &j.Items[i]
			d := byModel[it.Model]
			if d == nil {
				d = &op.Demand{Model: it.Model}
				byModel[it.Model] = d
			}
			d.Newest = max(d.Newest, j.MinVersion)
			if (it.Phase == waiting || it.Phase == running) && !j.Ending {
				d.Open++
			}
			if it.Phase == waiting && !j.Ending {
				d.Waiting++
				d.MinWaiting = max(d.MinWaiting, j.MinVersion)
			}
		}
	}
	var out []op.Demand
	for _, m := range slices.Sorted(maps.Keys(byModel)) {
		out = append(out, *byModel[m])
	}
	return out
}
