package edge

import (
	"testing"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// ownerState returns the state of an instance that owns job j under epoch 2. It
// knows no peer.
func ownerState() *State {
	s := NewState(platform.Environment{Instance: "self"}, "self#1", 1)
	s.Table = testTable()
	s.Reduce(1, op.JobOwnershipGained{Epoch: 2, Shape: op.JobShape{ID: "j", Route: "r", Items: make([]op.ItemShape, 2)}})
	return s
}

// tookOver reports whether the state takes over job j in the ticks from one time
// to another, which it applies.
func tookOver(s *State, from, to clock.Millis) bool {
	for now := from; now <= to; now += 50 {
		for _, e := range s.Reduce(now, op.Tick{}) {
			if take, ok := e.(op.TakeOverJob); ok && take.Job == "j" {
				return true
			}
		}
	}
	return false
}

// A later owner can fail before its first heartbeat arrives. The former owner
// then learns of it only from the chunk that the later owner has stored.
func TestJobOfFailedLaterOwnerIsTakenOver(t *testing.T) {
	s := ownerState()
	conflict := op.ChunkAppended{Job: "j", Chunk: 0, Result: op.Conflict, Other: op.ChunkShape{Owner: "later", Epoch: 3}}
	s.Reduce(100, conflict)
	if s.Batch.Jobs["j"] != nil {
		t.Fatal("the former owner has kept the job")
	}
	if tookOver(s, 150, 550) {
		t.Error("the job was taken over before the later owner could send a heartbeat")
	}
	if !tookOver(s, 600, 2000) {
		t.Error("no instance took the job over")
	}
}

// TestJobOfPeerThatStoppedRunningItAheadIsTakenOver guards against an accepted job that
// nobody runs (LOST): it was run ahead by a peer that lists it no more, although the
// peer is alive again or still alive.
func TestJobOfPeerThatStoppedRunningItAheadIsTakenOver(t *testing.T) {
	// peer runs job j ahead. self ranks first for the job.
	const peer unit.Instance = "peer"
	heartbeat := func(incarnation unit.Incarnation, seq int64, ahead ...string) op.HeartbeatReceived {
		return op.HeartbeatReceived{Heartbeat: op.Heartbeat{Instance: peer, Incarnation: incarnation, Seq: seq, Next: 250, Ahead: ahead}}
	}
	tests := map[string]struct {
		// before are the heartbeats before the job is found in the store, after those
		// that follow.
		before, after []op.HeartbeatReceived
		want          bool
	}{
		"killed and restarted at once": {
			[]op.HeartbeatReceived{heartbeat("peer#1", 1, "j")},
			[]op.HeartbeatReceived{heartbeat("peer#2", 1)},
			true,
		},
		"restarted twice": {
			[]op.HeartbeatReceived{heartbeat("peer#1", 1, "j")},
			[]op.HeartbeatReceived{heartbeat("peer#2", 1), heartbeat("peer#3", 1)},
			true,
		},
		"late datagram of the killed process": {
			[]op.HeartbeatReceived{heartbeat("peer#1", 1, "j")},
			[]op.HeartbeatReceived{heartbeat("peer#2", 1), heartbeat("peer#1", 2, "j"), heartbeat("peer#2", 2)},
			true,
		},
		"given up by the same process": {
			[]op.HeartbeatReceived{heartbeat("peer#1", 1, "j")},
			[]op.HeartbeatReceived{heartbeat("peer#1", 2)},
			true,
		},
		"restarted before the job was found": {
			[]op.HeartbeatReceived{heartbeat("peer#1", 1, "j"), heartbeat("peer#2", 1)},
			[]op.HeartbeatReceived{heartbeat("peer#2", 2)},
			true,
		},
		"still run ahead": {
			[]op.HeartbeatReceived{heartbeat("peer#1", 1, "j")},
			[]op.HeartbeatReceived{heartbeat("peer#1", 2, "j")},
			false,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := NewState(platform.Environment{Instance: "self"}, "self#1", 1)
			s.Table = testTable()
			now := clock.Millis(100)
			for _, h := range tt.before {
				s.Reduce(now, h)
				now += 100
			}
			s.Reduce(now, op.StoredJobFound{Job: "j"})
			for _, h := range tt.after {
				now += 100
				s.Reduce(now, h)
			}
			// The peer goes on listing the same.
			last := tt.after[len(tt.after)-1]
			taken := false
			for range 5 {
				taken = taken || tookOver(s, now, now+200)
				now += 250
				last.Heartbeat.Seq++
				s.Reduce(now, last)
			}
			if !s.Heartbeats.RanksFirst(now, "j") {
				t.Fatal("the peer ranks first for the job: the test needs other names")
			}
			if taken != tt.want {
				t.Errorf("taken over: %t, want %t", taken, tt.want)
			}
		})
	}
}
