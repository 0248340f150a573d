package step

import (
	"maps"
	"slices"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// maxRunning is the maximum number of samples of a step that are submitted
	// and not finished.
	maxRunning = 512
	// minSaveInterval is the minimum time after a write of a step's record, or a
	// failed read or write, before a tick writes the record. Writes at the
	// opening or end of a step and those after a conflict do not wait for it.
	minSaveInterval clock.Millis = clock.Second
	// maxClaimTries limits the failed attempts to claim a step while its stored
	// revision is known. The limit is never reached, since the revision is
	// unknown after each failed read or write: the step is then opened without
	// the store at the first failure.
	maxClaimTries = 4
	// idleTimeout is how long an open step is kept without a call from its
	// trainer.
	idleTimeout clock.Millis = 600 * clock.Second
	// maxPullSamples is the default and maximum number of samples per pull.
	maxPullSamples = 256
	// initialBackoff and maxBackoff determine the delay before a refused sample
	// is submitted again (see retryDelay). initialBackoff is also the delay after
	// an answer from too old a model version.
	initialBackoff clock.Millis = 200
	maxBackoff     clock.Millis = 5 * clock.Second
)

// State holds the steps that this instance owns. Self must be set.
type State struct {
	Self  unit.Incarnation
	Steps map[unit.StepID]*Step
	// Draining is set during a graceful shutdown: no steps are opened or served
	// any more, so that trainers open them on other instances.
	Draining bool
}

// Phase is the state of a step on this instance.
type Phase string

// The phases of a step.
const (
	// Claiming means that the record is being read and written to become the
	// owner.
	Claiming Phase = "Claiming"
	// Open means that samples are run and delivered.
	Open Phase = "Open"
	// Closing means that the trainer has closed the step and the final record
	// is being written.
	Closing Phase = "Closing"
	// Superseded means that another instance is the owner, and that the samples
	// acknowledged here are still being merged into the record.
	Superseded Phase = "Superseded"
)

// Step is a trainer's batch of samples with the progress of each. KeyID is the
// ID of the API key of the trainer's last call that opened the step or pulled
// from it.
type Step struct {
	ID    unit.StepID
	Phase Phase
	Route unit.Route
	Pool  unit.Pool
	KeyID unit.KeyID
	Epoch unit.Epoch
	// Paused is set once the step's key was withdrawn or removed, keys could not
	// be checked, or the step was superseded. No samples are submitted then,
	// until a pull with a valid key.
	Paused bool
	// Staleness is how many versions a sample may be behind the pool's active
	// version or TrainerAt, whichever is higher.
	Staleness unit.Version
	// TrainerAt is the newest model version that the trainer has named.
	TrainerAt unit.Version
	Samples   []Sample
	// Queue lists the samples to submit, in order, and Delayed those that first
	// wait for their RetryAt. Together they are the samples in status Waiting.
	Queue, Delayed []int32
	// Finished lists the samples in status Ready.
	Finished []int32
	// Running and Acked count the samples in these statuses.
	Running, Acked int

	// Record is the record as it should be in the store. Revision is the
	// store's revision of it and valid only if Known is set.
	Record   op.StepRecord
	Revision unit.Revision
	Known    bool
	// Dirty is set while Record has changes that are not stored.
	Dirty bool
	// Saving is set while the record is being read or written.
	Saving bool
	// SaveAt is the earliest time at which a tick writes the record.
	SaveAt clock.Millis
	// Tries counts the writes that conflicted, and while the step is being
	// claimed also other failed reads and writes of the record.
	Tries int
	// OpenCall and EndCall are the calls to answer once the step is open or
	// closed; 0 means none.
	OpenCall, EndCall int64
	// Pulls are the calls that wait for samples.
	Pulls []Pull
	// CalledAt is the time of the trainer's last call.
	CalledAt clock.Millis
	// Opened is the call that opened the step, without its samples.
	Opened op.OpenStep
}

// Status is the state of a sample.
type Status int

// The statuses of a sample.
const (
	// Waiting means that the sample is to be submitted to admission.
	Waiting Status = iota
	// Running means that admission has queued or dispatched it.
	Running
	// Ready means that it has a result that the trainer has not acknowledged
	// yet.
	Ready
	// Acked means that the trainer has the result.
	Acked
)

