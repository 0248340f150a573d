package edge

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/catkinhead/catkinhead/internal/budget"
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/platform"
)

// endlessTarget answers each request with a head and what next returns, without end.
func endlessTarget(t *testing.T, head string, next func(n int) string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := conn.Read(make([]byte, 4096)); err != nil {
					return
				}
				_, err := io.WriteString(conn, head)
				for n := 0; err == nil; n++ {
					_, err = io.WriteString(conn, next(n))
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// endlessEvents are events with good IDs and with data of some bytes.
func endlessEvents(dataBytes int) func(n int) string {
	data := strings.Repeat("x", dataBytes)
	return func(n int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", n, data) }
}

// testShare is the part of the memory that texts, or held replies, may take in these tests:
// one in testShare.
const testShare = 4

// textProcess returns a process that owns the test job, with a memory limit in bytes.
func textProcess(items int, memory int64) (*Process, *jobContent) {
	p := testProcess(&memoryStore{})
	p.metrics = metrics.NewSet()
	p.deps.Backends = platform.NewBackends(clock.System{}, time.Second)
	p.contents = newContentStore(memory/testShare, 0)
	job := testItems(items)
	c := newJobContent(jobRecord{}, job)
	c.epoch = 1
	p.contents.put(testJob, c)
	return p, c
}

// runAt runs an item at a target.
func runAt(p *Process, item int, address string) {
	var after int64
	p.contents.withJob(testJob, func(c *jobContent) { after, _ = c.beginRun(item, 1) })
	e := op.RunItem{Job: testJob, Item: item, Run: 1, After: after, Address: address, Until: p.clock.Now() + 30*clock.Second}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p.executeRun(ctx, cancel, e)
}

// TestEndlessTextIsDiscarded guards against a text of a faulty target that is resumed at
// the next one and becomes the item's result (MIXED): nothing of it is kept, here or in
// the store.
func TestEndlessTextIsDiscarded(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nX-Attempt-Id: i0\r\nX-Server-Stamp: s\r\nContent-Type: text/event-stream\r\n\r\n"
	tests := map[string]func(n int) string{
		"longer than a text may be":    endlessEvents(200),
		"one event without end":        func(int) string { return "id: 0\ndata: " + strings.Repeat("x", 4096) },
		"empty events":                 endlessEvents(0),
		"a line without an event":      func(int) string { return strings.Repeat("y", 4096) },
		"a long event after some text": func(n int) string { return endlessEvents(max(n-9, 0) * 100_000)(n) },
	}
	for name, next := range tests {
		t.Run(name, func(t *testing.T) {
			p, c := textProcess(1, 0)
			// The store has the beginning of the text.
			c.texts[0] = itemText{lastEvent: -1, stored: true}
			runAt(p, 0, endlessTarget(t, head, next))
			text := &c.texts[0]
			if len(text.events) > 0 || text.lastEvent != -1 || text.whole {
				t.Errorf("%d events are kept, the last one is %d", len(text.events), text.lastEvent)
			}
			other := newJobContent(jobRecord{}, testItems(1))
			other.addStoredPart(partRecord{ID: "i0", Line: "l", Events: []string{"a", "b"}, Last: 1})
			for _, part := range c.unsavedParts(minSaveEvents) {
				other.addStoredPart(part)
				c.markSaved([]partRecord{part})
			}
			if len(other.texts[0].events) > 0 || other.texts[0].lastEvent != -1 {
				t.Errorf("the next owner resumes after event %d of the discarded text", other.texts[0].lastEvent)
			}
			if c.hasUnsavedParts(1) {
				t.Error("the end of the discarded text is stored again and again")
			}
		})
	}
}

// TestTextsOfFaultyTargetsTakeAPartOfMemory guards against an instance that runs out of
// memory since targets send events without end.
func TestTextsOfFaultyTargetsTakeAPartOfMemory(t *testing.T) {
	const memory, items = 16 << 20, 100
	head := "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: s\r\nContent-Type: text/event-stream\r\n\r\n"
	p, c := textProcess(items, memory)
	var wg sync.WaitGroup
	for i := range items {
		// These stop just before a text is too long, for longer than a run waits.
		address := endlessTarget(t, fmt.Sprintf(head, c.job.Items[i].ID), func(n int) string {
			if n > 2500 {
				time.Sleep(2 * nextEventTimeout)
			}
			return endlessEvents(200)(n)
		})
		wg.Add(1)
		go func() {
			defer wg.Done()
			runAt(p, i, address)
		}()
	}
	most := 0
	ended := make(chan struct{})
	go func() {
		wg.Wait()
		close(ended)
	}()
	for running := true; running; {
		select {
		case <-ended:
			running = false
		case <-time.After(5 * time.Millisecond):
			p.contents.measure()
		}
		total := 0
		p.contents.withJob(testJob, func(c *jobContent) {
			for i := range c.texts {
				total += c.texts[i].size
			}
		})
		most = max(most, total)
	}
	if limit := memory/testShare + items*longText; most > limit {
		t.Errorf("texts took %d KB, want at most %d", most>>10, limit>>10)
	}
	if limit := memory / testShare; most < limit/2 {
		t.Errorf("texts took %d KB: the test does not reach the bound", most>>10)
	}
}

// TestHeldRepliesTakeAPartOfMemory guards against the same by replies that are held back
// until they are whole.
func TestHeldRepliesTakeAPartOfMemory(t *testing.T) {
	const memory, callers = 8 << 20, 100
	address := endlessTarget(t, "HTTP/1.1 200 OK\r\n"+stampedHead+"Content-Type: text/plain\r\n\r\n", func(n int) string {
		if n >= 7 {
			time.Sleep(time.Second)
		}
		return strings.Repeat("x", 32<<10)
	})
	p, srv := cutProcess(t, address)
	p.bodies = budget.New(memory/testShare, memory/testShare)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var wg sync.WaitGroup
	for range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, srv.URL+"/page/x", nil)
			if err != nil {
				t.Error(err)
				return
			}
			req.Host = "h.example"
			req.Header.Set("X-Attempt-Id", "a1")
			if res, err := http.DefaultClient.Do(req); err == nil {
				_, _ = io.Copy(io.Discard, res.Body)
				res.Body.Close()
			}
		}()
	}
	time.Sleep(500 * time.Millisecond)
	runtime.GC()
	all := p.bodies.Open("", nil)
	if all.TryGrow(memory / testShare) {
		t.Error("no reply takes room for bodies")
	}
	wg.Wait()
	for until := time.Now().Add(2 * time.Second); !all.TryGrow(memory / testShare); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("room for bodies was not given back")
		}
	}
}
