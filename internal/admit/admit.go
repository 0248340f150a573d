package admit

import (
	"maps"
	"slices"
	"strconv"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// maxAttempts is the maximum number of attempts of one request.
	maxAttempts = 3
	// maxLiveQueue is the maximum number of queued live requests of a
	// workspace.
	maxLiveQueue = 1000
	// maxTrainerQueue is the maximum number of queued samples of a workspace.
	maxTrainerQueue = 40_000
	// overloadRetryAfter is the retry-after value of a refusal for overload.
	overloadRetryAfter clock.Millis = clock.Second
	// retriesPerRequest is how much each admitted request adds to the retry
	// budget, counted in retries.
	retriesPerRequest = 0.2
	// maxRetryBudget is the initial and maximum retry budget.
	maxRetryBudget = 20
)

// State is the admission state of one instance. Self must be set.
type State struct {
	Self    unit.Instance
	Targets map[unit.Target]*Target
	Pools   map[unit.Pool]*Pool
	// Runs holds every request that is queued or in flight.
	Runs map[unit.Request]*Run
	// Suspects records the contents that were in flight when a target crashed.
	Suspects map[unit.Fingerprint]*Suspect
	// Active is the model version that each pool should serve.
	Active map[unit.Pool]unit.Version
	// Weights are the fair-queueing weights; a missing workspace has weight 1.
	Weights map[unit.Workspace]int
	// Peers is the number of live instances that share the targets, including
	// this one.
	Peers int
	// Retries is the remaining retry budget, from which each retry after an
	// attempt that may have run takes 1.
	Retries float64
	// Policy must not change after the first request.
	Policy Policy
	// Counts feeds metrics and state dumps.
	Counts Counts
}

// Counts are the numbers of decisions since the start.
type Counts struct {
	Admitted, Refused, Finished, Retried, Crashes int64
}

// Run is an admitted request that is queued or in flight.
type Run struct {
	op.Request
	// Target is empty while the request is queued.
	Target unit.Target
	// Run is the ID of the latest attempt.
	Run unit.Request
	// Attempts counts the attempts towards maxAttempts.
	Attempts int
	// Serial counts all attempts and is part of their IDs, so unlike Attempts
	// it is never reset.
	Serial int
	// Version is the target's model version at the start of the attempt.
	Version unit.Version
	// Suspect is set if the content was a crash suspect when the request was
	// submitted or last retried.
	Suspect bool
	// Ran is set once an attempt may have run on its target.
	Ran bool
	// virtualStart is the virtual start time by which the queue is ordered.
	virtualStart float64
	// overtaken counts how often a later run of the flow was dispatched first.
	overtaken int
	// removed marks a run that was removed while queued; the queue discards it
	// once it is the first of its flow.
	removed bool
}

// New returns an admission state without targets or requests.
func New(self unit.Instance) *State {
	return &State{
		Self:     self,
		Targets:  make(map[unit.Target]*Target),
		Pools:    make(map[unit.Pool]*Pool),
		Runs:     make(map[unit.Request]*Run),
		Suspects: make(map[unit.Fingerprint]*Suspect),
		Active:   make(map[unit.Pool]unit.Version),
		Peers:    1,
		Retries:  maxRetryBudget,
	}
}

// Submit queues a request or refuses it. The key and the route of the request
// must have been checked before.
func (s *State) Submit(now clock.Millis, r op.Request, out *op.List) {
	if s.crashLimitReached(now, r) {
		s.refuse(r, op.CrashSuspect, unit.NotRun, 0, out)
		return
	}
	run := &Run{Request: r, Suspect: s.isSuspect(now, r.Fingerprint)}
	p := s.pool(r.Pool)
	if p.isFull(run) {
		s.refuse(r, op.Overloaded, unit.NotRun, overloadRetryAfter, out)
		return
	}
	s.Counts.Admitted++
	s.Retries = min(s.Retries+retriesPerRequest, maxRetryBudget)
	s.Runs[r.ID] = run
	p.push(run, s.flowWeight(run), s.Policy.sharing())
	s.dispatchQueued(now, p, out)
}

