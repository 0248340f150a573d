package beat

import (
	"fmt"
	"testing"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

func hear(s *State, now clock.Millis, b op.Beat) []string {
	if b.Incarnation == "" {
		b.Incarnation = unit.Incarnation(string(b.Instance) + "#1")
	}
	return s.Heard(now, 0, b, owns(nil))
}

func owns(epochs map[string]unit.Epoch) func(string) (unit.Epoch, bool) {
	return func(job string) (unit.Epoch, bool) {
		e, ok := epochs[job]
		return e, ok
	}
}

func takeovers(s *State, now clock.Millis) []op.TakeOver {
	var out op.List
	s.Tick(now, false, &out)
	var all []op.TakeOver
	for _, e := range out {
		if t, ok := e.(op.TakeOver); ok {
			all = append(all, t)
		}
	}
	return all
}

func TestOneInstanceTakesAJobOver(t *testing.T) {
	tests := map[string]func(s *State, now clock.Millis){
		"the owner is silent":  func(*State, clock.Millis) {},
		"the owner lets it go": func(s *State, now clock.Millis) { hear(s, now, op.Beat{Instance: "owner", Seq: 2}) },
		"the owner was started": func(s *State, now clock.Millis) {
			hear(s, now, op.Beat{Instance: "owner", Incarnation: "owner#2", Seq: 1})
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			names := []unit.Instance{"a", "b", "c"}
			states := make(map[unit.Instance]*State)
			for _, n := range names {
				s := &State{Self: n, listed: true}
				states[n] = s
				hear(s, 0, op.Beat{Instance: "owner", Seq: 1, Jobs: []op.JobNote{{ID: "j", Epoch: 4}}})
				if got := takeovers(s, 10); len(got) != 0 {
					t.Errorf("%s takes the job of a live owner", n)
				}
			}
			const now = DeadAfter + 1
			taken := 0
			for _, n := range names {
				for _, o := range names {
					if o != n {
						hear(states[n], now, op.Beat{Instance: o, Seq: 9})
					}
				}
				change(states[n], now)
				for _, e := range takeovers(states[n], now+1) {
					taken++
					if e.Job != "j" || e.Epoch != 4 {
						t.Errorf("took %+v", e)
					}
				}
			}
			if name == "the owner is silent" && taken != 1 {
				t.Errorf("%d instances took the job", taken)
			}
			if name != "the owner is silent" && taken > 1 {
				t.Errorf("%d instances took the job", taken)
			}
		})
	}
}

func TestClosedJobsNeedNoOwner(t *testing.T) {
	s := &State{Self: "a", listed: true}
	hear(s, 0, op.Beat{Instance: "owner", Seq: 1, Jobs: []op.JobNote{{ID: "j", Epoch: 1, Closed: true}}})
	if got := takeovers(s, DeadAfter+1); len(got) != 0 {
		t.Errorf("took %v", got)
	}
}

func TestOldHeartbeatsAreIgnored(t *testing.T) {
	s := &State{Self: "a"}
	hear(s, 0, op.Beat{Instance: "b", Seq: 5, Jobs: []op.JobNote{{ID: "j", Epoch: 1}}})
	hear(s, 1, op.Beat{Instance: "b", Seq: 4})
	if _, ok := s.Owner(2, "j"); !ok {
		t.Error("a late datagram took the job from its owner")
	}
}

func TestAHigherClaimWins(t *testing.T) {
	s := &State{Self: "a"}
	b := op.Beat{Instance: "b", Incarnation: "b#1", Seq: 1, Jobs: []op.JobNote{{ID: "j", Epoch: 3}}}
	if lost := s.Heard(0, 0, b, owns(map[string]unit.Epoch{"j": 2})); len(lost) != 1 {
		t.Errorf("lost %v", lost)
	}
	b.Seq++
	if lost := s.Heard(0, 0, b, owns(map[string]unit.Epoch{"j": 4})); len(lost) != 0 {
		t.Errorf("lost %v to a lower claim", lost)
	}
}

