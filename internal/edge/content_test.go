package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// newTestContent returns the content of a job with two items.
func newTestContent() *jobContent {
	return newJobContent(jobRecord{Route: "r"}, testItems(2))
}

// roundTrip encodes a chunk for the store and decodes it again.
func roundTrip(t *testing.T, c chunkRecord) chunkRecord {
	t.Helper()
	b, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	var out chunkRecord
	if err := json.Unmarshal(b, &out); err != nil {
		t.Fatal(err)
	}
	return out
}

// builtChunk returns the chunk that an effect asks for.
func builtChunk(c *jobContent, e op.AppendChunk) chunkRecord {
	chunk, _ := c.buildChunk(e)
	return chunk
}

// addTestEvents adds events to an item's text as a run does.
func addTestEvents(c *jobContent, item int, line string, events ...string) {
	t := &c.texts[item]
	t.run, t.lineage = 1, line
	t.events = append(t.events, events...)
	t.lastEvent += int64(len(events))
	t.versions = []unit.Version{3}
}

func TestChunksAreAddedInOrder(t *testing.T) {
	c := newTestContent()
	chunk := chunkRecord{Results: []platform.Result{{ID: "i0", Text: "x"}}}
	if _, ok := c.addChunk(1, chunk); ok {
		t.Error("chunk 1 was added before chunk 0")
	}
	if _, ok := c.addChunk(0, chunk); !ok {
		t.Error("the next chunk was not added")
	}
	if _, ok := c.addChunk(0, chunk); ok || len(c.results) != 1 {
		t.Errorf("a chunk was added twice: %v", c.results)
	}
}

func TestNewOwnerResumesFromStoredEvents(t *testing.T) {
	owner := newTestContent()
	addTestEvents(owner, 0, "a/1", "one", "two")
	firstChunk := roundTrip(t, builtChunk(owner, op.AppendChunk{Save: true}))
	owner.markSaved(firstChunk.Parts)
	addTestEvents(owner, 0, "a/1", "three")
	secondChunk := roundTrip(t, builtChunk(owner, op.AppendChunk{Save: true}))
	if len(secondChunk.Parts) != 1 || len(secondChunk.Parts[0].Events) != 1 {
		t.Errorf("second write contains %+v", secondChunk.Parts)
	}

	successor := newTestContent()
	successor.addChunk(0, firstChunk)
	successor.addChunk(1, secondChunk)
	got := successor.texts[0]
	if strings.Join(got.events, " ") != "one two three" || got.lastEvent != 2 || got.savedEvents != 3 || got.versions[0] != 3 {
		t.Errorf("got %+v", got)
	}
	if kept := successor.lastKeptEvents(); kept[0] != 2 || len(kept) != 1 {
		t.Errorf("kept %v", kept)
	}
}

func TestPartsOfDifferentLineagesAreNotJoined(t *testing.T) {
	c := newTestContent()
	c.addChunk(0, chunkRecord{Parts: []partRecord{{ID: "i0", Line: "a/1", Events: []string{"one"}, Last: 0}}})
	c.addChunk(1, chunkRecord{Parts: []partRecord{{ID: "i0", Line: "b/7", From: 1, Events: []string{"other"}, Last: 1}}})
	if got := c.texts[0]; len(got.events) != 1 || got.lastEvent != 0 {
		t.Errorf("texts of different lineages were joined: %+v", got)
	}
	c.addChunk(2, chunkRecord{Parts: []partRecord{{ID: "i0", Line: "b/7", Events: []string{"new", "text"}, Last: 1}}})
	if got := c.texts[0]; strings.Join(got.events, " ") != "new text" || got.lastEvent != 1 {
		t.Errorf("text after a new start: %+v", got)
	}
}

func TestLocalRunTakesPrecedenceOverStoredParts(t *testing.T) {
	c := newTestContent()
	addTestEvents(c, 0, "a/1", "mine")
	c.addChunk(0, chunkRecord{Parts: []partRecord{{ID: "i0", Line: "b/7", Events: []string{"other"}, Last: 0}}})
	if got := c.texts[0]; got.events[0] != "mine" || got.savedEvents != 0 {
		t.Errorf("got %+v", got)
	}
}

