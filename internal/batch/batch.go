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
	// appendEvery is the least time between two chunks of a job, so that the
	// calls to the store stay few. Whole groups that complete what the trainer
	// waits for do not wait.
	appendEvery clock.Millis = 300
	// saveEvery is the least time between two writes that keep nothing but
	// events of unfinished items.
	saveEvery clock.Millis = clock.Second
	// retryAppend is the pause after a chunk that may not have been written.
	retryAppend clock.Millis = 250
	// refusedFor is how long a target that took no item of a model is passed
	// over for that model.
	refusedFor clock.Millis = 150
	// oldFor is how long a target with too old a version is passed over.
	oldFor clock.Millis = 400
	// failedPause is the pause of an item after a failure.
	failedPause clock.Millis = 50
	// keepClosed is how long the content of a job that lists nothing more is kept
	// in memory; later it is read from the store.
	keepClosed clock.Millis = 120 * clock.Second
	// freeBreaks is how many runs may break without an event before the item
	// waits ever longer: it may be what crashes its targets.
	freeBreaks = 2
	// longestPause bounds that wait.
	longestPause clock.Millis = 8 * clock.Second
)

// firstEpoch is that of the instance that created a job.
const firstEpoch unit.Epoch = 1

// phase is where an item stands.
type phase int

const (
	waiting phase = iota
	running
	// done items have their whole output, givenUp ones have none.
	done
	givenUp
	listed
)

// Item is one item of a job.
type Item struct {
	op.ItemShape
	Phase  phase
	Target unit.Target
	// Run tells the runs of the item apart. Moving is set once it is to end so
	// that the item goes on elsewhere.
	Run    int64
	Moving bool
	// Barren counts the runs in a row that broke without an event.
	Barren int
	// Fails counts the failures that the target answered for itself.
	Fails     int
	NotBefore clock.Millis
	// Last is the last event that is kept, -1 for none.
	Last int64
}

// Job is a job that this instance owns.
type Job struct {
	op.JobShape
	Epoch unit.Epoch
	// Claimed is set once no former owner can add results any more. The
	// instance that created the job need not claim it.
	Claimed bool
	Items   []Item
	// Order is the order in which items are started.
	Order []int
	// Chunks and Listed count what stands in the store.
	Chunks, Listed int
	// Writing is set while a chunk is being written. The next one is written
	// after AppendAt, or at once if it matters; none before RetryAt.
	Writing           bool
	AppendAt, RetryAt clock.Millis
	// DueAt is when all results are due, GiveUpAt when items may be given up.
	DueAt, GiveUpAt clock.Millis
	// SaveWanted is set while events of unfinished items are worth a write,
	// SaveAt is when they may be written.
	SaveWanted bool
	SaveAt     clock.Millis
	// Leaving is set once the instance lets the job go: its runs end, what they
	// have is written, and another instance goes on.
	Leaving bool
	// Ending is set from the request for the end, Ended once that is stored.
	Ending, Ended bool
	EndCalls      []op.CallID
	// ClosedAt is when nothing more was left to list, 0 before.
	ClosedAt clock.Millis
}

// State is the jobs that this instance owns. Self must be set.
type State struct {
	Self unit.Instance
	Jobs map[string]*Job
	// Refused holds the targets that took no item of a model lately. After Until
	// one item at a time is tried there.
	Refused map[refusal]*probe
	run     int64
}

type refusal struct {
	Target unit.Target
	Model  unit.Model
}

type probe struct {
	until clock.Millis
	// run is the one that tries the target, 0 for none.
	run int64
}

// View is what decisions on jobs rest on.
type View struct {
	Roster *roster.State
	Table  *route.Table
	// Draining stops new runs.
	Draining bool
}

// Reduce handles events of jobs and starts what can be started.
func (s *State) Reduce(now clock.Millis, ev op.Event, v View, out *op.List) {
	switch e := ev.(type) {
	case op.JobTaken:
		s.taken(now, e, v)
	case op.JobDropped:
		s.dropped(e.Job, v, out)
	case op.JobProgress:
		if j := s.Jobs[e.Job]; j != nil {
			j.SaveWanted = true
		}
	case op.ItemEnded:
		s.itemEnded(now, e, v)
	case op.Appended:
		s.appended(now, e, v, out)
	case op.EndAsked:
		s.endAsked(e, v, out)
	case op.VersionSeen:
		if _, refused := s.Refused[refusal{e.Target, e.Model}]; !refused {
			return
		}
		delete(s.Refused, refusal{e.Target, e.Model})
	}
	s.Advance(now, v, out)
}

// Advance gives up what is too late, starts items and appends chunks.
func (s *State) Advance(now clock.Millis, v View, out *op.List) {
	s.dropClosed(now, v, out)
	jobs := s.byDue()
	for _, j := range jobs {
		s.giveUp(now, j, v, out)
	}
	if v.Draining {
		for _, j := range jobs {
			s.leave(j, out)
		}
	} else {
		for _, j := range jobs {
			s.start(now, j, v, out)
			s.move(now, j, v, out)
		}
	}
	for _, j := range jobs {
		s.append(now, j, v, out)
	}
}

