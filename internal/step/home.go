package step

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/internal/usage"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/spec"
	"github.com/catkinhead/catkinhead/pkg/unit"
	"github.com/cespare/xxhash/v2"
)

// Open starts to make this instance the home of a step. The key and route
// were checked.
func (s *State) Open(now clock.Millis, e op.OpenStep, key unit.KeyID, route spec.Route, out *op.List) {
	if s.Draining {
		out.Add(op.StepOpened{Call: e.Call, Step: e.Step, Reason: op.Draining})
		return
	}
	if old := s.Steps[e.Step]; old != nil {
		s.release(old, op.StaleEpoch, out)
		s.drop(old, out)
	}
	st := newStep(e, key, route)
	st.CalledAt = now
	if s.Steps == nil {
		s.Steps = make(map[unit.StepID]*Step)
	}
	s.Steps[e.Step] = st
	st.Saving = true
	out.Add(op.ReadStep{Step: e.Step})
}

func newStep(e op.OpenStep, key unit.KeyID, route spec.Route) *Step {
	st := &Step{
		ID: e.Step, Phase: Claiming, Route: e.Route, Pool: route.Pool, KeyID: key,
		Staleness: e.Staleness, TrainerAt: e.TrainerAt, Samples: make([]Sample, len(e.Samples)),
		OpenCall: e.Call, Opened: e,
	}
	st.Queue = make([]int32, len(e.Samples))
	for i, shape := range e.Samples {
		st.Samples[i].SampleShape = shape
		st.Queue[i] = int32(i)
	}
	slices.SortStableFunc(st.Queue, func(a, b int32) int {
		return cmp.Compare(st.Samples[b].Cost, st.Samples[a].Cost)
	})
	st.Opened.Samples = nil
	return st
}

// read takes the record in: while claiming, to write over it; later, after a
// write whose end was unclear.
func (s *State) read(now clock.Millis, st *Step, e op.StepRead, v View, out *op.List) {
	st.Saving = false
	if e.Result != op.Done {
		s.storeFailed(now, st, v, out)
		return
	}
	st.Revision, st.Known = e.Revision, true
	if st.Phase == Claiming {
		s.claim(now, st, e.Record, v, out)
		return
	}
	ours := st.Record
	st.Record = e.Record
	if e.Record.Epoch > st.Epoch && st.Phase != Superseded {
		s.supersede(st, out)
	}
	if e.Record.Epoch <= st.Epoch && st.Phase != Superseded {
		st.Record.Home, st.Record.Epoch, st.Record.Count = ours.Home, ours.Epoch, ours.Count
	}
	st.Record.Closed = e.Record.Closed || ours.Closed
	st.billAll(v.Window)
	s.save(now, st, out)
}

// claim writes the record with the next epoch.
func (s *State) claim(now clock.Millis, st *Step, r op.StepRecord, v View, out *op.List) {
	if r.Closed {
		out.Add(op.StepOpened{Call: st.OpenCall, Step: st.ID, Reason: op.StepClosed})
		s.drop(st, out)
		return
	}
	st.Epoch = max(r.Epoch, st.Opened.TrainerHas) + 1
	st.Record = r
	st.adopt(s.Self, v)
	s.save(now, st, out)
}

// adopt makes the record ours, with what the trainer holds on the bill.
func (st *Step) adopt(self unit.Incarnation, v View) {
	st.Record.Home, st.Record.Epoch, st.Record.Count = self, st.Epoch, len(st.Samples)
	for _, h := range st.Opened.Held {
		if h.Index < 0 || int(h.Index) >= len(st.Samples) {
			continue
		}
		x := &st.Samples[h.Index]
		if x.Status != Waiting {
			continue
		}
		x.Status = Acked
		x.Result = op.SampleResult{Index: h.Index, Tokens: h.Tokens}
		st.Acked++
	}
	st.billAll(v.Window)
	st.Queue = slices.DeleteFunc(st.Queue, func(i int32) bool {
		return st.Samples[i].Status != Waiting
	})
}

func (s *State) save(now clock.Millis, st *Step, out *op.List) {
	if !st.Known {
		st.Saving = true
		out.Add(op.ReadStep{Step: st.ID})
		return
	}
	st.Saving, st.Dirty = true, false
	st.SaveAt = now + saveEvery
	out.Add(op.SaveStep{Step: st.ID, Record: cloneRecord(st.Record), IfRev: st.Revision, Claim: st.Phase == Claiming})
}

// saved takes the end of a write. One of an earlier opening of the step, which
// went under another epoch, says nothing of this one.
func (s *State) saved(now clock.Millis, st *Step, e op.StepSaved, v View, out *op.List) {
	if e.Record.Epoch != st.Record.Epoch {
		return
	}
	st.Saving = false
	switch e.Result {
	case op.Done:
		st.Revision = e.Revision
		s.recorded(now, st, out)
	case op.Conflict:
		st.Known, st.Dirty = false, true
		st.Tries++
		s.save(now, st, out)
	default:
		st.Known, st.Dirty = false, true
		s.storeFailed(now, st, v, out)
	}
}

