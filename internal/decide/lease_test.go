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
	// timeStep is how far the clock advances in one move.
	timeStep = lease.Duration / 2
)

// leaseCall is a call of an instance to the store: a write if Write is set,
// else a read. Applied is set once the store has processed it.
type leaseCall struct {
	Write   *op.WriteLease
	SentAt  clock.Millis
	Applied bool
	Rev     int64
	Result  op.Result
	Record  op.LeaseRecord
}

// leaseModel consists of two instances that want the same lease, and a store.
// An instance that is not ticked while time advances is a paused process.
type leaseModel struct {
	Now clock.Millis
	// Obj is the lease in the store, and Revs the last revision assigned.
	Obj  storedObject[op.LeaseRecord]
	Revs int64
	// Nodes are the two instances, and Calls the call of each that is in flight.
	Nodes [2]lease.State
	Calls [2]*leaseCall
	// Late holds, for each instance, a write whose result it counts as lost and
	// that may still reach the store.
	Late [2]*op.WriteLease
	// Top is the highest fencing token under which an instance held the lease,
	// TopBy that instance.
	Top   unit.Fence
	TopBy int
	// Sending is set if instances send calls under the lease. Sent is the last one
	// of each instance that may still arrive at its receiver.
	Sending bool
	Sent    [2]*sentCall
	failure string
}

// sentCall is a call that was sent under a lease and may arrive before Deadline.
// Ended is set once its sender has stopped waiting for the answer.
type sentCall struct {
	Fence    unit.Fence
	Deadline clock.Millis
	Ended    bool
}

func (m *leaseModel) clone() model {
	c := deepCopy(*m)
	return &c
}

// stateKey makes all times relative to now, so that states which differ only in
// the absolute time are equal.
func (m *leaseModel) stateKey() any {
	c := deepCopy(*m)
	for i := range c.Nodes {
		for _, l := range c.Nodes[i].Leases {
			l.Until, l.SeenAt, l.NextAt = l.Until-c.Now, l.SeenAt-c.Now, max(l.NextAt-c.Now, 0)
			l.EndedAt, l.Calls.SettledAt = max(l.EndedAt-c.Now, -lease.Grace), max(l.Calls.SettledAt-c.Now, 0)
			l.Calls.Unanswered = 0
		}
		if c.Sent[i] != nil {
			c.Sent[i].Deadline -= c.Now
		}
		if c.Calls[i] != nil {
			c.Calls[i].SentAt -= c.Now
		}
	}
	c.Now = 0
	return c
}

// leaseMoves are the kinds of moves; all but "time" exist once per instance.
// "apply" lets the store process the instance's call, "answer" delivers the
// result, "lose" loses the call or its result, "arrive late" lets the write in
// Late reach the store, and "round" is a tick whose calls all complete. "stop"
// makes the instance give up the lease. "send" sends a call under the lease,
// "answered" and "unanswered" end it.
var leaseMoves = []string{"time", "tick", "apply", "answer", "lose", "arrive late", "round", "stop", "send", "answered", "unanswered"}

// leaseMoveName returns the name of a move and the instance that makes it. Move
// 0 advances the clock.
func leaseMoveName(k int) string {
	if k == 0 {
		return leaseMoves[0]
	}
	return fmt.Sprintf("%s %d", leaseMoves[(k-1)/2+1], (k-1)%2)
}

func (m *leaseModel) moveCount() int { return 1 + 2*(len(leaseMoves)-1) }

func (m *leaseModel) tryMove(k int) bool {
	if k == 0 {
		m.Now += timeStep
		return true
	}
	i := (k - 1) % 2
	c := m.Calls[i]
	switch leaseMoves[(k-1)/2+1] {
	case "tick":
		if c != nil {
			return false
		}
		m.reduce(i, op.Tick{})
	case "apply":
		if c == nil || c.Applied {
			return false
		}
		m.applyInStore(c)
	case "answer":
		if c == nil || !c.Applied {
			return false
		}
		m.Calls[i] = nil
		m.deliverResult(i, c, c.Result)
	case "lose":
		if c == nil {
			return false
		}
		if c.Write != nil && !c.Applied {
			m.Late[i] = c.Write
		}
		m.Calls[i] = nil
		m.deliverResult(i, c, op.Lost)
	case "round":
		if c != nil {
			return false
		}
		m.tickAndComplete(i)
	case "arrive late":
		if m.Late[i] == nil {
			return false
		}
		m.Obj.put(m.Late[i].Record, int64(m.Late[i].IfRev), &m.Revs)
		m.Late[i] = nil
	default:
		if !m.Sending || !m.trySend(i, leaseMoves[(k-1)/2+1]) {
			return false
		}
	}
	m.check()
	return true
}

