package edge

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

func testContent() *jobContent {
	return newJobContent(jobRecord{Route: "r", Pool: "p"}, testItems(2))
}

// write passes a chunk through the store's form.
func write(t *testing.T, c chunkRecord) chunkRecord {
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

// grow adds events to a text as a run does.
func grow(c *jobContent, item int, line string, events ...string) {
	t := &c.texts[item]
	t.run, t.line = 1, line
	t.events = append(t.events, events...)
	t.last += int64(len(events))
	t.versions = []unit.Version{3}
}

func TestChunksAreAddedInTheirOrderOnly(t *testing.T) {
	c := testContent()
	chunk := chunkRecord{Results: []platform.Result{{ID: "i0", Text: "x"}}}
	if _, ok := c.add(1, chunk); ok {
		t.Error("a chunk was added ahead of its turn")
	}
	if _, ok := c.add(0, chunk); !ok {
		t.Error("the next chunk was not added")
	}
	if _, ok := c.add(0, chunk); ok || len(c.results) != 1 {
		t.Errorf("a chunk was added twice: %v", c.results)
	}
}

func TestASuccessorGoesOnFromWhatWasSaved(t *testing.T) {
	owner := testContent()
	grow(owner, 0, "a/1", "one", "two")
	first := write(t, owner.chunk(op.AppendChunk{Save: true}))
	owner.markSaved(first.Parts)
	grow(owner, 0, "a/1", "three")
	second := write(t, owner.chunk(op.AppendChunk{Save: true}))
	if len(second.Parts) != 1 || len(second.Parts[0].Events) != 1 {
		t.Errorf("the second write holds %+v", second.Parts)
	}

	successor := testContent()
	successor.add(0, first)
	successor.add(1, second)
	got := successor.texts[0]
	if strings.Join(got.events, " ") != "one two three" || got.last != 2 || got.saved != 3 || got.versions[0] != 3 {
		t.Errorf("got %+v", got)
	}
	if kept := successor.kept(); kept[0] != 2 || len(kept) != 1 {
		t.Errorf("kept %v", kept)
	}
}

func TestPartsOfOtherRunsAreNotJoined(t *testing.T) {
	c := testContent()
	c.add(0, chunkRecord{Parts: []partRecord{{ID: "i0", Line: "a/1", Events: []string{"one"}, Last: 0}}})
	c.add(1, chunkRecord{Parts: []partRecord{{ID: "i0", Line: "b/7", From: 1, Events: []string{"other"}, Last: 1}}})
	if got := c.texts[0]; len(got.events) != 1 || got.last != 0 {
		t.Errorf("joined texts of two runs: %+v", got)
	}
	c.add(2, chunkRecord{Parts: []partRecord{{ID: "i0", Line: "b/7", Events: []string{"new", "text"}, Last: 1}}})
	if got := c.texts[0]; strings.Join(got.events, " ") != "new text" || got.last != 1 {
		t.Errorf("a text that began anew: %+v", got)
	}
}

func TestOwnRunsGoBeforeSavedParts(t *testing.T) {
	c := testContent()
	grow(c, 0, "a/1", "mine")
	c.add(0, chunkRecord{Parts: []partRecord{{ID: "i0", Line: "b/7", Events: []string{"other"}, Last: 0}}})
	if got := c.texts[0]; got.events[0] != "mine" || got.saved != 0 {
		t.Errorf("got %+v", got)
	}
}

func TestShortPartsAreNotWorthAWrite(t *testing.T) {
	c := testContent()
	grow(c, 0, "a/1", "one")
	if parts := c.chunk(op.AppendChunk{}).Parts; len(parts) != 0 {
		t.Errorf("wrote %v", parts)
	}
	if c.hasParts(saveEvents) || !c.hasParts(1) {
		t.Error("wrong number of unsaved events")
	}
	if chunk := c.chunk(op.AppendChunk{Done: []int{0}, Save: true}); len(chunk.Parts) != 0 {
		t.Errorf("an item that is done is written twice: %+v", chunk)
	}
}

func TestFitKeepsChunksSmall(t *testing.T) {
	long := strings.Repeat("x", chunkBytes)
	c := fit(chunkRecord{Results: []platform.Result{{ID: "i0", Text: long}, {ID: "i1", Text: long}}})
	if len(c.Results) != 1 {
		t.Errorf("%d results in a chunk", len(c.Results))
	}
}

func FuzzChunkRecord(f *testing.F) {
	f.Add([]byte(`{"Results":[{"ID":"i0"}],"Parts":[{"ID":"i1","From":0,"Events":["x"],"Last":0}]}`))
	f.Fuzz(func(_ *testing.T, b []byte) {
		var c chunkRecord
		if json.Unmarshal(b, &c) != nil {
			return
		}
		content := testContent()
		content.add(0, c)
		content.kept()
		content.shape()
	})
}