// recorded goes on once the store holds the record.
func (s *State) recorded(now clock.Millis, st *Step, out *op.List) {
	switch {
	case st.Phase == Claiming:
		s.serve(now, st, out)
	case st.Dirty:
	case st.Phase == Closing:
		s.endCalls(st, true, out)
		s.drop(st, out)
	case st.Phase == Superseded || s.Draining:
		s.drop(st, out)
	}
}

// serve opens the step.
func (s *State) serve(now clock.Millis, st *Step, out *op.List) {
	st.Phase = Open
	out.Add(op.StepOpened{Call: st.OpenCall, Step: st.ID, Epoch: st.Epoch})
	if s.Draining {
		s.handOver(now, st, out)
		return
	}
	s.submit(st, out)
}

// storeFailed goes on without the store. A step opens all the same, since the
// trainer's own count keeps epochs apart; what is owed to the store waits, and
// a copy of the bill goes to a peer.
func (s *State) storeFailed(now clock.Millis, st *Step, v View, out *op.List) {
	st.SaveAt = now + saveEvery
	st.Dirty = true
	if st.Phase == Claiming {
		st.Tries++
		if st.Tries < claimTries && st.Known {
			s.save(now, st, out)
			return
		}
		st.Epoch = max(st.Epoch, st.Opened.TrainerHas+1)
		st.adopt(s.Self, v)
		s.serve(now, st, out)
	}
	if len(st.Record.Usage.Workspaces) > 0 {
		out.Add(op.KeepUsage{Counters: usage.Clone(st.Record.Usage)})
	}
	if st.Phase == Closing {
		s.endCalls(st, false, out)
	}
}

// close ends a step for good.
func (s *State) close(now clock.Millis, e op.CloseStep, v View, out *op.List) {
	st, why := s.find(e.Step, e.Epoch)
	if st == nil {
		out.Add(op.StepEnded{Call: e.Call, Step: e.Step, Reason: why})
		return
	}
	st.acknowledge(e.Acknowledged, v)
	s.release(st, op.StepClosed, out)
	st.Phase = Closing
	st.Record.Closed = true
	st.EndCall = e.Call
	st.Dirty = true
	if !st.Saving {
		s.save(now, st, out)
	}
}

func (s *State) endCalls(st *Step, recorded bool, out *op.List) {
	if st.EndCall != 0 {
		out.Add(op.StepEnded{Call: st.EndCall, Step: st.ID, Recorded: recorded})
		st.EndCall = 0
	}
}

// supersede stops serving a step that has a newer home.
func (s *State) supersede(st *Step, out *op.List) {
	s.release(st, op.StaleEpoch, out)
	s.endCalls(st, true, out)
	st.Phase = Superseded
	st.Paused = true
}

// release answers the waiting pulls with a reason.
func (s *State) release(st *Step, why op.Reason, out *op.List) {
	if st.Phase == Claiming {
		out.Add(op.StepOpened{Call: st.OpenCall, Step: st.ID, Reason: why})
	}
	for _, p := range st.Pulls {
		out.Add(op.Deliver{Call: p.Call, Step: st.ID, Epoch: st.Epoch, Reason: why})
	}
	st.Pulls = nil
}

// drain hands every step over: trainers open them elsewhere with what they
// hold.
func (s *State) drain(now clock.Millis, out *op.List) {
	s.Draining = true
	for _, id := range slices.SortedFunc(maps.Keys(s.Steps), compareIDs) {
		if st := s.Steps[id]; st.Phase == Open {
			s.handOver(now, st, out)
		}
	}
}

func (s *State) handOver(now clock.Millis, st *Step, out *op.List) {
	s.release(st, op.Draining, out)
	if st.Saving {
		st.Dirty = true
		return
	}
	s.save(now, st, out)
}

func (st *Step) requestID(i int32) unit.Request {
	return unit.Request(st.ID.String() + "#" + strconv.FormatInt(int64(st.Epoch), 10) + "/" +
		strconv.Itoa(int(i)) + "/" + strconv.Itoa(st.Samples[i].Tries))
}

func (st *Step) request(i int32) op.Request {
	x := st.Samples[i]
	return op.Request{
		ID: st.requestID(i), Route: st.Route, Pool: st.Pool, KeyID: st.KeyID,
		Workspace: st.ID.Workspace, Class: op.Trainer, Cost: x.Cost, Prefix: x.Prefix,
		Fingerprint: x.Fingerprint, Idempotent: true, Bounded: true, Staleness: st.Staleness,
		Step: st.ID, Index: i,
	}
}

// backoff is a pause with full jitter, drawn from the request's name.
func backoff(r op.Request, tries int) clock.Millis {
	limit := firstBackoff << min(tries, 6)
	if limit > lastBackoff {
		limit = lastBackoff
	}
	return firstBackoff/2 + clock.Millis(xxhash.Sum64String(string(r.ID))%uint64(limit))
}
