package edge

import (
	"fmt"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// fleetState returns the state of an instance in a fleet, and a heartbeat of
// each other instance.
func fleetState(others, targets int) (*State, []op.Heartbeat) {
	environment := platform.Environment{Instance: "self", DataCentre: "north", IP: "127.0.0.1", PeerPort: 1}
	s := NewState(environment, "self#1", 1)
	var entries []platform.TargetEntry
	for i := range targets {
		entries = append(entries, platform.TargetEntry{
			Target: unit.Target(fmt.Sprintf("i-%06d", i)), Pool: "p", Address: fmt.Sprintf("10.0.0.%d:80", i), Slots: 8,
		})
	}
	s.Reduce(1, op.TargetsListed{Entries: entries})
	var heartbeats []op.Heartbeat
	for i := range others {
		id := unit.Instance(fmt.Sprintf("edge-%03d", i))
		h := op.Heartbeat{
			Instance: id, Incarnation: unit.Incarnation(id) + "#00001769000000000000", Seq: 1, Address: fmt.Sprintf("10.1.0.%d:7000", i),
			DataCentre: "north", Wall: 1769000000000, Uptime: 9000,
			Running: map[unit.Target]int{entries[i%targets].Target: 3, entries[(i+7)%targets].Target: 2},
		}
		counts := op.SourceCounts{Source: h.Incarnation}
		for w := range 4 {
			counts.Counts = append(counts.Counts, op.WindowCount{Window: unit.Window(353445120 + i%2), Workspace: unit.Workspace(fmt.Sprintf("w%d", w)), Count: 12})
		}
		h.Counts = []op.SourceCounts{counts}
		if i%7 == 0 {
			h.Jobs = []op.JobStatus{{ID: fmt.Sprintf("7c41e09b52d6%04d", i), Epoch: 1}, {ID: fmt.Sprintf("8c41e09b52d6%04d", i), Epoch: 1, Closed: true}}
			h.Demands = []op.Demand{{Model: "m", Newest: 3, Waiting: 4, MinWaiting: 3}}
		}
		heartbeats = append(heartbeats, h)
	}
	return s, heartbeats
}

// FuzzHeartbeat checks that no datagram makes an instance panic.
func FuzzHeartbeat(f *testing.F) {
	_, heartbeats := fleetState(3, 3)
	for _, h := range heartbeats {
		raw, err := cbor.Marshal(h)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(_ *testing.T, raw []byte) {
		var h op.Heartbeat
		if cbor.Unmarshal(raw, &h) != nil {
			return
		}
		s, _ := fleetState(2, 2)
		s.Reduce(100, op.HeartbeatReceived{Heartbeat: h})
		s.Reduce(150, op.Tick{Wall: 1769000000000})
	})
}

// BenchmarkHeartbeatReceived measures a heartbeat's effect on the state,
// without decoding.
func BenchmarkHeartbeatReceived(b *testing.B) {
	s, heartbeats := fleetState(70, 45)
	now := clock.Millis(100)
	for i := 0; b.Loop(); i++ {
		heartbeat := heartbeats[i%len(heartbeats)]
		heartbeat.Seq = int64(i + 2)
		now += 3
		s.Reduce(now, op.HeartbeatReceived{Heartbeat: heartbeat})
	}
}

// BenchmarkHeartbeatDecoded measures the decoding of a heartbeat and its size.
func BenchmarkHeartbeatDecoded(b *testing.B) {
	_, heartbeats := fleetState(70, 45)
	raw, err := cbor.Marshal(heartbeats[0])
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(raw)), "bytes")
	for b.Loop() {
		var heartbeat op.Heartbeat
		if err := cbor.Unmarshal(raw, &heartbeat); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkTick measures a tick that sends no heartbeat.
func BenchmarkTick(b *testing.B) {
	s, heartbeats := fleetState(70, 45)
	for _, heartbeat := range heartbeats {
		s.Reduce(100, op.HeartbeatReceived{Heartbeat: heartbeat})
	}
	for i := 0; b.Loop(); i++ {
		s.nextHeartbeatAt = 1 << 40
		s.Reduce(100, op.Tick{Wall: 1769000000000})
	}
}

// BenchmarkHeartbeatsSent measures how long it takes to build a heartbeat,
// without encoding it.
func BenchmarkHeartbeatsSent(b *testing.B) {
	s, heartbeats := fleetState(70, 45)
	for _, heartbeat := range heartbeats {
		s.Reduce(100, op.HeartbeatReceived{Heartbeat: heartbeat})
	}
	for b.Loop() {
		var out op.List
		s.sendHeartbeats(100, &out)
	}
}

func TestTargetsThatPeersFindSlowAreAvoided(t *testing.T) {
	s, heartbeats := fleetState(2, 3)
	slow := s.Roster.Usable("p")[0].Target
	heartbeats[0].Slow = []unit.Target{slow}
	s.Reduce(100, op.HeartbeatReceived{Heartbeat: heartbeats[0]})
	s.Reduce(110, op.Tick{})
	if !s.Roster.Slow(110, slow) {
		t.Error("the target is not avoided")
	}
	if own := s.Roster.LocalSlow(110); len(own) != 0 {
		t.Errorf("the finding of a peer would be passed on as an own one: %v", own)
	}
	heartbeats[0].Slow, heartbeats[0].Seq = nil, 2
	s.Reduce(200, op.HeartbeatReceived{Heartbeat: heartbeats[0]})
	s.Reduce(210, op.Tick{})
	if s.Roster.Slow(210, slow) {
		t.Error("the target is still avoided")
	}
}

// TestHeartbeatFitsIntoADatagram guards against peers that take each other for dead
// after most of a large fleet has started again: heartbeats with the counts of all
// ended incarnations were longer than a datagram, and were not sent.
func TestHeartbeatFitsIntoADatagram(t *testing.T) {
	const (
		sources    = 80
		workspaces = 80
		windows    = 4
	)
	s, _ := fleetState(70, 45)
	for n := range sources {
		counts := op.SourceCounts{Source: unit.Incarnation(fmt.Sprintf("edge-%03d#00001769000000000000", n))}
		for w := range workspaces {
			for k := range windows {
				counts.Counts = append(counts.Counts, op.WindowCount{
					Window: unit.Window(353445120 + k), Workspace: unit.Workspace(fmt.Sprintf("workspace-%02d", w)), Count: 1234,
				})
			}
		}
		s.Reduce(1, op.HeartbeatReceived{Heartbeat: op.Heartbeat{Instance: "other", Incarnation: "other#1", Seq: int64(n + 1), Counts: []op.SourceCounts{counts}}})
	}
	sent := make(map[unit.Incarnation]bool)
	for round := range sources {
		s.nextCountsAt = 0
		var out op.List
		s.sendHeartbeats(10_000, &out)
		h := out[0].(op.SendHeartbeats).Heartbeat
		raw, err := cbor.Marshal(h)
		if err != nil {
			t.Fatal(err)
		}
		if len(raw) > maxHeartbeatBytes {
			t.Fatalf("heartbeat %d has %d bytes, want at most %d", round, len(raw), maxHeartbeatBytes)
		}
		for _, c := range h.Counts {
			sent[c.Source] = true
		}
	}
	if len(sent) < sources {
		t.Errorf("counts of %d of %d sources were sent", len(sent), sources)
	}
}

// TestHeartbeatFitsWhateverJobsName guards against an instance that its peers take for
// dead, since a caller's job names so many models, or so many jobs have no owner, that its
// heartbeats are too long.
func TestHeartbeatFitsWhateverJobsName(t *testing.T) {
	long := func(n int) string { return fmt.Sprintf("%0*d", maxNameBytes, n) }
	var demands []op.Demand
	var orphans []string
	var jobs []op.JobStatus
	for n := range 3000 {
		demands = append(demands, op.Demand{Model: unit.Model(long(n)), Open: n})
		orphans = append(orphans, long(n))
	}
	for n := range maxOwnedJobs {
		jobs = append(jobs, op.JobStatus{ID: long(n), Epoch: 1 << 40, Series: 1 << 63})
	}
	tests := map[string]struct {
		heartbeat op.Heartbeat
		leavesOut bool
	}{
		"usual":   {op.Heartbeat{Instance: "a", Jobs: jobs[:10], Orphans: orphans[:10], Demands: demands[:4]}, false},
		"demands": {op.Heartbeat{Instance: "a", Demands: demands}, true},
		"orphans": {op.Heartbeat{Instance: "a", Orphans: orphans}, true},
		"jobs":    {op.Heartbeat{Instance: "a", Jobs: jobs}, false},
		"all":     {op.Heartbeat{Instance: "a", Jobs: jobs, Orphans: orphans, Demands: demands}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b, left, err := encodeHeartbeat(tt.heartbeat)
			if err != nil || len(b) > maxHeartbeatBytes || (left != "") != tt.leavesOut {
				t.Fatalf("%d bytes, left out: %q, %v", len(b), left, err)
			}
			var h op.Heartbeat
			if err := cbor.Unmarshal(b, &h); err != nil || len(h.Jobs) != len(tt.heartbeat.Jobs) {
				t.Errorf("%d of %d jobs, %v", len(h.Jobs), len(tt.heartbeat.Jobs), err)
			}
		})
	}
}