func TestJobsAreListedAfterAStartOfAll(t *testing.T) {
	lists := func(uptime clock.Millis) int {
		s := &State{Self: "a"}
		n := 0
		for now := clock.Millis(0); now < 2000; now += 100 {
			hear(s, now, op.Beat{Instance: "b", Seq: int64(now) + 1, Uptime: uptime + now})
			var out op.List
			s.Tick(now, false, &out)
			for _, e := range out {
				if _, ok := e.(op.ListJobs); ok {
					n++
				}
			}
		}
		return n
	}
	a := &State{Self: "a"}
	hear(a, 0, op.Beat{Instance: "b", Seq: 1})
	want := 0
	if a.First(0, "jobs") {
		want = 1
	}
	if got := lists(0); got != want {
		t.Errorf("listed %d times, want %d", got, want)
	}
	if got := lists(60_000); got != 0 {
		t.Errorf("listed %d times beside a peer that knows the jobs", got)
	}
}

func TestFewInstancesWatch(t *testing.T) {
	for _, n := range []int{1, 2, 3, 9, 71} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			var names []unit.Instance
			for i := range n {
				names = append(names, unit.Instance(fmt.Sprint("i", i)))
			}
			watch := make(map[string]bool)
			var asked []string
			for _, own := range names {
				s := &State{Self: own}
				for _, o := range names {
					if o != own {
						hear(s, 0, op.Beat{Instance: o, Seq: 1, Address: string(o)})
					}
				}
				if a := s.Watcher(0); a == "" {
					watch[string(own)] = true
				} else {
					asked = append(asked, a)
				}
			}
			if want := min(n, max(leastWatchers, n/perWatcher)); len(watch) != want {
				t.Errorf("%d watch, want %d", len(watch), want)
			}
			for _, a := range asked {
				if !watch[a] {
					t.Errorf("%s is asked but does not watch", a)
				}
			}
		})
	}
}

func TestLargeFleetsSendFewerHeartbeats(t *testing.T) {
	tests := map[string]struct {
		peers int
		want  clock.Millis
	}{
		"small":      {11, shortestPace},
		"large":      {65, 2 * shortestPace},
		"very large": {299, 3 * shortestPace},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := &State{Self: "a"}
			for i := range tt.peers {
				hear(s, 0, op.Beat{Instance: unit.Instance(fmt.Sprint("b", i)), Seq: 1})
			}
			if got := s.Pace(); got != tt.want {
				t.Errorf("pace %d, want %d", got, tt.want)
			}
		})
	}
}

func TestAPeerIsDeadAfterTheSilenceThatItsPaceAllows(t *testing.T) {
	s := &State{Self: "a"}
	hear(s, 0, op.Beat{Instance: "quick", Seq: 1, Next: shortestPace})
	hear(s, 0, op.Beat{Instance: "slow", Seq: 1, Next: 2 * shortestPace})
	if s.Live(DeadAfter, "quick") || !s.Live(DeadAfter, "slow") {
		t.Error("a pause within a peer's pace was taken for its death, or none was")
	}
	if s.Live(missedBeats*2*shortestPace+beatWay, "slow") {
		t.Error("a silent peer lives on")
	}
}

func TestPredecessorsAreTheNewestOfTheSeries(t *testing.T) {
	s := &State{Self: "a"}
	note := func(seq int64, ids ...string) {
		b := op.Beat{Instance: "b", Seq: seq, Address: "b:1"}
		for _, id := range ids {
			b.Jobs = append(b.Jobs, op.JobNote{ID: id, Epoch: 1, Closed: true, Series: 7})
		}
		hear(s, 0, b)
	}
	note(1, "1")
	note(2, "1", "2")
	note(3, "1", "2", "3")
	s.Note(op.JobNote{ID: "4", Epoch: 1, Series: 7}, "a")
	s.Note(op.JobNote{ID: "5", Epoch: 1, Series: 8}, "a")
	s.Note(op.JobNote{ID: "6", Epoch: 1, Series: 7}, "a")
	got := s.Predecessors(1, 7, "6")
	want := []Predecessor{{Job: "4"}, {Job: "3", Address: "b:1"}, {Job: "2", Address: "b:1"}}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got %v, want %v", got, want)
	}
	if got := s.Predecessors(DeadAfter, 7, "6"); len(got) != 1 {
		t.Errorf("%v, although their owner is dead", got)
	}
}
