package step

import (
	"maps"
	"slices"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// window is how many samples of a step are submitted at once.
	window = 512
	// saveEvery is the time between writes of a step's record.
	saveEvery clock.Millis = clock.Second
	// claimTries bounds the tries to become home before the step opens
	// without a record.
	claimTries = 4
	// idleFor is how long a step without calls stays.
	idleFor clock.Millis = 600 * clock.Second
	// defaultMax is the number of samples in one answer.
	defaultMax = 256
	// firstBackoff and lastBackoff bound the pause before a sample that was
	// refused is submitted again.
	firstBackoff clock.Millis = 200
	lastBackoff  clock.Millis = 5 * clock.Second
)

// State is the steps at home here. Self must be set.
type State struct {
	Self  unit.Incarnation
	Steps map[unit.StepID]*Step
	// Draining hands steps over instead of serving them.
	Draining bool
}

// Phase is where a step stands.
type Phase string

// The phases of a step.
const (
	// Claiming reads and writes the record to become home.
	Claiming Phase = "Claiming"
	// Open serves samples.
	Open Phase = "Open"
	// Closing writes the last record.
	Closing Phase = "Closing"
	// Superseded has another home; what was acknowledged here is merged.
	Superseded Phase = "Superseded"
)

// Step is one step.
type Step struct {
	ID    unit.StepID
	Phase Phase
	Route unit.Route
	Pool  unit.Pool
	KeyID unit.KeyID
	Epoch unit.Epoch
	// Paused is set while no valid key stands behind the step.
	Paused    bool
	Staleness unit.Version
	// TrainerAt is the newest version that the trainer told of.
	TrainerAt unit.Version
	Samples   []Sample
	// Queue lists the samples to submit, in order; Delayed those that wait for
	// their RetryAt first. Together they are the samples in status Waiting.
	Queue, Delayed []int32
	// Finished lists the samples in status Ready.
	Finished []int32
	// Running and Acked count the samples in these statuses.
	Running, Acked int

	// Record is what the store holds or should hold; Revision is the store's,
	// Known once it was read.
	Record   op.StepRecord
	Revision unit.Revision
	Known    bool
	// Dirty is set while the store lacks something of ours.
	Dirty  bool
	Saving bool
	SaveAt clock.Millis
	// Tries counts the tries to become home.
	Tries int
	// OpenCall and EndCall are the calls to answer once the step is open or
	// closed; 0 is none.
	OpenCall, EndCall int64
	Pulls             []Pull
	CalledAt          clock.Millis
	// Opened is the call that made this instance home, without its samples.
	Opened op.OpenStep
}

// Status is where a sample stands.
type Status int

// The statuses of a sample.
const (
	Waiting Status = iota
	Running
	Ready
	Acked
)

// Sample is one sample of a step.
type Sample struct {
	op.SampleShape
	Status Status
	Result op.SampleResult
	Tries  int
	// RetryAt delays a sample that was refused.
	RetryAt clock.Millis
}

// Pull is a waiting call for samples.
type Pull struct {
	Call  int64
	Until clock.Millis
	Max   int
}

// View is what a step needs to know of the rest.
type View struct {
	// Active is the version wanted on each pool.
	Active map[unit.Pool]unit.Version
	// Window is the usage window that acknowledgements fall into now.
	Window unit.Window
}

// Reduce handles everything but the opening of steps and the ends of samples.
func (s *State) Reduce(now clock.Millis, ev op.Event, v View, out *op.List) {
	switch e := ev.(type) {
	case op.Tick:
		for _, id := range slices.SortedFunc(maps.Keys(s.Steps), compareIDs) {
			s.tick(now, s.Steps[id], v, out)
		}
	case op.StepRead:
		if st := s.Steps[e.Step]; st != nil {
			s.read(now, st, e, v, out)
		}
	case op.StepSaved:
		if st := s.Steps[e.Step]; st != nil {
			s.saved(now, st, e, v, out)
		}
	case op.PullSamples:
		s.pull(now, e, v, out)
	case op.CloseStep:
		s.close(now, e, v, out)
	case op.Drain:
		s.drain(now, out)
	}
}

func (s *State) tick(now clock.Millis, st *Step, v View, out *op.List) {
	s.answerPulls(now, st, v, out)
	st.undelay(now)
	s.submit(st, out)
	if st.Dirty && !st.Saving && now >= st.SaveAt {
		s.save(now, st, out)
	}
	if st.Phase == Open && now-st.CalledAt >= idleFor && !st.Dirty {
		s.drop(st, out)
	}
}

// pull takes acknowledgements and answers with samples, now or later.
func (s *State) pull(now clock.Millis, e op.PullSamples, v View, out *op.List) {
	st, why := s.find(e.Step, e.Epoch)
	if st == nil {
		out.Add(op.Deliver{Call: e.Call, Step: e.Step, Reason: why})
		return
	}
	st.CalledAt = now
	st.TrainerAt = max(st.TrainerAt, e.TrainerAt)
	st.acknowledge(e.Acknowledged, v)
	st.Paused = false
	n := e.Max
	if n <= 0 || n > defaultMax {
		n = defaultMax
	}
	st.Pulls = append(st.Pulls, Pull{Call: e.Call, Until: e.Until, Max: n})
	s.answerPulls(now, st, v, out)
	s.submit(st, out)
}

// find returns a step that serves under an epoch.
func (s *State) find(id unit.StepID, epoch unit.Epoch) (*Step, op.Reason) {
	if s.Draining {
		return nil, op.Draining
	}
	st := s.Steps[id]
	switch {
	case st == nil || st.Phase == Claiming:
		return nil, op.NoStep
	case st.Phase == Closing:
		return nil, op.StepClosed
	case st.Phase == Superseded || st.Epoch != epoch:
		return nil, op.StaleEpoch
	}
	return st, ""
}

