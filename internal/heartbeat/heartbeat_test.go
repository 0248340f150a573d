package heartbeat

import (
	"fmt"
	"testing"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// receive applies a heartbeat to an instance that owns no jobs.
func receive(s *State, now clock.Millis, h op.Heartbeat) []string {
	if h.Incarnation == "" {
		h.Incarnation = unit.Incarnation(string(h.Instance) + "#1")
	}
	return s.ApplyHeartbeat(now, 0, h, ownedJobs(nil))
}

// ownedJobs returns a lookup of the epochs under which jobs are owned.
func ownedJobs(epochs map[string]unit.Epoch) func(string) (unit.Epoch, bool) {
	return func(job string) (unit.Epoch, bool) {
		e, ok := epochs[job]
		return e, ok
	}
}

// takeovers returns the takeovers that a tick starts.
func takeovers(s *State, now clock.Millis) []op.TakeOverJob {
	var out op.List
	s.Tick(now, false, &out)
	var all []op.TakeOverJob
	for _, e := range out {
		if t, ok := e.(op.TakeOverJob); ok {
			all = append(all, t)
		}
	}
	return all
}

// TestOneInstanceTakesOverAJob wants exactly one takeover if the owner is dead, and
// at most one if it is alive. A live owner that has lost the job may itself rank
// first for it, and its takeover is not simulated.
func TestOneInstanceTakesOverAJob(t *testing.T) {
	tests := map[string]func(s *State, now clock.Millis){
		"owner is dead":     func(*State, clock.Millis) {},
		"owner releases it": func(s *State, now clock.Millis) { receive(s, now, op.Heartbeat{Instance: "owner", Seq: 2}) },
		"owner restarted": func(s *State, now clock.Millis) {
			receive(s, now, op.Heartbeat{Instance: "owner", Incarnation: "owner#2", Seq: 1})
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			names := []unit.Instance{"a", "b", "c"}
			states := make(map[unit.Instance]*State)
			for _, n := range names {
				s := &State{Self: n, jobsListed: true}
				states[n] = s
				receive(s, 0, op.Heartbeat{Instance: "owner", Seq: 1, Jobs: []op.JobStatus{{ID: "j", Epoch: 4}}})
				if got := takeovers(s, 10); len(got) != 0 {
					t.Errorf("%s takes over the job of a live owner", n)
				}
			}
			const now = minPeerTimeout + 1
			taken := 0
			for _, n := range names {
				for _, o := range names {
					if o != n {
						receive(states[n], now, op.Heartbeat{Instance: o, Seq: 9})
					}
				}
				change(states[n], now)
				for _, e := range takeovers(states[n], now+1) {
					taken++
					if e.Job != "j" || e.Epoch != 4 {
						t.Errorf("took over %+v", e)
					}
				}
			}
			if name == "owner is dead" && taken != 1 {
				t.Errorf("%d instances took over the job, want 1", taken)
			}
			if name != "owner is dead" && taken > 1 {
				t.Errorf("%d instances took over the job, want at most 1", taken)
			}
		})
	}
}

func TestClosedJobsNeedNoOwner(t *testing.T) {
	s := &State{Self: "a", jobsListed: true}
	receive(s, 0, op.Heartbeat{Instance: "owner", Seq: 1, Jobs: []op.JobStatus{{ID: "j", Epoch: 1, Closed: true}}})
	if got := takeovers(s, minPeerTimeout+1); len(got) != 0 {
		t.Errorf("took over %v", got)
	}
}

func TestOldHeartbeatsAreIgnored(t *testing.T) {
	s := &State{Self: "a"}
	receive(s, 0, op.Heartbeat{Instance: "b", Seq: 5, Jobs: []op.JobStatus{{ID: "j", Epoch: 1}}})
	receive(s, 1, op.Heartbeat{Instance: "b", Seq: 4})
	if _, ok := s.Owner(2, "j"); !ok {
		t.Error("a heartbeat that arrived out of order removed the owner of a job")
	}
}

