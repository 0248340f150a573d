package batch

import (
	"slices"
	"strconv"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
)

// handOver stops the runs of a job and requests that their partial output is
// saved, so that another instance can resume from it.
func (s *State) handOver(j *Job, out *op.List) {
	if j.Ending {
		return
	}
	if !j.Leaving {
		j.Leaving, j.SaveWanted = true, true
	}
	for i := range j.Items {
		it := &j.Items[i]
		if it.Phase == running && !it.Moving {
			it.Moving = true
			out.Add(op.MoveItem{Job: j.ID, Item: i, Run: it.Run})
		}
	}
}

// release drops a job that has nothing left to write, and tells the runner to
// drop its content.
func (s *State) release(j *Job, v View, out *op.List) {
	epoch := j.Epoch
	s.dropJob(j.ID, v, out)
	out.Add(op.ForgetJob{Job: j.ID, Epoch: epoch})
}

// awaitsRuns reports whether a job that is handed over still has runs or reward
// calls in flight. The latter are not stopped, since they end soon.
func (j *Job) awaitsRuns() bool {
	return j.Leaving && slices.ContainsFunc(j.Items, func(it Item) bool { return it.Phase == running || it.Phase == scoring })
}

// appendChunk writes the next chunk if there is something to write and it is
// due. An owner that did not create the job first writes a chunk without results,
// its claim. A job that is handed over and has nothing left to write is released.
func (s *State) appendChunk(now clock.Millis, j *Job, v View, out *op.List) {
	if j.Writing || j.Ended || now < j.RetryAt || j.awaitsRuns() {
		return
	}
	if j.Ahead {
		if j.Leaving {
			s.release(j, v, out)
		}
		return
	}
	e := op.AppendChunk{Job: j.ID, Chunk: j.Chunks, Ended: j.Ending, Epoch: j.Epoch}
	if !j.Claimed {
		j.Writing, e.Ended = true, false
		out.Add(e)
		return
	}
	for i := range j.Items {
		switch j.Items[i].Phase {
		case done:
			e.Done = append(e.Done, i)
		case givenUp:
			e.GivenUp = append(e.GivenUp, i)
		}
	}
	ready := len(e.Done) + len(e.GivenUp)
	save := j.SaveWanted && (j.Leaving || now >= j.SaveAt)
	if ready == 0 && !j.Ending && !save {
		if j.Leaving {
			s.release(j, v, out)
		}
		return
	}
	if now < j.AppendAt && !j.Ending && !j.Leaving {
		// Groups become complete only with further results.
		if ready == j.incomplete {
			return
		}
		if !j.completesJobOrGroups(ready) {
			j.incomplete = ready
			return
		}
	}
	j.incomplete = -1
	e.Save = j.Leaving
	j.Writing, j.SaveWanted = true, false
	j.AppendAt, j.SaveAt = now+appendInterval, now+minSaveInterval
	if j.DueAt > 0 && now+appendInterval > j.DueAt-lateMargin {
		j.AppendAt = now + lateAppendInterval
	}
	out.Add(e)
}

// completesJobOrGroups reports whether a chunk with the results that are ready
// completes the job, or completes a group and raises the number of complete groups
// in the store to WantGroups or above. The trainer may wait for that group. Such a
// chunk is written without delay.
// ready is the number of items that are done or given up.
func (j *Job) completesJobOrGroups(ready int) bool {
	if j.Listed+ready == len(j.Items) {
		return true
	}
	unfinished := make(map[string]bool)
	groups := make(map[string]bool)
	unlisted := make(map[string]bool)
	for i := range j.Items {
		it := &j.Items[i]
		groups[it.Group] = true
		switch it.Phase {
		case waiting, running, repeated, unscored, scoring:
			unfinished[it.Group] = true
		case done, givenUp:
			unlisted[it.Group] = true
		}
	}
	whole, listedWhole := 0, 0
	for g := range groups {
		if unfinished[g] {
			continue
		}
		whole++
		if !unlisted[g] {
			listedWhole++
		}
	}
	return j.WantGroups > 0 && whole >= j.WantGroups && listedWhole < whole
}

