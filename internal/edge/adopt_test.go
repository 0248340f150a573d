package edge

import (
	"context"
	"encoding/json"
	"io"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// wholeText is the complete output of an item, as an earlier job of the series
// had it.
const wholeText = "a whole text"

// ownReusedJob makes the instance the owner of the test job under an epoch, with
// texts of an earlier job.
func ownReusedJob(p *Process, epoch unit.Epoch, texts []keptText) *jobContent {
	c := newJobContent(jobRecord{Route: "r"}, testItems(2))
	c.epoch = epoch
	c.reuseTexts(texts)
	p.contents.put(testJob, c)
	gained := op.JobOwnershipGained{Shape: c.shape(), Epoch: epoch, Saved: c.lastKeptEvents()}
	gained.Whole, gained.Scored = c.wholeItems()
	p.apply(gained)
	return c
}

// put stores an object of a test.
func (m *memoryStore) put(t *testing.T, key string, value any) {
	t.Helper()
	raw, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := m.Put(context.Background(), key, raw, 0); err != nil {
		t.Fatal(err)
	}
}

// TestShorterPartOfAnotherOwnerIsNotListed guards against a result that is listed as
// completed with a text that is cut short (MIXED): a complete text of an earlier job
// was replaced by a part of it that another owner stored.
func TestShorterPartOfAnotherOwnerIsNotListed(t *testing.T) {
	p, store, storeBack := aheadProcess(t)
	storeBack()
	store.put(t, chunkKey(testJob, 0), chunkRecord{Owner: "b", Epoch: 2, Parts: []partRecord{
		{ID: "i0", Line: "b#1/1", Events: []string{"a"}, Versions: []unit.Version{1}},
		{ID: "i1", Line: "b#1/2", Events: []string{"a"}, Versions: []unit.Version{1}},
	}})
	ownReusedJob(p, aheadEpoch, []keptText{{ID: "i0", Whole: true, Events: []string{wholeText}}, {ID: "i1", Whole: true, Events: []string{wholeText}}})
	eventually(t, "both results are listed", func() bool {
		chunk, ok := store.chunkAt(2)
		return ok && len(chunk.Results) == 2
	})
	chunk, _ := store.chunkAt(2)
	for _, r := range chunk.Results {
		if r.Text != wholeText {
			t.Errorf("item %s is listed with the text %q", r.ID, r.Text)
		}
	}
}

// TestOwnPartReadBackKeepsScore guards against a result without its score: the
// answer to a write was lost, and the owner's own part, which it read back, replaced
// the text that it had taken over.
func TestOwnPartReadBackKeepsScore(t *testing.T) {
	c := scoredJob("s0")
	c.reuseTexts([]keptText{{ID: "i0", Whole: true, Events: []string{wholeText}, Line: "b#1/1", Score: "x", Reward: "s0"}})
	c.epoch = 2
	chunk := builtChunk(c, op.AppendChunk{Save: true})
	if len(chunk.Parts) != 1 {
		t.Fatalf("parts to save: %+v", chunk.Parts)
	}
	c.addChunk(0, roundTrip(t, chunk))
	if got := c.texts[0]; got.score != "x" || !got.whole || got.savedEvents != 1 {
		t.Errorf("text after the read: %+v", got)
	}
}

// TestIncompleteOutputIsNotListed guards against a result that is listed as completed
// although its text or its score is missing, whatever the reducer believes.
func TestIncompleteOutputIsNotListed(t *testing.T) {
	tests := map[string]struct {
		text  itemText
		ready bool
	}{
		"complete":         {itemText{events: []string{"a"}, whole: true, score: "x"}, true},
		"without score":    {itemText{events: []string{"a"}, whole: true}, false},
		"without last one": {itemText{events: []string{"a"}, score: "x"}, false},
		"without text":     {itemText{lastEvent: -1}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := scoredJob("s0")
			c.texts[0] = tt.text
			chunk, unready := c.buildChunk(op.AppendChunk{Done: []int{0}})
			if ready := len(chunk.Results) == 1 && len(unready) == 0; ready != tt.ready || len(chunk.Results)+len(unready) != 1 {
				t.Errorf("listed %+v, not ready %v", chunk.Results, unready)
			}
		})
	}
}

