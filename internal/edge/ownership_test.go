package edge

import (
	"fmt"
	"strings"
	"testing"

	"github.com/catkinhead/catkinhead/internal/batch"
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/internal/roster"
	"github.com/catkinhead/catkinhead/internal/route"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// testJob is the ID of the job in the simulations.
const testJob = "job"

// owner is an instance that may own the job. appends are its writes of chunks,
// runs its runs of items, that have started but not finished yet.
type owner struct {
	name     unit.Instance
	state    batch.State
	view     batch.View
	contents *contentStore
	appends  []op.AppendChunk
	runs     []op.RunItem
}

// simulation is the state of two owners of one job, and of the chunks in the
// store. It has no goroutines and no I/O: a test runs it step by step.
type simulation struct {
	now    clock.Millis
	chunks []chunkRecord
	// lateWrites are writes without an answer that the store may still apply.
	lateWrites []lateWrite
	owners     [2]*owner
	// takenOver is set once the second owner has taken the job over.
	takenOver bool
}

// lateWrite is a write of chunk number n.
type lateWrite struct {
	n     int
	chunk chunkRecord
}

func testTable() *route.Table {
	return route.New(platform.Configuration{Routes: []platform.RouteRule{{
		Name: "r", Host: "h", PathPrefix: "/j/", Repeat: platform.Batch, MaxAttempts: 2,
		Split: []platform.WeightedPool{{Pool: "p", Weight: 1}},
	}}}, 1)
}

func testItems(n int) platform.Job {
	j := platform.Job{ID: testJob}
	for i := range n {
		j.Items = append(j.Items, platform.Item{ID: fmt.Sprint("i", i), Path: "/j/x"})
	}
	return j
}

func newOwner(name unit.Instance) *owner {
	o := &owner{name: name, state: batch.State{Self: name}, contents: newContentStore(0, 0)}
	o.view = batch.View{Roster: &roster.State{}, Table: testTable()}
	o.view.Roster.Upsert(0, platform.TargetEntry{Target: "t", Pool: "p", Address: "1.1.1.1:1", Slots: 4})
	return o
}

// newSimulation returns a simulation in which the first instance owns the job.
func newSimulation() *simulation {
	s := &simulation{owners: [2]*owner{newOwner("a"), newOwner("b")}}
	s.ownJob(s.owners[0], 1)
	return s
}

// ownJob makes an instance the owner, as Process does in takeOverJob and
// ownNewJob.
func (s *simulation) ownJob(o *owner, epoch unit.Epoch) {
	c := newJobContent(jobRecord{Route: "r"}, testItems(2))
	var shapes []op.ChunkShape
	for n, chunk := range s.chunks {
		shape, _ := c.addChunk(n, chunk)
		shapes = append(shapes, shape)
	}
	c.epoch, c.claimed = epoch, epoch == 1
	if o.contents.put(testJob, c) {
		s.apply(o, op.JobOwnershipGained{Shape: c.shape(), Epoch: epoch, Chunks: shapes})
	}
}

// apply applies an event to an owner. If ev is nil, it only advances the owner's
// jobs to the present time. Appends and runs are recorded; they finish in later
// steps.
func (s *simulation) apply(o *owner, ev op.Event) {
	var out op.List
	if ev == nil {
		o.state.Advance(s.now, o.view, &out)
	} else {
		o.state.Reduce(s.now, ev, o.view, &out)
	}
	for _, e := range out {
		switch e := e.(type) {
		case op.AppendChunk:
			o.appends = append(o.appends, e)
		case op.RunItem:
			o.runs = append(o.runs, e)
			o.contents.withJob(e.Job, func(c *jobContent) { c.texts[e.Item].run = e.Run })
		case op.ForgetJob:
			o.contents.forgetJob(e.Job, e.Epoch)
		case op.JobClaimed:
			o.contents.withJob(e.Job, func(c *jobContent) { c.claimed = true })
		}
	}
}

// finishItem ends an owner's oldest run with a complete output. It returns
// false if there is no run.
func (s *simulation) finishItem(o *owner) bool {
	if len(o.runs) == 0 {
		return false
	}
	e := o.runs[0]
	o.runs = o.runs[1:]
	o.contents.withJob(e.Job, func(c *jobContent) {
		if t := &c.texts[e.Item]; t.run == e.Run {
			t.events, t.versions, t.lastEvent, t.whole = []string{"x"}, []unit.Version{1}, 0, true
		}
	})
	s.apply(o, op.ItemRunEnded{Job: e.Job, Item: e.Item, Run: e.Run, Target: e.Target, End: op.ItemComplete, Last: 0})
	return true
}

// writeOutcome is what happens to a write to the store.
type writeOutcome int

const (
	// answered writes take effect or meet a conflict, and the owner learns which.
	answered writeOutcome = iota
	// answerLost writes do the same, but the owner gets no answer.
	answerLost
	// appliedLate writes get no answer either, and reach the store in a later step
	// or never.
	appliedLate
)

// appendChunk carries out an owner's oldest append, as Process.appendChunk
// does. It returns false if there is none.
func (s *simulation) appendChunk(o *owner, outcome writeOutcome) bool {
	if len(o.appends) == 0 {
		return false
	}
	e := o.appends[0]
	o.appends = o.appends[1:]
	var chunk chunkRecord
	event := op.ChunkAppended{Job: e.Job, Chunk: e.Chunk, Result: op.Done}
	if !o.contents.withJob(e.Job, func(c *jobContent) { chunk, event.Unready = c.buildChunk(e) }) {
		return true
	}
	chunk.Owner = o.name
	switch {
	case outcome == appliedLate:
		s.lateWrites = append(s.lateWrites, lateWrite{e.Chunk, chunk})
	default:
		if !s.createChunk(e.Chunk, chunk) {
			event.Result, chunk = op.Conflict, s.chunks[e.Chunk]
		}
	}
	if outcome != answered {
		s.apply(o, op.ChunkAppended{Job: e.Job, Chunk: e.Chunk, Result: op.Lost, Unready: event.Unready})
		return true
	}
	next := false
	o.contents.withJob(e.Job, func(c *jobContent) { event.Other, next = c.addChunk(e.Chunk, chunk) })
	if next {
		s.apply(o, event)
	}
	return true
}

// createChunk stores a chunk unless there is one with its number.
func (s *simulation) createChunk(n int, chunk chunkRecord) bool {
	if n < len(s.chunks) {
		return false
	}
	if n > len(s.chunks) {
		panic("a chunk was written before its predecessor was stored")
	}
	s.chunks = append(s.chunks, chunk)
	return true
}

// stepNames describes the steps by number; see step.
var stepNames = []string{
	"a finishes", "b finishes", "a appends", "b appends", "a's answer is lost", "b's answer is lost",
	"a's write is delayed", "b's write is delayed", "delayed write applied", "b takes over", "a drops the job", "end requested at a", "end requested at b", "time passes",
}

// step takes step number k. It returns false if the step is not possible now.
func (s *simulation) step(k int) bool {
	switch k {
	case 0, 1:
		return s.finishItem(s.owners[k])
	case 2, 3:
		return s.appendChunk(s.owners[k-2], answered)
	case 4, 5:
		return s.appendChunk(s.owners[k-4], answerLost)
	case 6, 7:
		return s.appendChunk(s.owners[k-6], appliedLate)
	case 8:
		if len(s.lateWrites) == 0 {
			return false
		}
		if l := s.lateWrites[0]; l.n <= len(s.chunks) {
			s.createChunk(l.n, l.chunk)
		}
		s.lateWrites = s.lateWrites[1:]
	case 9:
		if s.takenOver {
			return false
		}
		s.takenOver = true
		s.ownJob(s.owners[1], 2)
	case 10:
		if j := s.owners[1].state.Jobs[testJob]; j == nil || !j.Claimed || s.owners[0].state.Jobs[testJob] == nil {
			return false
		}
		s.apply(s.owners[0], op.JobOwnershipLost{Job: testJob})
		s.owners[0].contents.forgetJob(testJob, 1)
	case 11, 12:
		o := s.owners[k-11]
		if j := o.state.Jobs[testJob]; j == nil || j.Ending {
			return false
		}
		s.apply(o, op.EndRequested{Job: testJob, Call: 1})
	case 13:
		s.now += 400
		for _, o := range s.owners {
			s.apply(o, nil)
		}
	}
	return true
}

// visibleResults returns the results that an owner has in memory, and whether
// it answers readers with them.
func (o *owner) visibleResults() ([]string, bool) {
	var ids []string
	visible := false
	o.contents.withJob(testJob, func(c *jobContent) {
		visible = c.claimed || c.ended
		for _, r := range c.results {
			ids = append(ids, r.ID+r.Text)
		}
	})
	return ids, visible
}

// violation returns which rule for the list of results is violated, empty if
// none is.
func (s *simulation) violation() string {
	var all []string
	ended := false
	for _, c := range s.chunks {
		if ended && len(c.Results) > 0 {
			return "results were stored after the end of the job"
		}
		ended = ended || c.Ended
		for _, r := range c.Results {
			if r.Text != "x" {
				return "a text is not complete"
			}
			all = append(all, r.ID+r.Text)
		}
	}
	for i := range all {
		for j := range i {
			if all[i] == all[j] {
				return "an item has results at two positions"
			}
		}
	}
	fromA, _ := s.owners[0].visibleResults()
	fromB, visible := s.owners[1].visibleResults()
	for _, ids := range [][]string{fromA, fromB} {
		if len(ids) > len(all) || strings.Join(all[:len(ids)], " ") != strings.Join(ids, " ") {
			return "an owner answers with results that are not in the store"
		}
	}
	if visible && len(fromB) < len(fromA) {
		return "a new owner answers with fewer results than the former one"
	}
	return ""
}

// replay returns a simulation after some steps, nil if one of them is not
// possible.
func replay(steps []int) *simulation {
	s := newSimulation()
	for _, k := range steps {
		if !s.step(k) {
			return nil
		}
	}
	return s
}

// TestConcurrentOwnersKeepOneResultList checks all sequences of steps up to a
// length. It guards against two owners that list an item twice, or show readers
// different results, after lost answers and delayed writes.
func TestConcurrentOwnersKeepOneResultList(t *testing.T) {
	const depth = 6
	sequences := 0
	var explore func(steps []int)
	explore = func(steps []int) {
		s := replay(steps)
		if s == nil {
			return
		}
		sequences++
		if wrong := s.violation(); wrong != "" {
			t.Fatalf("%s after %v", wrong, describe(steps))
		}
		if len(steps) == depth {
			return
		}
		for k := range stepNames {
			explore(append(steps[:len(steps):len(steps)], k))
		}
	}
	explore(nil)
	t.Logf("%d sequences of steps checked", sequences)
}

// TestConcurrentOwnersKeepOneResultListAfterTakeover starts where two instances
// own the job: the second one has read the stored results, and both have
// finished items.
func TestConcurrentOwnersKeepOneResultListAfterTakeover(t *testing.T) {
	starts := map[string][]int{
		"both running":          {0, 9, 1},
		"answer of append lost": {0, 4, 9, 1},
		"delayed write":         {0, 6, 9, 1},
		"first result listed":   {0, 2, 0, 9, 1},
		"end requested":         {0, 11, 9, 1},
	}
	for name, start := range starts {
		t.Run(name, func(t *testing.T) {
			var explore func(steps []int, remaining int)
			explore = func(steps []int, remaining int) {
				s := replay(steps)
				if s == nil {
					return
				}
				if wrong := s.violation(); wrong != "" {
					t.Fatalf("%s after %v", wrong, describe(steps))
				}
				if remaining == 0 {
					return
				}
				for k := range stepNames {
					explore(append(steps[:len(steps):len(steps)], k), remaining-1)
				}
			}
			explore(start, 5)
		})
	}
}

// describe returns the names of steps.
func describe(steps []int) []string {
	var out []string
	for _, k := range steps {
		out = append(out, stepNames[k])
	}
	return out
}
