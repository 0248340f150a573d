package steplife

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/catkinhead/catkinhead/pkg/clock"
)

// Report holds the jobs of a log.
type Report struct {
	jobs map[string]*Job
	// eventTimes are the mean times between the events of complete runs, in
	// milliseconds.
	eventTimes []float64
}

// Job is the course of one job.
type Job struct {
	ID, Model  string
	Step       int64
	AcceptedAt time.Time
	EndedAt    time.Time
	// Items counts the items, WantGroups the groups that the trainer waits for.
	Items, WantGroups int
	// Accepted counts the submissions that were accepted, Takeovers the changes of
	// owner, Listed the results in the store.
	Accepted, Takeovers, Listed int
	items                       map[int]*item
	listings                    []time.Time
}

// item is the course of one item.
type item struct {
	number            int
	group             string
	runs              []run
	calls             int
	wholeAt, scoredAt time.Time
}

// run is a run of an item. first is the time to its first event, 0 if there was
// none.
type run struct {
	end, target string
	endedAt     time.Time
	took, first clock.Millis
	events      int
}

// minTimedEvents is the number of events from which on a run counts for the usual
// time between events.
const minTimedEvents = 5

func (r *Report) addEventTime(x run) {
	if x.events >= minTimedEvents && x.first > 0 {
		r.eventTimes = append(r.eventTimes, float64(x.took-x.first)/float64(x.events-1))
	}
}

// eventTime returns the median time between two events, in milliseconds.
func (r *Report) eventTime() float64 {
	if len(r.eventTimes) == 0 {
		return 0
	}
	slices.Sort(r.eventTimes)
	return r.eventTimes[len(r.eventTimes)/2]
}

// Losses says what the duration of a job was spent on, as seen by its critical
// item: the last one of the groups for which the trainer waits. All are in
// milliseconds.
type Losses struct {
	// Start is the time until the first run began, Between the time without a run
	// until the output was complete.
	Start, Between clock.Millis
	// First is the time until the first event of each run, Events what the events
	// take usually, Stalled the rest of the runs' time.
	First, Events, Stalled clock.Millis
	// Score is the time until the score, List until the chunk, Read until the end
	// was requested.
	Score, List, Read clock.Millis
}

// Row is a job and its losses.
type Row struct {
	*Job
	// Item and Group are those of the critical item. They are valid if Done is set,
	// which means that the wanted groups were completed.
	Item   int
	Group  string
	Done   bool
	Total  clock.Millis
	Runs   int
	Calls  int
	Count  int
	Losses Losses
	// Targets are those of the critical item's runs, with the end of each run.
	Targets string
}

// Rows returns the jobs in the order of their acceptance.
func (r *Report) Rows() []Row {
	jobs := slices.SortedFunc(maps.Values(r.jobs), func(a, b *Job) int {
		return cmp.Or(a.AcceptedAt.Compare(b.AcceptedAt), cmp.Compare(a.ID, b.ID))
	})
	var out []Row
	for _, j := range jobs {
		if !j.AcceptedAt.IsZero() {
			out = append(out, r.row(j))
		}
	}
	return out
}

func (r *Report) row(j *Job) Row {
	row := Row{Job: j}
	if !j.EndedAt.IsZero() {
		row.Total = millis(j.EndedAt.Sub(j.AcceptedAt))
	}
	it := j.criticalItem()
	if it == nil {
		return row
	}
	row.Item, row.Group, row.Done = it.number, it.group, true
	row.Runs, row.Calls = len(it.runs), it.calls
	row.Losses = r.losses(j, it)
	var targets []string
	for _, x := range it.runs {
		targets = append(targets, x.target+"="+x.end)
		row.Count += x.events
	}
	row.Targets = strings.Join(targets, " ")
	return row
}

// criticalItem returns the last item of the group that completed the number of
// groups that the trainer waits for, nil if there is none. Items that were taken
// from an earlier job have no runs and count as complete.
func (j *Job) criticalItem() *item {
	last := make(map[string]*item)
	unfinished := make(map[string]bool)
	for _, it := range j.items {
		if it.doneAt().IsZero() {
			unfinished[it.group] = true
			continue
		}
		if l := last[it.group]; l == nil || it.doneAt().After(l.doneAt()) {
			last[it.group] = it
		}
	}
	var done []*item
	for g, it := range last {
		if !unfinished[g] {
			done = append(done, it)
		}
	}
	if len(done) == 0 {
		return nil
	}
	slices.SortFunc(done, func(a, b *item) int { return a.doneAt().Compare(b.doneAt()) })
	n := j.WantGroups
	if n <= 0 || n > len(done) {
		n = len(done)
	}
	return done[n-1]
}

// doneAt returns when the item had all that its result needs; zero if it never
// had.
func (it *item) doneAt() time.Time {
	if it.calls > 0 {
		return it.scoredAt
	}
	return it.wholeAt
}

// losses divides the duration of a job among the causes.
func (r *Report) losses(j *Job, it *item) Losses {
	var l Losses
	slices.SortFunc(it.runs, func(a, b run) int { return a.endedAt.Compare(b.endedAt) })
	usual := r.eventTime()
	at := j.AcceptedAt
	for i, x := range it.runs {
		began := x.endedAt.Add(-x.took.Duration())
		if gap := millis(began.Sub(at)); i == 0 {
			l.Start = gap
		} else {
			l.Between += max(gap, 0)
		}
		at = x.endedAt
		events := clock.Millis(float64(max(x.events-1, 0)) * usual)
		first := x.first
		if first == 0 {
			first = x.took
		}
		l.First += first
		l.Events += min(events, x.took-first)
		l.Stalled += max(x.took-first-events, 0)
	}
	if it.calls > 0 {
		l.Score = millis(it.scoredAt.Sub(at))
		at = it.scoredAt
	}
	for _, listed := range j.listings {
		if !listed.Before(at) {
			l.List = millis(listed.Sub(at))
			at = listed
			break
		}
	}
	if !j.EndedAt.IsZero() {
		l.Read = millis(j.EndedAt.Sub(at))
	}
	return l
}

func millis(d time.Duration) clock.Millis { return clock.FromDuration(d) }
