package metering

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
	// settleDelay is the delay between the end of a window and its sealing, in
	// which the counts of the other instances arrive.
	settleDelay clock.Millis = 2 * clock.Second
	// startupDelay is how long after its start an instance seals nothing, so that
	// by then it has received the counts of its peers.
	startupDelay clock.Millis = 1200
	// retryDelay is the delay before a failed call is repeated.
	retryDelay clock.Millis = 500
	// retainedWindows is the number of windows whose counts are kept, including the
	// current one, so that a new holder of the lease can report the windows that an
	// earlier holder did not.
	retainedWindows = 6
)

// maxEndedCounts is how many counts of sources that have ended a heartbeat carries, and
// those of one source more.
const maxEndedCounts = 600

// State holds the counts of all instances, as far as they are known.
type State struct {
	Self unit.Incarnation
	// Length is the length of a window. Nothing is counted if it is 0.
	Length clock.Millis
	// Counts are kept by source, which is the incarnation that counted the
	// requests, so that receiving the same count again changes nothing.
	Counts map[unit.Incarnation]map[countKey]int64
	// windows holds the progress of the windows that this instance reports.
	windows map[unit.Window]*window
	// sentLast is the last source that has ended whose counts were sent, if there was
	// no room for all.
	sentLast unit.Incarnation
	// startedAt is when this instance first advanced the state; startedSet is set
	// from then on.
	startedAt  clock.Millis
	startedSet bool
}

// countKey identifies a count of a source.
type countKey struct {
	window    unit.Window
	workspace unit.Workspace
}

// window is the progress of sealing and reporting a window.
type window struct {
	// inFlight is set while a call to the store or to the usage endpoint is in
	// flight. No further call starts before retryAt.
	inFlight bool
	retryAt  clock.Millis
	// sealed are the counts in the store, nil until they are known.
	sealed map[unit.Workspace]int64
	// finished is set once the report was sent successfully, or met a conflict.
	finished bool
}

// View is the state of other packages that decisions on reports depend on.
type View struct {
	// Wall is the Unix time, 0 if it is not known yet.
	Wall clock.Millis
	duty.Holder
}

// CountRequest counts a request of a workspace that has run, or may have run, at a
// target. wall is the Unix time at which it was sent there.
func (s *State) CountRequest(wall clock.Millis, w unit.Workspace) {
	if s.Length <= 0 {
		return
	}
	s.add(s.Self, countKey{unit.Window(wall / s.Length), w}, 1)
}

// add adds n to a count of a source.
func (s *State) add(source unit.Incarnation, k countKey, n int64) {
	s.countsOf(source)[k] += n
}

// countsOf returns the counts of a source, which is added if it is unknown.
func (s *State) countsOf(source unit.Incarnation) map[countKey]int64 {
	if s.Counts == nil {
		s.Counts = make(map[unit.Incarnation]map[countKey]int64)
	}
	m := s.Counts[source]
	if m == nil {
		m = make(map[countKey]int64)
		s.Counts[source] = m
	}
	return m
}

// CountsToSend returns the counts that this instance sends to its peers: its own,
// and those of incarnations that are not live and so no longer send them themselves.
// If these are many, they are sent in turn, so that a heartbeat fits into a datagram.
func (s *State) CountsToSend(live map[unit.Incarnation]bool) []op.SourceCounts {
	out, ended := s.ownAndEnded(live)
	sent := 0
	for i := range ended {
		if sent >= maxEndedCounts {
			s.sentLast = ended[i-1]
			return out
		}
		counts := s.sortedCounts(ended[i])
		sent += len(counts)
		out = append(out, op.SourceCounts{Source: ended[i], Counts: counts})
	}
	return out
}

// ownAndEnded returns this instance's own counts, and the sources that have ended,
// beginning after the one that was sent last.
func (s *State) ownAndEnded(live map[unit.Incarnation]bool) (own []op.SourceCounts, ended []unit.Incarnation) {
	sources := slices.Sorted(maps.Keys(s.Counts))
	after, _ := slices.BinarySearch(sources, s.sentLast+"\x00")
	for _, source := range slices.Concat(sources[after:], sources[:after]) {
		switch {
		case source == s.Self:
			own = append(own, op.SourceCounts{Source: source, Counts: s.sortedCounts(source)})
		case !live[source]:
			ended = append(ended, source)
		}
	}
	return own, ended
}

