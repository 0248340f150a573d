package decide

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/internal/usage"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const windowLength clock.Millis = 10 * clock.Second

// windowCall is a call of a reporter in flight. One of the first four fields
// says which.
type windowCall struct {
	Read   bool
	Gather *op.Gather
	Seal   *op.Seal
	Report *op.Report
	// Applied is set once the call has been processed; the fields below hold
	// its result.
	Applied bool
	Sealed  *op.SealedRead
	Counts  []op.Counters
	Result  op.Result
	Differ  bool
}

// windowModel consists of two reporters that both believe they hold the lease,
// a store, a usage endpoint, and two sources of usage.
type windowModel struct {
	Wall      clock.Millis
	Reporters [2]usage.State
	Calls     [2]*windowCall
	// Chain holds the sealed windows in the store by sequence number, and
	// Marked the position up to which they are marked as reported.
	Chain  map[int64]op.SealedWindow
	Marked op.MarkReported
	// Intake holds the reports that the usage endpoint has accepted.
	Intake  map[unit.Window][]byte
	Sources [2]op.Counters
	failure string
}

func (m *windowModel) clone() model {
	c := deepCopy(*m)
	return &c
}

func (m *windowModel) stateKey() any { return m }

// windowMoves are the kinds of moves. "time" advances the clock, "count" adds a
// token to a source, and the others concern a reporter: "apply" lets the
// receiver process its call, "apply with one source" lets its call gather the
// counters of the first source only, "answer" delivers the result and "lose"
// loses it.
var windowMoves = []string{"time", "count", "tick", "apply", "apply with one source", "answer", "lose"}

// windowMoveName returns the name of a move and the reporter or source it
// concerns.
func windowMoveName(k int) string { return fmt.Sprintf("%s %d", windowMoves[k/2], k%2) }

func (m *windowModel) moveCount() int { return 2 * len(windowMoves) }

func (m *windowModel) tryMove(k int) bool {
	i := k % 2
	c := m.Calls[i]
	switch windowMoves[k/2] {
	case "time":
		if i == 1 {
			return false
		}
		m.Wall += windowLength
	case "count":
		usage.Add(&m.Sources[i], "w", 1, m.currentWindow())
	case "tick":
		if c != nil {
			return false
		}
		m.reduce(i, op.Tick{Wall: m.Wall})
	case "apply":
		if c == nil || c.Applied {
			return false
		}
		m.applyCall(c, true)
	case "apply with one source":
		if c == nil || c.Applied || c.Gather == nil {
			return false
		}
		m.applyCall(c, false)
	case "answer":
		if c == nil || !c.Applied {
			return false
		}
		m.Calls[i] = nil
		m.deliverResult(i, c)
	case "lose":
		if c == nil || !c.Applied {
			return false
		}
		m.Calls[i] = nil
		c.Result, c.Differ = op.Lost, false
		m.deliverResult(i, c)
	}
	m.check()
	return true
}

// currentWindow returns the usage window at the current time.
func (m *windowModel) currentWindow() unit.Window { return unit.Window(m.Wall / windowLength) }

// reduce applies an event to a reporter and starts the calls that it asks for.
func (m *windowModel) reduce(i int, ev op.Event) {
	var out op.List
	// The reporters' clocks equal the wall clock, and both leases never end.
	m.Reporters[i].Reduce(m.Wall, ev, usage.Lease{Held: true, Fence: unit.Fence(i + 1), Until: 1 << 40}, &out)
	for _, e := range out {
		switch e := e.(type) {
		case op.ReadSealed:
			m.Calls[i] = &windowCall{Read: true}
		case op.Gather:
			m.Calls[i] = &windowCall{Gather: &e}
		case op.Seal:
			m.Calls[i] = &windowCall{Seal: &e}
		case op.Report:
			m.Calls[i] = &windowCall{Report: &e}
		case op.MarkReported:
			if e.Seq > m.Marked.Seq {
				m.Marked = e
			}
		}
	}
}

// applyCall lets the receiver process a call. If allSources is false, gathering
// reaches only the first source.
func (m *windowModel) applyCall(c *windowCall, allSources bool) {
	c.Applied, c.Result = true, op.Done
	switch {
	case c.Read:
		c.Sealed = m.readSealed()
	case c.Gather != nil:
		c.Counts = append(c.Counts, usage.Clone(m.Sources[0]))
		if allSources {
			c.Counts = append(c.Counts, usage.Clone(m.Sources[1]))
		}
	case c.Seal != nil:
		if _, ok := m.Chain[c.Seal.Sealed.Seq]; ok {
			c.Result = op.Conflict
			return
		}
		if m.Chain == nil {
			m.Chain = make(map[int64]op.SealedWindow)
		}
		m.Chain[c.Seal.Sealed.Seq] = c.Seal.Sealed
	case c.Report != nil:
		m.receiveReport(c)
	}
}

