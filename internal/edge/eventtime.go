package edge

import (
	"sync"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// eventTimeMeter measures, for each target, the mean time between the events of
// its streams.
type eventTimeMeter struct {
	mu   sync.Mutex
	sums map[unit.Target]eventTimeSum
}

// eventTimeSum adds up the times between events at one target. The field intervals
// counts these times.
type eventTimeSum struct {
	total     clock.Millis
	intervals int
}

// minMeasuredIntervals is how many times between events must be measured at a
// target in a round for their mean to be reported.
const minMeasuredIntervals = 3

// add adds the time between two events at a target.
func (x *eventTimeMeter) add(t unit.Target, millis clock.Millis) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.sums == nil {
		x.sums = make(map[unit.Target]eventTimeSum)
	}
	s := x.sums[t]
	x.sums[t] = eventTimeSum{s.total + millis, s.intervals + 1}
}

// collect returns the mean times of the current round and starts the next one.
func (x *eventTimeMeter) collect() op.EventTimes {
	x.mu.Lock()
	defer x.mu.Unlock()
	e := op.EventTimes{Millis: make(map[unit.Target]float64, len(x.sums))}
	for t, s := range x.sums {
		if s.intervals >= minMeasuredIntervals {
			e.Millis[t] = float64(s.total) / float64(s.intervals)
		}
	}
	x.sums = nil
	return e
}
