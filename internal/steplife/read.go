package steplife

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/catkinhead/catkinhead/pkg/clock"
)

// maxLineBytes bounds a log line, in bytes.
const maxLineBytes = 1 << 20

// line is a line of the log. Only the fields of the messages below are used.
type line struct {
	Time    time.Time
	Message string
	Job     string
	// Step, Model, Items, WantGroups and Own are fields of "job accepted". Items is
	// also a field of "results listed".
	Step       int64
	Model      string
	Items      int
	WantGroups int
	Repeated   bool
	// Item, Group, End, Target, After, Last, FirstMillis and TookMillis are fields
	// of "item run ended". Some are fields of "reward call ended".
	Item        int
	Group       string
	End         string
	Target      string
	After, Last int64
	FirstMillis clock.Millis
	TookMillis  clock.Millis
	// Listed is a field of "results listed", Ends and Status of "call about a job".
	Listed int
	Ends   bool
	Status int
}

// Read reads the logs of the instances of a fleet: JSON lines in any order. It
// ignores what stands before the first brace of a line, and lines that are not
// JSON.
func Read(r io.Reader) (*Report, error) {
	rep := &Report{jobs: make(map[string]*Job)}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		raw := lines.Bytes()
		start := bytes.IndexByte(raw, '{')
		if start < 0 || !bytes.Contains(raw, []byte(`"Job"`)) {
			continue
		}
		var l line
		if json.Unmarshal(raw[start:], &l) == nil && l.Job != "" {
			rep.add(l)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	return rep, nil
}

// add adds a line to the job that it is about.
func (r *Report) add(l line) {
	j := r.jobs[l.Job]
	if j == nil {
		j = &Job{ID: l.Job, items: make(map[int]*item)}
		r.jobs[l.Job] = j
	}
	switch l.Message {
	case "job accepted":
		j.Accepted++
		if j.AcceptedAt.IsZero() || l.Time.Before(j.AcceptedAt) {
			j.AcceptedAt, j.Step, j.Model, j.Items, j.WantGroups = l.Time, l.Step, l.Model, l.Items, l.WantGroups
		}
	case "job taken over":
		j.Takeovers++
	case "item run ended":
		it := j.item(l.Item)
		if l.Group != "" {
			it.group = l.Group
		}
		it.runs = append(it.runs, run{end: l.End, target: l.Target, endedAt: l.Time, took: l.TookMillis, first: l.FirstMillis, events: int(l.Last - l.After)})
		if l.End == "Whole" {
			it.wholeAt = l.Time
			r.addEventTime(it.runs[len(it.runs)-1])
		}
	case "reward call ended":
		it := j.item(l.Item)
		it.calls++
		if l.End == "Scored" {
			it.scoredAt = l.Time
		}
	case "results listed":
		j.listings = append(j.listings, l.Time)
		j.Listed = max(j.Listed, l.Listed)
	case "call about a job":
		if l.Ends && l.Status == 200 && (j.EndedAt.IsZero() || l.Time.Before(j.EndedAt)) {
			j.EndedAt = l.Time
		}
	}
}

// item returns the entry of an item.
func (j *Job) item(n int) *item {
	it := j.items[n]
	if it == nil {
		it = &item{number: n}
		j.items[n] = it
	}
	return it
}
