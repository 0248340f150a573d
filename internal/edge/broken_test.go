package edge

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	base "github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
	"github.com/catkinhead/catkinhead/platform"
)

// rawTarget answers each connection with the same bytes and closes it.
func rawTarget(t *testing.T, answer string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, answer)
			}
			c.Close()
		}
	}()
	return ln.Addr().String()
}

// rawAnswer returns a target's answer to the first item of testItems.
func rawAnswer(status int, contentType, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: s\r\nX-Weight-Versions: 1\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s",
		status, testItems(1).Items[0].ID, contentType, len(body), body)
}

// TestTextTakesNothingFromErrorOfNextTarget guards against an item's text, begun
// at one target or not, that gets parts of an answer of the next one that is no
// continuation, or that counts as complete after it.
func TestTextTakesNothingFromErrorOfNextTarget(t *testing.T) {
	const stream = "text/event-stream"
	tests := map[string]struct {
		answer string
		// resumedOnly is set if the answer is valid for a text that has no event yet.
		resumedOnly bool
	}{
		"failure":                     {rawAnswer(500, "text/plain", "failed\n\n"), false},
		"failure as an event":         {rawAnswer(502, stream, "id: 3\ndata: failed\n\n"), false},
		"success with a text":         {rawAnswer(200, "text/plain", "failed\n\n"), false},
		"success with JSON":           {rawAnswer(200, "application/json", "{\"error\":\"failed\"}\n\n"), false},
		"head in the stream":          {rawAnswer(200, stream, "HTTP/1.1 500 X\r\nContent-Length: 6\r\n\r\nfailed\r\n\r\n"), false},
		"event without ID":            {rawAnswer(200, stream, "data: failed\n\n"), false},
		"event error":                 {rawAnswer(200, stream, "event: error\ndata: failed\n\n"), false},
		"event out of order":          {rawAnswer(200, stream, "id: 9\ndata: later\n\n"), false},
		"events from the start":       {rawAnswer(200, stream, "id: 0\ndata: a\n\nid: 1\ndata: b\n\n"), true},
		"continuation cut in a event": {rawAnswer(200, stream, "id: 3\ndata: d"), false},
	}
	for name, tt := range tests {
		for _, kept := range []int{0, 3} {
			if kept == 0 && tt.resumedOnly {
				continue
			}
			t.Run(fmt.Sprintf("%s after %d events", name, kept), func(t *testing.T) {
				p := testProcess(&memoryStore{})
				p.metrics = metrics.NewSet()
				p.deps.Backends = platform.NewBackends(clock.System{}, time.Second)
				c := newJobContent(jobRecord{}, testItems(1))
				c.texts[0] = itemText{run: 1, lastEvent: int64(kept) - 1, events: []string{"a", "b", "c"}[:kept]}
				p.contents.put(testJob, c)
				e := op.RunItem{Job: testJob, Run: 1, After: int64(kept) - 1, Address: rawTarget(t, tt.answer), Until: p.clock.Now() + 30*clock.Second}
				r := &run{p: p, e: e, startedAt: p.clock.Now(), lastEvent: e.After, stallTimer: time.NewTimer(time.Hour)}
				end, err := r.sendRequest(context.Background())
				if end == op.ItemComplete || err == nil {
					t.Errorf("ended %s: %v", end, err)
				}
				if got := c.texts[0].events; len(got) != kept {
					t.Errorf("text is %q after it had %d events", got, kept)
				}
			})
		}
	}
}

// TestStreamWithoutEventsIsNoOutput guards against an item that is listed as
// completed although no target made an event of it.
func TestStreamWithoutEventsIsNoOutput(t *testing.T) {
	p := testProcess(&memoryStore{})
	p.metrics = metrics.NewSet()
	p.deps.Backends = platform.NewBackends(clock.System{}, time.Second)
	c := newJobContent(jobRecord{}, testItems(1))
	c.texts[0].run = 1
	p.contents.put(testJob, c)
	e := op.RunItem{Job: testJob, Run: 1, After: -1, Address: rawTarget(t, rawAnswer(200, "text/event-stream", "")), Until: p.clock.Now() + 30*clock.Second}
	r := &run{p: p, e: e, startedAt: p.clock.Now(), lastEvent: -1, stallTimer: time.NewTimer(time.Hour)}
	if end, err := r.sendRequest(context.Background()); end != op.ItemBroken {
		t.Errorf("ended %s: %v", end, err)
	}
}

// TestBrokenStreamFreesItsTarget guards against a live stream that breaks off at
// its target: the caller must see that it is incomplete, and the target's place
// must be free again.
func TestBrokenStreamFreesItsTarget(t *testing.T) {
	cut := "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Server-Stamp: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nid: 0\nda\r\n"
	p := testProcess(&memoryStore{})
	p.metrics = metrics.NewSet()
	p.deps.Backends = platform.NewBackends(clock.System{}, time.Second)
	p.deps.Ingress = platform.Ingress{}
	p.apply(op.ConfigurationChanged{Revision: 1, Configuration: base.Configuration{Version: 1, Routes: []base.RouteRule{{
		Name: "live", Host: "h.example", PathPrefix: "/live/", Streaming: true, MaxAttempts: 2, Timeout: 5000,
		Split: []base.WeightedPool{{Pool: "p", Weight: 1}},
	}}, Pools: map[unit.Pool]base.PoolRule{"p": {Name: "p"}}}})
	p.apply(op.StoreAnswered{AskedAt: p.clock.Now()})
	p.apply(op.TargetsListed{Entries: []base.TargetEntry{{Target: "t", Pool: "p", Address: rawTarget(t, cut), Slots: 4}}})
	srv := httptest.NewServer(p)
	defer srv.Close()
	req, err := http.NewRequest(http.MethodGet, srv.URL+"/live/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("X-Attempt-Id", "a1")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err == nil || !errors.Is(err, io.ErrUnexpectedEOF) && !strings.Contains(err.Error(), "reset") {
		t.Errorf("stream %q ended with %v, want it to break off", body, err)
	}
	running := 1
	for deadline := time.Now().Add(2 * time.Second); running != 0 && time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		p.withState(func(_ clock.Millis, s *State) { running = s.Roster.Targets["t"].Running })
	}
	if running != 0 {
		t.Errorf("%d attempts still count at the target", running)
	}
}
