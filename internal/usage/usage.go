package usage

import (
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// Scope is the lease of the reporter.
const Scope unit.Scope = "usage"

const (
	// settle is the pause between the end of a window and its sealing, so
	// that counters come in.
	settle clock.Millis = 1500
	// sendTime bounds a report on its way.
	sendTime clock.Millis = clock.Second
	// retryAfter is the pause after a failed call.
	retryAfter clock.Millis = 500
)

// State is the counters of this instance and, on the holder of the lease, the
// state of the reports. Length must be set.
type State struct {
	// Length of a usage window.
	Length clock.Millis
	// Own counts the live answers released here.
	Own op.Counters
	// Waiting are the requests whose counter was not copied yet; Keeping is
	// set while a copy is under way.
	Waiting []unit.Request
	Keeping bool

	// Reporter's state; void without the lease.
	Fence    unit.Fence
	Known    bool
	Last     op.SealedWindow
	Reported unit.Window
	Busy     bool
	NextAt   clock.Millis
	// Different counts reports that the intake holds with other figures.
	Different int
}

// Window returns the number of the window at a wall time.
func (s *State) Window(wall clock.Millis) unit.Window {
	return unit.Window(wall / max(s.Length, 1))
}

// Answered counts a whole live answer. Its end is released once a peer holds
// the counter.
func (s *State) Answered(w unit.Workspace, n unit.Tokens, wall clock.Millis, id unit.Request, out *op.List) {
	Add(&s.Own, w, n, s.Window(wall))
	s.Waiting = append(s.Waiting, id)
	s.keep(out)
}

// Broken counts what a caller took before it left.
func (s *State) Broken(w unit.Workspace, n unit.Tokens, wall clock.Millis) {
	Add(&s.Own, w, n, s.Window(wall))
}

// Flush copies the counters to a peer ahead of a planned stop.
func (s *State) Flush(out *op.List) {
	if len(s.Own.Workspaces) > 0 {
		out.Add(op.KeepUsage{Counters: Clone(s.Own)})
	}
}

func (s *State) keep(out *op.List) {
	if s.Keeping || len(s.Waiting) == 0 {
		return
	}
	s.Keeping = true
	out.Add(op.KeepUsage{Counters: Clone(s.Own), Releases: s.Waiting})
	s.Waiting = nil
}

// Kept releases the answers whose counter was copied.
func (s *State) Kept(e op.UsageKept, out *op.List) {
	if len(e.Releases) == 0 {
		return
	}
	s.Keeping = false
	for _, id := range e.Releases {
		out.Add(op.Release{Request: id})
	}
	s.keep(out)
}

// Lease is the reporter's lease as it stands.
type Lease struct {
	Held  bool
	Fence unit.Fence
	Until clock.Millis
}

// Reduce drives the reports. Without the lease it does nothing.
func (s *State) Reduce(now clock.Millis, ev op.Event, l Lease, out *op.List) {
	if !l.Held || l.Fence != s.Fence {
		s.Known, s.Busy, s.NextAt, s.Fence = false, false, 0, l.Fence
		if !l.Held {
			return
		}
	}
	switch e := ev.(type) {
	case op.Tick:
		s.tick(now, e.Wall, l, out)
	case op.SealedRead:
		s.sealedRead(now, e)
	case op.Gathered:
		s.gathered(now, e, out)
	case op.WindowSealed:
		s.pause(now, e.Result)
		s.Known = false
	case op.WindowReported:
		s.reported(now, e, out)
	}
}

func (s *State) tick(now, wall clock.Millis, l Lease, out *op.List) {
	if s.Busy || now < s.NextAt {
		return
	}
	switch {
	case !s.Known:
		s.Busy = true
		out.Add(op.ReadSealed{})
	case s.Last.Window > s.Reported:
		s.Busy = true
		out.Add(op.Report{
			Window: s.Last.Window, Body: s.Last.Body, Fence: l.Fence,
			SendBefore: min(l.Until, now+sendTime),
		})
	case s.due(wall):
		s.Busy = true
		out.Add(op.Gather{Window: s.next(wall)})
	}
}

// next is the window to seal: the one after the last, or the current one if
// there was none.
func (s *State) next(wall clock.Millis) unit.Window {
	if s.Last.Window == 0 {
		return s.Window(wall - s.Length - settle)
	}
	return s.Last.Window + 1
}

func (s *State) due(wall clock.Millis) bool {
	end := clock.Millis(s.next(wall)+1) * s.Length
	return wall >= end+settle
}

func (s *State) sealedRead(now clock.Millis, e op.SealedRead) {
	s.pause(now, e.Result)
	if e.Result != op.Done {
		return
	}
	s.Known = true
	s.Last = op.SealedWindow{}
	if e.Last != nil {
		s.Last = *e.Last
	}
	s.Reported = max(s.Reported, e.Reported)
}

func (s *State) gathered(now clock.Millis, e op.Gathered, out *op.List) {
	s.pause(now, e.Result)
	if e.Result != op.Done || !s.Known || e.Window <= s.Last.Window {
		return
	}
	sealed, err := seal(e.Window, s.Last, e.Counters)
	if err != nil {
		out.Add(op.Note{Level: "error", Message: "window cannot be sealed: " + err.Error()})
		return
	}
	s.Busy = true
	out.Add(op.Seal{Sealed: sealed})
}

func (s *State) reported(now clock.Millis, e op.WindowReported, out *op.List) {
	s.pause(now, e.Result)
	if e.Different {
		s.Different++
		out.Add(op.Note{Level: "error", Message: "intake holds other figures for a sealed window"})
	}
	if e.Result == op.Done || e.Different {
		s.Reported = max(s.Reported, e.Window)
		out.Add(op.MarkReported{Seq: s.Last.Seq, Window: e.Window})
	}
}

// pause ends a call; after a failure the next one waits.
func (s *State) pause(now clock.Millis, r op.Result) {
	s.Busy = false
	s.NextAt = now
	if r != op.Done && r != op.Conflict {
		s.NextAt = now + retryAfter
	}
}

// Idle tells whether no answer waits for its copy.
func (s *State) Idle() bool { return !s.Keeping && len(s.Waiting) == 0 }
