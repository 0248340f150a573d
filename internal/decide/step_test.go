package decide

import (
	"fmt"
	"math/bits"
	"testing"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/internal/step"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/spec"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	samplesPerStep  = 2
	tokensPerSample = 10
)

var testStepID = unit.StepID{Workspace: "w", Name: "s"}

// stepCall is a call of a step's owner to the store: a write if Write is set,
// else a read. Applied is set once the store has processed it.
type stepCall struct {
	Write   *op.SaveStep
	Applied bool
	Rev     int64
	Result  op.Result
	Record  op.StepRecord
}

// trainer is the state of the trainer, which keeps every sample it has
// received.
type trainer struct {
	// Home is the instance on which the step was last opened.
	Home  int
	Epoch unit.Epoch
	// Held holds the tokens of each received sample, and Unacked the samples to
	// acknowledge in the next call.
	Held    map[int32]unit.Tokens
	Unacked []int32
	// Call is the call in flight, or 0 if there is none.
	Call int64
	// Open is set while the step is open, Done once it is closed.
	Open bool
	Done bool
}

// stepModel consists of two instances that can own the step, a store and a
// trainer.
type stepModel struct {
	Now clock.Millis
	// Obj is the step's record in the store, and Revs the last revision
	// assigned.
	Obj  storedObject[op.StepRecord]
	Revs int64
	// Homes are the two instances, and Calls the store call of each that is in
	// flight.
	Homes [2]step.State
	Calls [2]*stepCall
	// Left holds, for each instance, a write that was in flight when the step
	// was opened again there. Its result is still delivered.
	Left [2]*stepCall
	// Running holds the samples that each instance is running.
	Running [2][]op.Request
	Trainer trainer
	// Serial numbers the trainer's calls.
	Serial  int64
	failure string
}

func (m *stepModel) clone() model {
	c := deepCopy(*m)
	return &c
}

// stateKey makes all times relative to now and leaves out what only records the
// path to a state, such as call numbers.
func (m *stepModel) stateKey() any {
	c := deepCopy(*m)
	c.Serial, c.Revs = 0, 0
	for i := range c.Homes {
		for _, st := range c.Homes[i].Steps {
			st.SaveAt, st.CalledAt = max(st.SaveAt-c.Now, 0), 0
			st.OpenCall, st.EndCall, st.Pulls = 0, 0, nil
			st.Opened.Call = 0
			for j := range st.Samples {
				st.Samples[j].RetryAt = max(st.Samples[j].RetryAt-c.Now, 0)
			}
		}
	}
	c.Now = 0
	return c
}

// stepMoves are the kinds of moves. "open" lets the trainer open the step on an
// instance, "finish" completes a running sample, "apply" lets the store process
// a call, "answer" delivers the result, "lose" loses the result of a write that
// the store has processed, "fail" is a call that the store rejects, and "answer
// abandoned" completes the write in Left. "pull", "close" and "abandon call"
// are moves of the trainer.
var stepMoves = []string{"tick", "open", "finish", "apply", "answer", "lose", "fail", "answer abandoned", "pull", "close", "abandon call"}

// stepMoveName returns the name of a move and the instance that makes it.
func stepMoveName(k int) string { return fmt.Sprintf("%s %d", stepMoves[k/2], k%2) }

func (m *stepModel) moveCount() int { return 2 * len(stepMoves) }

func (m *stepModel) tryMove(k int) bool {
	i := k % 2
	c := m.Calls[i]
	switch stepMoves[k/2] {
	case "tick":
		m.Now += clock.Second
		m.reduce(i, op.Tick{})
	case "open":
		if m.Trainer.Call != 0 || m.Trainer.Done {
			return false
		}
		m.openStep(i)
	case "finish":
		if len(m.Running[i]) == 0 {
			return false
		}
		m.finishSample(i)
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
		if c == nil || !c.Applied || c.Write == nil {
			return false
		}
		m.Calls[i] = nil
		m.deliverResult(i, c, op.Lost)
	case "fail":
		if c == nil || c.Applied {
			return false
		}
		m.Calls[i] = nil
		m.deliverResult(i, c, op.Refused)
	case "answer abandoned":
		if m.Left[i] == nil {
			return false
		}
		m.completeAbandoned(i)
	case "pull":
		if i == 1 || m.Trainer.Call != 0 || !m.Trainer.Open {
			return false
		}
		m.pullSamples()
	case "close":
		if i == 1 || m.Trainer.Call != 0 || !m.Trainer.Open || len(m.Trainer.Held) < samplesPerStep {
			return false
		}
		m.closeStep()
	case "abandon call":
		if i == 1 || m.Trainer.Call == 0 {
			return false
		}
		m.Trainer.Call, m.Trainer.Open = 0, false
	}
	m.check()
	return true
}

