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

// Open starts to make this instance the owner of a step, by reading its record.
// The caller has checked the key and the route. If this instance has the step
// already, that state is discarded.
func (s *State) Open(now clock.Millis, e op.OpenStep, key unit.KeyID, route spec.Route, out *op.List) {
	if s.Draining {
		out.Add(op.StepOpened{Call: e.Call, Step: e.Step, Reason: op.Draining})
		return
	}
	if old := s.Steps[e.Step]; old != nil {
		s.refuseCalls(old, op.StaleEpoch, out)
		s.remove(old, out)
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

// newStep returns a step in phase Claiming with all samples queued, the most
// expensive first.
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

// handleRead handles the result of reading the record. While the step is being
// claimed, the record is overwritten with the next epoch. Otherwise it was read
// because of a conflict or an earlier failure: the samples acknowledged here are
// merged into the record, which is then written. If the record that was read has
// a higher epoch, this instance is no longer the owner.
func (s *State) handleRead(now clock.Millis, st *Step, e op.StepRead, v View, out *op.List) {
	st.Saving = false
	if e.Result != op.Done {
		s.handleStoreFailure(now, st, v, out)
		return
	}
	st.Revision, st.Known = e.Revision, true
	if st.Phase == Claiming {
		s.claim(now, st, e.Record, v, out)
		return
	}
	local := st.Record
	st.Record = e.Record
	if e.Record.Epoch > st.Epoch && st.Phase != Superseded {
		s.supersede(st, out)
	}
	if e.Record.Epoch <= st.Epoch && st.Phase != Superseded {
		st.Record.Home, st.Record.Epoch, st.Record.Count = local.Home, local.Epoch, local.Count
	}
	st.Record.Closed = e.Record.Closed || local.Closed
	st.billAcknowledged(v.Window)
	s.save(now, st, out)
}

// claim writes the record with the next epoch and this instance as the owner. A
// closed step is refused.
func (s *State) claim(now clock.Millis, st *Step, r op.StepRecord, v View, out *op.List) {
	if r.Closed {
		out.Add(op.StepOpened{Call: st.OpenCall, Step: st.ID, Reason: op.StepClosed})
		s.remove(st, out)
		return
	}
	st.Epoch = max(r.Epoch, st.Opened.TrainerHas) + 1
	st.Record = r
	st.takeOwnership(s.Self, v)
	s.save(now, st, out)
}

// takeOwnership enters this instance as the owner in the record. Samples that
// the trainer already has count as acknowledged: they are billed and not run
// again.
func (st *Step) takeOwnership(self unit.Incarnation, v View) {
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
	st.billAcknowledged(v.Window)
	st.Queue = slices.DeleteFunc(st.Queue, func(i int32) bool {
		return st.Samples[i].Status != Waiting
	})
}

// save writes the record, or reads it first if its revision is unknown;
// handleRead then writes it.
func (s *State) save(now clock.Millis, st *Step, out *op.List) {
	if !st.Known {
		st.Saving = true
		out.Add(op.ReadStep{Step: st.ID})
		return
	}
	st.Saving, st.Dirty = true, false
	st.SaveAt = now + minSaveInterval
	out.Add(op.SaveStep{Step: st.ID, Record: cloneRecord(st.Record), IfRev: st.Revision, Claim: st.Phase == Claiming})
}

// handleSaved handles the result of a write. A write with another epoch belongs
// to an earlier opening of the step here and is ignored.
func (s *State) handleSaved(now clock.Millis, st *Step, e op.StepSaved, v View, out *op.List) {
	if e.Record.Epoch != st.Record.Epoch {
		return
	}
	st.Saving = false
	switch e.Result {
	case op.Done:
		st.Revision = e.Revision
		s.afterSave(now, st, out)
	case op.Conflict:
		st.Known, st.Dirty = false, true
		st.Tries++
		s.save(now, st, out)
	default:
		st.Known, st.Dirty = false, true
		s.handleStoreFailure(now, st, v, out)
	}
}

// afterSave takes the next action once the record is stored. A claimed step is
// opened. A step that is closed, owned elsewhere or given up in a graceful
// shutdown is forgotten, unless its record has changed again.
func (s *State) afterSave(now clock.Millis, st *Step, out *op.List) {
	switch {
	case st.Phase == Claiming:
		s.openClaimed(now, st, out)
	case st.Dirty:
	case st.Phase == Closing:
		s.answerClose(st, true, out)
		s.remove(st, out)
	case st.Phase == Superseded || s.Draining:
		s.remove(st, out)
	}
}

// openClaimed reports a claimed step as opened. It then submits the samples or, in
// a graceful shutdown, gives up the ownership.
func (s *State) openClaimed(now clock.Millis, st *Step, out *op.List) {
	st.Phase = Open
	out.Add(op.StepOpened{Call: st.OpenCall, Step: st.ID, Epoch: st.Epoch})
	if s.Draining {
		s.giveUpOwnership(now, st, out)
		return
	}
	s.submit(st, out)
}

// handleStoreFailure handles a failed read or write. A step that is being
// claimed is opened without the store, since the epoch that the trainer knows
// is enough to choose a higher one. The record stays dirty and is written
// later; until then a copy of the usage goes to a peer. A call that closes the
// step is answered as not recorded.
func (s *State) handleStoreFailure(now clock.Millis, st *Step, v View, out *op.List) {
	st.SaveAt = now + minSaveInterval
	st.Dirty = true
	if st.Phase == Claiming {
		st.Tries++
		if st.Tries < maxClaimTries && st.Known {
			s.save(now, st, out)
			return
		}
		st.Epoch = max(st.Epoch, st.Opened.TrainerHas+1)
		st.takeOwnership(s.Self, v)
		s.openClaimed(now, st, out)
	}
	if len(st.Record.Usage.Workspaces) > 0 {
		out.Add(op.KeepUsage{Counters: usage.Clone(st.Record.Usage)})
	}
	if st.Phase == Closing {
		s.answerClose(st, false, out)
	}
}

// closeStep bills the last acknowledgements and writes the record as closed,
// after which the step can't be opened again.
func (s *State) closeStep(now clock.Millis, e op.CloseStep, v View, out *op.List) {
	st, why := s.findOpen(e.Step, e.Epoch)
	if st == nil {
		out.Add(op.StepEnded{Call: e.Call, Step: e.Step, Reason: why})
		return
	}
	st.acknowledge(e.Acknowledged, v)
	s.refuseCalls(st, op.StepClosed, out)
	st.Phase = Closing
	st.Record.Closed = true
	st.EndCall = e.Call
	st.Dirty = true
	if !st.Saving {
		s.save(now, st, out)
	}
}

// answerClose answers the call that closes the step, if there is one.
func (s *State) answerClose(st *Step, recorded bool, out *op.List) {
	if st.EndCall != 0 {
		out.Add(op.StepEnded{Call: st.EndCall, Step: st.ID, Recorded: recorded})
		st.EndCall = 0
	}
}

// supersede stops serving a step that another instance owns under a higher
// epoch. The step is kept until its acknowledgements are in the record.
func (s *State) supersede(st *Step, out *op.List) {
	s.refuseCalls(st, op.StaleEpoch, out)
	s.answerClose(st, true, out)
	st.Phase = Superseded
	st.Paused = true
}

// refuseCalls refuses the pending calls of a step: its pulls and, while the step
// is being claimed, the call that opens it.
func (s *State) refuseCalls(st *Step, why op.Reason, out *op.List) {
	if st.Phase == Claiming {
		out.Add(op.StepOpened{Call: st.OpenCall, Step: st.ID, Reason: why})
	}
	for _, p := range st.Pulls {
		out.Add(op.Deliver{Call: p.Call, Step: st.ID, Epoch: st.Epoch, Reason: why})
	}
	st.Pulls = nil
}

// drain stops serving all steps in a graceful shutdown. Trainers then open them
// on other instances.
func (s *State) drain(now clock.Millis, out *op.List) {
	s.Draining = true
	for _, id := range slices.SortedFunc(maps.Keys(s.Steps), compareIDs) {
		if st := s.Steps[id]; st.Phase == Open {
			s.giveUpOwnership(now, st, out)
		}
	}
}

// giveUpOwnership refuses the pending pulls of a step and writes its record.
// The step is forgotten once the record is stored.
func (s *State) giveUpOwnership(now clock.Millis, st *Step, out *op.List) {
	s.refuseCalls(st, op.Draining, out)
	if st.Saving {
		st.Dirty = true
		return
	}
	s.save(now, st, out)
}

// requestID returns the ID of the current request of a sample. It includes the
// epoch and the number of tries, so that late events of older requests can be
// told apart.
func (st *Step) requestID(i int32) unit.Request {
	return unit.Request(st.ID.String() + "#" + strconv.FormatInt(int64(st.Epoch), 10) + "/" +
		strconv.Itoa(int(i)) + "/" + strconv.Itoa(st.Samples[i].Tries))
}

// request returns the current request of a sample.
func (st *Step) request(i int32) op.Request {
	x := st.Samples[i]
	return op.Request{
		ID: st.requestID(i), Route: st.Route, Pool: st.Pool, KeyID: st.KeyID,
		Workspace: st.ID.Workspace, Class: op.Trainer, Cost: x.Cost, Prefix: x.Prefix,
		Fingerprint: x.Fingerprint, Idempotent: true, Bounded: true, Staleness: st.Staleness,
		Step: st.ID, Index: i,
	}
}

// retryDelay returns the delay before a refused sample is submitted again: half
// of initialBackoff plus a jitter, whose range doubles with each try up to
// maxBackoff. The jitter is a hash of the request ID, since decisions must be
// reproducible.
func retryDelay(r op.Request, tries int) clock.Millis {
	limit := initialBackoff << min(tries, 6)
	if limit > maxBackoff {
		limit = maxBackoff
	}
	return initialBackoff/2 + clock.Millis(xxhash.Sum64String(string(r.ID))%uint64(limit))
}