// Sample is one sample of a step, with its progress and result.
type Sample struct {
	op.SampleShape
	Status Status
	Result op.SampleResult
	// Tries counts the submissions to admission.
	Tries int
	// RetryAt is when a delayed sample may be submitted again.
	RetryAt clock.Millis
}

// Pull is a trainer's long poll for samples.
type Pull struct {
	Call int64
	// Until is when the call is answered even without samples.
	Until clock.Millis
	// Max is the maximum number of samples in the answer.
	Max int
}

// View holds the state of other packages that steps depend on.
type View struct {
	// Active is the model version that each pool should serve.
	Active map[unit.Pool]unit.Version
	// Window is the current usage window.
	Window unit.Window
}

// Reduce handles the events of steps, except OpenStep, which goes to Open, and
// the ends of sample requests, which go to HandleFinished and HandleRefused.
func (s *State) Reduce(now clock.Millis, ev op.Event, v View, out *op.List) {
	switch e := ev.(type) {
	case op.Tick:
		for _, id := range slices.SortedFunc(maps.Keys(s.Steps), compareIDs) {
			s.tick(now, s.Steps[id], v, out)
		}
	case op.StepRead:
		if st := s.Steps[e.Step]; st != nil {
			s.handleRead(now, st, e, v, out)
		}
	case op.StepSaved:
		if st := s.Steps[e.Step]; st != nil {
			s.handleSaved(now, st, e, v, out)
		}
	case op.PullSamples:
		s.handlePull(now, e, v, out)
	case op.CloseStep:
		s.closeStep(now, e, v, out)
	case op.Drain:
		s.drain(now, out)
	}
}

// tick does what depends on time: it answers pulls that time out, submits
// samples, writes a changed record and drops an idle step.
func (s *State) tick(now clock.Millis, st *Step, v View, out *op.List) {
	s.answerPulls(now, st, v, out)
	st.queueDelayed(now)
	s.submit(st, out)
	if st.Dirty && !st.Saving && now >= st.SaveAt {
		s.save(now, st, out)
	}
	if st.Phase == Open && now-st.CalledAt >= idleTimeout && !st.Dirty {
		s.remove(st, out)
	}
}

// handlePull marks and bills the samples that a trainer acknowledges in a pull,
// resumes a paused step, and queues the pull, which answerPulls answers now or
// later.
func (s *State) handlePull(now clock.Millis, e op.PullSamples, v View, out *op.List) {
	st, why := s.findOpen(e.Step, e.Epoch)
	if st == nil {
		out.Add(op.Deliver{Call: e.Call, Step: e.Step, Reason: why})
		return
	}
	st.CalledAt = now
	st.TrainerAt = max(st.TrainerAt, e.TrainerAt)
	st.acknowledge(e.Acknowledged, v)
	st.Paused = false
	n := e.Max
	if n <= 0 || n > maxPullSamples {
		n = maxPullSamples
	}
	st.Pulls = append(st.Pulls, Pull{Call: e.Call, Until: e.Until, Max: n})
	s.answerPulls(now, st, v, out)
	s.submit(st, out)
}

