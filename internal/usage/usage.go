package usage

import (
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// LeaseScope is the lease that makes an instance the reporter.
const LeaseScope unit.Scope = "usage"

const (
	// sealDelay is the pause between the end of a window and its sealing, which
	// leaves time for the last counters to arrive.
	sealDelay clock.Millis = 1500
	// sendTimeout limits how long sending a report may take.
	sendTimeout clock.Millis = clock.Second
	// retryDelay is the pause after a failed call.
	retryDelay clock.Millis = 500
)

// State holds the usage counters of this instance and, while it is the
// reporter, the progress of the reports. Length must be set.
type State struct {
	// Length is the length of a usage window.
	Length clock.Millis
	// Own counts the tokens of live answers that this instance passed on.
	Own op.Counters
	// Waiting lists the requests that were counted after the copy in flight was
	// taken. The end of their answers is held back until the next copy to a peer
	// has succeeded or failed. Keeping is set while a copy is in flight for which
	// answers are held back.
	Waiting []unit.Request
	Keeping bool

	// Fence is the fencing token of the usage lease. It and the fields below
	// are used only while this instance is the reporter.
	Fence unit.Fence
	// Known is set once Last has been read from the store. Each attempt to seal a
	// window clears it again.
	Known bool
	// Last is the newest sealed window, and Reported the newest window that the
	// usage endpoint has accepted.
	Last     op.SealedWindow
	Reported unit.Window
	// Busy is set while a call is in flight; NextAt is the earliest time of the
	// next one.
	Busy   bool
	NextAt clock.Millis
	// Different counts the reports for which the usage endpoint has different
	// figures.
	Different int
}

// Window returns the number of the usage window at a wall-clock time.
func (s *State) Window(wall clock.Millis) unit.Window {
	return unit.Window(wall / max(s.Length, 1))
}

// RecordAnswer counts the n tokens of a complete live answer. The end of the
// answer is released to the caller once a peer has a copy of the counter, or the
// copy has failed.
func (s *State) RecordAnswer(w unit.Workspace, n unit.Tokens, wall clock.Millis, id unit.Request, out *op.List) {
	Add(&s.Own, w, n, s.Window(wall))
	s.Waiting = append(s.Waiting, id)
	s.copyToPeer(out)
}

// RecordPartialAnswer counts the n tokens that a caller received before it
// disconnected.
func (s *State) RecordPartialAnswer(w unit.Workspace, n unit.Tokens, wall clock.Millis) {
	Add(&s.Own, w, n, s.Window(wall))
}

// Flush copies the counters to a peer at the start of a graceful shutdown.
func (s *State) Flush(out *op.List) {
	if len(s.Own.Workspaces) > 0 {
		out.Add(op.KeepUsage{Counters: Clone(s.Own)})
	}
}

// copyToPeer copies the counters to a peer if answers are waiting for a copy and
// none is in flight.
func (s *State) copyToPeer(out *op.List) {
	if s.Keeping || len(s.Waiting) == 0 {
		return
	}
	s.Keeping = true
	out.Add(op.KeepUsage{Counters: Clone(s.Own), Releases: s.Waiting})
	s.Waiting = nil
}

// HandleUsageKept releases the answers that waited for their counter to be
// copied. They are released even if no peer took the copy.
func (s *State) HandleUsageKept(e op.UsageKept, out *op.List) {
	if len(e.Releases) == 0 {
		return
	}
	s.Keeping = false
	for _, id := range e.Releases {
		out.Add(op.Release{Request: id})
	}
	s.copyToPeer(out)
}

// Lease describes whether this instance holds the usage lease, and until when.
type Lease struct {
	Held  bool
	Fence unit.Fence
	Until clock.Millis
}

// Reduce seals and reports windows while this instance holds the usage lease.
// Each new grant of the lease begins by reading the newest sealed window.
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
		s.handleSealedRead(now, e)
	case op.Gathered:
		s.handleGathered(now, e, out)
	case op.WindowSealed:
		s.finishCall(now, e.Result)
		s.Known = false
	case op.WindowReported:
		s.handleReported(now, e, out)
	}
}

// tick starts the next call that is due: reading the newest sealed window,
// reporting it, or gathering counters for the next one.
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
			SendBefore: min(l.Until, now+sendTimeout),
		})
	case s.sealDue(wall):
		s.Busy = true
		out.Add(op.Gather{Window: s.nextWindow(wall)})
	}
}

// nextWindow returns the window to seal: the one after the last sealed window,
// or the newest one that ended at least sealDelay ago if none was sealed
// before.
func (s *State) nextWindow(wall clock.Millis) unit.Window {
	if s.Last.Window == 0 {
		return s.Window(wall - s.Length - sealDelay)
	}
	return s.Last.Window + 1
}

// sealDue reports whether the next window ended at least sealDelay ago.
func (s *State) sealDue(wall clock.Millis) bool {
	end := clock.Millis(s.nextWindow(wall)+1) * s.Length
	return wall >= end+sealDelay
}

// handleSealedRead stores the newest sealed window read from the store.
func (s *State) handleSealedRead(now clock.Millis, e op.SealedRead) {
	s.finishCall(now, e.Result)
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

// handleGathered seals a window from the gathered counters.
func (s *State) handleGathered(now clock.Millis, e op.Gathered, out *op.List) {
	s.finishCall(now, e.Result)
	if e.Result != op.Done || !s.Known || e.Window <= s.Last.Window {
		return
	}
	sealed, err := buildSealedWindow(e.Window, s.Last, e.Counters)
	if err != nil {
		out.Add(op.Note{Level: "error", Message: "window cannot be sealed: " + err.Error()})
		return
	}
	s.Busy = true
	out.Add(op.Seal{Sealed: sealed})
}

// handleReported records that the usage endpoint accepted a report. If the
// endpoint already has different figures for the window, this is logged and the
// report is not sent again.
func (s *State) handleReported(now clock.Millis, e op.WindowReported, out *op.List) {
	s.finishCall(now, e.Result)
	if e.Different {
		s.Different++
		out.Add(op.Note{Level: "error", Message: "intake holds other figures for a sealed window"})
	}
	if e.Result == op.Done || e.Different {
		s.Reported = max(s.Reported, e.Window)
		out.Add(op.MarkReported{Seq: s.Last.Seq, Window: e.Window})
	}
}

// finishCall marks the call in flight as finished and delays the next one if it
// failed.
func (s *State) finishCall(now clock.Millis, r op.Result) {
	s.Busy = false
	s.NextAt = now
	if r != op.Done && r != op.Conflict {
		s.NextAt = now + retryDelay
	}
}

// Idle reports whether no answer is waiting for its counter to be copied.
func (s *State) Idle() bool { return !s.Keeping && len(s.Waiting) == 0 }
