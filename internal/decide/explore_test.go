package decide

import (
	"encoding/json"
	"hash/maphash"
	"testing"

	"github.com/catkinhead/catkinhead/internal/op"
)

// model is a small system whose reachable states are explored exhaustively. In
// each state one of a fixed number of moves happens next.
type model interface {
	// clone returns a copy of everything that tryMove changes.
	clone() model
	// moveCount is the number of moves.
	moveCount() int
	// tryMove makes the k-th move, or returns false if it is not possible now.
	tryMove(k int) bool
	// violation describes a broken invariant, or is empty.
	violation() string
	// stateKey is equal for states that behave alike from here on.
	stateKey() any
}

// reachedState is a state and the moves that led to it.
type reachedState struct {
	m    model
	path []int
}

// explore visits all states that at most depth moves can reach, each distinct
// state once, and returns their number. It fails the test if a state violates
// an invariant.
func explore(t *testing.T, start model, depth int, name func(int) string) int {
	t.Helper()
	seed := maphash.MakeSeed()
	seen := map[uint64]bool{hashState(seed, start): true}
	frontier := []reachedState{{m: start}}
	for range depth {
		var next []reachedState
		for _, s := range frontier {
			for k := range s.m.moveCount() {
				m := s.m.clone()
				if !m.tryMove(k) {
					continue
				}
				path := append(append([]int(nil), s.path...), k)
				if w := m.violation(); w != "" {
					t.Fatalf("%s after %s", w, moveNames(path, name))
				}
				h := hashState(seed, m)
				if !seen[h] {
					seen[h] = true
					next = append(next, reachedState{m, path})
				}
			}
		}
		frontier = next
	}
	return len(seen)
}

// hashState hashes the stateKey of a model.
func hashState(seed maphash.Seed, m model) uint64 {
	b, err := json.Marshal(m.stateKey())
	if err != nil {
		panic(err)
	}
	return maphash.Bytes(seed, b)
}

// moveNames returns the names of the moves in a path.
func moveNames(path []int, name func(int) string) []string {
	var out []string
	for _, k := range path {
		out = append(out, name(k))
	}
	return out
}

// deepCopy copies the exported fields of a value by encoding it as JSON.
func deepCopy[T any](v T) T {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	var out T
	if err := json.Unmarshal(b, &out); err != nil {
		panic(err)
	}
	return out
}

// storedObject is an object in the store, with its revision.
type storedObject[R any] struct {
	Rev    int64
	Record R
}

// put writes the object if it still has the revision ifRev, and returns the new
// revision. lastRev is the last revision that the store has assigned.
func (c *storedObject[R]) put(r R, ifRev int64, lastRev *int64) (int64, op.Result) {
	if c.Rev != ifRev {
		return 0, op.Conflict
	}
	*lastRev++
	c.Rev, c.Record = *lastRev, r
	return c.Rev, op.Done
}