// acknowledge marks samples as held by the trainer and puts them on the bill.
func (st *Step) acknowledge(indexes []int32, v View) {
	for _, i := range indexes {
		if i < 0 || int(i) >= len(st.Samples) {
			continue
		}
		x := &st.Samples[i]
		if x.Status != Ready {
			continue
		}
		st.Acked++
		x.Status = Acked
		st.bill(i, v.Window)
	}
	st.Finished = slices.DeleteFunc(st.Finished, func(i int32) bool {
		return st.Samples[i].Status != Ready
	})
}

// answerPulls answers the calls that can or must be answered.
func (s *State) answerPulls(now clock.Millis, st *Step, v View, out *op.List) {
	if len(st.Pulls) == 0 {
		return
	}
	st.discardOld(v)
	var rest []Pull
	for _, p := range st.Pulls {
		done := st.Acked == len(st.Samples)
		if len(st.Finished) == 0 && !done && now < p.Until {
			rest = append(rest, p)
			continue
		}
		out.Add(op.Deliver{
			Call: p.Call, Step: st.ID, Epoch: st.Epoch, Done: done, Samples: st.ready(p.Max),
		})
	}
	st.Pulls = rest
}

func (st *Step) ready(limit int) []op.SampleResult {
	var out []op.SampleResult
	for _, i := range st.Finished[:min(limit, len(st.Finished))] {
		out = append(out, st.Samples[i].Result)
	}
	return out
}

// discardOld takes back finished samples that are behind the bound by now.
func (st *Step) discardOld(v View) {
	st.Finished = slices.DeleteFunc(st.Finished, func(i int32) bool {
		x := &st.Samples[i]
		if x.Result.Failed != "" || !st.tooOld(x.Result.Spans, v) {
			return false
		}
		x.Status, x.Result = Waiting, op.SampleResult{}
		st.Queue = append(st.Queue, i)
		return true
	})
}

// tooOld tells whether versions are behind the bound, or not known at all.
func (st *Step) tooOld(spans []op.Span, v View) bool {
	if len(spans) == 0 {
		return true
	}
	bound := max(v.Active[st.Pool], st.TrainerAt) - st.Staleness
	for _, x := range spans {
		if x.Version == 0 || x.Version < bound {
			return true
		}
	}
	return false
}

// submit hands waiting samples to admission.
func (s *State) submit(st *Step, out *op.List) {
	if st.Phase != Open || st.Paused || s.Draining {
		return
	}
	for len(st.Queue) > 0 && st.Running < window {
		i := st.Queue[0]
		st.Queue = st.Queue[1:]
		x := &st.Samples[i]
		x.Status = Running
		x.Tries++
		st.Running++
		out.Add(op.RunSample{Step: st.ID, Index: i, Request: st.request(i)})
	}
}

// undelay queues the samples whose pause is over.
func (st *Step) undelay(now clock.Millis) {
	st.Delayed = slices.DeleteFunc(st.Delayed, func(i int32) bool {
		if now < st.Samples[i].RetryAt {
			return false
		}
		st.Queue = append(st.Queue, i)
		return true
	})
}

// Done takes the end of a sample's request.
func (s *State) Done(now clock.Millis, r op.Request, e op.Finished, v View, out *op.List) {
	st, x := s.running(r)
	if x == nil {
		return
	}
	st.Running--
	if st.tooOld(e.Spans, v) {
		st.wait(now, r.Index, firstBackoff)
	} else {
		st.finish(r.Index)
		x.Result = op.SampleResult{Index: r.Index, Run: e.Run, Tokens: e.Passed, Spans: e.Spans}
	}
	s.answerPulls(now, st, v, out)
	s.submit(st, out)
}

// Refused takes the refusal of a sample's request. A crash suspect is
// delivered as failed; everything else is tried again.
func (s *State) Refused(now clock.Millis, e op.Refuse, v View, out *op.List) {
	r := op.Request{ID: e.Request, Step: e.Step, Index: e.Index}
	st, x := s.running(r)
	if x == nil {
		return
	}
	st.Running--
	if e.Reason == op.CrashSuspect {
		st.finish(r.Index)
		x.Result = op.SampleResult{Index: r.Index, Failed: e.Reason}
		s.answerPulls(now, st, v, out)
		return
	}
	st.wait(now, r.Index, backoff(r, x.Tries))
}

// Pause stops the steps of keys, or all if keys is nil, until a call with a
// valid key.
func (s *State) Pause(keys map[unit.KeyID]bool) {
	for _, st := range s.Steps {
		if keys == nil || keys[st.KeyID] {
			st.Paused = true
		}
	}
}

func (s *State) running(r op.Request) (*Step, *Sample) {
	st := s.Steps[r.Step]
	if st == nil || int(r.Index) >= len(st.Samples) || r.ID != st.requestID(r.Index) {
		return nil, nil
	}
	x := &st.Samples[r.Index]
	if x.Status != Running {
		return nil, nil
	}
	return st, x
}

func (st *Step) wait(now clock.Millis, i int32, d clock.Millis) {
	x := &st.Samples[i]
	x.Status = Waiting
	x.RetryAt = now + d
	st.Delayed = append(st.Delayed, i)
}

func (st *Step) finish(i int32) {
	st.Samples[i].Status = Ready
	st.Finished = append(st.Finished, i)
}

// drop forgets a step and the requests it has under way.
func (s *State) drop(st *Step, out *op.List) {
	delete(s.Steps, st.ID)
	out.Add(op.DropStep{Step: st.ID, Epoch: st.Epoch})
}

// Idle tells whether every step is recorded and gone.
func (s *State) Idle() bool { return len(s.Steps) == 0 }
