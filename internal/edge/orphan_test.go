package edge

import (
	"testing"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
)

// ownerState returns the state of an instance that owns job j under epoch 2. It
// knows no peer.
func ownerState() *State {
	s := NewState(platform.Environment{Instance: "self"}, "self#1", 1)
	s.Table = testTable()
	s.Reduce(1, op.JobOwnershipGained{Epoch: 2, Shape: op.JobShape{ID: "j", Route: "r", Pool: "p", Items: make([]op.ItemShape, 2)}})
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