// sortedCounts returns the counts of a source, sorted by window and workspace.
func (s *State) sortedCounts(source unit.Incarnation) []op.WindowCount {
	var out []op.WindowCount
	for k, n := range s.Counts[source] {
		out = append(out, op.WindowCount{Window: k.window, Workspace: k.workspace, Count: n})
	}
	slices.SortFunc(out, func(a, b op.WindowCount) int {
		return cmp.Or(cmp.Compare(a.Window, b.Window), cmp.Compare(a.Workspace, b.Workspace))
	})
	return out
}

// Reduce applies counts of other instances or the end of a call, then starts the
// calls that are due.
func (s *State) Reduce(now clock.Millis, ev op.Event, v View, out *op.List) {
	switch e := ev.(type) {
	case op.CountsReceived:
		s.merge(e)
	case op.CountsSealed:
		s.windowSealed(now, e)
	case op.CountsSent:
		s.reportSent(now, e)
	}
	s.Advance(now, v, out)
}

// merge applies counts of other sources. A count only ever rises, so a lower value
// is out of date.
func (s *State) merge(e op.CountsReceived) {
	for _, source := range e.Counts {
		if source.Source == s.Self || len(source.Counts) == 0 {
			continue
		}
		m := s.countsOf(source.Source)
		for _, c := range source.Counts {
			k := countKey{c.Window, c.Workspace}
			m[k] = max(m[k], c.Count)
		}
	}
}

// windowSealed handles the end of a call that seals a window. The counts in the
// store may be those of an earlier holder of the lease.
func (s *State) windowSealed(now clock.Millis, e op.CountsSealed) {
	w := s.windows[e.Window]
	if w == nil {
		return
	}
	w.inFlight = false
	if e.Result != op.Done {
		w.retryAt = now + retryDelay
		return
	}
	w.sealed = e.Counts
	if w.sealed == nil {
		w.sealed = make(map[unit.Workspace]int64)
	}
}

// reportSent handles the end of a report. After a conflict the report is not sent
// again either.
func (s *State) reportSent(now clock.Millis, e op.CountsSent) {
	w := s.windows[e.Window]
	if w == nil {
		return
	}
	w.inFlight = false
	w.retryAt = now + retryDelay
	w.finished = e.Result == op.Done || e.Result == op.Conflict
}

// Advance seals and reports the windows whose settle delay is over, if this
// instance holds the lease and its startup delay is over.
func (s *State) Advance(now clock.Millis, v View, out *op.List) {
	if s.Length <= 0 || v.Wall <= 0 {
		return
	}
	current := unit.Window(v.Wall / s.Length)
	if !s.startedSet {
		s.startedSet, s.startedAt = true, now
	}
	s.trim(current)
	if v.Fence == 0 || now < s.startedAt+startupDelay {
		return
	}
	if s.windows == nil {
		s.windows = make(map[unit.Window]*window)
	}
	for n := current - retainedWindows + 1; n < current; n++ {
		if v.Wall < clock.Millis(n+1)*s.Length+settleDelay {
			break
		}
		if s.windows[n] == nil {
			s.windows[n] = &window{}
		}
		s.advanceWindow(now, n, s.windows[n], v, out)
	}
}

// advanceWindow starts the next call for a window: to seal it or, once it is
// sealed, to report it.
func (s *State) advanceWindow(now clock.Millis, n unit.Window, w *window, v View, out *op.List) {
	if w.inFlight || w.finished || now < w.retryAt || !v.CanSend(now) {
		return
	}
	w.inFlight = true
	if w.sealed == nil {
		out.Add(op.SealCounts{Window: n, Counts: s.sum(n)})
		return
	}
	out.Add(op.SendCounts{Report: platform.CountReport{
		Window: n, Counts: w.sealed, Holder: v.Self, Fence: v.Fence, SendBefore: v.SendBefore(now),
	}})
}

// sum returns the counts of a window over all sources.
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

// trim drops the windows that are older than the retainedWindows newest ones.
func (s *State) trim(current unit.Window) {
	for source, m := range s.Counts {
		maps.DeleteFunc(m, func(k countKey, _ int64) bool { return k.window <= current-retainedWindows })
		if len(m) == 0 {
			delete(s.Counts, source)
		}
	}
	maps.DeleteFunc(s.windows, func(n unit.Window, _ *window) bool { return n <= current-retainedWindows })
}
