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

const testJob = "job"

// owner is an instance that may own the job.
type owner struct {
	name    unit.Instance
	state   batch.State
	view    batch.View
	content *contentStore
	appends []op.AppendChunk
	runs    []op.RunItem
}

// ownership is a world of two owners and the chunks in the store.
type ownership struct {
	now    clock.Millis
	chunks []chunkRecord
	// lateWrites holds writes that the store may still carry out.
	lateWrites []lateWrite
	owners     [2]*owner
	takenOver  bool
}

type lateWrite struct {
	n     int
	chunk chunkRecord
}

func testTable() *route.Table {
	return route.New(platform.Configuration{Routes: []platform.RouteRule{{
		Name: "r", Host: "h", PathPrefix: "/j/", Repeat: platform.Batch, MaxAttempts: 2,
		Split: []platform.Share{{Pool: "p", Weight: 1}},
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
	o := &owner{name: name, state: batch.State{Self: name}, content: newContentStore()}
	o.view = batch.View{Roster: &roster.State{}, Table: testTable()}
	o.view.Roster.Changed(0, platform.TargetEntry{Target: "t", Pool: "p", Address: "1.1.1.1:1", Slots: 4})
	return o
}

func newOwnership() *ownership {
	w := &ownership{owners: [2]*owner{newOwner("a"), newOwner("b")}}
	w.takeJob(w.owners[0], 1)
	return w
}

// takeJob makes an instance the owner, as takeOver and takeJob do.
func (w *ownership) takeJob(o *owner, epoch unit.Epoch) {
	c := newJobContent(jobRecord{Route: "r", Pool: "p"}, testItems(2))
	c.epoch, c.claimed = epoch, epoch == 1
	var shapes []op.ChunkShape
	for n, chunk := range w.chunks {
		shape, _ := c.addChunk(n, chunk)
		shapes = append(shapes, shape)
	}
	if o.content.put(testJob, c) {
		w.apply(o, op.JobTaken{Shape: c.shape(), Epoch: epoch, Chunks: shapes})
	}
}

func (w *ownership) apply(o *owner, ev op.Event) {
	var out op.List
	if ev == nil {
		o.state.Advance(w.now, o.view, &out)
	} else {
		o.state.Reduce(w.now, ev, o.view, &out)
	}
	for _, e := range out {
		switch e := e.(type) {
		case op.AppendChunk:
			o.appends = append(o.appends, e)
		case op.RunItem:
			o.runs = append(o.runs, e)
			o.content.withJob(e.Job, func(c *jobContent) { c.texts[e.Item].run = e.Run })
		case op.ForgetJob:
			o.content.forgetJob(e.Job, e.Epoch)
		case op.JobClaimed:
			o.content.withJob(e.Job, func(c *jobContent) { c.claimed = true })
		}
	}
}

// finishItem ends an owner's oldest run with the whole output.
func (w *ownership) finishItem(o *owner) bool {
	if len(o.runs) == 0 {
		return false
	}
	e := o.runs[0]
	o.runs = o.runs[1:]
	o.content.withJob(e.Job, func(c *jobContent) {
		if t := &c.texts[e.Item]; t.run == e.Run {
			t.events, t.versions, t.lastEvent = []string{"x"}, []unit.Version{1}, 0
		}
	})
	w.apply(o, op.ItemEnded{Job: e.Job, Item: e.Item, Run: e.Run, Target: e.Target, End: op.ItemWhole, Last: 0})
	return true
}

// writeOutcome is what becomes of a write to the store.
type writeOutcome int

const (
	answered writeOutcome = iota
	answerLost
	appliedLate
)

// appendChunk carries an owner's write of a chunk out, as appendChunk does.
func (w *ownership) appendChunk(o *owner, f writeOutcome) bool {
	if len(o.appends) == 0 {
		return false
	}
	e := o.appends[0]
	o.appends = o.appends[1:]
	var chunk chunkRecord
	if !o.content.withJob(e.Job, func(c *jobContent) { chunk = c.buildChunk(e) }) {
		return true
	}
	chunk.Owner = o.name
	end := op.Appended{Job: e.Job, Chunk: e.Chunk, Result: op.Done}
	switch {
	case f == appliedLate:
		w.lateWrites = append(w.lateWrites, lateWrite{e.Chunk, chunk})
	default:
		if !w.createChunk(e.Chunk, chunk) {
			end.Result, chunk = op.Conflict, w.chunks[e.Chunk]
		}
	}
	if f != answered {
		w.apply(o, op.Appended{Job: e.Job, Chunk: e.Chunk, Result: op.Lost})
		return true
	}
	next := false
	o.content.withJob(e.Job, func(c *jobContent) { end.Other, next = c.addChunk(e.Chunk, chunk) })
	if next {
		w.apply(o, end)
	}
	return true
}

// createChunk writes a chunk if none stands under its number.
func (w *ownership) createChunk(n int, chunk chunkRecord) bool {
	if n < len(w.chunks) {
		return false
	}
	if n > len(w.chunks) {
		panic("a chunk was written before the one ahead of it stood in the store")
	}
	w.chunks = append(w.chunks, chunk)
	return true
}

var stepNames = []string{
	"a finishes", "b finishes", "a appends", "b appends", "a's answer is lost", "b's answer is lost",
	"a's write is late", "b's write is late", "late write done", "b takes over", "a drops", "end at a", "end at b", "time passes",
}

func (w *ownership) step(k int) bool {
	switch k {
	case 0, 1:
		return w.finishItem(w.owners[k])
	case 2, 3:
		return w.appendChunk(w.owners[k-2], answered)
	case 4, 5:
		return w.appendChunk(w.owners[k-4], answerLost)
	case 6, 7:
		return w.appendChunk(w.owners[k-6], appliedLate)
	case 8:
		if len(w.lateWrites) == 0 {
			return false
		}
		if l := w.lateWrites[0]; l.n <= len(w.chunks) {
			w.createChunk(l.n, l.chunk)
		}
		w.lateWrites = w.lateWrites[1:]
	case 9:
		if w.takenOver {
			return false
		}
		w.takenOver = true
		w.takeJob(w.owners[1], 2)
	case 10:
		if j := w.owners[1].state.Jobs[testJob]; j == nil || !j.Claimed || w.owners[0].state.Jobs[testJob] == nil {
			return false
		}
		w.apply(w.owners[0], op.JobDropped{Job: testJob})
		w.owners[0].content.forgetJob(testJob, 1)
	case 11, 12:
		o := w.owners[k-11]
		if j := o.state.Jobs[testJob]; j == nil || j.Ending {
			return false
		}
		w.apply(o, op.EndAsked{Job: testJob, Call: 1})
	case 13:
		w.now += 400
		for _, o := range w.owners {
			w.apply(o, nil)
		}
	}
	return true
}

// visibleResults is what an owner shows from memory, and whether it does.
func (o *owner) visibleResults() ([]string, bool) {
	var ids []string
	shows := false
	o.content.withJob(testJob, func(c *jobContent) {
		shows = c.claimed || c.ended
		for _, r := range c.results {
			ids = append(ids, r.ID+r.Text)
		}
	})
	return ids, shows
}

func (w *ownership) violation() string {
	var all []string
	ended := false
	for _, c := range w.chunks {
		if ended && len(c.Results) > 0 {
			return "results stand behind the end"
		}
		ended = ended || c.Ended
		for _, r := range c.Results {
			if r.Text != "x" {
				return "a text is not whole"
			}
			all = append(all, r.ID+r.Text)
		}
	}
	for i := range all {
		for j := range i {
			if all[i] == all[j] {
				return "an item stands at two positions"
			}
		}
	}
	first, _ := w.owners[0].visibleResults()
	second, shows := w.owners[1].visibleResults()
	for _, ids := range [][]string{first, second} {
		if len(ids) > len(all) || strings.Join(all[:len(ids)], " ") != strings.Join(ids, " ") {
			return "an owner shows what is not in the store"
		}
	}
	if shows && len(second) < len(first) {
		return "a successor shows fewer results than its predecessor"
	}
	return ""
}

// replay makes a world from its moves; it returns nil if one of them cannot be.
func replay(moves []int) *ownership {
	w := newOwnership()
	for _, k := range moves {
		if !w.step(k) {
			return nil
		}
	}
	return w
}

func TestConcurrentOwnersKeepOneResultList(t *testing.T) {
	const depth = 6
	histories := 0
	var explore func(moves []int)
	explore = func(moves []int) {
		w := replay(moves)
		if w == nil {
			return
		}
		histories++
		if wrong := w.violation(); wrong != "" {
			t.Fatalf("%s after %v", wrong, describe(moves))
		}
		if len(moves) == depth {
			return
		}
		for k := range stepNames {
			explore(append(moves[:len(moves):len(moves)], k))
		}
	}
	explore(nil)
	t.Logf("%d worlds", histories)
}

// TestConcurrentOwnersKeepOneResultListAfterTakeover goes on from the point at which an owner
// has finished both items and a successor has read the list.
func TestConcurrentOwnersKeepOneResultListAfterTakeover(t *testing.T) {
	starts := map[string][]int{
		"both at work":        {0, 9, 1},
		"append under way":    {0, 4, 9, 1},
		"late write":          {0, 6, 9, 1},
		"first result listed": {0, 2, 0, 9, 1},
		"end asked":           {0, 11, 9, 1},
	}
	for name, start := range starts {
		t.Run(name, func(t *testing.T) {
			var explore func(moves []int, left int)
			explore = func(moves []int, left int) {
				w := replay(moves)
				if w == nil {
					return
				}
				if wrong := w.violation(); wrong != "" {
					t.Fatalf("%s after %v", wrong, describe(moves))
				}
				if left == 0 {
					return
				}
				for k := range stepNames {
					explore(append(moves[:len(moves):len(moves)], k), left-1)
				}
			}
			explore(start, 5)
		})
	}
}

func describe(moves []int) []string {
	var out []string
	for _, k := range moves {
		out = append(out, stepNames[k])
	}
	return out
}