// findOpen returns a step that is open under the given epoch, or nil and the
// reason why there is none.
func (s *State) findOpen(id unit.StepID, epoch unit.Epoch) (*Step, op.Reason) {
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

// acknowledge marks and bills samples that the trainer has received.
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

// answerPulls answers pulls with the finished samples if there are any. Without
// any, it answers those whose time is over, and all once the trainer has
// acknowledged every sample. Finished samples that have become too old are
// queued again first.
func (s *State) answerPulls(now clock.Millis, st *Step, v View, out *op.List) {
	if len(st.Pulls) == 0 {
		return
	}
	st.requeueStale(v)
	var rest []Pull
	for _, p := range st.Pulls {
		done := st.Acked == len(st.Samples)
		if len(st.Finished) == 0 && !done && now < p.Until {
			rest = append(rest, p)
			continue
		}
		out.Add(op.Deliver{
			Call: p.Call, Step: st.ID, Epoch: st.Epoch, Done: done, Samples: st.readyResults(p.Max),
		})
	}
	st.Pulls = rest
}

// readyResults returns up to limit results that are not acknowledged.
func (st *Step) readyResults(limit int) []op.SampleResult {
	var out []op.SampleResult
	for _, i := range st.Finished[:min(limit, len(st.Finished))] {
		out = append(out, st.Samples[i].Result)
	}
	return out
}

// requeueStale queues finished samples again whose model version has become too
// old in the meantime.
func (st *Step) requeueStale(v View) {
	st.Finished = slices.DeleteFunc(st.Finished, func(i int32) bool {
		x := &st.Samples[i]
		if x.Result.Failed != "" || !st.isStale(x.Result.Spans, v) {
			return false
		}
		x.Status, x.Result = Waiting, op.SampleResult{}
		st.Queue = append(st.Queue, i)
		return true
	})
}

// isStale reports whether any part of an answer was produced by a model version
// older than the staleness bound allows, or by an unknown one.
func (st *Step) isStale(spans []op.Span, v View) bool {
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

// submit hands queued samples to admission, up to maxRunning at a time.
func (s *State) submit(st *Step, out *op.List) {
	if st.Phase != Open || st.Paused || s.Draining {
		return
	}
	for len(st.Queue) > 0 && st.Running < maxRunning {
		i := st.Queue[0]
		st.Queue = st.Queue[1:]
		x := &st.Samples[i]
		x.Status = Running
		x.Tries++
		st.Running++
		out.Add(op.RunSample{Step: st.ID, Index: i, Request: st.request(i)})
	}
}

// queueDelayed queues the delayed samples whose delay is over.
func (st *Step) queueDelayed(now clock.Millis) {
	st.Delayed = slices.DeleteFunc(st.Delayed, func(i int32) bool {
		if now < st.Samples[i].RetryAt {
			return false
		}
		st.Queue = append(st.Queue, i)
		return true
	})
}

// HandleFinished handles the complete answer to a sample's request. The sample
// is ready, or delayed and run again if its model version is too old.
func (s *State) HandleFinished(now clock.Millis, r op.Request, e op.Finished, v View, out *op.List) {
	st, x := s.runningSample(r)
	if x == nil {
		return
	}
	st.Running--
	if st.isStale(e.Spans, v) {
		st.scheduleRetry(now, r.Index, initialBackoff)
	} else {
		st.markReady(r.Index)
		x.Result = op.SampleResult{Index: r.Index, Run: e.Run, Tokens: e.Passed, Spans: e.Spans}
	}
	s.answerPulls(now, st, v, out)
	s.submit(st, out)
}

// HandleRefused handles the refusal of a sample's request by admission: the
// sample is retried after a backoff.
func (s *State) HandleRefused(now clock.Millis, e op.Refuse) {
	r := op.Request{ID: e.Request, Step: e.Step, Index: e.Index}
	st, x := s.runningSample(r)
	if x == nil {
		return
	}
	st.Running--
	st.scheduleRetry(now, r.Index, retryDelay(r, x.Tries))
}

// Pause stops submitting samples of the steps that use the given keys, or of all
// steps if keys is nil, until a pull with a valid key.
func (s *State) Pause(keys map[unit.KeyID]bool) {
	for _, st := range s.Steps {
		if keys == nil || keys[st.KeyID] {
			st.Paused = true
		}
	}
}

// runningSample returns the sample that a request belongs to, with its step.
// Both are nil if the request is not the sample's current one.
func (s *State) runningSample(r op.Request) (*Step, *Sample) {
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

// scheduleRetry schedules a sample to be submitted again after a delay.
func (st *Step) scheduleRetry(now clock.Millis, i int32, d clock.Millis) {
	x := &st.Samples[i]
	x.Status = Waiting
	x.RetryAt = now + d
	st.Delayed = append(st.Delayed, i)
}

// markReady marks a sample as ready to be delivered.
func (st *Step) markReady(i int32) {
	st.Samples[i].Status = Ready
	st.Finished = append(st.Finished, i)
}

// remove deletes a step and cancels its requests.
func (s *State) remove(st *Step, out *op.List) {
	delete(s.Steps, st.ID)
	out.Add(op.DropStep{Step: st.ID, Epoch: st.Epoch})
}

// Idle reports whether there are no steps left, which during a graceful shutdown
// means that all records are stored.
func (s *State) Idle() bool { return len(s.Steps) == 0 }
