package batch

import (
	"maps"
	"slices"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/internal/roster"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// move ends runs at slow targets while there is room at others.
func (s *State) move(now clock.Millis, j *Job, v View, out *op.List) {
	room := -1
	for _, i := range j.Order {
		it := &j.Items[i]
		if it.Phase != running || it.Moving || !v.Roster.Slow(now, it.Target) {
			continue
		}
		if room < 0 {
			room = s.room(now, j, it, v)
		}
		if room == 0 {
			return
		}
		room--
		it.Moving = true
		out.Add(op.MoveItem{Job: j.ID, Item: i, Run: it.Run})
	}
}

// room counts the free slots of targets that are not slow.
func (s *State) room(now clock.Millis, j *Job, it *Item, v View) int {
	n := 0
	for _, t := range v.Roster.Usable(j.Pool) {
		if s.fits(now, j, it, t) && now >= t.SlowUntil {
			n += t.Free()
		}
	}
	return n
}

// start sends waiting items to targets with free slots.
func (s *State) start(now clock.Millis, j *Job, v View, out *op.List) {
	if j.Ending || j.Leaving || v.Table == nil {
		return
	}
	rule, ok := v.Table.Route(j.Route)
	if !ok {
		return
	}
	for _, i := range j.Order {
		it := &j.Items[i]
		if it.Phase != waiting || now < it.NotBefore {
			continue
		}
		t := s.pick(now, j, it, v)
		if t == nil {
			continue
		}
		s.run++
		it.Phase, it.Run, it.Target, it.Moving = running, s.run, t.Target, false
		v.Roster.Began(t.Target)
		if p := s.Refused[refusal{t.Target, it.Model}]; p != nil {
			p.run = it.Run
		}
		out.Add(op.RunItem{
			Job: j.ID, Item: i, Run: it.Run, Target: t.Target, Address: t.Address, Model: it.Model,
			MinVersion: j.MinVersion, SingleVersion: rule.SingleVersion, After: it.Last, Until: j.GiveUpAt,
		})
	}
}

// pick returns the target with the most free slots whose version fits.
func (s *State) pick(now clock.Millis, j *Job, it *Item, v View) *roster.Target {
	var best *roster.Target
	for _, t := range v.Roster.Usable(j.Pool) {
		if t.Free() <= 0 || !s.fits(now, j, it, t) {
			continue
		}
		if best == nil || better(now, t, best) {
			best = t
		}
	}
	return best
}

// fits tells whether a target may run an item now.
func (s *State) fits(now clock.Millis, j *Job, it *Item, t *roster.Target) bool {
	if p := s.Refused[refusal{t.Target, it.Model}]; p != nil && (now < p.until || p.run != 0) {
		return false
	}
	return now >= t.SuspectUntil && t.VersionOf(it.Model) >= j.MinVersion
}

// Demands returns what the open jobs wait for, by model.
func (s *State) Demands() []op.Demand {
	byModel := make(map[unit.Model]*op.Demand)
	for _, j := range s.byDue() {
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

// better prefers targets that are not slow, then those with the smaller part of
// their slots taken.
func better(now clock.Millis, a, b *roster.Target) bool {
	if x, y := now < a.SlowUntil, now < b.SlowUntil; x != y {
		return y
	}
	return a.Taken()*max(b.Slots, 1) < b.Taken()*max(a.Slots, 1)
}
