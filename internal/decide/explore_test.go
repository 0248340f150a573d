package decide

import (
	"encoding/json"
	"hash/maphash"
	"testing"

	"github.com/catkinhead/catkinhead/internal/op"
)

// model is a small world in which one of several things happens next.
type model interface {
	// clone copies all that do changes.
	clone() model
	// moves is how many things might happen.
	moves() int
	// do lets the k-th happen, and returns false if it cannot now.
	do(k int) bool
	// wrong says what must not be so, or is empty.
	wrong() string
	// key is equal for worlds that go on alike.
	key() any
}

// world is one world and how it came about.
type world struct {
	m     model
	trail []int
}

// explore goes through all orders of moves up to a depth, worlds that are
// alike only once, and returns how many there were.
func explore(t *testing.T, start model, depth int, name func(int) string) int {
	t.Helper()
	seed := maphash.MakeSeed()
	seen := map[uint64]bool{keyOf(seed, start): true}
	front := []world{{m: start}}
	for range depth {
		var next []world
		for _, s := range front {
			for k := range s.m.moves() {
				m := s.m.clone()
				if !m.do(k) {
					continue
				}
				trail := append(append([]int(nil), s.trail...), k)
				if w := m.wrong(); w != "" {
					t.Fatalf("%s after %s", w, names(trail, name))
				}
				h := keyOf(seed, m)
				if !seen[h] {
					seen[h] = true
					next = append(next, world{m, trail})
				}
			}
		}
		front = next
	}
	return len(seen)
}

func keyOf(seed maphash.Seed, m model) uint64 {
	b, err := json.Marshal(m.key())
	if err != nil {
		panic(err)
	}
	return maphash.Bytes(seed, b)
}

func names(trail []int, name func(int) string) []string {
	var out []string
	for _, k := range trail {
		out = append(out, name(k))
	}
	return out
}

// copyOf copies a state through its text, which holds all of it.
func copyOf[T any](v T) T {
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

// cell is one object of a store.
type cell[R any] struct {
	Rev    int64
	Record R
}

// put writes conditionally.
func (c *cell[R]) put(r R, ifRev int64, next *int64) (int64, op.Result) {
	if c.Rev != ifRev {
		return 0, op.Conflict
	}
	*next++
	c.Rev, c.Record = *next, r
	return c.Rev, op.Done
}
