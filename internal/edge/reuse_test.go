package edge

import (
	"testing"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

func TestLaterJobReusesTextsOfRepeatedItems(t *testing.T) {
	earlier := newJobContent(jobRecord{Route: "r"}, testItems(4))
	addTestEvents(earlier, 1, "a/1", "one", "two")
	earlier.addChunk(0, chunkRecord{Results: []platform.Result{
		{ID: "i0", Text: "all of it", Versions: []unit.Version{3}}, {ID: "i3", GivenUp: true},
	}})
	earlier.addChunk(1, chunkRecord{Ended: true})

	later := newJobContent(jobRecord{Route: "r"}, testItems(4))
	whole := later.reuseTexts(earlier.keptTexts([]string{"i0", "i1", "i2", "i3", "other"}, 3))
	if items, _ := later.wholeItems(); whole != 1 || len(items) != 1 || items[0] != 0 {
		t.Errorf("complete items: %d, %v", whole, items)
	}
	if kept := later.lastKeptEvents(); len(kept) != 1 || kept[1] != 1 {
		t.Errorf("last kept events: %v", kept)
	}
	c := builtChunk(later, op.AppendChunk{Done: []int{0}})
	if len(c.Results) != 1 || c.Results[0].Text != "all of it" || c.Results[0].Versions[0] != 3 {
		t.Errorf("listed as %+v", c.Results)
	}
}

func TestTextsOfOldVersionsAreNotReused(t *testing.T) {
	earlier := newJobContent(jobRecord{}, testItems(2))
	addTestEvents(earlier, 0, "a/1", "one")
	if got := earlier.keptTexts([]string{"i0"}, 4); len(got) != 0 {
		t.Errorf("got %+v, made by version 3", got)
	}
}

func TestReuseKeepsExistingTexts(t *testing.T) {
	later := newJobContent(jobRecord{}, testItems(1))
	addTestEvents(later, 0, "b/1", "mine")
	later.reuseTexts([]keptText{{ID: "i0", Events: []string{"other"}, Last: 0}})
	if later.texts[0].events[0] != "mine" {
		t.Errorf("text is %v", later.texts[0].events)
	}
}

func TestTextsOfEndedJobsExpire(t *testing.T) {
	contents := newContentStore(0, 0)
	c := newJobContent(jobRecord{}, testItems(1))
	contents.put("j", c)
	addTestEvents(c, 0, "a/1", "one")
	c.addChunk(0, chunkRecord{Ended: true})
	contents.dropExpiredTexts(100)
	contents.dropExpiredTexts(100 + textRetention - 1)
	if len(c.keptTexts([]string{"i0"}, 0)) != 1 {
		t.Fatal("dropped too early")
	}
	contents.dropExpiredTexts(100 + textRetention)
	if len(c.keptTexts([]string{"i0"}, 0)) != 0 {
		t.Error("not dropped in time")
	}
}

// TestStepsShareNoMemoryOfTexts guards against texts that join events of two runs
// (ORDER): while the end of a step hangs, its runs went on in the same arrays as those
// of the next step, which had taken the texts over.
func TestStepsShareNoMemoryOfTexts(t *testing.T) {
	earlier := newJobContent(jobRecord{}, testItems(1))
	addTestEvents(earlier, 0, "a/1", "one", "two", "three")
	// An array with room for more is what appending leaves.
	earlier.texts[0].events = append(earlier.texts[0].events, "")[:3]
	earlier.texts[0].versions = append(make([]unit.Version, 0, 2), 3)
	later := newJobContent(jobRecord{}, testItems(1))
	later.reuseTexts(earlier.keptTexts([]string{"i0"}, 0))

	for job, event := range map[*jobContent]string{earlier: "of the earlier", later: "of the later"} {
		text := &job.texts[0]
		text.events, text.versions = append(text.events, event), append(text.versions, unit.Version(len(event)))
	}
	for job, event := range map[*jobContent]string{earlier: "of the earlier", later: "of the later"} {
		text := job.texts[0]
		if text.events[3] != event || text.versions[1] != unit.Version(len(event)) {
			t.Errorf("text is %q by versions %v, want the last event %q", text.events, text.versions, event)
		}
	}
}
