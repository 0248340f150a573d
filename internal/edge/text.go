package edge

import (
	"slices"

	"github.com/catkinhead/catkinhead/pkg/unit"
)

// minSaveEvents is the number of unsaved events of an item that justifies a
// write, which happens at most once a second for a job.
const minSaveEvents = 8

// itemText is the output of an item so far, in whole events.
type itemText struct {
	// run is the number of the run that started last, 0 if this instance has
	// started none. Only that run may add events.
	run    int64
	events []string
	// size is what the events take in the store, in bytes, with eventOverhead for each.
	size int
	// versions are the model versions that produced the events.
	versions []unit.Version
	// lastEvent is the ID of the last event, -1 for none.
	lastEvent int64
	// whole is set once the output is complete, score once its reward call has
	// given one.
	whole bool
	score string
	// savedEvents counts the events that are in the store. stored is set once the store
	// has any event of the item, also one of an earlier text. discarded is set while all
	// that it has was discarded here: another owner must not go on after it.
	savedEvents       int
	stored, discarded bool
	// lineage identifies the owner's run that was the first to add an event to the
	// text while the owner had it. Parts are joined into one text only if their
	// lineage is the same. continued is set once the lineage is that of a run of this
	// instance.
	lineage   string
	continued bool
}

// partRecord is a part of an item's text: the events from position From on. The
// first event of the text has position 0, whatever its ID. Line is the text's
// lineage, Last the ID of the part's last event.
type partRecord struct {
	ID       string
	Line     string
	From     int
	Events   []string
	Last     int64
	Versions []unit.Version
	// Whole is set if the part ends the text.
	Whole bool `json:",omitempty"`
}

// addStoredPart adds a stored part to an item's text. Once this instance owns the
// job, the text is that of this instance: a part that another owner stored, or that
// this one reads back, never replaces any of it. It then only begins a text that is
// empty, and tells what is saved.
func (j *jobContent) addStoredPart(part partRecord) {
	i, ok := j.index[part.ID]
	if !ok || j.listed[i] {
		return
	}
	t := &j.texts[i]
	if t.run == 0 && (!j.owned() || t.empty()) {
		t.readPart(part)
		return
	}
	t.markSaved(part)
}

// beginRun makes a run the only one that may add events to an item's text. It
// returns the ID of the text's last event, and whether the text is complete. The
// content decides where a run begins, since parts that are read from the store may
// have begun the text.
func (j *jobContent) beginRun(item int, run int64) (after int64, whole bool) {
	t := &j.texts[item]
	t.run = run
	return t.lastEvent, t.whole
}

// discardText empties an item's text so that the next run begins it again, if run is
// still the only one that may add events.
func (j *jobContent) discardText(item int, run int64) {
	t := &j.texts[item]
	if t.run != run {
		return
	}
	*t = itemText{run: run, lastEvent: -1, stored: t.stored, discarded: t.stored}
}

// textSize returns what events take in the store, see itemText.size.
func textSize(events []string) int {
	size := 0
	for _, ev := range events {
		size += encodedSize(ev) + eventOverhead
	}
	return size
}

// startLineage gives the text a lineage of its own, before the first event that a run
// of this instance adds. The text is then stored again from the start: a late write of
// its former owner may go on with other events under the former lineage.
func (t *itemText) startLineage(lineage string) {
	t.lineage, t.continued, t.savedEvents = lineage, true, 0
}

// owned reports whether this instance owns the job. Before that, its chunks are
// being read.
func (j *jobContent) owned() bool { return j.epoch > 0 }

// empty reports whether the text has no event yet.
func (t *itemText) empty() bool { return len(t.events) == 0 && !t.whole }

// readPart adds a part that was read from the store. A part from the start replaces
// the text; any other one must continue it.
func (t *itemText) readPart(part partRecord) {
	if part.From == 0 {
		*t = itemText{lineage: part.Line, lastEvent: -1}
	}
	if part.From != len(t.events) || part.Line != t.lineage {
		return
	}
	t.events = append(t.events, part.Events...)
	t.size += textSize(part.Events)
	t.stored = len(t.events) > 0
	t.versions, t.lastEvent, t.savedEvents, t.whole = part.Versions, part.Last, len(t.events), part.Whole
}

// markSaved records that a part of this text has been stored.
func (t *itemText) markSaved(part partRecord) {
	end := part.From + len(part.Events)
	if part.Line == t.lineage && part.From == t.savedEvents && end <= len(t.events) {
		t.savedEvents = end
		t.stored, t.discarded = end > 0, false
	}
}

// unsaved reports whether the store lacks at least minEvents events of the text, or
// holds events that were discarded.
func (t *itemText) unsaved(minEvents int) bool {
	return t.discarded && len(t.events) == 0 || len(t.events)-t.savedEvents >= minEvents
}

// unsavedParts returns the unsaved events of each item that has at least minEvents of
// them. The part of a text that was discarded has no event and begins at the start, so
// that it replaces what is stored.
func (j *jobContent) unsavedParts(minEvents int) []partRecord {
	var out []partRecord
	for i := range j.texts {
		t := &j.texts[i]
		if j.listed[i] || !t.unsaved(minEvents) {
			continue
		}
		out = append(out, partRecord{
			ID: j.job.Items[i].ID, Line: t.lineage, From: t.savedEvents, Events: t.events[t.savedEvents:], Last: t.lastEvent, Versions: slices.Clone(t.versions),
			Whole: t.whole,
		})
	}
	return out
}

// hasUnsavedParts reports whether any item has at least minEvents unsaved
// events.
func (j *jobContent) hasUnsavedParts(minEvents int) bool {
	for i := range j.texts {
		if !j.listed[i] && j.texts[i].unsaved(minEvents) {
			return true
		}
	}
	return false
}

// markSaved records that the parts of a chunk have been stored.
func (j *jobContent) markSaved(parts []partRecord) {
	for _, part := range parts {
		if i, ok := j.index[part.ID]; ok {
			j.texts[i].markSaved(part)
		}
	}
}

// lastKeptEvents returns, by the position of the item in the job, the lastEvent
// of each item without a result for which it is set.
func (j *jobContent) lastKeptEvents() map[int]int64 {
	out := make(map[int]int64)
	for i := range j.texts {
		if !j.listed[i] && j.texts[i].lastEvent >= 0 {
			out[i] = j.texts[i].lastEvent
		}
	}
	return out
}

// wholeItems returns the items whose text is complete, and those of them that
// need no reward call any more.
func (j *jobContent) wholeItems() (whole, scored []int) {
	for i := range j.texts {
		t := &j.texts[i]
		if !t.whole {
			continue
		}
		whole = append(whole, i)
		if t.score != "" {
			scored = append(scored, i)
		}
	}
	return whole, scored
}

// setScore records the score of an item, unless its text is not complete.
func (j *jobContent) setScore(item int, score string) {
	if t := &j.texts[item]; t.whole {
		t.score = score
	}
}

// ready reports whether an item's output is complete, with its score if the item has
// a reward call.
func (j *jobContent) ready(item int) bool {
	t := &j.texts[item]
	return t.whole && (t.score != "" || j.job.Items[item].Reward == nil)
}
