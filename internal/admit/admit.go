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
	// maxAttempts bounds the runs of one request.
	maxAttempts = 3
	// maxLiveQueue bounds the waiting requests of one live flow.
	maxLiveQueue = 1000
	// maxTrainerQueue bounds the waiting samples of one workspace.
	maxTrainerQueue = 40_000
	// retryHint is what an overloaded caller is told to wait.
	retryHint clock.Millis = clock.Second
	// retryShare is the share of requests that may be retries.
	retryShare = 0.2
	// retryReserve is the number of retries allowed ahead of traffic.
	retryReserve = 20
)

// State is the admission of one instance. Self must be set.
type State struct {
	Self    unit.Instance
	Targets map[unit.Target]*Target
	Pools   map[unit.Pool]*Pool
	Runs    map[unit.Request]*Run
	// Suspects are contents that were in flight in crashes.
	Suspects map[unit.Fingerprint]*Suspect
	// Active holds the version wanted on each pool.
	Active map[unit.Pool]unit.Version
	// Weights of workspaces; an absent one counts as 1.
	Weights map[unit.Workspace]int
	// Peers is the number of live instances that share the targets.
	Peers int
	// Retries is what is left of the retry budget.
	Retries float64
	// Policy is fixed at the start.
	Policy Policy
	// Counts are kept for metrics and dumps.
	Counts Counts
}

// Counts of decisions.
type Counts struct {
	Admitted, Refused, Finished, Retried, Crashes int64
}

// Run is a request from admission to its end.
type Run struct {
	op.Request
	// Target is set while an attempt runs.
	Target   unit.Target
	Run      unit.Request
	Attempts int
	// Serial numbers the attempts for their names; it never falls.
	Serial int
	// Version is the target's version when the attempt began.
	Version unit.Version
	Suspect bool
	// Ran is set once an attempt may have run.
	Ran bool
	// start is the virtual start time in the queue.
	start float64
	// passed counts the runs behind it that were sent ahead of it.
	passed int
	// gone marks a queued run that was ended; the queue drops it.
	gone bool
}

// New returns an empty admission.
func New(self unit.Instance) *State {
	return &State{
		Self:     self,
		Targets:  make(map[unit.Target]*Target),
		Pools:    make(map[unit.Pool]*Pool),
		Runs:     make(map[unit.Request]*Run),
		Suspects: make(map[unit.Fingerprint]*Suspect),
		Active:   make(map[unit.Pool]unit.Version),
		Peers:    1,
		Retries:  retryReserve,
	}
}

// Submit admits a checked request, or refuses it.
func (s *State) Submit(now clock.Millis, r op.Request, out *op.List) {
	if s.guilty(now, r.Fingerprint) {
		s.refuse(r, op.CrashSuspect, unit.NotRun, 0, out)
		return
	}
	run := &Run{Request: r, Suspect: s.suspected(now, r.Fingerprint)}
	p := s.pool(r.Pool)
	if p.full(run) {
		s.refuse(r, op.Overloaded, unit.NotRun, retryHint, out)
		return
	}
	s.Counts.Admitted++
	s.Retries = min(s.Retries+retryShare, retryReserve)
	s.Runs[r.ID] = run
	p.push(run, s.weight(run), s.Policy.sharing())
	s.drive(now, p, out)
}

// Finish ends an attempt. It returns the request's run if the whole answer
// stands, and decides on another attempt or a refusal otherwise.
func (s *State) Finish(now clock.Millis, e op.Finished, out *op.List) *Run {
	run := s.Runs[e.Request]
	if run == nil || run.Target == "" || run.Run != e.Run {
		return nil
	}
	t := s.detach(run)
	if t != nil {
		t.ended(now, e)
	}
	if e.Crashed {
		s.crashed(now, run, e.Target)
	}
	p := s.pool(run.Pool)
	defer s.drive(now, p, out)
	if e.OK {
		s.Counts.Finished++
		s.cleared(run)
		delete(s.Runs, run.ID)
		return run
	}
	run.Ran = run.Ran || e.Outcome != unit.NotRun
	s.again(now, run, e, out)
	return nil
}

// again runs a request once more if that cannot harm, or refuses it.
func (s *State) again(now clock.Millis, run *Run, e op.Finished, out *op.List) {
	safe := e.Outcome == unit.NotRun || run.Idempotent && e.Passed == 0
	free := e.Outcome == unit.NotRun
	switch {
	case s.guilty(now, run.Fingerprint):
		s.end(run, op.CrashSuspect, out)
	case !safe || run.Attempts >= maxAttempts || !free && s.Retries < 1:
		s.end(run, op.TargetFailed, out)
	default:
		if !free {
			s.Retries--
		}
		s.Counts.Retried++
		run.Suspect = s.suspected(now, run.Fingerprint)
		s.pool(run.Pool).pushFront(run)
	}
}