// readSealed returns the newest sealed window, following the chain from the
// marked position.
func (m *windowModel) readSealed() *op.SealedRead {
	r := &op.SealedRead{Result: op.Done, Reported: m.Marked.Window}
	for seq := max(m.Marked.Seq, 1); ; seq++ {
		x, ok := m.Chain[seq]
		if !ok {
			return r
		}
		r.Last = &x
	}
}

// receiveReport delivers a report to the usage endpoint. Two different reports
// for the same window are a violation.
func (m *windowModel) receiveReport(c *windowCall) {
	old, ok := m.Intake[c.Report.Window]
	if ok && !bytes.Equal(old, c.Report.Body) {
		c.Result, c.Differ = op.Lost, true
		m.failure = fmt.Sprintf("window %d was reported with different content: %s and %s", c.Report.Window, old, c.Report.Body)
		return
	}
	if m.Intake == nil {
		m.Intake = make(map[unit.Window][]byte)
	}
	m.Intake[c.Report.Window] = c.Report.Body
}

// deliverResult delivers the result of a call to the reporter that made it.
func (m *windowModel) deliverResult(i int, c *windowCall) {
	switch {
	case c.Read && c.Result == op.Done:
		m.reduce(i, *c.Sealed)
	case c.Read:
		m.reduce(i, op.SealedRead{Result: c.Result})
	case c.Gather != nil:
		m.reduce(i, op.Gathered{Window: c.Gather.Window, Result: c.Result, Counters: c.Counts})
	case c.Seal != nil:
		m.reduce(i, op.WindowSealed{Result: c.Result, Window: c.Seal.Sealed.Window})
	case c.Report != nil:
		m.reduce(i, op.WindowReported{Window: c.Report.Window, Result: c.Result, Different: c.Differ})
	}
}

// reportedTokens returns the tokens in all reports that the usage endpoint
// has accepted.
func (m *windowModel) reportedTokens() unit.Tokens {
	var n unit.Tokens
	for _, b := range m.Intake {
		var x struct{ Lines []op.UsageLine }
		if err := json.Unmarshal(b, &x); err != nil {
			panic(err)
		}
		for _, l := range x.Lines {
			n += l.Tokens
		}
	}
	return n
}

// countedTokens returns the tokens that the sources have counted.
func (m *windowModel) countedTokens() unit.Tokens {
	return usage.Sum(m.Sources[0]) + usage.Sum(m.Sources[1])
}

// check verifies that no more tokens are reported than were counted.
func (m *windowModel) check() {
	if m.reportedTokens() > m.countedTokens() {
		m.failure = fmt.Sprintf("%d reported of %d", m.reportedTokens(), m.countedTokens())
	}
}

// violation also checks that exactly the counted tokens are reported if all
// calls succeed from here on.
func (m *windowModel) violation() string {
	if m.failure != "" {
		return m.failure
	}
	c := deepCopy(*m)
	for range 40 {
		c.Wall += windowLength / 2
		for i := range c.Reporters {
			c.completeCalls(i)
			c.reduce(i, op.Tick{Wall: c.Wall})
			c.completeCalls(i)
		}
		c.check()
	}
	if c.failure == "" && c.reportedTokens() != c.countedTokens() {
		c.failure = fmt.Sprintf("%d reported of %d", c.reportedTokens(), c.countedTokens())
	}
	if c.failure != "" {
		return "when all later calls succeed: " + c.failure
	}
	return ""
}

// completeCalls completes the calls of a reporter.
func (m *windowModel) completeCalls(i int) {
	for m.Calls[i] != nil {
		c := m.Calls[i]
		if !c.Applied {
			m.applyCall(c, true)
		}
		m.Calls[i] = nil
		m.deliverResult(i, c)
	}
}

// TestUsageWindowInvariants explores all sequences of counted tokens, ticks,
// partial gathers and lost responses with two reporters that both believe they
// hold the lease.
func TestUsageWindowInvariants(t *testing.T) {
	m := &windowModel{Wall: 100 * windowLength}
	for i := range m.Reporters {
		m.Reporters[i].Length = windowLength
		m.Sources[i].Source = fmt.Sprint("run:", i)
	}
	usage.Add(&m.Sources[0], "w", 3, m.currentWindow()-1)
	usage.Add(&m.Sources[1], "w", 4, m.currentWindow()-1)
	m.Wall += 2 * clock.Second
	depth := 7
	n := explore(t, m, depth, windowMoveName)
	t.Logf("%d states to depth %d", n, depth)
}
