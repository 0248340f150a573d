package edge

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"
	"sync"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// contentStore holds the contents of jobs in memory: bodies, texts and results,
// which the reducer does not see.
type contentStore struct {
	mu   sync.Mutex
	jobs map[string]*jobContent
	// textBytes is what the texts take, as of the last measure, with what was added
	// since. maxTextBytes bounds it for texts longer than longText; 0 means no bound.
	textBytes, maxTextBytes int64
	// jobBytes is what the jobs take, as of the last measure, without their texts.
	// maxJobBytes bounds it; 0 means no bound.
	jobBytes, maxJobBytes int64
	// owned is what the jobs of each workspace take, as of the last measure, with those
	// added since.
	owned map[unit.Workspace]jobUsage
}

// longText is the length up to which a text is kept whatever others take, in bytes.
const longText = 64 << 10

// jobContent is the content of one job.
type jobContent struct {
	record jobRecord
	job    platform.Job
	// index maps an item's ID to its position in job.Items.
	index map[string]int
	// epoch is the owner epoch under which this instance owns the job. It is 1 at
	// the instance that created the job, and rises with each takeover. claimed is
	// set once former owners can add no more results. For that, an instance that
	// took the job over must store a claim, which is a chunk without results; the
	// instance that created the job needs none. Before claimed is set, readers are
	// not answered from this content unless the job has ended.
	epoch   unit.Epoch
	claimed bool
	// results are the stored results in the order of their positions. chunks
	// counts the stored chunks, including those without results, and is the number
	// of the next one.
	results []platform.Result
	chunks  int
	ended   bool
	// itemBytes is about what the items take, in bytes.
	itemBytes int64
	// texts are the outputs of the items, by their positions in job.Items.
	texts []itemText
	// listed marks the items that have a result.
	listed []bool
	// changed is closed and replaced whenever a chunk is added. It is also closed
	// when the content is removed.
	changed chan struct{}
	// textsExpireAt is when the texts of an ended job are dropped. It is 0 until
	// dropExpiredTexts finds that the job has ended.
	textsExpireAt clock.Millis
}

// jobRecord is a job as it is stored.
type jobRecord struct {
	Workspace unit.Workspace
	Route     unit.Route
	Host      string
	// Writer and Try identify the submission that wrote the record, so that it
	// can recognize its own write if the store's answer was lost.
	Writer unit.Incarnation
	Try    op.CallID
	// SubmittedAt is the Unix time of the first submission in milliseconds.
	SubmittedAt int64
	// Body is the job as it was submitted.
	Body json.RawMessage
}

// chunkRecord is a chunk of a job's list of results as it is stored.
type chunkRecord struct {
	Owner   unit.Instance
	Epoch   unit.Epoch
	Results []platform.Result `json:",omitempty"`
	// Parts are events of unfinished items, from which another owner can resume.
	Parts []partRecord `json:",omitempty"`
	Ended bool         `json:",omitempty"`
}

// newContentStore returns the contents of a process. Texts may take texts bytes, jobs
// without them jobs bytes, 0 for no bound: beyond that, closed jobs are read from the store
// again, and no new ones are accepted.
func newContentStore(texts, jobs int64) *contentStore {
	return &contentStore{jobs: make(map[string]*jobContent), owned: make(map[unit.Workspace]jobUsage), maxTextBytes: texts, maxJobBytes: jobs}
}

// contentUsage is what contents take, in bytes, as last measured.
type contentUsage struct{ texts, jobs int64 }

// usage returns what the contents take.
func (c *contentStore) usage() contentUsage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return contentUsage{c.textBytes, c.jobBytes}
}

// grow adds n bytes to the size of a text. The error is errTextTooLong if the text has no
// room, or errNoTextRoom if it is long and the texts together take too much. It is called
// within withJob.
func (c *contentStore) grow(t *itemText, n int) error {
	t.size += n
	c.textBytes += int64(n)
	switch {
	case t.size > maxTextBytes:
		return errTextTooLong
	case t.size > longText && c.maxTextBytes > 0 && c.textBytes > c.maxTextBytes:
		return errNoTextRoom
	}
	return nil
}

// jobUsage is what the jobs of a workspace take: bytes, without their texts, and their
// number.
type jobUsage struct {
	bytes int64
	jobs  int
}

// full reports whether jobs take all the room that they may take, in memory or in
// heartbeats, all of them or those of a workspace.
func (c *contentStore) full(w unit.Workspace) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	own := c.owned[w]
	if len(c.jobs) >= maxOwnedJobs || own.jobs >= ownerShare(maxOwnedJobs) {
		return true
	}
	return c.maxJobBytes > 0 && (c.jobBytes > c.maxJobBytes || own.bytes > ownerShare(c.maxJobBytes))
}

// ownerShare returns the part of something that one workspace may take.
func ownerShare[N int | int64](all N) N { return all * ownerPercent / 100 }

// count counts a job as one of its workspace's. The caller holds c.mu.
func (c *contentStore) count(j *jobContent) {
	u := c.owned[j.record.Workspace]
	u.bytes += j.bytes()
	u.jobs++
	c.owned[j.record.Workspace] = u
}