// chunkAppended handles the end of a chunk's write. On a conflict, the chunk
// that another owner has stored under the number is adopted instead.
func (s *State) chunkAppended(now clock.Millis, e op.ChunkAppended, v View, out *op.List) {
	j := s.Jobs[e.Job]
	if j == nil || e.Chunk != j.Chunks {
		return
	}
	j.Writing = false
	for _, i := range e.Unready {
		if i < len(j.Items) && j.Items[i].Phase == done {
			j.Items[i].Phase = waiting
		}
	}
	switch e.Result {
	case op.Done, op.Conflict:
		j.SaveWanted = j.SaveWanted || e.Shortened
		s.adopt(j, e.Other, v, out)
		s.resolveOwnership(j, e, v, out)
	default:
		j.RetryAt = now + appendRetryDelay
		j.SaveWanted = j.SaveWanted || j.Leaving
	}
}

// resolveOwnership decides who owns the job after a chunk was written or a
// conflict was found. A successful write, or a job that has ended, confirms this
// instance's claim. A conflicting chunk of another instance with an equal or
// higher epoch means that the job has a new owner, so this instance drops it.
func (s *State) resolveOwnership(j *Job, e op.ChunkAppended, v View, out *op.List) {
	if e.Result == op.Done || j.Ended {
		if !j.Claimed {
			j.Claimed = true
			out.Add(op.JobClaimed{Job: j.ID})
		}
		return
	}
	if e.Other.Owner == s.Self || e.Other.Epoch < j.Epoch {
		return
	}
	epoch := j.Epoch
	s.dropJob(j.ID, v, out)
	out.Add(op.ForgetJob{Job: j.ID, Epoch: epoch})
}

// adopt applies a chunk that is in the store: its items become listed, and their
// runs are stopped. If it is the final chunk, all runs are stopped and the
// requests that wait for the end are answered.
func (s *State) adopt(j *Job, c op.ChunkShape, v View, out *op.List) {
	j.Chunks++
	j.incomplete = -1
	for _, i := range c.Items {
		if i < 0 || i >= len(j.Items) || j.Items[i].Phase == listed {
			continue
		}
		s.stopRun(j, i, v, out)
		j.Items[i].Phase = listed
		j.Listed++
	}
	out.Add(op.ResultsListed{Job: j.ID, Chunk: c, Total: j.Listed})
	if c.Ended {
		j.Ending, j.Ended = true, true
		for i := range j.Items {
			s.stopRun(j, i, v, out)
		}
	}
	if j.Ended {
		for _, call := range j.EndCalls {
			out.Add(op.JobEnded{Call: call})
		}
		j.EndCalls = nil
	}
}

// itemsRepeated stops the runs of items that a later job of the series runs. The
// trainer has gone on, though the end of this job has not arrived: two targets would
// work on the same request.
func (s *State) itemsRepeated(e op.ItemsRepeated, v View, out *op.List) {
	j := s.Jobs[e.Job]
	if j == nil {
		return
	}
	stopped, waited := 0, 0
	for _, i := range e.Items {
		switch it := &j.Items[i]; it.Phase {
		case running:
			s.stopRun(j, i, v, out)
			it.Phase = repeated
			stopped++
		case waiting:
			it.Phase = repeated
			waited++
		}
	}
	if stopped+waited == 0 {
		return
	}
	out.Add(op.Note{Level: "info", Message: "items are run by a later job", Fields: map[string]string{
		"Job": j.ID, "Later": e.Later, "Stopped": strconv.Itoa(stopped), "Waiting": strconv.Itoa(waited),
	}})
}

// endRequested handles a request to end a job: all runs are stopped, and the
// caller is answered once the final chunk is stored.
func (s *State) endRequested(e op.EndRequested, v View, out *op.List) {
	j := s.Jobs[e.Job]
	if j == nil {
		return
	}
	if j.Ended {
		out.Add(op.JobEnded{Call: e.Call})
		return
	}
	j.EndCalls = append(j.EndCalls, e.Call)
	if j.Ending {
		return
	}
	j.Ending = true
	for i := range j.Items {
		s.stopRun(j, i, v, out)
	}
}