func TestShortPartsAreNotWritten(t *testing.T) {
	c := newTestContent()
	addTestEvents(c, 0, "a/1", "one")
	if parts := builtChunk(c, op.AppendChunk{}).Parts; len(parts) != 0 {
		t.Errorf("wrote %v", parts)
	}
	if c.hasUnsavedParts(minSaveEvents) || !c.hasUnsavedParts(1) {
		t.Error("wrong number of unsaved events")
	}
	c.texts[0].whole = true
	if chunk := builtChunk(c, op.AppendChunk{Done: []int{0}, Save: true}); len(chunk.Parts) != 0 {
		t.Errorf("parts of a finished item were written: %+v", chunk)
	}
}

func TestFitChunkLimitsSize(t *testing.T) {
	long := strings.Repeat("x", maxChunkBytes)
	c, shortened := fitChunk(chunkRecord{Ended: true, Results: []platform.Result{{ID: "i0", Text: long}, {ID: "i1", Text: long}}})
	if len(c.Results) != 1 || !shortened {
		t.Errorf("%d results in a chunk, shortened %t", len(c.Results), shortened)
	}
	if c.Ended {
		t.Error("the job ends although a result is not listed")
	}
	parts := []partRecord{{ID: "i0", Events: []string{long}}, {ID: "i1", Events: []string{"x"}}}
	if c, shortened := fitChunk(chunkRecord{Parts: parts}); len(c.Parts) != 1 || !shortened {
		t.Errorf("%d parts in a chunk, shortened %t", len(c.Parts), shortened)
	}
	if _, shortened := fitChunk(chunkRecord{Parts: parts[1:]}); shortened {
		t.Error("a short chunk was shortened")
	}
}

// TestChunkFitsTheStoreWhenEncoded guards against a chunk that the store can never take
// (LOST): its texts are full of characters that are escaped in JSON.
func TestChunkFitsTheStoreWhenEncoded(t *testing.T) {
	const storeLimit = 1 << 20
	texts := map[string]string{
		"plain": "abcdef", "quotes": "\"\\", "markup": "<&>", "control": "\x01\x02\n", "invalid": "\xff\xfe", "wide": "\u4e16\u2028",
	}
	for name, text := range texts {
		t.Run(name, func(t *testing.T) {
			long := strings.Repeat(text, maxChunkBytes/2/len(text))
			for _, c := range []chunkRecord{
				{Results: []platform.Result{{ID: "i0", Text: long}, {ID: "i1", Text: long}, {ID: "i2", Text: long}}},
				{Parts: []partRecord{{ID: "i0", Events: []string{long[:len(long)/4]}}, {ID: "i1", Events: []string{long[:len(long)/4]}}, {ID: "i2", Events: []string{long[:len(long)/4]}}}},
			} {
				b, err := json.Marshal(long)
				if err != nil {
					t.Fatal(err)
				}
				if size := encodedSize(long); size < len(b)-2 {
					t.Errorf("size %d, encoded %d", size, len(b))
				}
				c, _ := fitChunk(c)
				b, err = json.Marshal(c)
				if err != nil {
					t.Fatal(err)
				}
				if n := len(c.Results) + len(c.Parts); len(b) > storeLimit && n > 1 {
					t.Errorf("%d texts in a chunk of %d bytes", n, len(b))
				}
			}
		})
	}
}

// TestLongestTextFitsTheStore guards against an item whose output is taken although no
// chunk can hold it.
func TestLongestTextFitsTheStore(t *testing.T) {
	p := testProcess(&memoryStore{})
	c := newJobContent(jobRecord{}, testItems(1))
	p.contents.put(testJob, c)
	c.beginRun(0, 1)
	r := &run{p: p, e: op.RunItem{Job: testJob, Run: 1}, lastEvent: -1, eventCount: 1}
	for n := int64(0); ; n++ {
		if err := r.keepEvent(platform.Event{ID: n, Data: []byte(strings.Repeat("\x01", 1000))}); err != nil {
			break
		}
	}
	b, err := json.Marshal(strings.Join(c.texts[0].events, "\n"))
	if err != nil {
		t.Fatal(err)
	}
	if len(b) > 1<<20 {
		t.Errorf("a text of %d bytes was taken", len(b))
	}
}