func TestHigherEpochWins(t *testing.T) {
	s := &State{Self: "a"}
	h := op.Heartbeat{Instance: "b", Incarnation: "b#1", Seq: 1, Jobs: []op.JobStatus{{ID: "j", Epoch: 3}}}
	if lost := s.ApplyHeartbeat(0, 0, h, ownedJobs(map[string]unit.Epoch{"j": 2})); len(lost) != 1 {
		t.Errorf("lost %v to a higher epoch, want 1 job", lost)
	}
	h.Seq++
	if lost := s.ApplyHeartbeat(0, 0, h, ownedJobs(map[string]unit.Epoch{"j": 4})); len(lost) != 0 {
		t.Errorf("lost %v to a lower epoch", lost)
	}
}

func TestJobsAreListedAfterFleetRestart(t *testing.T) {
	listings := func(uptime clock.Millis) int {
		s := &State{Self: "a"}
		n := 0
		for now := clock.Millis(0); now < 2000; now += 100 {
			receive(s, now, op.Heartbeat{Instance: "b", Seq: int64(now) + 1, Uptime: uptime + now})
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
	receive(a, 0, op.Heartbeat{Instance: "b", Seq: 1})
	want := 0
	if a.RanksFirst(0, "jobs") {
		want = 1
	}
	if got := listings(0); got != want {
		t.Errorf("listed %d times, want %d", got, want)
	}
	if got := listings(60_000); got != 0 {
		t.Errorf("listed %d times although a peer knows the jobs", got)
	}
}

func TestFewInstancesWatchTheStore(t *testing.T) {
	for _, n := range []int{1, 2, 3, 9, 71} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			var names []unit.Instance
			for i := range n {
				names = append(names, unit.Instance(fmt.Sprint("i", i)))
			}
			watching := make(map[string]bool)
			var watchers []string
			for _, own := range names {
				s := &State{Self: own}
				for _, o := range names {
					if o != own {
						receive(s, 0, op.Heartbeat{Instance: o, Seq: 1, Address: string(o)})
					}
				}
				if a := s.WatcherAddress(0); a == "" {
					watching[string(own)] = true
				} else {
					watchers = append(watchers, a)
				}
			}
			if want := min(n, max(minWatchers, n/instancesPerWatcher)); len(watching) != want {
				t.Errorf("%d instances watch the store, want %d", len(watching), want)
			}
			for _, a := range watchers {
				if !watching[a] {
					t.Errorf("%s is used as a watcher but does not watch the store", a)
				}
			}
		})
	}
}

func TestHeartbeatIntervalGrowsWithFleet(t *testing.T) {
	tests := map[string]struct {
		peers int
		want  clock.Millis
	}{
		"small":      {11, minInterval},
		"large":      {65, 2 * minInterval},
		"very large": {299, 3 * minInterval},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := &State{Self: "a"}
			for i := range tt.peers {
				receive(s, 0, op.Heartbeat{Instance: unit.Instance(fmt.Sprint("b", i)), Seq: 1})
			}
			if got := s.HeartbeatInterval(); got != tt.want {
				t.Errorf("heartbeat interval %d ms, want %d ms", got, tt.want)
			}
		})
	}
}

func TestPeerTimeoutDependsOnItsInterval(t *testing.T) {
	s := &State{Self: "a"}
	receive(s, 0, op.Heartbeat{Instance: "quick", Seq: 1, Next: minInterval})
	receive(s, 0, op.Heartbeat{Instance: "slow", Seq: 1, Next: 2 * minInterval})
	if s.Live(minPeerTimeout, "quick") || !s.Live(minPeerTimeout, "slow") {
		t.Error("want the peer with the short interval dead and the one with the long interval alive")
	}
	if s.Live(maxMissedBeats*2*minInterval+networkDelay, "slow") {
		t.Error("a peer is alive after its timeout")
	}
}