// trySend makes a move that concerns the calls under the lease, or returns false
// if it is not possible now. A call that was written arrives at the latest Grace
// after the term of its sender, and Grace after its sender stopped waiting.
func (m *leaseModel) trySend(i int, move string) bool {
	s, call := &m.Nodes[i], m.Sent[i]
	fence, until, held := s.Held(scope, m.Now)
	switch {
	case move == "stop" && held:
		s.SetWanted(scope, false)
	case move == "send" && held && (call == nil || call.Ended):
		s.StartCall(scope)
		m.Sent[i] = &sentCall{Fence: fence, Deadline: until + lease.Grace}
	case move == "answered" && call != nil && !call.Ended:
		s.EndCall(m.Now, scope, op.Done)
		m.Sent[i] = nil
	case move == "unanswered" && call != nil && !call.Ended:
		s.EndCall(m.Now, scope, op.Lost)
		call.Ended, call.Deadline = true, min(call.Deadline, m.Now+lease.Grace)
	default:
		return false
	}
	return true
}

// applyInStore lets the store process a call.
func (m *leaseModel) applyInStore(c *leaseCall) {
	c.Applied, c.Result = true, op.Done
	if c.Write != nil {
		c.Rev, c.Result = m.Obj.put(c.Write.Record, int64(c.Write.IfRev), &m.Revs)
		return
	}
	c.Rev, c.Record = m.Obj.Rev, m.Obj.Record
}

// deliverResult delivers the result of a call to the instance that made it.
func (m *leaseModel) deliverResult(i int, c *leaseCall, r op.Result) {
	if c.Write != nil {
		m.reduce(i, op.LeaseWritten{Scope: scope, Result: r, Record: c.Write.Record, Revision: unit.Revision(c.Rev), SentAt: c.SentAt})
		return
	}
	m.reduce(i, op.LeaseRead{Scope: scope, Result: r, Record: c.Record, Revision: unit.Revision(c.Rev)})
}

// reduce applies an event to an instance and starts the call that it asks for.
func (m *leaseModel) reduce(i int, ev op.Event) {
	var out op.List
	m.Nodes[i].Reduce(m.Now, ev, &out)
	for _, e := range out {
		switch e := e.(type) {
		case op.ReadLease:
			m.Calls[i] = &leaseCall{SentAt: m.Now}
		case op.WriteLease:
			m.Calls[i] = &leaseCall{Write: &e, SentAt: m.Now}
		}
	}
}

// check verifies that at most one instance holds the lease and that the fencing
// token rises with each new holder.
func (m *leaseModel) check() {
	held := 0
	for i := range m.Nodes {
		f, _, ok := m.Nodes[i].Held(scope, m.Now)
		if !ok {
			continue
		}
		held++
		if f < m.Top || f == m.Top && i != m.TopBy {
			m.failure = fmt.Sprintf("instance %d holds the lease with fencing token %d after instance %d held it with %d", i, f, m.TopBy, m.Top)
		}
		m.Top, m.TopBy = f, i
		for from, call := range m.Sent {
			if call != nil && call.Fence < f && m.Now < call.Deadline {
				m.failure = fmt.Sprintf("instance %d holds the lease with fencing token %d while a call of instance %d with %d may arrive", i, f, from, call.Fence)
			}
		}
	}
	if held > 1 {
		m.failure = "two instances hold the lease at once"
	}
}

func (m *leaseModel) violation() string { return m.failure }

// newLeaseModel starts with instance 0 as holder and instance 1 aware of it.
func newLeaseModel() *leaseModel {
	m := &leaseModel{}
	for i, name := range []unit.Incarnation{"a#1", "b#1"} {
		m.Nodes[i].Self = name
		m.Nodes[i].SetWanted(scope, true)
	}
	for range 2 {
		for i := range m.Nodes {
			m.tickAndComplete(i)
		}
		m.Now += timeStep
	}
	return m
}

// tickAndComplete ticks an instance and completes the calls that it makes.
func (m *leaseModel) tickAndComplete(i int) {
	m.reduce(i, op.Tick{})
	for m.Calls[i] != nil {
		c := m.Calls[i]
		m.applyInStore(c)
		m.Calls[i] = nil
		m.deliverResult(i, c, c.Result)
	}
}

// TestAtMostOneLeaseHolder explores all sequences of ticks and pauses, and of
// calls that complete, fail or reach the store late, with two instances.
func TestAtMostOneLeaseHolder(t *testing.T) {
	depth := 10
	if testing.Short() {
		depth = 7
	}
	n := explore(t, newLeaseModel(), depth, leaseMoveName)
	t.Logf("%d states to depth %d", n, depth)
}

// TestNoCallIsOvertakenByHigherFence explores the same sequences with instances
// that send calls under the lease and give it up.
func TestNoCallIsOvertakenByHigherFence(t *testing.T) {
	depth := 8
	if testing.Short() {
		depth = 6
	}
	m := newLeaseModel()
	m.Sending = true
	n := explore(t, m, depth, leaseMoveName)
	t.Logf("%d states to depth %d", n, depth)
}

// TestLeaseTakeoverAfterCrash checks that another instance acquires the lease
// within 10 s after the holder stops, including the time for ticks and polls.
func TestLeaseTakeoverAfterCrash(t *testing.T) {
	m := newLeaseModel()
	stopped := m.Now
	for m.Now-stopped < 10*clock.Second {
		m.Now += 100
		m.tickAndComplete(1)
		if _, _, ok := m.Nodes[1].Held(scope, m.Now); ok {
			t.Logf("lease acquired %d ms after the holder stopped", m.Now-stopped)
			return
		}
	}
	t.Fatal("lease not acquired within 10 s after the holder stopped")
}