// TestEachWriteOfAChunkEnds guards against a job whose next chunk is never written,
// because the end of the last write was not reported.
func TestEachWriteOfAChunkEnds(t *testing.T) {
	tests := map[string]func(p *Process){
		"content dropped": func(p *Process) { p.contents.forgetJob(testJob, 1) },
		"other chunk":     func(p *Process) { p.contents.withJob(testJob, func(c *jobContent) { c.chunks = 5 }) },
		"store away": func(p *Process) {
			p.deps.Store.(*memoryStore).beforePut = func(string) error { return errStoreAway }
		},
	}
	for name, breakIt := range tests {
		t.Run(name, func(t *testing.T) {
			p := testProcess(&memoryStore{})
			c := newJobContent(jobRecord{}, testItems(1))
			c.epoch, c.claimed = 1, true
			p.ownNewJob(context.Background(), c, false)
			p.state.Batch.Jobs[testJob].Writing = true
			breakIt(p)
			p.appendChunk(context.Background(), op.AppendChunk{Job: testJob})
			if j := p.state.Batch.Jobs[testJob]; j.Writing {
				t.Error("the job still waits for the end of the write")
			}
		})
	}
}

// FuzzChunkRecord checks that no stored chunk makes an instance panic.
func FuzzChunkRecord(f *testing.F) {
	f.Add([]byte(`{"Results":[{"ID":"i0"}],"Parts":[{"ID":"i1","From":0,"Events":["x"],"Last":0}]}`))
	f.Fuzz(func(_ *testing.T, b []byte) {
		var c chunkRecord
		if json.Unmarshal(b, &c) != nil {
			return
		}
		content := newTestContent()
		content.addChunk(0, c)
		content.lastKeptEvents()
		content.shape()
	})
}

// TestAcceptedJobsCountAtOnce guards against jobs that are accepted beyond the memory for
// jobs, since those accepted a moment ago are not counted yet.
func TestAcceptedJobsCountAtOnce(t *testing.T) {
	const memory = 1 << 20
	c := newContentStore(0, memory)
	item := platform.Item{ID: "i", Path: "/", Body: make([]byte, memory+1)}
	if c.full("") {
		t.Error("full without a job")
	}
	c.put("j", newJobContent(jobRecord{}, platform.Job{ID: "j", Items: []platform.Item{item}}))
	if !c.full("") {
		t.Error("a job that fills the memory for jobs leaves room")
	}
}

// TestWorkspacesShareTheRoomForJobs guards against one workspace that shuts out the jobs of
// all others, by their memory or their number.
func TestWorkspacesShareTheRoomForJobs(t *testing.T) {
	const memory = 1 << 20
	tests := map[string]struct {
		// jobs with an item of itemBytes bytes each are those of one workspace.
		jobs, itemBytes int
		full            bool
	}{
		"little":       {10, 100, false},
		"much memory":  {1, memory*ownerPercent/100 + 1, true},
		"many jobs":    {maxOwnedJobs * ownerPercent / 100, 0, true},
		"nearly many":  {maxOwnedJobs*ownerPercent/100 - 1, 0, false},
		"nearly large": {1, memory * (ownerPercent - 5) / 100, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := newContentStore(0, memory)
			for n := range tt.jobs {
				item := platform.Item{ID: "i", Path: "/", Body: make([]byte, tt.itemBytes)}
				c.put(fmt.Sprint(n), newJobContent(jobRecord{Workspace: "w"}, platform.Job{ID: "j", Items: []platform.Item{item}}))
			}
			c.measure()
			if c.full("w") != tt.full || c.full("other") {
				t.Errorf("full: %t, for another workspace: %t", c.full("w"), c.full("other"))
			}
		})
	}
}