// Finish handles the end of an attempt. If the answer is complete it returns
// the request's run; otherwise it retries or refuses the request. Events for
// an attempt that is no longer current are ignored.
func (s *State) Finish(now clock.Millis, e op.Finished, out *op.List) *Run {
	run := s.Runs[e.Request]
	if run == nil || run.Target == "" || run.Run != e.Run {
		return nil
	}
	t := s.endAttempt(run)
	if t != nil {
		t.attemptEnded(now, e)
	}
	if e.Crashed {
		s.recordCrash(now, run, e.Target)
	}
	p := s.pool(run.Pool)
	defer s.dispatchQueued(now, p, out)
	if e.OK {
		s.Counts.Finished++
		s.clearSuspect(run)
		delete(s.Runs, run.ID)
		return run
	}
	run.Ran = run.Ran || e.Outcome != unit.NotRun
	s.retryOrRefuse(now, run, e, out)
	return nil
}

// retryOrRefuse queues a request for a retry, or refuses it. A retry is safe if
// the last attempt did not run, or if the request is idempotent and no token
// has reached the caller. A retry after an attempt that may have run takes 1
// from the retry budget, and is refused if less than 1 is left.
func (s *State) retryOrRefuse(now clock.Millis, run *Run, e op.Finished, out *op.List) {
	safe := e.Outcome == unit.NotRun || run.Idempotent && e.Passed == 0
	notRun := e.Outcome == unit.NotRun
	switch {
	case s.crashLimitReached(now, run.Request):
		s.refuseRun(run, op.CrashSuspect, out)
	case !safe || run.Attempts >= maxAttempts || !notRun && s.Retries < 1:
		s.refuseRun(run, op.TargetFailed, out)
	default:
		if !notRun {
			s.Retries--
		}
		s.Counts.Retried++
		run.Suspect = s.isSuspect(now, run.Fingerprint)
		s.pool(run.Pool).pushFront(run)
	}
}

// Cancel removes a request whose caller has disconnected. It returns the run,
// or nil if the request is unknown.
func (s *State) Cancel(now clock.Millis, id unit.Request, out *op.List) *Run {
	run := s.Runs[id]
	if run == nil {
		return nil
	}
	s.remove(run, out)
	s.dispatchQueued(now, s.pool(run.Pool), out)
	return run
}

// RefuseKeys refuses all queued and running requests that use one of the keys.
// A nil set means every request that has a key.
func (s *State) RefuseKeys(now clock.Millis, keys map[unit.KeyID]bool, why op.Reason, out *op.List) {
	for _, id := range slices.Sorted(maps.Keys(s.Runs)) {
		run := s.Runs[id]
		if run.KeyID == "" || keys != nil && !keys[run.KeyID] {
			continue
		}
		s.remove(run, out)
		s.refuseRun(run, why, out)
	}
	s.dispatchAllPools(now, out)
}

// CancelStep cancels all requests of a step.
func (s *State) CancelStep(now clock.Millis, id unit.StepID, out *op.List) {
	for _, rid := range slices.Sorted(maps.Keys(s.Runs)) {
		if run := s.Runs[rid]; run.Step == id {
			s.remove(run, out)
		}
	}
	s.dispatchAllPools(now, out)
}

// RequeueStale cancels and requeues running requests whose model version has
// become older than their staleness bound allows.
func (s *State) RequeueStale(now clock.Millis, out *op.List) {
	for _, id := range slices.Sorted(maps.Keys(s.Runs)) {
		run := s.Runs[id]
		if !run.Bounded || run.Target == "" || run.Version == 0 || run.Version >= s.minVersion(run) {
			continue
		}
		out.Add(op.Cancel{Request: run.ID, Run: run.Run, Target: run.Target})
		s.endAttempt(run)
		run.Attempts = 0
		s.pool(run.Pool).pushFront(run)
	}
	s.dispatchAllPools(now, out)
}

