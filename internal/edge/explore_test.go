package edge

import (
	"errors"
	"flag"
	"fmt"
	"slices"
	"strconv"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

var (
	exploreSeed   = flag.Int64("explore-seed", 1, "seed of the random orders of events")
	exploreOrders = flag.Int("explore-orders", 20_000, "number of random orders of events for each rule")
)

const (
	// exploredItems is the number of items of the explored job, exploredEvents the
	// number of events of each output, of which a step makes eventsPerStep.
	exploredItems  = 2
	exploredEvents = 7 * eventsPerStep
	eventsPerStep  = minSaveEvents / 2
	// earlierEvents is the number of events that an item of the earlier step has.
	earlierEvents = 18
	// maxOrderLength is the number of steps of an order.
	maxOrderLength = 60
	// earlierJob is an earlier step of the same series, with the same items.
	earlierJob = "earlier"
)

// explorer plays one order of events for several instances that may own a job, without
// goroutines or real time. Each step is a number; one that is not possible is passed
// over, so that a failing order can be shortened.
type explorer struct {
	simulation
	instances []*exploredInstance
	// runs are all runs that targets ever got, by what their events are made of.
	runs map[string]*exploredRun
	// starts counts the processes that were started.
	starts int
}

// exploredInstance is one process, and its runs and writes in flight.
type exploredInstance struct {
	owner
	process *Process
	active  []*exploredRun
}

// exploredRun is a run at a target. The target makes one event after the other, each
// of which names the run.
type exploredRun struct {
	name string
	run
	// after is the Last-Event-Id with which the target was asked, next the ID of the
	// next event that it makes.
	after, next int64
	whole       bool
}

// newExplorer returns an explorer in one of the starting positions.
func newExplorer(start int) *explorer {
	x := &explorer{runs: make(map[string]*exploredRun)}
	for _, name := range []unit.Instance{"a", "b", "c"} {
		x.instances = append(x.instances, x.newInstance(name))
	}
	first, second := x.instances[0], x.instances[1]
	switch start % 3 {
	case 0:
		x.own(first, 1, nil)
	case 1:
		// The first ran the job ahead with texts of an earlier one, the second stored it.
		x.own(second, 1, nil)
		x.own(first, aheadEpoch, x.earlierTexts(first))
	case 2:
		x.own(first, 1, x.earlierTexts(first))
	}
	return x
}

// newInstance returns an instance with a new process.
func (x *explorer) newInstance(name unit.Instance) *exploredInstance {
	x.starts++
	in := &exploredInstance{owner: *newOwner(name)}
	// With one slot, an item waits for the other.
	in.view.Roster.Upsert(0, platform.TargetEntry{Target: "t", Pool: "p", Address: "1.1.1.1:1", Slots: 1})
	in.process = testProcess(&memoryStore{})
	in.process.contents = in.contents
	in.process.state = NewState(platform.Environment{Instance: name}, unit.Incarnation(fmt.Sprintf("%s#%d", name, x.starts)), 0)
	return in
}

// earlierTexts returns the texts that an instance has of the earlier step, which is
// still open: the first item is complete, the second one runs.
func (x *explorer) earlierTexts(in *exploredInstance) []keptText {
	c := newJobContent(jobRecord{Route: "r"}, testItems(exploredItems))
	in.contents.put(earlierJob, c)
	for item, events := range []int{exploredEvents, earlierEvents} {
		r := x.startRun(in, op.RunItem{Job: earlierJob, Item: item, Run: int64(1000 + item)})
		for range events {
			x.makeEvent(r)
		}
	}
	c.texts[0].whole = true
	ids := make([]string, exploredItems)
	for i := range ids {
		ids[i] = c.job.Items[i].ID
	}
	return c.keptTexts(ids, 0)
}

// own makes an instance the owner of the job, as takeOverJob and ownNewJob do.
func (x *explorer) own(in *exploredInstance, epoch unit.Epoch, texts []keptText) {
	c := newJobContent(jobRecord{Route: "r"}, testItems(exploredItems))
	var shapes []op.ChunkShape
	for n, chunk := range x.chunks {
		shape, _ := c.addChunk(n, chunk)
		shapes = append(shapes, shape)
		epoch = max(epoch, chunk.Epoch+1)
	}
	if c.ended || len(c.results) == exploredItems {
		return
	}
	c.reuseTexts(texts)
	c.epoch, c.claimed = epoch, epoch == 1
	if !in.contents.put(testJob, c) {
		return
	}
	gained := op.JobOwnershipGained{Shape: c.shape(), Epoch: epoch, Chunks: shapes, Saved: c.lastKeptEvents()}
	gained.Whole, gained.Scored = c.wholeItems()
	x.apply(in, gained)
}

// apply applies an event to an instance, or lets it go on if there is none, and
// starts what follows.
func (x *explorer) apply(in *exploredInstance, ev op.Event) {
	var out op.List
	if ev == nil {
		in.state.Advance(x.now, in.view, &out)
	} else {
		in.state.Reduce(x.now, ev, in.view, &out)
	}
	for _, e := range out {
		switch e := e.(type) {
		case op.AppendChunk:
			in.appends = append(in.appends, e)
		case op.RunItem:
			x.startRun(in, e)
		case op.ForgetJob:
			in.contents.forgetJob(e.Job, e.Epoch)
		case op.JobClaimed:
			in.contents.withJob(e.Job, func(c *jobContent) { c.claimed = true })
		}
	}
}

// startRun starts a run at a target, as Process.runItem does.
func (x *explorer) startRun(in *exploredInstance, e op.RunItem) *exploredRun {
	r := &exploredRun{name: fmt.Sprintf("%s/%d", in.process.state.Self, e.Run)}
	in.contents.withJob(e.Job, func(c *jobContent) { e.After, r.whole = c.beginRun(e.Item, e.Run) })
	r.run = run{p: in.process, e: e, lastEvent: e.After, eventCount: 1, version: 1}
	r.after, r.next = e.After, e.After+1
	in.active = append(in.active, r)
	x.runs[r.name] = r
	return r
}

// makeEvent lets a target make the next event of a run. It returns an error if the run
// cannot go on.
func (x *explorer) makeEvent(r *exploredRun) error {
	err := r.keepEvent(platform.Event{ID: r.next, Data: []byte(r.name + ":" + strconv.FormatInt(r.next, 10))})
	r.next++
	return err
}

// advanceRun lets an instance's run number k go on: it gets an event, or ends.
func (x *explorer) advanceRun(in *exploredInstance, k int) bool {
	if len(in.active) == 0 {
		return false
	}
	k %= len(in.active)
	r := in.active[k]
	switch {
	case r.whole || r.next == exploredEvents:
		in.contents.withJob(r.e.Job, func(c *jobContent) {
			if t := &c.texts[r.e.Item]; t.run == r.e.Run {
				t.whole = true
			}
		})
		x.endRun(in, k, op.ItemComplete)
	case x.makeEvents(r) != nil:
		x.endRun(in, k, op.ItemBroken)
	}
	return true
}

// makeEvents lets a target make the next events of a run.
func (x *explorer) makeEvents(r *exploredRun) error {
	for range eventsPerStep {
		if r.next == exploredEvents {
			return nil
		}
		if err := x.makeEvent(r); err != nil {
			return err
		}
	}
	return nil
}

// endRun ends an instance's run number k.
func (x *explorer) endRun(in *exploredInstance, k int, end op.ItemEnd) {
	r := in.active[k]
	in.active = slices.Delete(in.active, k, k+1)
	if r.e.Job == testJob {
		x.apply(in, op.ItemRunEnded{Job: testJob, Item: r.e.Item, Run: r.e.Run, Target: r.e.Target, End: end, Last: r.lastEvent})
	}
}

// write carries out an instance's oldest write of a chunk, as Process.appendChunk
// does.
func (x *explorer) write(in *exploredInstance, outcome writeOutcome) bool {
	if len(in.appends) == 0 {
		return false
	}
	e := in.appends[0]
	in.appends = in.appends[1:]
	event, err := x.storeChunk(in, e, outcome)
	if err != nil {
		event = op.ChunkAppended{Job: e.Job, Chunk: e.Chunk, Result: op.Lost, Unready: event.Unready}
	}
	x.apply(in, event)
	return true
}

var errUnanswered = errors.New("no answer")

func (x *explorer) storeChunk(in *exploredInstance, e op.AppendChunk, outcome writeOutcome) (op.ChunkAppended, error) {
	event := op.ChunkAppended{Job: e.Job, Chunk: e.Chunk, Result: op.Done}
	var chunk chunkRecord
	if !in.contents.withJob(e.Job, func(c *jobContent) { chunk, event.Unready = c.buildChunk(e) }) {
		return event, errUnanswered
	}
	chunk.Owner = in.name
	if outcome == appliedLate {
		x.lateWrites = append(x.lateWrites, lateWrite{e.Chunk, chunk})
		return event, errUnanswered
	}
	if !x.createChunk(e.Chunk, chunk) {
		event.Result, chunk = op.Conflict, x.chunks[e.Chunk]
	}
	if outcome == answerLost {
		return event, errUnanswered
	}
	added := false
	in.contents.withJob(e.Job, func(c *jobContent) {
		if event.Result == op.Done {
			c.markSaved(chunk.Parts)
			chunk.Parts = nil
		}
		event.Other, added = c.addChunk(e.Chunk, chunk)
	})
	if !added {
		return event, errUnanswered
	}
	return event, nil
}

// exploredSteps describes the steps by number.
var exploredSteps = []string{
	"run goes on", "run goes on", "run goes on", "run goes on", "run breaks", "write", "write", "write", "answer of write lost", "write delayed",
	"delayed write applied", "takes over", "drops the job for a higher epoch", "crashes", "saves", "saves", "time passes", "time passes",
}

// step takes a step, which names an instance too.
func (x *explorer) step(n int) {
	kind, in := n%len(exploredSteps), x.instances[n/len(exploredSteps)%len(x.instances)]
	k := n / len(exploredSteps) / len(x.instances)
	switch exploredSteps[kind] {
	case "run goes on":
		x.advanceRun(in, k)
	case "run breaks":
		if len(in.active) > 0 {
			x.endRun(in, k%len(in.active), op.ItemBroken)
		}
	case "write":
		x.write(in, answered)
	case "answer of write lost":
		x.write(in, answerLost)
	case "write delayed":
		x.write(in, appliedLate)
	case "delayed write applied":
		x.applyLateWrite()
	case "takes over":
		x.own(in, 2, nil)
	case "drops the job for a higher epoch":
		x.dropForHigherEpoch(in)
	case "crashes":
		x.crash(in)
	case "saves":
		x.apply(in, op.JobOutputUnsaved{Job: testJob})
	case "time passes":
		x.pass(400)
	}
}

// applyLateWrite lets the oldest delayed write reach the store.
func (x *explorer) applyLateWrite() {
	if len(x.lateWrites) == 0 {
		return
	}
	if l := x.lateWrites[0]; l.n <= len(x.chunks) {
		x.createChunk(l.n, l.chunk)
	}
	x.lateWrites = x.lateWrites[1:]
}

// dropForHigherEpoch tells an owner of another one that has claimed the job under a
// higher epoch.
func (x *explorer) dropForHigherEpoch(in *exploredInstance) {
	own := in.state.Jobs[testJob]
	for _, other := range x.instances {
		j := other.state.Jobs[testJob]
		if own != nil && j != nil && j.Claimed && j.Epoch > own.Epoch {
			x.apply(in, op.JobOwnershipLost{Job: testJob})
			in.contents.forgetJob(testJob, own.Epoch)
			return
		}
	}
}

// crash ends an instance, which starts again. Its writes in flight may be applied late.
func (x *explorer) crash(in *exploredInstance) {
	for len(in.appends) > 0 {
		e := in.appends[0]
		in.appends = in.appends[1:]
		_, _ = x.storeChunk(in, e, appliedLate)
	}
	*in = *x.newInstance(in.name)
}

// pass lets time pass.
func (x *explorer) pass(d clock.Millis) {
	x.now += d
	for _, in := range x.instances {
		x.apply(in, nil)
	}
}

// settle lets everything go on without faults until all items are listed, or for a
// long time.
func (x *explorer) settle() {
	for range 100 {
		if len(x.listed()) == exploredItems {
			return
		}
		owned := false
		for _, in := range x.instances {
			x.dropForHigherEpoch(in)
			owned = owned || in.state.Jobs[testJob] != nil
			for progress := true; progress; {
				progress = x.write(in, answered) || x.advanceRun(in, 0)
			}
		}
		if !owned {
			x.own(x.instances[2], 2, nil)
		}
		x.pass(500)
	}
}