// openStep lets the trainer open the step on instance i, listing the samples
// that it already holds.
func (m *stepModel) openStep(i int) {
	m.Serial++
	tr := &m.Trainer
	tr.Home, tr.Call = i, m.Serial
	e := op.OpenStep{Call: m.Serial, Step: testStepID, Route: "r", Samples: make([]op.SampleShape, samplesPerStep), TrainerHas: tr.Epoch}
	for _, x := range []int32{0, 1} {
		if n, ok := tr.Held[x]; ok {
			e.Held = append(e.Held, op.HeldSample{Index: x, Tokens: n})
		}
	}
	var out op.List
	m.Homes[i].Open(m.Now, e, "k", spec.Route{Name: "r", Pool: "p"}, &out)
	m.runEffects(i, out)
}

func (m *stepModel) pullSamples() {
	m.Serial++
	tr := &m.Trainer
	tr.Call = m.Serial
	m.reduce(tr.Home, op.PullSamples{Call: m.Serial, Step: testStepID, Epoch: tr.Epoch, Acknowledged: tr.Unacked, Until: m.Now})
}

func (m *stepModel) closeStep() {
	m.Serial++
	tr := &m.Trainer
	tr.Call = m.Serial
	m.reduce(tr.Home, op.CloseStep{Call: m.Serial, Step: testStepID, Epoch: tr.Epoch, Acknowledged: tr.Unacked})
}

// finishSample completes the oldest running sample of an instance.
func (m *stepModel) finishSample(i int) {
	r := m.Running[i][0]
	m.Running[i] = m.Running[i][1:]
	var out op.List
	m.Homes[i].HandleFinished(m.Now, r, op.Finished{
		Request: r.ID, Run: r.ID, OK: true, Passed: tokensPerSample, Spans: []op.Span{{Version: 1}},
	}, step.View{}, &out)
	m.runEffects(i, out)
}

// applyInStore lets the store process a call.
func (m *stepModel) applyInStore(c *stepCall) {
	c.Applied, c.Result = true, op.Done
	if c.Write != nil {
		c.Rev, c.Result = m.Obj.put(c.Write.Record, int64(c.Write.IfRev), &m.Revs)
		return
	}
	c.Rev, c.Record = m.Obj.Rev, deepCopy(m.Obj.Record)
}

// deliverResult delivers the result of a store call to the instance that made
// it.
func (m *stepModel) deliverResult(i int, c *stepCall, r op.Result) {
	if c.Write != nil {
		m.reduce(i, op.StepSaved{Step: testStepID, Result: r, Record: c.Write.Record, Revision: unit.Revision(c.Rev)})
		return
	}
	m.reduce(i, op.StepRead{Step: testStepID, Result: r, Record: c.Record, Revision: unit.Revision(c.Rev)})
}

func (m *stepModel) reduce(i int, ev op.Event) {
	var out op.List
	m.Homes[i].Reduce(m.Now, ev, step.View{}, &out)
	m.runEffects(i, out)
}

// runEffects carries out the effects of an instance.
func (m *stepModel) runEffects(i int, out op.List) {
	for _, e := range out {
		switch e := e.(type) {
		case op.ReadStep:
			m.startCall(i, &stepCall{})
		case op.SaveStep:
			m.startCall(i, &stepCall{Write: &e})
		case op.RunSample:
			m.Running[i] = append(m.Running[i], e.Request)
		case op.DropStep:
			m.Running[i] = nil
		case op.StepOpened:
			m.trainerOpened(e)
		case op.Deliver:
			m.trainerReceived(e)
		case op.StepEnded:
			if e.Call == m.Trainer.Call {
				m.Trainer.Call, m.Trainer.Open = 0, e.Reason == ""
				m.Trainer.Done = e.Reason == "" || e.Reason == op.StepClosed
			}
		}
	}
}

// startCall starts a store call. A write that is in flight then is kept in
// Left, which happens if the step is opened again.
func (m *stepModel) startCall(i int, c *stepCall) {
	if old := m.Calls[i]; old != nil && old.Write != nil {
		m.Left[i] = old
	}
	m.Calls[i] = c
}

// completeAbandoned completes the write kept in Left.
func (m *stepModel) completeAbandoned(i int) {
	c := m.Left[i]
	m.Left[i] = nil
	if !c.Applied {
		m.applyInStore(c)
	}
	m.deliverResult(i, c, c.Result)
}