// TestNamesOfJobsAreBounded checks which names are refused.
func TestNamesOfJobsAreBounded(t *testing.T) {
	tests := map[string]struct {
		job, model string
		fails      bool
	}{
		"usual":      {"7c41e09b52d6a3f8", "m", false},
		"longest":    {strings.Repeat("j", maxNameBytes), strings.Repeat("m", maxNameBytes), false},
		"long job":   {strings.Repeat("j", maxNameBytes+1), "m", true},
		"long model": {"j", strings.Repeat("m", maxNameBytes+1), true},
		"empty":      {"", "m", true},
		"slash":      {"a/b", "m", true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			err := checkNames(platform.Job{ID: tt.job, Items: []platform.Item{{Model: unit.Model(tt.model)}}})
			if (err != nil) != tt.fails {
				t.Errorf("got %v", err)
			}
		})
	}
}

// TestManyJobsAreTooMany guards against more jobs of an instance than its heartbeats can
// name: closed ones are forgotten, and beyond the bound none is accepted.
func TestManyJobsAreTooMany(t *testing.T) {
	c := newContentStore(0, 0)
	for n := range maxOwnedJobs {
		w := unit.Workspace(fmt.Sprint("w", n%2))
		if c.full(w) {
			t.Fatalf("full with %d jobs", n)
		}
		j := newTestContent()
		j.record.Workspace = w
		j.ended = n%2 == 0
		c.put(fmt.Sprint(n), j)
	}
	if !c.full("w0") || !c.full("w1") {
		t.Error("not full")
	}
	if got := len(c.measure()); got != maxOwnedJobs/2 {
		t.Errorf("%d jobs are to be forgotten", got)
	}
}
