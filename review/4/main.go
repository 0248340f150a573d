// Command 4 kills the owner of a step while one of its writes to the platform's store
// has not taken effect yet, and looks whether the next owner finishes the step.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/catkinhead/catkinhead/review/rig"
)

const (
	slots   = 4
	workers = 2
	// An item takes two seconds.
	events     = 50
	eventEvery = 40 * time.Millisecond
	groupSize  = 4
	items      = 8
	// steady is contact_ms, giveUpAfter the time after which the trainer gives the
	// step up, unserved the time for which an item has to be at no worker.
	steady      = 3 * time.Second
	giveUpAfter = 12 * time.Second
	unserved    = 5 * time.Second
	// short is the length of a run that doesn't count.
	short = time.Second
	// late is the least time by which a lost write takes effect late. window is how
	// long the disruption of the store lasts.
	late   = 1100 * time.Millisecond
	window = 3500 * time.Millisecond
	first  = "7c41e09b52d6a3f8"
	second = "91b2d7730c5ee604"
	routes = `[
{"name":"r-draft","hostname":"desk.example","path_prefix":"/draft/","route_kind":"rollout","timeout_ms":10000,"target_latency_ms":400,"priority":1,"service":"drafting-models","max_attempts":3,"queue_ttl_s":40.0,"result_deadline_ms":7500,"single_version":false,"public":false,"sticky":true,"resumable":true},
{"name":"r-reply","hostname":"desk.example","path_prefix":"/reply/","route_kind":"rollout","timeout_ms":10000,"target_latency_ms":400,"priority":1,"service":"drafting-models","max_attempts":3,"queue_ttl_s":40.0,"result_deadline_ms":5000,"single_version":false,"public":false,"sticky":true,"resumable":true}]`
	services = `[{"name":"drafting-models","health_path":"/healthz","max_conns":170,"protocol":"h1","tls":false,"engine":{"slots":4,"kv_capacity":49588,"models":[{"name":"daka510000"}]}}]`
)

func main() { rig.Main(run) }

// store is the platform's store. Of the writes in window, the first owner's write of
// results and the next owner's claim get no answer and take effect late.
type store struct {
	rig   *rig.Rig
	inner http.Handler
	mu    sync.Mutex
	// held is the first owner's write.
	held     []byte
	heldPath string
	heldAt   time.Time
	// began is when the disruption began, zero before. all counts the writes since
	// then within window, lost those of them without an answer.
	began      time.Time
	lost, all  int
	heldSignal chan struct{}
}

// discard is a http.ResponseWriter that keeps only the status.
type discard struct{ status int }

func (*discard) Header() http.Header         { return make(http.Header) }
func (*discard) Write(b []byte) (int, error) { return len(b), nil }
func (d *discard) WriteHeader(status int)    { d.status = status }
func chunkPath(path string) bool { return strings.HasPrefix(path, "/objects/results-"+first+"/") }

func (s *store) replay(path string, b []byte) int {
	req, err := http.NewRequest(http.MethodPost, path, bytes.NewReader(b))
	if err != nil {
		return 0
	}
	d := &discard{status: http.StatusOK}
	s.inner.ServeHTTP(d, req)
	return d.status
}

// ServeHTTP serves the store's interface.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		s.inner.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	if s.loses(r, body) {
		panic(http.ErrAbortHandler)
	}
	s.inner.ServeHTTP(w, r)
}

// loses decides whether a write gets no answer.
func (s *store) loses(r *http.Request, body []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.began.IsZero() || time.Since(s.began) > window {
		return false
	}
	s.all++
	if r.Method != http.MethodPost || !chunkPath(r.URL.Path) || s.lost == 2 {
		return false
	}
	s.lost++
	s.rig.Note("store: write %s (%d bytes) gets no answer and takes effect later", r.URL.Path, len(body))
	if s.lost == 1 {
		s.held, s.heldPath, s.heldAt = body, r.URL.Path, time.Now()
		close(s.heldSignal)
		return true
	}
	wait := max(time.Until(s.heldAt.Add(late)), 100*time.Millisecond)
	time.AfterFunc(wait, func() {
		s.rig.Note("store: the first lost write takes effect %s later: %d", time.Since(s.heldAt), s.replay(s.heldPath, s.held))
	})
	time.AfterFunc(wait+2*time.Second, func() {
		s.rig.Note("store: the second lost write takes effect: %d", s.replay(r.URL.Path, body))
	})
	return true
}

