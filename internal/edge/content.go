package edge

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// contentStore keeps the bodies, texts and results of the jobs at hand, which the
// reducer does not see.
type contentStore struct {
	mu   sync.Mutex
	jobs map[string]*jobContent
}

// jobContent is the content of one job.
type jobContent struct {
	record jobRecord
	job    platform.Job
	// index maps an item's id to its number.
	index map[string]int
	// epoch is that under which this instance owns the job. Until it is claimed,
	// a former owner may still add results, so none are shown from here.
	epoch   unit.Epoch
	claimed bool
	// results stand in the store, in this order; chunks counts the chunks that
	// they came in.
	results []platform.Result
	chunks  int
	ended   bool
	texts   []itemText
	// listed marks the items that have a result.
	listed []bool
	// changed is closed and replaced whenever results or ended change.
	changed chan struct{}
	// textsExpireAt is until when the texts of an ended job are kept, 0 before its
	// end was noticed.
	textsExpireAt clock.Millis
}

// itemText is the kept output of an item: whole events only. Only the run that
// began last may add to it.
type itemText struct {
	run       int64
	events    []string
	versions  []unit.Version
	lastEvent int64
	// savedEvents counts the events that stand in the store.
	savedEvents int
	// lineage names the run that made the first event: parts of a text are joined
	// only if they belong to the same lineage of runs, each resumed from the last.
	lineage string
}

// jobRecord is a job as it stands in the store.
type jobRecord struct {
	Workspace unit.Workspace
	Route     unit.Route
	Pool      unit.Pool
	Host      string
	// Writer and Try name the write, so that the instance that made it knows it
	// again after its answer was lost.
	Writer unit.Incarnation
	Try    op.CallID
	// SubmittedAt is the Unix time in milliseconds of the first submission.
	SubmittedAt int64
	// Body is the job as it was submitted.
	Body json.RawMessage
}

// chunkRecord is a chunk of a job's results as it stands in the store.
type chunkRecord struct {
	Owner   unit.Instance
	Epoch   unit.Epoch
	Results []platform.Result `json:",omitempty"`
	// Parts are events of items that are not done, for whoever goes on.
	Parts []partRecord `json:",omitempty"`
	Ended bool         `json:",omitempty"`
}

// partRecord is a part of an item's text: the events after the first ones.
type partRecord struct {
	ID       string
	Line     string
	From     int
	Events   []string
	Last     int64
	Versions []unit.Version
}

// minSaveEvents is from how many events on, which only this instance has, a write
// pays: they take more than a second to make again.
const minSaveEvents = 30

func newContentStore() *contentStore { return &contentStore{jobs: make(map[string]*jobContent)} }

func newJobContent(record jobRecord, job platform.Job) *jobContent {
	c := &jobContent{
		record: record, job: job, index: make(map[string]int, len(job.Items)),
		texts: make([]itemText, len(job.Items)), listed: make([]bool, len(job.Items)), changed: make(chan struct{}),
	}
	for i, it := range job.Items {
		c.index[it.ID] = i
		c.texts[i].lastEvent = -1
	}
	return c
}

// put adds a job. It returns false if the job is there already, whose texts
// must not be lost.
func (c *contentStore) put(id string, j *jobContent) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.jobs[id] != nil {
		return false
	}
	c.jobs[id] = j
	return true
}

// forgetJob drops a job that was owned under an epoch, or an earlier one.
func (c *contentStore) forgetJob(id string, epoch unit.Epoch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.jobs[id]; j != nil && j.epoch <= epoch {
		close(j.changed)
		delete(c.jobs, id)
	}
}

// dropExpiredTexts drops the texts of jobs that ended some time ago.
func (c *contentStore) dropExpiredTexts(now clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, j := range c.jobs {
		switch {
		case !j.ended:
		case j.textsExpireAt == 0:
			j.textsExpireAt = now + textRetention
		case now >= j.textsExpireAt:
			for i := range j.texts {
				j.texts[i].events = nil
			}
		}
	}
}

// unsavedJobs returns the jobs with events that are worth a write.
func (c *contentStore) unsavedJobs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for id, j := range c.jobs {
		if !j.ended && j.hasUnsavedParts(minSaveEvents) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// withJob runs f on a job's content; it returns false if there is none.
func (c *contentStore) withJob(id string, f func(*jobContent)) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	if j == nil {
		return false
	}
	f(j)
	return true
}

