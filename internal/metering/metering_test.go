package metering

import (
	"maps"
	"testing"

	"github.com/catkinhead/catkinhead/internal/duty"
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// windowLength is the window length of all tests.
const windowLength clock.Millis = 5000

// holder is an instance that holds the lease, with a store and a usage endpoint.
type holder struct {
	state State
	now   clock.Millis
	// sealed is the content of the store, sent are the reports of each window.
	sealed map[unit.Window]map[unit.Workspace]int64
	sent   map[unit.Window][]map[unit.Workspace]int64
}

// newHolder returns a holder that shares a store with the holders of the same
// sealed map.
func newHolder(name unit.Incarnation, sealed map[unit.Window]map[unit.Workspace]int64) *holder {
	return &holder{
		state: State{Self: name, Length: windowLength}, sealed: sealed,
		sent: make(map[unit.Window][]map[unit.Workspace]int64),
	}
}

// view returns the view of an instance that holds the lease.
func (h *holder) view() View {
	return View{Wall: h.now, Holder: duty.Holder{Self: "a", Fence: 1, Until: 1 << 40}}
}

// advance advances the time in steps of 100 ms and carries out the effects. If
// lost is set, all calls are carried out but their results are lost.
func (h *holder) advance(to clock.Millis, lost bool) {
	for ; h.now < to; h.now += 100 {
		var out op.List
		h.state.Advance(h.now, h.view(), &out)
		for len(out) > 0 {
			e := out[0]
			out = out[1:]
			switch e := e.(type) {
			case op.SealCounts:
				if h.sealed[e.Window] == nil {
					h.sealed[e.Window] = e.Counts
				}
				end := op.CountsSealed{Window: e.Window, Result: op.Done, Counts: h.sealed[e.Window]}
				if lost {
					end.Result = op.Lost
				}
				h.state.Reduce(h.now, end, h.view(), &out)
			case op.SendCounts:
				h.sent[e.Report.Window] = append(h.sent[e.Report.Window], e.Report.Counts)
				end := op.CountsSent{Window: e.Report.Window, Result: op.Done}
				if lost {
					end.Result = op.Lost
				}
				h.state.Reduce(h.now, end, h.view(), &out)
			}
		}
	}
}

// countFrom returns the event that contains a source's count of window 100.
func countFrom(source unit.Incarnation, n int64) op.CountsReceived {
	return op.CountsReceived{Counts: []op.SourceCounts{{
		Source: source, Counts: []op.WindowCount{{Window: 100, Workspace: "w", Count: n}},
	}}}
}

// A holder that starts after the end of a window knows its counts only from its
// peers, which also have those of the holder's previous incarnation.
func TestRestartedHolderReportsEarlierWindows(t *testing.T) {
	h := newHolder("a#2", map[unit.Window]map[unit.Workspace]int64{})
	h.now = 101*windowLength + 700
	h.advance(h.now+100, false)
	var out op.List
	h.state.Reduce(h.now, countFrom("b#1", 4), h.view(), &out)
	h.state.Reduce(h.now, countFrom("a#1", 3), h.view(), &out)
	h.advance(101*windowLength+settleDelay+1000, false)
	if got := h.sent[100]; len(got) != 1 || got[0]["w"] != 7 {
		t.Errorf("sent %v, want 7 once", got)
	}
}

// The counts of a dead instance must not be lost, so its peers keep sending them.
func TestCountsOfDeadSourcesAreForwarded(t *testing.T) {
	s := State{Self: "a#1", Length: windowLength}
	s.CountRequest(100*windowLength, "w")
	var out op.List
	s.Reduce(0, countFrom("b#1", 4), View{}, &out)
	s.Reduce(0, countFrom("c#1", 5), View{}, &out)
	sent := s.CountsToSend(map[unit.Incarnation]bool{"c#1": true})
	if len(sent) != 2 || sent[0].Source != "a#1" || sent[1].Source != "b#1" || sent[1].Counts[0].Count != 4 {
		t.Errorf("sent %+v, want the counts of a#1 and b#1", sent)
	}
}

func TestWindowIsReportedOnceAfterSettling(t *testing.T) {
	h := newHolder("a#1", map[unit.Window]map[unit.Workspace]int64{})
	h.now = 100 * windowLength
	h.advance(h.now+100, false)
	h.state.CountRequest(100*windowLength+200, "w")
	h.state.CountRequest(100*windowLength+4900, "w")
	h.state.CountRequest(101*windowLength, "w")
	var out op.List
	h.state.Reduce(h.now, countFrom("b#1", 4), h.view(), &out)
	h.state.Reduce(h.now, countFrom("b#1", 3), h.view(), &out)
	h.advance(101*windowLength+settleDelay+1000, false)
	if got := h.sent[100]; len(got) != 1 || got[0]["w"] != 6 {
		t.Errorf("sent %v, want 6 once", got)
	}
}

// The first holder seals and reports a window but gets no answers. The second
// holder has other counts and must nevertheless report what the first one sealed.
func TestNextHolderReportsSameCounts(t *testing.T) {
	sealed := map[unit.Window]map[unit.Workspace]int64{}
	first := newHolder("a#1", sealed)
	first.now = 100 * windowLength
	first.advance(first.now+100, false)
	first.state.CountRequest(100*windowLength+200, "w")
	first.advance(101*windowLength+settleDelay+500, true)
	second := newHolder("b#1", sealed)
	second.now = 100 * windowLength
	second.advance(second.now+100, false)
	second.state.CountRequest(100*windowLength+300, "w")
	second.state.CountRequest(100*windowLength+400, "w")
	second.advance(101*windowLength+settleDelay+5000, false)
	if len(second.sent[100]) == 0 || !maps.Equal(second.sent[100][0], sealed[100]) {
		t.Errorf("sent %v, sealed %v", second.sent[100], sealed[100])
	}
	for _, h := range []*holder{first, second} {
		for w, reports := range h.sent {
			for _, r := range reports {
				if !maps.Equal(r, sealed[w]) {
					t.Errorf("window %d: sent %v, sealed %v", w, r, sealed[w])
				}
			}
		}
	}
}

func TestNoReportsWithoutLease(t *testing.T) {
	s := State{Self: "a#1", Length: windowLength}
	var out op.List
	for now := 100 * windowLength; now < 103*windowLength; now += 500 {
		s.Advance(now, View{Wall: now}, &out)
	}
	if len(out) != 0 {
		t.Errorf("got effects without the lease: %v", out)
	}
}