func TestPredecessorsAreNewestJobsOfSeries(t *testing.T) {
	s := &State{Self: "a"}
	receiveJobs := func(seq int64, ids ...string) {
		h := op.Heartbeat{Instance: "b", Seq: seq, Address: "b:1"}
		for _, id := range ids {
			h.Jobs = append(h.Jobs, op.JobStatus{ID: id, Epoch: 1, Closed: true, Series: 7})
		}
		receive(s, 0, h)
	}
	receiveJobs(1, "1")
	receiveJobs(2, "1", "2")
	receiveJobs(3, "1", "2", "3")
	s.UpdateJob(op.JobStatus{ID: "4", Epoch: 1, Series: 7}, "a")
	s.UpdateJob(op.JobStatus{ID: "5", Epoch: 1, Series: 8}, "a")
	s.UpdateJob(op.JobStatus{ID: "6", Epoch: 1, Series: 7}, "a")
	got := s.Predecessors(1, 7, "6")
	want := []Predecessor{{Job: "4"}, {Job: "3", Address: "b:1"}, {Job: "2", Address: "b:1"}}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got %v, want %v", got, want)
	}
	if got := s.Predecessors(minPeerTimeout, 7, "6"); len(got) != 1 {
		t.Errorf("got %v, want only the job of this instance since the other owner is dead", got)
	}
}

// TestUnlistedPeersAreBounded guards against datagrams under ever new names, which anybody
// may send: they may not take memory without end, and registered peers are still heard.
func TestUnlistedPeersAreBounded(t *testing.T) {
	s := &State{Self: "self"}
	s.AddPeers(map[unit.Instance]string{"listed": "127.0.0.1:1"})
	for n := range 20_000 {
		h := op.Heartbeat{Instance: unit.Instance(fmt.Sprint("forged-", n)), Incarnation: "x#1", Seq: 1}
		for i := range 100 {
			h.Jobs = append(h.Jobs, op.JobStatus{ID: fmt.Sprint(n, "-", i), Epoch: 1})
		}
		s.ApplyHeartbeat(0, 0, h, ownedJobs(nil))
	}
	if s.unlistedCost > maxUnlistedCost || len(s.Peers) > maxUnlistedCost/heartbeatCost || len(s.jobs) > maxUnlistedJobs {
		t.Errorf("%d peers, %d jobs, %d bytes", len(s.Peers), len(s.jobs), s.unlistedCost)
	}
	s.ApplyHeartbeat(0, 0, op.Heartbeat{Instance: "listed", Incarnation: "l#1", Seq: 1, Jobs: []op.JobStatus{{ID: "j", Epoch: 1}}}, ownedJobs(nil))
	if !s.Live(0, "listed") || !s.Known("j") {
		t.Error("a registered peer is not heard any more")
	}
	addresses := make(map[unit.Instance]string)
	for id := range s.Peers {
		addresses[id] = "127.0.0.1:2"
	}
	s.AddPeers(addresses)
	if s.unlistedCost != 0 {
		t.Errorf("%d bytes of peers that are registered count as unlisted", s.unlistedCost)
	}
}

// TestMissingJobsAreForgotten guards against a job that no instance has and that every
// instance asks the store for, again and again.
func TestMissingJobsAreForgotten(t *testing.T) {
	s := &State{Self: "self"}
	s.AddPeers(map[unit.Instance]string{"p": "127.0.0.1:1"})
	s.ApplyHeartbeat(0, 0, op.Heartbeat{Instance: "p", Incarnation: "p#1", Seq: 1, Jobs: []op.JobStatus{{ID: "owned", Epoch: 1, Series: 3}}}, ownedJobs(nil))
	s.UpdateJob(op.JobStatus{ID: "orphan", Series: 3}, "")
	s.ForgetMissing(0, "owned")
	s.ForgetMissing(0, "orphan")
	if !s.Known("owned") || s.Known("orphan") || len(s.SeriesJobs(3)) != 1 {
		t.Errorf("owned: %t, orphan: %t, series: %v", s.Known("owned"), s.Known("orphan"), s.SeriesJobs(3))
	}
	s.ForgetMissing(1_000_000, "owned")
	if s.Known("owned") {
		t.Error("a missing job of a dead peer is not forgotten")
	}
}