// dropClosed lets jobs go that have listed everything long ago.
func (s *State) dropClosed(now clock.Millis, v View, out *op.List) {
	for _, id := range slices.Sorted(maps.Keys(s.Jobs)) {
		j := s.Jobs[id]
		switch {
		case !j.Closed():
		case j.ClosedAt == 0:
			j.ClosedAt = now
		case now >= j.ClosedAt+keepClosed:
			s.release(j, v, out)
		}
	}
}

func (s *State) byDue() []*Job {
	jobs := make([]*Job, 0, len(s.Jobs))
	for _, id := range slices.Sorted(maps.Keys(s.Jobs)) {
		if j := s.Jobs[id]; !j.Closed() {
			jobs = append(jobs, j)
		}
	}
	slices.SortStableFunc(jobs, func(a, b *Job) int { return cmp.Compare(a.DueAt, b.DueAt) })
	return jobs
}

// Idle tells whether no job is left to work on.
func (s *State) Idle() bool {
	for _, j := range s.Jobs {
		if !j.Closed() {
			return false
		}
	}
	return true
}

// Closed tells whether nothing more will be listed.
func (j *Job) Closed() bool { return j.Ended || j.Listed == len(j.Items) && !j.Ending }

func (s *State) taken(now clock.Millis, e op.JobTaken, v View) {
	if s.Jobs == nil {
		s.Jobs = make(map[string]*Job)
		s.Refused = make(map[refusal]*probe)
	}
	if old := s.Jobs[e.Shape.ID]; old != nil {
		old.Epoch = max(old.Epoch, e.Epoch)
		return
	}
	j := &Job{JobShape: e.Shape, Epoch: e.Epoch, Claimed: e.Epoch <= firstEpoch, Items: make([]Item, len(e.Shape.Items))}
	for i, it := range e.Shape.Items {
		j.Items[i] = Item{ItemShape: it, Last: -1}
		j.Order = append(j.Order, i)
	}
	slices.SortStableFunc(j.Order, func(a, b int) int {
		return cmp.Compare(j.Items[b].Expected, j.Items[a].Expected)
	})
	j.GiveUpAt = 1 << 62
	if v.Table != nil {
		if r, ok := v.Table.Route(e.Shape.Route); ok {
			j.DueAt = now - e.Shape.Age + r.DueAfter
			if r.GiveUpAfter > 0 {
				j.GiveUpAt = now - e.Shape.Age + r.GiveUpAfter
			}
		}
	}
	s.Jobs[e.Shape.ID] = j
	var quiet op.List
	for _, c := range e.Chunks {
		s.adopt(j, c, v, &quiet)
	}
	for i, last := range e.Saved {
		j.Items[i].Last = last
	}
	for _, i := range e.Whole {
		if j.Items[i].Phase == waiting {
			j.Items[i].Phase = done
		}
	}
	j.Claimed = j.Claimed || j.Ended
}

func (s *State) dropped(id string, v View, out *op.List) {
	j := s.Jobs[id]
	if j == nil {
		return
	}
	for i := range j.Items {
		s.stop(j, i, v, out)
	}
	delete(s.Jobs, id)
}

// stop breaks off the run of an item, if it has one.
func (s *State) stop(j *Job, i int, v View, out *op.List) {
	it := &j.Items[i]
	if it.Phase != running {
		return
	}
	it.Phase = waiting
	v.Roster.Released(it.Target)
	out.Add(op.StopItem{Job: j.ID, Item: i, Run: it.Run})
}

func (s *State) itemEnded(now clock.Millis, e op.ItemEnded, v View) {
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
	if p := s.Refused[refusal{e.Target, it.Model}]; p != nil && p.run == e.Run {
		p.run = 0
	}
	v.Roster.Ended(now, e.Target, e.End == op.ItemBroken)
	switch e.End {
	case op.ItemWhole:
		it.Phase = done
		delete(s.Refused, refusal{e.Target, it.Model})
	case op.ItemBroken:
		it.Barren++
		if it.Barren > freeBreaks {
			it.NotBefore = now + min(failedPause<<min(it.Barren, 10), longestPause)
		}
	case op.ItemMoved:
	case op.ItemNotRun:
		s.Refused[refusal{e.Target, it.Model}] = &probe{until: now + refusedFor}
	case op.ItemOldVersion:
		s.Refused[refusal{e.Target, it.Model}] = &probe{until: now + oldFor}
	case op.ItemImpossible:
		it.Phase = givenUp
	case op.ItemFailed:
		it.Fails++
		it.NotBefore = now + failedPause
		if it.Fails >= s.maxAttempts(j, v) {
			it.Phase = givenUp
		}
	}
}

func (s *State) maxAttempts(j *Job, v View) int {
	if v.Table != nil {
		if r, ok := v.Table.Route(j.Route); ok {
			return r.MaxAttempts
		}
	}
	return 1 << 30
}

// giveUp gives items up once their time is over.
func (s *State) giveUp(now clock.Millis, j *Job, v View, out *op.List) {
	if now < j.GiveUpAt {
		return
	}
	for i := range j.Items {
		s.stop(j, i, v, out)
		if j.Items[i].Phase == waiting {
			j.Items[i].Phase = givenUp
		}
	}
}
