package edge

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
)

// pacedBackends answers with a stream of events that come at an interval. Without
// events, the stream stays open until the run is cancelled, as one does on which
// bytes arrive that never form an event.
type pacedBackends struct {
	interval time.Duration
	events   int64
	ctx      context.Context
}

func (b *pacedBackends) Do(ctx context.Context, _ platform.TargetRequest) (*platform.Reply, error) {
	b.ctx = ctx
	header := http.Header{"Content-Type": {"text/event-stream"}}
	return &platform.Reply{Status: http.StatusOK, Header: header, Stamp: "s", Length: -1, Body: io.NopCloser(strings.NewReader(""))}, nil
}

func (b *pacedBackends) Events(io.Reader) platform.Events { return &pacedEvents{b: b} }

// pacedEvents are the events of pacedBackends.
type pacedEvents struct {
	b    *pacedBackends
	sent int64
}

func (e *pacedEvents) Next() (platform.Event, error) {
	if e.b.events == 0 {
		<-e.b.ctx.Done()
		return platform.Event{}, e.b.ctx.Err()
	}
	if e.sent == e.b.events {
		return platform.Event{}, io.EOF
	}
	select {
	case <-time.After(e.b.interval):
		e.sent++
		return platform.Event{ID: e.sent - 1, Data: []byte("x")}, nil
	case <-e.b.ctx.Done():
		return platform.Event{}, e.b.ctx.Err()
	}
}

// TestSlowStreamsGoOnAndStalledOnesEnd checks that a stream that takes far longer
// than the limits of a stalled one is not cut as long as events come, and that one
// without events ends in time.
func TestSlowStreamsGoOnAndStalledOnesEnd(t *testing.T) {
	tests := map[string]struct {
		backends pacedBackends
		end      op.ItemEnd
		within   time.Duration
	}{
		"slow but sound": {pacedBackends{interval: 300 * time.Millisecond, events: 8}, op.ItemComplete, 4 * time.Second},
		"stalled":        {pacedBackends{}, op.ItemBroken, firstEventTimeout + 500*time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := testProcess(&memoryStore{})
			p.metrics = metrics.NewSet()
			p.deps.Backends = &tt.backends
			c := newJobContent(jobRecord{}, testItems(1))
			c.texts[0].run = 1
			p.contents.put(testJob, c)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			startedAt := time.Now()
			e := op.RunItem{Job: testJob, Run: 1, After: -1, Until: p.clock.Now() + 30*clock.Second}
			r := &run{p: p, e: e, startedAt: p.clock.Now(), lastEvent: -1}
			r.stallTimer = time.AfterFunc(firstEventTimeout, cancel)
			end, err := r.sendRequest(ctx)
			if took := time.Since(startedAt); end != tt.end || took > tt.within {
				t.Errorf("ended %s after %s: %v", end, took, err)
			}
		})
	}
}