func run(r *rig.Rig) (string, error) {
	s := &store{rig: r, inner: r.Store, heldSignal: make(chan struct{})}
	var err error
	if r.StoreAddress, err = r.Serve(s); err != nil {
		return "", err
	}
	r.Configure(3, routes, services)
	var fleet []*rig.Worker
	for i := range workers {
		w := &rig.Worker{ID: fmt.Sprintf("i-draft-%d", i), Service: "drafting-models", Slots: slots, Events: events, EventEvery: eventEvery}
		if err := r.AddWorker(w); err != nil {
			return "", err
		}
		fleet = append(fleet, w)
	}
	edges, err := r.StartEdges(2)
	if err != nil {
		return "", err
	}
	submitted := time.Now()
	if status, body := r.Call(edges[0], http.MethodPost, "/draft/0", first, nil, step("a", "/draft/x"), 3*time.Second); status != http.StatusAccepted {
		return "", fmt.Errorf("the step was answered with %d: %s", status, body)
	}
	r.Note("step %s accepted by %s", first, edges[0].Name)
	time.Sleep(200 * time.Millisecond)
	if status, body := r.Call(edges[1], http.MethodPost, "/reply/0", second, nil, step("b", "/reply/x"), 3*time.Second); status != http.StatusAccepted {
		return "", fmt.Errorf("the second step was answered with %d: %s", status, body)
	}
	r.Note("step %s accepted by %s", second, edges[1].Name)
	if r.Trouble {
		s.mu.Lock()
		s.began = time.Now()
		s.mu.Unlock()
		select {
		case <-s.heldSignal:
		case <-time.After(5 * time.Second):
			return "", fmt.Errorf("the owner wrote no results in 5 s")
		}
		time.Sleep(50 * time.Millisecond)
		edges[0].Kill()
	}
	return readStep(r, s, edges[1:], fleet, submitted), nil
}

// step returns the body of a trainer's batch job.
func step(prefix, path string) string {
	var list []map[string]any
	for i := range items {
		list = append(list, map[string]any{
			"id": itemID(prefix, i), "path": path, "headers": map[string]string{"X-Model": "daka510000", "X-Token-Count": "255,50", "X-Prompt-Prefix": fmt.Sprintf("5d07b8%d:255", i/groupSize)},
			"body": "q83vEjRWeJA=", "token_count": 305, "group": fmt.Sprintf("g%s%d", prefix, i/groupSize),
		})
	}
	b, _ := json.Marshal(map[string]any{
		"step": 0, "model": "daka510000", "min_version": 1, "desired_count": items / groupSize, "items": list,
	})
	return string(b)
}

func itemID(prefix string, i int) string { return fmt.Sprintf("%s5b2907c14da%04d", prefix, i) }

// readStep reads the results of the first step like a trainer until it is complete
// or its time is up, and returns how the rule was broken.
func readStep(r *rig.Rig, s *store, edges []*rig.Edge, fleet []*rig.Worker, submitted time.Time) string {
	for n := 0; time.Since(submitted) < giveUpAfter; n++ {
		page, status := r.Read(edges[n%len(edges)], first, 0)
		active := fleet[0].Active() + fleet[1].Active()
		r.Note("read: %d, %d of %d results, %d requests run at workers", status, len(page.Results), page.Total, active)
		if len(page.Results) == items {
			return ""
		}
		time.Sleep(500 * time.Millisecond)
	}
	end := time.Now()
	// Steady state begins contact_ms after the end of the disruption.
	s.mu.Lock()
	from := s.began.Add(window + steady)
	r.Note("store: %d of %d writes in %s got no answer", s.lost, s.all, window)
	s.mu.Unlock()
	if end.Sub(from) < unserved {
		return ""
	}
	away := 0
	for i := range items {
		if !atWorker(r, fleet, itemID("a", i), end.Add(-unserved), end) {
			away++
		}
	}
	if away == 0 {
		return ""
	}
	active := fleet[0].Active() + fleet[1].Active()
	return fmt.Sprintf("LOST: the step ran out of time after %s; %d of its %d items were at no worker in the last %s, steady state since %.1f s, %d of %d places taken",
		giveUpAfter, away, items, unserved, end.Sub(from).Seconds(), active, slots*workers)
}

// atWorker reports whether an item has a finished run, or one that took longer than
// short and reached into a time.
func atWorker(r *rig.Rig, fleet []*rig.Worker, id string, from, to time.Time) bool {
	runs, at := 0, false
	for _, w := range fleet {
		for _, run := range w.Runs() {
			if run.ID != id {
				continue
			}
			runs++
			ended := run.Ended
			if ended.IsZero() {
				ended = to
			}
			if run.Finished || ended.After(from) && ended.Sub(run.Began) > short {
				at = true
			}
		}
	}
	r.Note("%s had %d runs; at a worker: %t", id, runs, at)
	return at
}
