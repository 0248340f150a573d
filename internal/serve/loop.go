package serve

import (
	"context"
	"time"

	"github.com/catkinhead/catkinhead/internal/decide"
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/internal/trace"
	"github.com/catkinhead/catkinhead/pkg/clock"
)

const (
	// tickInterval is the time between Tick events.
	tickInterval = 100 * time.Millisecond
	// queueLength is the number of events and queries that may be queued before
	// Post and Query block.
	queueLength = 4096
)

// Loop owns the state and applies events to it one at a time.
type Loop struct {
	clock clock.Clock
	state *decide.State
	queue chan queueItem
	// execute carries out an effect. It must not block.
	execute func(op.Effect)
	// record writes the trace of the events; it is nil if none is recorded.
	record *trace.Writer
	// onRecordError is called when writing the trace fails, which ends the
	// recording.
	onRecordError func(error)
	// done is closed when Run returns.
	done chan struct{}
}

// queueItem is either an event or a query. Both go through one queue, so that a
// query sees every event that the same goroutine posted before it.
type queueItem struct {
	event op.Event
	query func(clock.Millis, *decide.State)
}

func newLoop(c clock.Clock, state *decide.State, record *trace.Writer, onRecordError func(error)) *Loop {
	return &Loop{
		clock: c, state: state, record: record, onRecordError: onRecordError,
		queue: make(chan queueItem, queueLength),
		done:  make(chan struct{}),
	}
}

// Post queues an event, and waits while the queue is full. After the loop has
// ended it does nothing.
func (l *Loop) Post(ev op.Event) {
	select {
	case l.queue <- queueItem{event: ev}:
	case <-l.done:
	}
}

// Query runs f on the state between two events and waits until f returns. It
// returns false if the loop has ended. f runs in the goroutine of the loop, so it
// must not block, nor call Post or Query.
func (l *Loop) Query(f func(now clock.Millis, s *decide.State)) bool {
	ended := make(chan struct{})
	query := func(now clock.Millis, s *decide.State) {
		defer close(ended)
		f(now, s)
	}
	select {
	case l.queue <- queueItem{query: query}:
	case <-l.done:
		return false
	}
	select {
	case <-ended:
		return true
	case <-l.done:
		return false
	}
}

// Run applies the queued events and a Tick every tickInterval, until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	ticks := time.NewTicker(tickInterval)
	defer ticks.Stop()
	l.apply(op.Tick{Wall: l.clock.Wall()})
	for {
		select {
		case x := <-l.queue:
			if x.query != nil {
				x.query(l.clock.Now(), l.state)
				continue
			}
			l.apply(x.event)
		case <-ticks.C:
			l.apply(op.Tick{Wall: l.clock.Wall()})
		case <-ctx.Done():
			return
		}
	}
}

// apply reduces an event, records it and carries out its effects.
func (l *Loop) apply(ev op.Event) {
	now := l.clock.Now()
	effects := l.state.Reduce(now, ev)
	if l.record != nil {
		if err := l.record.Write(now, ev, effects); err != nil {
			l.record = nil
			l.onRecordError(err)
		}
	}
	for _, e := range effects {
		l.execute(e)
	}
}
