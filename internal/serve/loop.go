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
	// tickEvery is the time between ticks.
	tickEvery = 100 * time.Millisecond
	// eventBuffer is how many events may wait.
	eventBuffer = 4096
)

// Loop owns the state and applies events to it one after another.
type Loop struct {
	clock clock.Clock
	state *decide.State
	items chan item
	// do carries an effect out; it must not wait.
	do     func(op.Effect)
	record *trace.Writer
	failed func(error)
	done   chan struct{}
}

// item is an event or a question. They share one channel, so that a question
// sees every event posted before it by the same goroutine.
type item struct {
	event op.Event
	ask   func(clock.Millis, *decide.State)
}

func newLoop(c clock.Clock, state *decide.State, record *trace.Writer, failed func(error)) *Loop {
	return &Loop{
		clock: c, state: state, record: record, failed: failed,
		items: make(chan item, eventBuffer),
		done:  make(chan struct{}),
	}
}

// Post hands an event over. After the loop's end it does nothing.
func (l *Loop) Post(ev op.Event) {
	select {
	case l.items <- item{event: ev}:
	case <-l.done:
	}
}

// Ask runs f on the state between two events. It returns false after the
// loop's end.
func (l *Loop) Ask(f func(now clock.Millis, s *decide.State)) bool {
	ended := make(chan struct{})
	ask := func(now clock.Millis, s *decide.State) {
		defer close(ended)
		f(now, s)
	}
	select {
	case l.items <- item{ask: ask}:
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

// Run applies events until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	ticks := time.NewTicker(tickEvery)
	defer ticks.Stop()
	l.apply(op.Tick{Wall: l.clock.Wall()})
	for {
		select {
		case x := <-l.items:
			if x.ask != nil {
				x.ask(l.clock.Now(), l.state)
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

func (l *Loop) apply(ev op.Event) {
	now := l.clock.Now()
	effects := l.state.Reduce(now, ev)
	if l.record != nil {
		if err := l.record.Write(now, ev, effects); err != nil {
			l.record = nil
			l.failed(err)
		}
	}
	for _, e := range effects {
		l.do(e)
	}
}
