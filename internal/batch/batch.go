package batch

import (
	"cmp"
	"maps"
	"slices"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/internal/roster"
	"github.com/catkinhead/catkinhead/internal/route"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// appendInterval is the time between two chunks of a job as long as their results
	// are of no use to the trainer, which waits for a number of complete groups. A
	// trainer that finds results pauses before it reads again, and so would notice
	// later that the groups are complete. Results that complete these groups, or any
	// further one, are written immediately.
	appendInterval clock.Millis = clock.Second
	// lateAppendInterval is the time between two chunks from lateMargin before all
	// results are due. Groups that are complete by then count even if others are not.
	lateAppendInterval clock.Millis = 300
	lateMargin         clock.Millis = 1500
	// minSaveInterval is the minimum time between a chunk of a job and the next
	// one, if that contains only partial output of unfinished items.
	minSaveInterval clock.Millis = clock.Second
	// appendRetryDelay is the delay before a chunk is written again if the outcome
	// of the previous write is unknown.
	appendRetryDelay clock.Millis = 250
	// refusalCooldown is how long a target that refused an item gets no more items
	// of the same model.
	refusalCooldown clock.Millis = 150
	// oldVersionCooldown is how long a target whose version of a model was too old
	// for an item gets no more items of that model.
	oldVersionCooldown clock.Millis = 400
	// failureDelay is the delay before a failed item runs again. It is also the
	// base of the exponential backoff for items whose runs break.
	failureDelay clock.Millis = 50
	// closedRetention is how long a closed job is kept in memory. After that its
	// results are read from the store.
	closedRetention clock.Millis = 120 * clock.Second
	// breaksBeforeBackoff is how many consecutive runs of an item may break, as
	// counted by Item.Barren, before backoff starts.
	breaksBeforeBackoff = 2
	// maxBackoff is the upper bound of the backoff for items whose runs break. It is
	// well below the time of a step: the item is owed, whatever happened to the
	// targets that ran it.
	maxBackoff clock.Millis = 2 * clock.Second
)

// firstEpoch is the owner epoch of the instance that created a job.
const firstEpoch unit.Epoch = 1

// State holds the jobs that this instance owns. Self must be set.
type State struct {
	Self unit.Instance
	// Jobs are the owned jobs by ID.
	Jobs map[string]*Job
	// Cooldowns holds the targets that recently refused an item of a model.
	// After the cooldown one item at a time probes the target, until an item
	// completes there or the target answers with its version of the model.
	Cooldowns map[targetModel]*cooldown
	// lastRun is the number of the latest run or attempt of a reward call.
	lastRun int64
	// split picks the pools of items and reward calls.
	split route.Splitter
}

// targetModel is a model at a target.
type targetModel struct {
	Target unit.Target
	Model  unit.Model
}

// cooldown keeps items of a model away from a target that refused one.
type cooldown struct {
	until clock.Millis
	// probeRun is the number of the run that probes the target, 0 if there is none.
	probeRun int64
}

// View is the state of other packages that decisions on jobs depend on. Starting
// and ending runs updates the attempt counts in Roster.
type View struct {
	Roster *roster.State
	// Table is nil before the first configuration.
	Table *route.Table
	// Draining is set during the graceful shutdown of this instance: no runs are
	// started, and all jobs are handed over.
	Draining bool
}

// Reduce applies an event to the jobs, then advances all jobs.
func (s *State) Reduce(now clock.Millis, ev op.Event, v View, out *op.List) {
	switch e := ev.(type) {
	case op.JobOwnershipGained:
		s.addJob(now, e, v)
	case op.JobOwnershipLost:
		s.dropJob(e.Job, v, out)
	case op.JobStored:
		if j := s.Jobs[e.Job]; j != nil {
			j.Ahead = false
		}
	case op.JobNotStored:
		if j := s.Jobs[e.Job]; j != nil && j.Ahead {
			s.release(j, v, out)
		}
	case op.JobSurplus:
		if j := s.Jobs[e.Job]; j != nil && j.Closed() {
			s.release(j, v, out)
		}
	case op.JobOutputUnsaved:
		if j := s.Jobs[e.Job]; j != nil {
			j.SaveWanted = true
		}
	case op.ItemRunEnded:
		s.itemRunEnded(now, e, v)
	case op.RewardCallEnded:
		s.rewardCallEnded(now, e, v)
	case op.ChunkAppended:
		s.chunkAppended(now, e, v, out)
	case op.EndRequested:
		s.endRequested(e, v, out)
	case op.ItemsRepeated:
		s.itemsRepeated(e, v, out)
	case op.VersionReported:
		if _, refused := s.Cooldowns[targetModel{e.Target, e.Model}]; !refused {
			return
		}
		delete(s.Cooldowns, targetModel{e.Target, e.Model})
	}
	s.Advance(now, v, out)
}