// Expire cancels and refuses all requests, queued or running, whose deadline
// has passed.
func (s *State) Expire(now clock.Millis, out *op.List) {
	for _, id := range slices.Sorted(maps.Keys(s.Runs)) {
		run := s.Runs[id]
		if run.Deadline > 0 && now >= run.Deadline {
			s.remove(run, out)
			s.refuseRun(run, op.Deadline, out)
		}
	}
	s.dispatchAllPools(now, out)
}

// Idle reports whether no request is queued or running.
func (s *State) Idle() bool { return len(s.Runs) == 0 }

// dispatchAllPools dispatches queued requests of all pools.
func (s *State) dispatchAllPools(now clock.Millis, out *op.List) {
	for _, name := range slices.Sorted(maps.Keys(s.Pools)) {
		s.dispatchQueued(now, s.Pools[name], out)
	}
}

// dispatchQueued dispatches queued requests of a pool until no target can take
// one.
func (s *State) dispatchQueued(now clock.Millis, p *Pool, out *op.List) {
	for {
		run, t := s.next(now, p)
		if run == nil {
			return
		}
		s.startAttempt(run, t, out)
	}
}

// startAttempt starts an attempt of a run on a target.
func (s *State) startAttempt(run *Run, t *Target, out *op.List) {
	run.Attempts++
	run.Serial++
	s.pool(run.Pool).InFlight++
	run.Target = t.Name
	run.Version = t.Load.Version
	run.Run = run.ID + unit.Request("."+strconv.Itoa(run.Serial))
	t.addRun(run)
	out.Add(op.Dispatch{
		Request: run.ID, Run: run.Run, Target: t.Name, Address: t.Address, Plain: run.Plain,
		Step: run.Step, Index: run.Index,
	})
}

// endAttempt ends a run's attempt in the counts. It returns the target, or nil
// if that was removed in the meantime.
func (s *State) endAttempt(run *Run) *Target {
	t := s.Targets[run.Target]
	run.Target = ""
	s.pool(run.Pool).InFlight--
	if t != nil {
		t.removeRun(run)
	}
	return t
}

// remove drops a request, and cancels its attempt if it is running.
func (s *State) remove(run *Run, out *op.List) {
	if run.Target != "" {
		run.Ran = true
		out.Add(op.Cancel{Request: run.ID, Run: run.Run, Target: run.Target})
		s.endAttempt(run)
	} else {
		s.pool(run.Pool).remove(run)
	}
	delete(s.Runs, run.ID)
}

// refuseRun removes a request that is not running and refuses it.
func (s *State) refuseRun(run *Run, why op.Reason, out *op.List) {
	delete(s.Runs, run.ID)
	outcome := unit.NotRun
	if run.Ran {
		outcome = unit.Unknown
	}
	s.refuse(run.Request, why, outcome, 0, out)
}

// refuse counts a refusal and asks the runner to answer the caller.
func (s *State) refuse(r op.Request, why op.Reason, o unit.Outcome, retry clock.Millis, out *op.List) {
	s.Counts.Refused++
	out.Add(op.Refuse{
		Request: r.ID, Reason: why, Outcome: o, RetryAfter: retry, Step: r.Step, Index: r.Index,
	})
}

// minVersion returns the oldest model version that may answer a request, 0 if
// any may.
func (s *State) minVersion(run *Run) unit.Version {
	if !run.Bounded {
		return 0
	}
	return s.Active[run.Pool] - run.Staleness
}

// flowWeight returns the fair-queueing weight of a run's flow.
func (s *State) flowWeight(run *Run) float64 {
	w := float64(max(s.Weights[run.Workspace], 1))
	if run.Class == op.Live {
		w *= liveWeight
	}
	return w
}
