package edge

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// fleetState returns the state of an instance in a fleet, and a heartbeat of
// each other instance.
func fleetState(others, targets int) (*State, []op.Beat) {
	site := platform.Site{Instance: "self", DataCentre: "north", IP: "127.0.0.1", PeerPort: 1}
	s := NewState(site, "self#1", 1)
	var entries []platform.TargetEntry
	for i := range targets {
		entries = append(entries, platform.TargetEntry{
			Target: unit.Target(fmt.Sprintf("i-%06d", i)), Pool: "p", Address: fmt.Sprintf("10.0.0.%d:80", i), Slots: 8,
		})
	}
	s.Reduce(1, op.TargetsListed{Entries: entries})
	var beats []op.Beat
	for i := range others {
		id := unit.Instance(fmt.Sprintf("edge-%03d", i))
		b := op.Beat{
			Instance: id, Incarnation: unit.Incarnation(id) + "#00001769000000000000", Seq: 1, Address: fmt.Sprintf("10.1.0.%d:7000", i),
			DataCentre: "north", Wall: 1769000000000, Uptime: 9000,
			Running: map[unit.Target]int{entries[i%targets].Target: 3, entries[(i+7)%targets].Target: 2},
		}
		counts := op.SourceCounts{Source: b.Incarnation}
		for w := range 4 {
			counts.Counts = append(counts.Counts, op.WindowCount{Window: unit.Window(353445120 + i%2), Workspace: unit.Workspace(fmt.Sprintf("w%d", w)), Count: 12})
		}
		b.Counts = []op.SourceCounts{counts}
		if i%7 == 0 {
			b.Jobs = []op.JobNote{{ID: fmt.Sprintf("7c41e09b52d6%04d", i), Epoch: 1}, {ID: fmt.Sprintf("8c41e09b52d6%04d", i), Epoch: 1, Closed: true}}
			b.Demands = []op.Demand{{Model: "m", Newest: 3, Waiting: 4, MinWaiting: 3}}
		}
		beats = append(beats, b)
	}
	return s, beats
}

// FuzzBeat checks that no datagram makes an instance panic, whoever sends it.
func FuzzBeat(f *testing.F) {
	_, beats := fleetState(3, 3)
	for _, b := range beats {
		raw, err := cbor.Marshal(b)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(_ *testing.T, raw []byte) {
		var b op.Beat
		if cbor.Unmarshal(raw, &b) != nil {
			return
		}
		s, _ := fleetState(2, 2)
		s.Reduce(100, op.BeatHeard{Beat: b})
		s.Reduce(150, op.Tick{Wall: 1769000000000})
	})
}

// BenchmarkHeartbeatReceived measures a heartbeat's effect on the state,
// without decoding.
func BenchmarkHeartbeatReceived(b *testing.B) {
	s, beats := fleetState(70, 45)
	now := clock.Millis(100)
	for i := 0; b.Loop(); i++ {
		beat := beats[i%len(beats)]
		beat.Seq = int64(i + 2)
		now += 3
		s.Reduce(now, op.BeatHeard{Beat: beat})
	}
}

// BenchmarkHeartbeatDecoded measures the decoding of a heartbeat and its size.
func BenchmarkHeartbeatDecoded(b *testing.B) {
	_, beats := fleetState(70, 45)
	raw, err := cbor.Marshal(beats[0])
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(raw)), "bytes")
	for b.Loop() {
		var beat op.Beat
		if err := cbor.Unmarshal(raw, &beat); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkTick measures a tick that sends no heartbeat.
func BenchmarkTick(b *testing.B) {
	s, beats := fleetState(70, 45)
	for _, beat := range beats {
		s.Reduce(100, op.BeatHeard{Beat: beat})
	}
	for i := 0; b.Loop(); i++ {
		s.nextHeartbeatAt = 1 << 40
		s.Reduce(100, op.Tick{Wall: 1769000000000})
	}
}

// BenchmarkHeartbeatsSent measures the making of a heartbeat, without encoding.
func BenchmarkHeartbeatsSent(b *testing.B) {
	s, beats := fleetState(70, 45)
	for _, beat := range beats {
		s.Reduce(100, op.BeatHeard{Beat: beat})
	}
	for b.Loop() {
		var out op.List
		s.sendHeartbeats(100, &out)
	}
}