// measure measures what the jobs and their texts take. It returns the closed jobs that
// are to be forgotten so that the others have room, the largest first.
func (c *contentStore) measure() (surplus []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.textBytes, c.jobBytes = 0, 0
	clear(c.owned)
	var closed []string
	for id, j := range c.jobs {
		c.textBytes += j.textBytes()
		c.jobBytes += j.bytes()
		c.count(j)
		if j.closed() {
			closed = append(closed, id)
		}
	}
	slices.SortFunc(closed, func(a, b string) int {
		return cmp.Or(cmp.Compare(c.jobs[b].bytes(), c.jobs[a].bytes()), cmp.Compare(a, b))
	})
	left := c.jobBytes
	for _, id := range closed {
		if !c.crowded(left, len(surplus)) {
			break
		}
		left -= c.jobs[id].bytes()
		surplus = append(surplus, id)
	}
	return surplus
}

// crowded reports whether more closed jobs are to be forgotten, if those left take some
// bytes and some are to be forgotten already: once the jobs take more than one workspace
// may, until they take half of that.
func (c *contentStore) crowded(left int64, forgotten int) bool {
	bytes, jobs := ownerShare(c.maxJobBytes), ownerShare(maxOwnedJobs)-1
	if forgotten > 0 {
		bytes, jobs = bytes/2, jobs/2
	}
	return c.maxJobBytes > 0 && left > bytes || len(c.jobs)-forgotten > jobs
}

// closed reports whether no more results will be listed.
func (j *jobContent) closed() bool { return j.ended || len(j.results) == len(j.job.Items) }

// bytes returns what the job takes without its texts.
func (j *jobContent) bytes() int64 {
	n := j.itemBytes
	for i := range j.results {
		n += int64(len(j.results[i].Text))
	}
	return n
}

// textBytes returns what the texts of the job take.
func (j *jobContent) textBytes() int64 {
	n := int64(0)
	for i := range j.texts {
		if len(j.texts[i].events) > 0 {
			n += int64(j.texts[i].size)
		}
	}
	return n
}

// itemBytes returns about what an item takes, in bytes.
func itemBytes(it platform.Item) int64 {
	n := jobItemBytes + len(it.Body)
	for k, v := range it.Headers {
		n += len(k) + len(v)
	}
	if it.Reward != nil {
		n += len(it.Reward.Body)
	}
	return int64(n)
}

// newJobContent returns the content of a job without texts and results.
func newJobContent(record jobRecord, job platform.Job) *jobContent {
	// What the items need of the body is decoded.
	record.Body = nil
	c := &jobContent{
		record: record, job: job, index: make(map[string]int, len(job.Items)),
		texts: make([]itemText, len(job.Items)), listed: make([]bool, len(job.Items)), changed: make(chan struct{}),
	}
	for i, it := range job.Items {
		c.index[it.ID] = i
		c.texts[i].lastEvent = -1
		c.itemBytes += itemBytes(it)
	}
	return c
}

// put adds the content of a job. It returns false and changes nothing if there
// is content for the job already, since its texts must not be lost.
func (c *contentStore) put(id string, j *jobContent) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.jobs[id] != nil {
		return false
	}
	c.jobs[id] = j
	c.jobBytes += j.bytes()
	c.count(j)
	return true
}

// countUnclaimed returns how many jobs this instance owns under an epoch without a
// claim.
func (c *contentStore) countUnclaimed(epoch unit.Epoch) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, j := range c.jobs {
		if j.epoch == epoch && !j.claimed {
			n++
		}
	}
	return n
}

// forgetJob removes a job's content, unless this instance owns the job under a
// higher epoch than the given one.
func (c *contentStore) forgetJob(id string, epoch unit.Epoch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.jobs[id]; j != nil && j.epoch <= epoch {
		close(j.changed)
		delete(c.jobs, id)
	}
}

// dropExpiredTexts drops the texts of jobs that ended textRetention ago.
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

// unsavedJobs returns the IDs of the jobs that have not ended and have an item
// with at least minSaveEvents unsaved events, sorted.
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

// withJob calls f with a job's content while it holds the lock. It returns
// false if there is no content.
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

// addChunk adds the results and parts of a stored chunk, and drops the texts of
// the items that have a result now. It returns false and adds nothing unless n is
// the number of the next chunk.
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
			j.texts[i].events, j.listed[i] = nil, true
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

// buildChunk builds the record of the chunk that an effect asks for. It holds
// results, and unsaved events of other items if there are enough of them or
// e.Save is set. The final chunk of a job holds no events of unfinished items.
// unready are the items of e.Done that are left out since their output is not
// complete here.
func (j *jobContent) buildChunk(e op.AppendChunk) (c chunkRecord, unready []int) {
	c = chunkRecord{Ended: e.Ended, Epoch: e.Epoch}
	for _, i := range e.Done {
		if !j.ready(i) {
			unready = append(unready, i)
			continue
		}
		t := &j.texts[i]
		c.Results = append(c.Results, platform.Result{
			ID: j.job.Items[i].ID, Text: strings.Join(t.events, "\n"), Versions: t.versions, Score: t.score,
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
	return c, unready
}

// shape returns the part of the job that the reducer needs: everything but the
// content of the items.
func (j *jobContent) shape() op.JobShape {
	s := op.JobShape{
		ID: j.job.ID, Workspace: j.record.Workspace, Route: j.record.Route,
		MinVersion: j.job.MinVersion, WantGroups: j.job.WantGroups, Series: j.series(),
	}
	for _, it := range j.job.Items {
		one := op.ItemShape{Group: it.Group, Model: it.Model, Tokens: it.Tokens, Expected: it.Expected}
		if it.Reward != nil {
			one.Reward = op.RewardShape{Host: it.Reward.Host, Path: it.Reward.Path}
		}
		s.Items = append(s.Items, one)
	}
	return s
}