// trainerOpened delivers the response to opening the step to the trainer. The
// epoch must rise each time.
func (m *stepModel) trainerOpened(e op.StepOpened) {
	tr := &m.Trainer
	if e.Call != tr.Call {
		return
	}
	tr.Call = 0
	tr.Done = e.Reason == op.StepClosed
	if e.Reason != "" {
		return
	}
	if e.Epoch <= tr.Epoch {
		m.failure = fmt.Sprintf("epoch %d after %d", e.Epoch, tr.Epoch)
	}
	tr.Epoch, tr.Open, tr.Unacked = e.Epoch, true, nil
}

// trainerReceived delivers the response to a pull to the trainer.
func (m *stepModel) trainerReceived(e op.Deliver) {
	tr := &m.Trainer
	if e.Call != tr.Call {
		return
	}
	tr.Call = 0
	if e.Reason != "" || e.Epoch != tr.Epoch {
		tr.Open = false
		return
	}
	tr.Unacked = nil
	for _, s := range e.Samples {
		if tr.Held == nil {
			tr.Held = make(map[int32]unit.Tokens)
		}
		if _, ok := tr.Held[s.Index]; !ok {
			tr.Held[s.Index] = s.Tokens
		}
		tr.Unacked = append(tr.Unacked, s.Index)
	}
}

// check verifies that the recorded usage is exactly that of the samples marked
// as billed, and that no more samples are billed than the trainer holds.
func (m *stepModel) check() {
	r := m.Obj.Record
	n := 0
	for _, b := range r.Billed {
		n += bits.OnesCount8(b)
	}
	if total := m.billedTokens(); total != unit.Tokens(n*tokensPerSample) {
		m.failure = fmt.Sprintf("%d tokens billed for %d samples", total, n)
	}
	if n > len(m.Trainer.Held) {
		m.failure = fmt.Sprintf("%d samples billed but only %d held by the trainer", n, len(m.Trainer.Held))
	}
}

// billedTokens returns the usage in the stored record.
func (m *stepModel) billedTokens() unit.Tokens {
	var n unit.Tokens
	for _, x := range m.Obj.Record.Usage.Workspaces {
		n += x.Total
	}
	return n
}

func (m *stepModel) violation() string { return m.failure }

// runToCompletion lets all calls succeed until the trainer is done. It returns
// an error text unless the step ends with every sample delivered and billed
// once.
func (m *stepModel) runToCompletion() string {
	for range 60 {
		m.Now += clock.Second
		for i := range m.Homes {
			if m.Left[i] != nil {
				m.completeAbandoned(i)
			}
			m.completeCalls(i)
			m.reduce(i, op.Tick{})
			m.completeCalls(i)
			for len(m.Running[i]) > 0 {
				m.finishSample(i)
			}
		}
		tr := &m.Trainer
		switch {
		case tr.Done:
		case tr.Call != 0:
			tr.Call, tr.Open = 0, false
		case !tr.Open:
			m.openStep(int(m.Serial) % 2)
		case len(tr.Held) == samplesPerStep:
			m.closeStep()
		default:
			m.pullSamples()
		}
		for i := range m.Homes {
			m.completeCalls(i)
		}
	}
	switch {
	case m.failure != "":
		return m.failure
	case !m.Trainer.Done || len(m.Trainer.Held) != samplesPerStep:
		return "the step does not complete"
	case m.billedTokens() != samplesPerStep*tokensPerSample:
		return fmt.Sprintf("%d tokens billed of %d", m.billedTokens(), samplesPerStep*tokensPerSample)
	}
	return ""
}

// completeCalls completes the calls of an instance, including those that follow
// from their results.
func (m *stepModel) completeCalls(i int) {
	for range 20 {
		c := m.Calls[i]
		if c == nil {
			return
		}
		if !c.Applied {
			m.applyInStore(c)
		}
		m.Calls[i] = nil
		m.deliverResult(i, c, c.Result)
	}
}

// completingModel is a stepModel in which each reached state must also be able
// to run to completion.
type completingModel struct{ *stepModel }

func (s completingModel) clone() model { return completingModel{s.stepModel.clone().(*stepModel)} }

func (s completingModel) violation() string {
	if s.failure != "" {
		return s.failure
	}
	c := deepCopy(*s.stepModel)
	if w := c.runToCompletion(); w != "" {
		return "when all later calls succeed: " + w
	}
	return ""
}

// TestStepOwnerChange explores all sequences of opens on two instances,
// finished samples, pulls, lost responses and failures of the store, starting
// from a step that is open on the first instance. Each reached state must also
// complete correctly.
func TestStepOwnerChange(t *testing.T) {
	m := &stepModel{}
	for i, name := range []unit.Incarnation{"a#1", "b#1"} {
		m.Homes[i].Self = name
	}
	m.openStep(0)
	m.completeCalls(0)
	depth := 8
	n := explore(t, completingModel{m}, depth, stepMoveName)
	t.Logf("%d states to depth %d", n, depth)
}