// addChunk appends chunk number n, which stands in the store, and frees the texts in
// it. It returns false if that is not the next chunk.
func (j *jobContent) addChunk(n int, chunk chunkRecord) (op.ChunkShape, bool) {
	shape := op.ChunkShape{Ended: chunk.Ended, Owner: chunk.Owner, Epoch: chunk.Epoch}
	if n != j.chunks {
		return shape, false
	}
	j.chunks++
	for _, r := range chunk.Results {
		j.results = append(j.results, r)
		if i, ok := j.index[r.ID]; ok {
			shape.Items = append(shape.Items, i)
			j.texts[i].events = nil
		}
	}
	j.ended = j.ended || chunk.Ended
	for _, part := range chunk.Parts {
		j.addStoredPart(part)
	}
	close(j.changed)
	j.changed = make(chan struct{})
	return shape, true
}

// addStoredPart takes a part of a text that stands in the store. A text that this
// instance has runs of goes before it.
func (j *jobContent) addStoredPart(part partRecord) {
	i, ok := j.index[part.ID]
	if !ok || j.listed[i] || j.texts[i].run != 0 {
		return
	}
	t := &j.texts[i]
	if part.From == 0 {
		*t = itemText{lineage: part.Line}
	}
	if part.From != len(t.events) || part.Line != t.lineage {
		return
	}
	t.events = append(t.events, part.Events...)
	t.versions, t.lastEvent, t.savedEvents = part.Versions, part.Last, len(t.events)
}

// unsavedParts returns the events that only this instance has, of each item with at
// least so many.
func (j *jobContent) unsavedParts(minEvents int) []partRecord {
	var out []partRecord
	for i := range j.texts {
		t := &j.texts[i]
		if j.listed[i] || len(t.events)-t.savedEvents < minEvents {
			continue
		}
		out = append(out, partRecord{
			ID: j.job.Items[i].ID, Line: t.lineage, From: t.savedEvents, Events: t.events[t.savedEvents:], Last: t.lastEvent, Versions: slices.Clone(t.versions),
		})
	}
	return out
}

// hasUnsavedParts tells whether an item has at least so many events that only this
// instance has.
func (j *jobContent) hasUnsavedParts(minEvents int) bool {
	for i := range j.texts {
		if !j.listed[i] && len(j.texts[i].events)-j.texts[i].savedEvents >= minEvents {
			return true
		}
	}
	return false
}

// markSaved marks the parts of a chunk that was written.
func (j *jobContent) markSaved(parts []partRecord) {
	for _, part := range parts {
		if i, ok := j.index[part.ID]; ok && j.texts[i].savedEvents == part.From && len(j.texts[i].events) >= part.From+len(part.Events) {
			j.texts[i].savedEvents = part.From + len(part.Events)
		}
	}
}

// lastKeptEvents returns the last lastKeptEvents event of each item that is not listed.
func (j *jobContent) lastKeptEvents() map[int]int64 {
	out := make(map[int]int64)
	for i := range j.texts {
		if !j.listed[i] && j.texts[i].lastEvent >= 0 {
			out[i] = j.texts[i].lastEvent
		}
	}
	return out
}

// buildChunk makes the record of a buildChunk from the texts at hand.
func (j *jobContent) buildChunk(e op.AppendChunk) chunkRecord {
	c := chunkRecord{Ended: e.Ended, Epoch: e.Epoch}
	for _, i := range e.Done {
		t := &j.texts[i]
		c.Results = append(c.Results, platform.Result{
			ID: j.job.Items[i].ID, Text: strings.Join(t.events, "\n"), Versions: t.versions,
		})
	}
	done := make(map[string]bool, len(e.Done))
	for _, i := range e.GivenUp {
		c.Results = append(c.Results, platform.Result{ID: j.job.Items[i].ID, GivenUp: true})
	}
	for _, r := range c.Results {
		done[r.ID] = true
	}
	minEvents := minSaveEvents
	if e.Save {
		minEvents = 1
	}
	if !e.Ended {
		c.Parts = slices.DeleteFunc(j.unsavedParts(minEvents), func(part partRecord) bool { return done[part.ID] })
	}
	return c
}

// shape is what decisions need of the job.
func (j *jobContent) shape() op.JobShape {
	s := op.JobShape{
		ID: j.job.ID, Workspace: j.record.Workspace, Route: j.record.Route, Pool: j.record.Pool,
		MinVersion: j.job.MinVersion, WantGroups: j.job.WantGroups, Series: j.series(),
	}
	for _, it := range j.job.Items {
		s.Items = append(s.Items, op.ItemShape{Group: it.Group, Model: it.Model, Tokens: it.Tokens, Expected: it.Expected})
	}
	return s
}

// hasResult tells whether an item has a result.
func (j *jobContent) hasResult(id string) bool {
	for _, r := range j.results {
		if r.ID == id {
			return true
		}
	}
	return false
}