// TestItemThatIsNotReadyRunsAgain checks that an item that could not be listed is
// run again and listed then.
func TestItemThatIsNotReadyRunsAgain(t *testing.T) {
	p, store, storeBack := aheadProcess(t)
	storeBack()
	c := newJobContent(jobRecord{Route: "r"}, testItems(2))
	c.epoch = 1
	p.contents.put(testJob, c)
	p.apply(op.JobOwnershipGained{Shape: c.shape(), Epoch: 1, Whole: []int{1}})
	eventually(t, "both results are listed", func() bool {
		n := 0
		for k := range 4 {
			chunk, _ := store.chunkAt(k)
			for _, r := range chunk.Results {
				if r.Text == "text" {
					n++
				}
			}
		}
		return n == 2
	})
}

// TestRunBeginsWhereTheTextEnds guards against an item that can never be run (LOST): a
// late write of a dead owner begins its text, and the reducer, which does not know
// that, starts each run at another place.
func TestRunBeginsWhereTheTextEnds(t *testing.T) {
	tests := map[string]struct {
		part partRecord
		want string
	}{
		"begun":    {partRecord{ID: "i0", Line: "b#1/1", Events: []string{"first"}, Last: 0, Versions: []unit.Version{1}}, "first\nnext"},
		"complete": {partRecord{ID: "i0", Line: "b#1/1", Events: []string{"first", "last"}, Last: 1, Versions: []unit.Version{1}, Whole: true}, "first\nlast"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p, store, storeBack := aheadProcess(t)
			p.deps.Backends = &resumingBackends{}
			storeBack()
			c := newJobContent(jobRecord{Route: "r"}, testItems(1))
			c.epoch = 2
			c.addStoredPart(tt.part)
			p.contents.put(testJob, c)
			p.apply(op.JobOwnershipGained{Shape: c.shape(), Epoch: 2})
			eventually(t, "the item is listed", func() bool {
				chunk, ok := store.chunkAt(1)
				return ok && len(chunk.Results) == 1 && chunk.Results[0].Text == tt.want
			})
		})
	}
}

// TestLateWriteOfFormerOwnerIsNotJoined guards against a text that joins events of two
// runs (ORDER): an owner continues the text of a dead one, whose late write of other
// events under the same positions comes between, and a third owner reads both.
func TestLateWriteOfFormerOwnerIsNotJoined(t *testing.T) {
	first := chunkRecord{Owner: "a", Parts: []partRecord{{ID: "i0", Line: "a#1/1", Events: []string{"0"}, Last: 0}}}
	late := chunkRecord{Owner: "a", Parts: []partRecord{{ID: "i0", Line: "a#1/1", From: 1, Events: []string{"a1", "a2"}, Last: 2}}}

	p := testProcess(&memoryStore{})
	p.state.Self = "b#1"
	second := newJobContent(jobRecord{}, testItems(1))
	second.addChunk(0, first)
	second.epoch = 2
	p.contents.put(testJob, second)
	after, _ := second.beginRun(0, 7)
	r := &run{p: p, e: op.RunItem{Job: testJob, Run: 7}, lastEvent: after, eventCount: 1}
	keep := func(id int64, data string) {
		if err := r.keepEvent(platform.Event{ID: id, Data: []byte(data)}); err != nil {
			t.Fatal(err)
		}
	}
	keep(1, "b1")
	keep(2, "b2")
	second.addChunk(1, late)
	chunks := []chunkRecord{first, late, builtChunk(second, op.AppendChunk{Save: true})}
	second.markSaved(chunks[2].Parts)
	keep(3, "b3")
	chunks = append(chunks, builtChunk(second, op.AppendChunk{Save: true}))

	for n := range chunks {
		third := newJobContent(jobRecord{}, testItems(1))
		for k, chunk := range chunks[:n+1] {
			third.addChunk(k, roundTrip(t, chunk))
		}
		got := strings.Join(third.texts[0].events, " ")
		if want := []string{"0", "0 a1 a2", "0 b1 b2", "0 b1 b2 b3"}[n]; got != want {
			t.Errorf("text of a third owner after %d chunks is %q, want %q", n+1, got, want)
		}
	}
}

// resumingBackends answers an item with the one event that follows the last one.
type resumingBackends struct {
	oneEventBackends
	after atomic.Int64
}

func (b *resumingBackends) Do(ctx context.Context, o platform.TargetRequest) (*platform.Reply, error) {
	b.after.Store(o.After)
	return b.oneEventBackends.Do(ctx, o)
}

func (b *resumingBackends) Events(io.Reader) platform.Events {
	return &nextEvent{id: b.after.Load() + 1}
}

// nextEvent is a stream of the event with an ID.
type nextEvent struct {
	oneEvent
	id int64
}

func (e *nextEvent) Next() (platform.Event, error) {
	ev, err := e.oneEvent.Next()
	ev.ID, ev.Data = e.id, []byte("next")
	return ev, err
}
