package tally

import (
	"cmp"
	"maps"
	"slices"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// settle is the time after a window's end in which the counts of the other
	// instances arrive.
	settle clock.Millis = 2 * clock.Second
	// hearFirst is how long after its start an instance only listens, so that it
	// has heard what the others counted.
	hearFirst clock.Millis = 1200
	// retryAfter is the pause after a call that failed.
	retryAfter clock.Millis = 500
	// keepWindows is how many windows are kept, so that late reports of an
	// earlier holder can be made good.
	keepWindows = 6
	// sendTime bounds how long a report may take to be written.
	sendTime clock.Millis = 500
)

// State is the counts of all instances as far as they were heard.
type State struct {
	Self unit.Incarnation
	// Length is a window's length.
	Length clock.Millis
	// Counts are by source, so that hearing a count again adds nothing.
	Counts  map[unit.Incarnation]map[key]int64
	windows map[unit.Window]*window
	// started is when this instance began to hear the others.
	started clock.Millis
	begun   bool
}

type key struct {
	window    unit.Window
	workspace unit.Workspace
}

type window struct {
	// busy is set while a call is under way.
	busy   bool
	again  clock.Millis
	sealed map[unit.Workspace]int64
	sent   bool
}

// View is what decisions on reports rest on. Fence is 0 without the lease;
// Wall is the Unix time.
type View struct {
	Wall  clock.Millis
	Self  unit.Instance
	Fence unit.Fence
	Until clock.Millis
}

// Began counts a request that a target began.
func (s *State) Began(wall clock.Millis, w unit.Workspace) {
	if s.Length <= 0 {
		return
	}
	s.add(s.Self, key{unit.Window(wall / s.Length), w}, 1)
}

func (s *State) add(source unit.Incarnation, k key, n int64) {
	s.source(source)[k] += n
}

func (s *State) source(source unit.Incarnation) map[key]int64 {
	if s.Counts == nil {
		s.Counts = make(map[unit.Incarnation]map[key]int64)
	}
	m := s.Counts[source]
	if m == nil {
		m = make(map[key]int64)
		s.Counts[source] = m
	}
	return m
}

// Told returns this instance's counts of the windows that are kept, and those
// of sources that no longer tell them themselves.
func (s *State) Told(live map[unit.Incarnation]bool) []op.SourceCounts {
	var out []op.SourceCounts
	for _, source := range slices.Sorted(maps.Keys(s.Counts)) {
		if source == s.Self || !live[source] {
			out = append(out, op.SourceCounts{Source: source, Counts: s.of(source)})
		}
	}
	return out
}

func (s *State) of(source unit.Incarnation) []op.WindowCount {
	var out []op.WindowCount
	for k, n := range s.Counts[source] {
		out = append(out, op.WindowCount{Window: k.window, Workspace: k.workspace, Count: n})
	}
	slices.SortFunc(out, func(a, b op.WindowCount) int {
		return cmp.Or(cmp.Compare(a.Window, b.Window), cmp.Compare(a.Workspace, b.Workspace))
	})
	return out
}

// Reduce handles counts of others and the ends of calls.
func (s *State) Reduce(now clock.Millis, ev op.Event, v View, out *op.List) {
	switch e := ev.(type) {
	case op.CountsHeard:
		s.heard(e)
	case op.CountsSealed:
		s.sealed(now, e)
	case op.CountsSent:
		s.sent(now, e)
	}
	s.Advance(now, v, out)
}

// heard takes counts of other sources; each count only ever rises.
func (s *State) heard(e op.CountsHeard) {
	for _, source := range e.Counts {
		if source.Source == s.Self || len(source.Counts) == 0 {
			continue
		}
		m := s.source(source.Source)
		for _, c := range source.Counts {
			k := key{c.Window, c.Workspace}
			m[k] = max(m[k], c.Count)
		}
	}
}

func (s *State) sealed(now clock.Millis, e op.CountsSealed) {
	w := s.windows[e.Window]
	if w == nil {
		return
	}
	w.busy = false
	if e.Result != op.Done {
		w.again = now + retryAfter
		return
	}
	w.sealed = e.Counts
	if w.sealed == nil {
		w.sealed = make(map[unit.Workspace]int64)
	}
}

func (s *State) sent(now clock.Millis, e op.CountsSent) {
	w := s.windows[e.Window]
	if w == nil {
		return
	}
	w.busy = false
	w.again = now + retryAfter
	w.sent = e.Result == op.Done || e.Result == op.Conflict
}

// Advance seals and reports the windows that have settled.
func (s *State) Advance(now clock.Millis, v View, out *op.List) {
	if s.Length <= 0 || v.Wall <= 0 {
		return
	}
	current := unit.Window(v.Wall / s.Length)
	if !s.begun {
		s.begun, s.started = true, now
	}
	s.trim(current)
	if v.Fence == 0 || now < s.started+hearFirst {
		return
	}
	if s.windows == nil {
		s.windows = make(map[unit.Window]*window)
	}
	for n := current - keepWindows + 1; n < current; n++ {
		if v.Wall < clock.Millis(n+1)*s.Length+settle {
			break
		}
		if s.windows[n] == nil {
			s.windows[n] = &window{}
		}
		s.report(now, n, s.windows[n], v, out)
	}
}

func (s *State) report(now clock.Millis, n unit.Window, w *window, v View, out *op.List) {
	if w.busy || w.sent || now < w.again || now+sendTime >= v.Until {
		return
	}
	w.busy = true
	if w.sealed == nil {
		out.Add(op.SealCounts{Window: n, Counts: s.sum(n)})
		return
	}
	out.Add(op.SendCounts{Report: platform.CountReport{
		Window: n, Counts: w.sealed, Holder: v.Self, Fence: v.Fence, SendBefore: min(v.Until, now+sendTime),
	}})
}

func (s *State) sum(n unit.Window) map[unit.Workspace]int64 {
	out := make(map[unit.Workspace]int64)
	for _, counts := range s.Counts {
		for k, c := range counts {
			if k.window == n {
				out[k.workspace] += c
			}
		}
	}
	return out
}

// trim drops the windows that are no longer kept.
func (s *State) trim(current unit.Window) {
	for source, m := range s.Counts {
		maps.DeleteFunc(m, func(k key, _ int64) bool { return k.window <= current-keepWindows })
		if len(m) == 0 {
			delete(s.Counts, source)
		}
	}
	maps.DeleteFunc(s.windows, func(n unit.Window, _ *window) bool { return n <= current-keepWindows })
}