// Advance does what is due for all jobs: it evicts closed jobs, gives up overdue
// items, starts and moves runs, and writes chunks.
func (s *State) Advance(now clock.Millis, v View, out *op.List) {
	s.evictClosed(now, v, out)
	jobs := s.openJobs()
	for _, j := range jobs {
		j.followRoute(v)
		s.giveUpOverdue(now, j, v, out)
	}
	if v.Draining {
		for _, j := range jobs {
			s.handOver(j, out)
		}
	} else {
		for _, j := range jobs {
			s.startItems(now, j, v, out)
			s.moveFromSlow(now, j, v, out)
			s.sendRewardCalls(now, j, v, out)
		}
	}
	for _, j := range jobs {
		s.appendChunk(now, j, v, out)
	}
}

// evictClosed releases jobs that have been closed for longer than
// closedRetention.
func (s *State) evictClosed(now clock.Millis, v View, out *op.List) {
	for _, id := range slices.Sorted(maps.Keys(s.Jobs)) {
		j := s.Jobs[id]
		switch {
		case !j.Closed():
		case j.ClosedAt == 0:
			j.ClosedAt = now
		case now >= j.ClosedAt+closedRetention:
			s.release(j, v, out)
		}
	}
}

// openJobs returns the jobs that are not closed, the earliest due time first.
func (s *State) openJobs() []*Job {
	jobs := make([]*Job, 0, len(s.Jobs))
	for _, id := range slices.Sorted(maps.Keys(s.Jobs)) {
		if j := s.Jobs[id]; !j.Closed() {
			jobs = append(jobs, j)
		}
	}
	slices.SortStableFunc(jobs, func(a, b *Job) int { return cmp.Compare(a.DueAt, b.DueAt) })
	return jobs
}

// Idle reports whether all jobs are closed.
func (s *State) Idle() bool {
	for _, j := range s.Jobs {
		if !j.Closed() {
			return false
		}
	}
	return true
}

// Closed reports whether no more chunks will be written: the job has ended, or
// all items are listed and no end was requested.
func (j *Job) Closed() bool { return j.Ended || j.Listed == len(j.Items) && !j.Ending }

// addJob adds a job that this instance has become the owner of, with the chunks
// and the partial output that are already known. If the job is owned already,
// only its epoch is raised.
func (s *State) addJob(now clock.Millis, e op.JobOwnershipGained, v View) {
	if s.Jobs == nil {
		s.Jobs = make(map[string]*Job)
		s.Cooldowns = make(map[targetModel]*cooldown)
	}
	if old := s.Jobs[e.Shape.ID]; old != nil {
		old.Epoch = max(old.Epoch, e.Epoch)
		return
	}
	j := &Job{JobShape: e.Shape, Epoch: e.Epoch, Ahead: e.Ahead, Compared: e.Compared, Claimed: e.Epoch <= firstEpoch && !e.Ahead, Items: make([]Item, len(e.Shape.Items))}
	for i, it := range e.Shape.Items {
		j.Items[i] = Item{ItemShape: it, Last: -1}
		j.Order = append(j.Order, i)
	}
	slices.SortStableFunc(j.Order, func(a, b int) int {
		return cmp.Compare(j.Items[b].Expected, j.Items[a].Expected)
	})
	j.SubmittedAt = now - e.Shape.Age
	j.DueAt, j.GiveUpAt = j.SubmittedAt, never
	j.followRoute(v)
	s.Jobs[e.Shape.ID] = j
	// The runner has just read these chunks, so their effects are discarded.
	var discarded op.List
	for _, c := range e.Chunks {
		s.adopt(j, c, v, &discarded)
	}
	for i, last := range e.Saved {
		j.Items[i].Last = last
	}
	for _, i := range e.Whole {
		if j.Items[i].Phase == waiting {
			j.outputComplete(now, &j.Items[i])
		}
	}
	for _, i := range e.Scored {
		if j.Items[i].Phase == unscored {
			j.Items[i].Phase = done
		}
	}
	for _, i := range e.Repeated {
		if j.Items[i].Phase == waiting {
			j.Items[i].Phase = repeated
		}
	}
	j.Claimed = j.Claimed || j.Ended
}

