package tally

import (
	"maps"
	"testing"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const length clock.Millis = 5000

// holder is the holder of the lease and a store of sealed windows.
type holder struct {
	state  State
	now    clock.Millis
	sealed map[unit.Window]map[unit.Workspace]int64
	sent   map[unit.Window][]map[unit.Workspace]int64
}

func newHolder(name unit.Incarnation, sealed map[unit.Window]map[unit.Workspace]int64) *holder {
	return &holder{
		state: State{Self: name, Length: length}, sealed: sealed,
		sent: make(map[unit.Window][]map[unit.Workspace]int64),
	}
}

func (h *holder) view() View { return View{Wall: h.now, Self: "a", Fence: 1, Until: 1 << 40} }

// advance passes time and carries effects out; answers are lost as told.
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

// heardFrom is the count of window 100 that a source told.
func heardFrom(source unit.Incarnation, n int64) op.CountsHeard {
	return op.CountsHeard{Counts: []op.SourceCounts{{
		Source: source, Counts: []op.WindowCount{{Window: 100, Workspace: "w", Count: n}},
	}}}
}

func TestAHolderThatStartedLaterReportsEarlierWindows(t *testing.T) {
	h := newHolder("a#2", map[unit.Window]map[unit.Workspace]int64{})
	h.now = 101*length + 700
	h.advance(h.now+100, false)
	var out op.List
	h.state.Reduce(h.now, heardFrom("b#1", 4), h.view(), &out)
	h.state.Reduce(h.now, heardFrom("a#1", 3), h.view(), &out)
	h.advance(101*length+settle+1000, false)
	if got := h.sent[100]; len(got) != 1 || got[0]["w"] != 7 {
		t.Errorf("sent %v, want 7 once", got)
	}
}

func TestCountsOfEndedSourcesArePassedOn(t *testing.T) {
	s := State{Self: "a#1", Length: length}
	s.Began(100*length, "w")
	var out op.List
	s.Reduce(0, heardFrom("b#1", 4), View{}, &out)
	s.Reduce(0, heardFrom("c#1", 5), View{}, &out)
	told := s.Told(map[unit.Incarnation]bool{"c#1": true})
	if len(told) != 2 || told[0].Source != "a#1" || told[1].Source != "b#1" || told[1].Counts[0].Count != 4 {
		t.Errorf("told %+v", told)
	}
}

func TestWindowsAreReportedInTime(t *testing.T) {
	h := newHolder("a#1", map[unit.Window]map[unit.Workspace]int64{})
	h.now = 100 * length
	h.advance(h.now+100, false)
	h.state.Began(100*length+200, "w")
	h.state.Began(100*length+4900, "w")
	h.state.Began(101*length, "w")
	var out op.List
	h.state.Reduce(h.now, heardFrom("b#1", 4), h.view(), &out)
	h.state.Reduce(h.now, heardFrom("b#1", 3), h.view(), &out)
	h.advance(101*length+settle+1000, false)
	if got := h.sent[100]; len(got) != 1 || got[0]["w"] != 6 {
		t.Errorf("sent %v, want 6 once", got)
	}
}

func TestAnotherHolderSendsTheSameFigures(t *testing.T) {
	sealed := map[unit.Window]map[unit.Workspace]int64{}
	first := newHolder("a#1", sealed)
	first.now = 100 * length
	first.advance(first.now+100, false)
	first.state.Began(100*length+200, "w")
	first.advance(101*length+settle+500, true)
	second := newHolder("b#1", sealed)
	second.now = 100 * length
	second.advance(second.now+100, false)
	second.state.Began(100*length+300, "w")
	second.state.Began(100*length+400, "w")
	second.advance(101*length+settle+5000, false)
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

func TestNothingIsSentWithoutTheLease(t *testing.T) {
	s := State{Self: "a#1", Length: length}
	var out op.List
	for now := 100 * length; now < 103*length; now += 500 {
		s.Advance(now, View{Wall: now}, &out)
	}
	if len(out) != 0 {
		t.Errorf("effects: %v", out)
	}
}
