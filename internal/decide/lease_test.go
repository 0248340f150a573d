package decide

import (
	"fmt"
	"testing"

	"github.com/catkinhead/catkinhead/internal/lease"
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	scope unit.Scope = "s"
	// leap is how far time goes on in one move.
	leap = lease.Duration / 2
)

// leaseCall is a call of an instance on its way.
type leaseCall struct {
	Write   *op.WriteLease
	SentAt  clock.Millis
	Applied bool
	Rev     int64
	Result  op.Result
	Record  op.LeaseRecord
}

// leaseWorld is two instances and a store. A move that does not come is a
// pause: an instance that is not ticked is frozen.
type leaseWorld struct {
	Now   clock.Millis
	Obj   cell[op.LeaseRecord]
	Revs  int64
	Nodes [2]lease.State
	Calls [2]*leaseCall
	// Late is a write whose sender gave it up and that may still arrive.
	Late [2]*op.WriteLease
	// Top is the highest fencing number under which anybody held, TopBy who.
	Top   unit.Fence
	TopBy int
	bad   string
}

func (w *leaseWorld) clone() model {
	c := copyOf(*w)
	return &c
}

func (w *leaseWorld) key() any {
	c := copyOf(*w)
	for i := range c.Nodes {
		for _, l := range c.Nodes[i].Leases {
			l.Until, l.SeenAt, l.NextAt = l.Until-c.Now, l.SeenAt-c.Now, max(l.NextAt-c.Now, 0)
		}
		if c.Calls[i] != nil {
			c.Calls[i].SentAt -= c.Now
		}
	}
	c.Now = 0
	return c
}

var leaseMoves = []string{"time", "tick", "apply", "answer", "lose", "arrive late", "round"}

func leaseMove(k int) string {
	if k == 0 {
		return leaseMoves[0]
	}
	return fmt.Sprintf("%s %d", leaseMoves[(k-1)/2+1], (k-1)%2)
}

func (w *leaseWorld) moves() int { return 1 + 2*(len(leaseMoves)-1) }

func (w *leaseWorld) do(k int) bool {
	if k == 0 {
		w.Now += leap
		return true
	}
	i := (k - 1) % 2
	c := w.Calls[i]
	switch leaseMoves[(k-1)/2+1] {
	case "tick":
		if c != nil {
			return false
		}
		w.reduce(i, op.Tick{})
	case "apply":
		if c == nil || c.Applied {
			return false
		}
		w.apply(c)
	case "answer":
		if c == nil || !c.Applied {
			return false
		}
		w.Calls[i] = nil
		w.answer(i, c, c.Result)
	case "lose":
		if c == nil {
			return false
		}
		if c.Write != nil && !c.Applied {
			w.Late[i] = c.Write
		}
		w.Calls[i] = nil
		w.answer(i, c, op.Lost)
	case "round":
		if c != nil {
			return false
		}
		w.round(i)
	case "arrive late":
		if w.Late[i] == nil {
			return false
		}
		w.Obj.put(w.Late[i].Record, int64(w.Late[i].IfRev), &w.Revs)
		w.Late[i] = nil
	}
	w.check()
	return true
}

func (w *leaseWorld) apply(c *leaseCall) {
	c.Applied, c.Result = true, op.Done
	if c.Write != nil {
		c.Rev, c.Result = w.Obj.put(c.Write.Record, int64(c.Write.IfRev), &w.Revs)
		return
	}
	c.Rev, c.Record = w.Obj.Rev, w.Obj.Record
}

func (w *leaseWorld) answer(i int, c *leaseCall, r op.Result) {
	if c.Write != nil {
		w.reduce(i, op.LeaseWritten{Scope: scope, Result: r, Record: c.Write.Record, Revision: unit.Revision(c.Rev), SentAt: c.SentAt})
		return
	}
	w.reduce(i, op.LeaseRead{Scope: scope, Result: r, Record: c.Record, Revision: unit.Revision(c.Rev)})
}

func (w *leaseWorld) reduce(i int, ev op.Event) {
	var out op.List
	w.Nodes[i].Reduce(w.Now, ev, &out)
	for _, e := range out {
		switch e := e.(type) {
		case op.ReadLease:
			w.Calls[i] = &leaseCall{SentAt: w.Now}
		case op.WriteLease:
			w.Calls[i] = &leaseCall{Write: &e, SentAt: w.Now}
		}
	}
}

// check finds two holders at once, or a holder under an old number.
func (w *leaseWorld) check() {
	held := 0
	for i := range w.Nodes {
		f, _, ok := w.Nodes[i].Holds(scope, w.Now)
		if !ok {
			continue
		}
		held++
		if f < w.Top || f == w.Top && i != w.TopBy {
			w.bad = fmt.Sprintf("instance %d holds under %d after instance %d did under %d", i, f, w.TopBy, w.Top)
		}
		w.Top, w.TopBy = f, i
	}
	if held > 1 {
		w.bad = "two instances hold at once"
	}
}

func (w *leaseWorld) wrong() string { return w.bad }

// newLeaseWorld starts with instance 0 holding, which instance 1 has seen.
func newLeaseWorld() *leaseWorld {
	w := &leaseWorld{}
	for i, name := range []unit.Incarnation{"a#1", "b#1"} {
		w.Nodes[i].Self = name
		w.Nodes[i].Want(scope, true)
	}
	for range 2 {
		for i := range w.Nodes {
			w.round(i)
		}
		w.Now += leap
	}
	return w
}

// round ticks an instance and lets its calls through at once.
func (w *leaseWorld) round(i int) {
	w.reduce(i, op.Tick{})
	for w.Calls[i] != nil {
		c := w.Calls[i]
		w.apply(c)
		w.Calls[i] = nil
		w.answer(i, c, c.Result)
	}
}

// TestOneHolder goes through all orders of ticks, pauses, applied, lost and
// late calls of two instances.
func TestOneHolder(t *testing.T) {
	depth := 10
	if testing.Short() {
		depth = 7
	}
	n := explore(t, newLeaseWorld(), depth, leaseMove)
	t.Logf("%d worlds to depth %d", n, depth)
}

// TestSuccessor checks that a holder that dies is followed within 10 s, polls
// and ticks included.
func TestSuccessor(t *testing.T) {
	w := newLeaseWorld()
	died := w.Now
	for w.Now-died < 10*clock.Second {
		w.Now += 100
		w.round(1)
		if _, _, ok := w.Nodes[1].Holds(scope, w.Now); ok {
			t.Logf("in charge %d ms after the death", w.Now-died)
			return
		}
	}
	t.Fatal("nobody in charge 10 s after the death of the holder")
}