// Cancel ends a request whose caller is gone.
func (s *State) Cancel(now clock.Millis, id unit.Request, out *op.List) *Run {
	run := s.Runs[id]
	if run == nil {
		return nil
	}
	s.stop(run, out)
	s.drive(now, s.pool(run.Pool), out)
	return run
}

// CutKeys ends all requests of keys. A nil set cuts every request that came
// with a key.
func (s *State) CutKeys(now clock.Millis, keys map[unit.KeyID]bool, why op.Reason, out *op.List) {
	for _, id := range slices.Sorted(maps.Keys(s.Runs)) {
		run := s.Runs[id]
		if run.KeyID == "" || keys != nil && !keys[run.KeyID] {
			continue
		}
		s.stop(run, out)
		s.end(run, why, out)
	}
	s.driveAll(now, out)
}

// CancelStep ends all requests of a step.
func (s *State) CancelStep(now clock.Millis, id unit.StepID, out *op.List) {
	for _, rid := range slices.Sorted(maps.Keys(s.Runs)) {
		if run := s.Runs[rid]; run.Step == id {
			s.stop(run, out)
		}
	}
	s.driveAll(now, out)
}

// TooOld breaks off samples that can no longer be delivered, and runs them
// again.
func (s *State) TooOld(now clock.Millis, out *op.List) {
	for _, id := range slices.Sorted(maps.Keys(s.Runs)) {
		run := s.Runs[id]
		if !run.Bounded || run.Target == "" || run.Version == 0 || run.Version >= s.oldest(run) {
			continue
		}
		out.Add(op.Cancel{Request: run.ID, Run: run.Run, Target: run.Target})
		s.detach(run)
		run.Attempts = 0
		s.pool(run.Pool).pushFront(run)
	}
	s.driveAll(now, out)
}

// Expire refuses waiting requests whose deadline has passed, and breaks off
// running ones.
func (s *State) Expire(now clock.Millis, out *op.List) {
	for _, id := range slices.Sorted(maps.Keys(s.Runs)) {
		run := s.Runs[id]
		if run.Deadline > 0 && now >= run.Deadline {
			s.stop(run, out)
			s.end(run, op.Deadline, out)
		}
	}
	s.driveAll(now, out)
}

// Idle tells whether no request is waiting or running.
func (s *State) Idle() bool { return len(s.Runs) == 0 }

func (s *State) driveAll(now clock.Millis, out *op.List) {
	for _, name := range slices.Sorted(maps.Keys(s.Pools)) {
		s.drive(now, s.Pools[name], out)
	}
}

// drive dispatches waiting requests while targets have room.
func (s *State) drive(now clock.Millis, p *Pool, out *op.List) {
	for {
		run, t := s.next(now, p)
		if run == nil {
			return
		}
		s.attach(run, t, out)
	}
}

func (s *State) attach(run *Run, t *Target, out *op.List) {
	run.Attempts++
	run.Serial++
	s.pool(run.Pool).InFlight++
	run.Target = t.Name
	run.Version = t.Load.Version
	run.Run = run.ID + unit.Request("."+strconv.Itoa(run.Serial))
	t.attach(run)
	out.Add(op.Dispatch{
		Request: run.ID, Run: run.Run, Target: t.Name, Address: t.Address, Plain: run.Plain,
		Step: run.Step, Index: run.Index,
	})
}

func (s *State) detach(run *Run) *Target {
	t := s.Targets[run.Target]
	run.Target = ""
	s.pool(run.Pool).InFlight--
	if t != nil {
		t.detach(run)
	}
	return t
}

// stop takes a request off its target or out of its queue.
func (s *State) stop(run *Run, out *op.List) {
	if run.Target != "" {
		run.Ran = true
		out.Add(op.Cancel{Request: run.ID, Run: run.Run, Target: run.Target})
		s.detach(run)
	} else {
		s.pool(run.Pool).drop(run)
	}
	delete(s.Runs, run.ID)
}

func (s *State) end(run *Run, why op.Reason, out *op.List) {
	delete(s.Runs, run.ID)
	outcome := unit.NotRun
	if run.Ran {
		outcome = unit.Unknown
	}
	s.refuse(run.Request, why, outcome, 0, out)
}

func (s *State) refuse(r op.Request, why op.Reason, o unit.Outcome, retry clock.Millis, out *op.List) {
	s.Counts.Refused++
	out.Add(op.Refuse{
		Request: r.ID, Reason: why, Outcome: o, RetryAfter: retry, Step: r.Step, Index: r.Index,
	})
}

// oldest is the oldest version that may produce a bounded answer.
func (s *State) oldest(run *Run) unit.Version {
	if !run.Bounded {
		return 0
	}
	return s.Active[run.Pool] - run.Staleness
}

func (s *State) weight(run *Run) float64 {
	w := float64(max(s.Weights[run.Workspace], 1))
	if run.Class == op.Live {
		w *= liveWeight
	}
	return w
}
