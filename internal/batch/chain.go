package batch

import (
	"slices"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
)

// leave ends the runs of a job so that another instance can go on from what
// they have.
func (s *State) leave(j *Job, out *op.List) {
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

// release lets a job go once everything is written.
func (s *State) release(j *Job, v View, out *op.List) {
	epoch := j.Epoch
	s.dropped(j.ID, v, out)
	out.Add(op.ForgetJob{Job: j.ID, Epoch: epoch})
}

// stopping tells whether a leaving job still has runs that are to end.
func (j *Job) stopping() bool {
	return j.Leaving && slices.ContainsFunc(j.Items, func(it Item) bool { return it.Phase == running })
}

// append writes the next chunk if there is something to list.
func (s *State) append(now clock.Millis, j *Job, v View, out *op.List) {
	if j.Writing || j.Ended || now < j.RetryAt || j.stopping() {
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
	if now < j.AppendAt && !j.Ending && !j.Leaving && !j.completes(ready) {
		return
	}
	e.Save = j.Leaving
	j.Writing, j.SaveWanted = true, false
	j.AppendAt, j.SaveAt = now+appendEvery, now+saveEvery
	out.Add(e)
}

// completes tells whether the results that are ready are all that the job, or
// the groups which the trainer waits for, still lack.
func (j *Job) completes(ready int) bool {
	if j.Listed+ready == len(j.Items) {
		return true
	}
	open := make(map[string]bool)
	groups := make(map[string]bool)
	fresh := make(map[string]bool)
	for i := range j.Items {
		it := &j.Items[i]
		groups[it.Group] = true
		switch it.Phase {
		case waiting, running:
			open[it.Group] = true
		case done, givenUp:
			fresh[it.Group] = true
		}
	}
	whole, old := 0, 0
	for g := range groups {
		if open[g] {
			continue
		}
		whole++
		if !fresh[g] {
			old++
		}
	}
	return j.WantGroups > 0 && whole >= j.WantGroups && old < j.WantGroups
}

func (s *State) appended(now clock.Millis, e op.Appended, v View, out *op.List) {
	j := s.Jobs[e.Job]
	if j == nil || e.Chunk != j.Chunks {
		return
	}
	j.Writing = false
	switch e.Result {
	case op.Done, op.Conflict:
		s.adopt(j, e.Other, v, out)
		s.settleClaim(j, e, v, out)
	default:
		j.RetryAt = now + retryAppend
		j.SaveWanted = j.SaveWanted || j.Leaving
	}
}

// settleClaim draws the conclusion from the chunk that now stands last: a claim
// of ours that was written, or another owner's under an epoch that is not lower.
func (s *State) settleClaim(j *Job, e op.Appended, v View, out *op.List) {
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
	s.dropped(j.ID, v, out)
	out.Add(op.ForgetJob{Job: j.ID, Epoch: epoch})
}

// adopt takes a chunk that stands in the store.
func (s *State) adopt(j *Job, c op.ChunkShape, v View, out *op.List) {
	j.Chunks++
	for _, i := range c.Items {
		if i < 0 || i >= len(j.Items) || j.Items[i].Phase == listed {
			continue
		}
		s.stop(j, i, v, out)
		j.Items[i].Phase = listed
		j.Listed++
	}
	out.Add(op.JobListed{Job: j.ID, Chunk: c, Total: j.Listed})
	if c.Ended {
		j.Ending, j.Ended = true, true
		for i := range j.Items {
			s.stop(j, i, v, out)
		}
	}
	if j.Ended {
		for _, call := range j.EndCalls {
			out.Add(op.JobEnded{Call: call})
		}
		j.EndCalls = nil
	}
}

func (s *State) endAsked(e op.EndAsked, v View, out *op.List) {
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
		s.stop(j, i, v, out)
	}
}