// followRoute sets the times of a job to those that its route has now. While the
// configuration has no such route they stay as they are.
func (j *Job) followRoute(v View) {
	if v.Table == nil {
		return
	}
	rule, ok := v.Table.RouteByName(j.Route)
	if !ok {
		return
	}
	j.DueAt, j.GiveUpAt = j.SubmittedAt+rule.DueAfter, never
	if rule.GiveUpAfter > 0 {
		j.GiveUpAt = j.SubmittedAt + rule.GiveUpAfter
	}
}

// dropJob stops all runs of a job and removes it from the state.
func (s *State) dropJob(id string, v View, out *op.List) {
	j := s.Jobs[id]
	if j == nil {
		return
	}
	for i := range j.Items {
		s.stopRun(j, i, v, out)
	}
	delete(s.Jobs, id)
}

// stopRun cancels the run of an item or the attempt of its reward call, if one is
// in flight.
func (s *State) stopRun(j *Job, i int, v View, out *op.List) {
	it := &j.Items[i]
	switch it.Phase {
	case running:
		it.Phase = waiting
		s.endProbe(it, it.Target, it.Run)
	case scoring:
		it.Phase, j.rewardsDueAt = unscored, 0
	default:
		return
	}
	v.Roster.AttemptCancelled(it.Target)
	out.Add(op.StopItem{Job: j.ID, Item: i, Run: it.Run})
}

// itemRunEnded records how a run ended: in the phase of the item, in the
// cooldown of the target for the model, and in the roster.
func (s *State) itemRunEnded(now clock.Millis, e op.ItemRunEnded, v View) {
	j := s.Jobs[e.Job]
	if j == nil || e.Item >= len(j.Items) {
		return
	}
	it := &j.Items[e.Item]
	if it.Phase != running || it.Run != e.Run {
		return
	}
	if e.Last > it.Last {
		it.Barren = 0
	}
	it.Phase, it.Last = waiting, e.Last
	s.endProbe(it, e.Target, e.Run)
	v.Roster.AttemptEnded(now, e.Target, e.End == op.ItemBroken)
	switch e.End {
	case op.ItemComplete:
		j.outputComplete(now, it)
		delete(s.Cooldowns, targetModel{e.Target, it.Model})
	case op.ItemBroken:
		it.Barren++
		if it.Barren > breaksBeforeBackoff {
			it.NotBefore = now + min(failureDelay<<min(it.Barren, 10), maxBackoff)
		}
	case op.ItemMoved:
	case op.ItemNotRun:
		s.Cooldowns[targetModel{e.Target, it.Model}] = &cooldown{until: now + refusalCooldown}
	case op.ItemOldVersion:
		s.Cooldowns[targetModel{e.Target, it.Model}] = &cooldown{until: now + oldVersionCooldown}
	case op.ItemImpossible:
		it.Phase = givenUp
	case op.ItemFailed:
		it.Fails++
		it.NotBefore = now + failureDelay
		if it.Fails >= s.maxFailures(j, v) {
			it.Phase = givenUp
		}
	}
}

// endProbe lets another item probe a target if the run of this item did.
func (s *State) endProbe(it *Item, t unit.Target, run int64) {
	if c := s.Cooldowns[targetModel{t, it.Model}]; c != nil && c.probeRun == run {
		c.probeRun = 0
	}
}

// maxFailures returns after how many failures an item is given up. Without a
// rule for the route there is no limit.
func (s *State) maxFailures(j *Job, v View) int {
	if v.Table != nil {
		if r, ok := v.Table.RouteByName(j.Route); ok {
			return r.MaxAttempts
		}
	}
	return 1 << 30
}

// giveUpOverdue gives up all unfinished items of a job once GiveUpAt has passed.
func (s *State) giveUpOverdue(now clock.Millis, j *Job, v View, out *op.List) {
	if now < j.GiveUpAt {
		return
	}
	for i := range j.Items {
		s.stopRun(j, i, v, out)
		switch j.Items[i].Phase {
		case waiting, repeated, unscored:
			j.Items[i].Phase = givenUp
		}
	}
}
