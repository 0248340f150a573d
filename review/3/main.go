// Command 3 kills the owner of a step while one of its writes to the platform's store
// has not taken effect yet, later the next owner, and looks which runs of the workers
// made the texts that the trainer gets.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/catkinhead/catkinhead/review/rig"
)

const (
	workers   = 28
	slots     = 2
	items     = 56
	groupSize = 4
	events    = 70
	// late is the least time by which a lost write takes effect late. window is how
	// long the disruption of the store lasts.
	late     = 1100 * time.Millisecond
	window   = 4500 * time.Millisecond
	readFor  = 20 * time.Second
	rounds   = 6
	routes   = `[{"name":"r-draft","hostname":"desk.example","path_prefix":"/draft/","route_kind":"rollout","timeout_ms":10000,"target_latency_ms":400,"priority":1,"service":"drafting-models","max_attempts":3,"queue_ttl_s":60.0,"result_deadline_ms":30000,"single_version":false,"public":false,"sticky":true,"resumable":true}]`
	services = `[{"name":"drafting-models","health_path":"/healthz","max_conns":170,"protocol":"h1","tls":false,"engine":{"slots":2,"kv_capacity":49588,"models":[{"name":"daka510000"}]}}]`
)

func main() { rig.Main(run) }

// fleet is the workers, and the runs of all of them.
type fleet struct {
	rig *rig.Rig
	mu  sync.Mutex
	// asked is, by the number of the run, the last event that it was asked to go on
	// after, -1 for none.
	asked []int
}

// begin numbers a run.
func (f *fleet) begin(asked int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked = append(f.asked, asked)
	return len(f.asked) - 1
}

// worker runs items at a speed of its own. The data of an event names its run, as
// the tokens of two runs differ.
type worker struct {
	fleet *fleet
	id    string
	every time.Duration
	slots chan struct{}
}

// ServeHTTP runs an item.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	if r.Header.Get("X-Expect-Instance") != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	rw.Header().Set("X-Attempt-Id", id)
	select {
	case w.slots <- struct{}{}:
	case <-time.After(2 * time.Second):
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	defer func() { <-w.slots }()
	last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		last = -1
	}
	run := w.fleet.begin(last)
	w.fleet.rig.Note("%s begins run %d of %s after event %d", w.id, run, id, last)
	h := rw.Header()
	h.Set("X-Server-Stamp", rig.Stamp(w.id, id))
	h.Set("X-Weight-Versions", "1")
	h.Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(rw)
	for n := last + 1; n < events; n++ {
		select {
		case <-time.After(w.every):
		case <-r.Context().Done():
			w.fleet.rig.Note("run %d of %s is ended by its sender before event %d", run, id, n)
			return
		}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s event %d run %d\n\n", n, id, n, run); err != nil {
			return
		}
		if rc.Flush() != nil {
			return
		}
	}
	w.fleet.rig.Note("run %d of %s has made its last event", run, id)
}

// chunk is what the case reads of a stored chunk, to find out when two owners have
// stored texts of an item that fit together by their lengths.
type chunk struct {
	Owner string
	Parts []struct {
		ID, Line string
		From     int
		Events   []string
	}
}

// store is the platform's store. Of the writes in window, a write of results of the
// first owner and the next owner's claim get no answer. The former takes effect late.
type store struct {
	rig   *rig.Rig
	inner http.Handler
	mu    sync.Mutex
	// job is the step whose results are disturbed.
	job string
	// held is the first owner's write: one that goes on with a quarter or more of the texts that
	// are stored already. began is when it came.
	held     []byte
	heldPath string
	began    time.Time
	// all counts the writes in window, lost those of them without an answer.
	lost, all  int
	heldSignal chan struct{}
	// ends is, by the lineage of a text, where the held text ends. fits gets the owner
	// that has stored events of the same lineage from there on.
	ends map[string]int
	fits chan string
}

type discard struct{ status int }

func (*discard) Header() http.Header         { return make(http.Header) }
func (*discard) Write(b []byte) (int, error) { return len(b), nil }
func (d *discard) WriteHeader(status int)    { d.status = status }

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
	inWindow := !s.began.IsZero() && time.Since(s.began) < window
	if inWindow {
		s.all++
	}
	if !s.rig.Trouble || r.Method != http.MethodPost || !strings.HasPrefix(r.URL.Path, "/objects/results-"+s.job+"/") {
		return false
	}
	var object struct{ Spec chunk }
	if err := json.Unmarshal(body, &object); err != nil {
		return false
	}
	s.rig.Note("store: %s writes %s, %d texts", object.Spec.Owner, r.URL.Path, len(object.Spec.Parts))
	switch {
	case s.held == nil:
		return s.hold(r.URL.Path, body, object.Spec)
	case inWindow && s.lost == 1:
		s.lost++
		s.rig.Note("store: the write gets no answer")
		time.AfterFunc(max(time.Until(s.began.Add(late)), 50*time.Millisecond), func() {
			s.rig.Note("store: the held write takes effect %s later: %d", time.Since(s.began), s.replay(s.heldPath, s.held))
		})
		return true
	}
	for _, part := range object.Spec.Parts {
		if end, ok := s.ends[part.Line]; ok && part.From == end {
			s.rig.Note("store: %s goes on with %s at event %d, where the held text ends", object.Spec.Owner, part.ID, part.From)
			select {
			case s.fits <- object.Spec.Owner:
			default:
			}
		}
	}
	return false
}

// hold keeps back a write if it goes on with a quarter of the texts.
func (s *store) hold(path string, body []byte, c chunk) bool {
	ends := make(map[string]int)
	for _, part := range c.Parts {
		if part.From > 0 {
			ends[part.Line] = part.From + len(part.Events)
		}
	}
	if len(ends) < items/4 {
		return false
	}
	s.held, s.heldPath, s.began, s.ends, s.lost, s.all = body, path, time.Now(), ends, 1, 1
	s.rig.Note("store: the write gets no answer and takes effect later")
	close(s.heldSignal)
	return true
}

func run(r *rig.Rig) (string, error) {
	s := &store{rig: r, inner: r.Store}
	var err error
	if r.StoreAddress, err = r.Serve(s); err != nil {
		return "", err
	}
	r.Configure(3, routes, services)
	f := &fleet{rig: r}
	for i := range workers {
		w := &worker{fleet: f, id: fmt.Sprintf("i-draft-%02d", i), every: time.Duration(70+rand.IntN(50)) * time.Millisecond, slots: make(chan struct{}, slots)}
		at, err := r.Serve(w)
		if err != nil {
			return "", err
		}
		r.Store.Set("servers", w.id, fmt.Sprintf(
			`{"service":"drafting-models","address":%q,"zone":"nz-north-a","version":"v1","slots":%d,"state":"ready","cold_remaining_ms":0,"phase":"both","models":[{"name":"daka510000","version":1,"adapters":[]}],"seq":0,"born":1}`, at, slots))
	}
	for n := range rounds {
		violation, err := round(r, s, f, n)
		if err != nil || violation != "" {
			return violation, err
		}
	}
	return "", nil
}

// round hands in a step, disturbs it and reads its results, with three edges that
// start before it.
func round(r *rig.Rig, s *store, f *fleet, n int) (string, error) {
	edges, err := r.StartEdges(3)
	if err != nil {
		return "", err
	}
	defer func() {
		for _, e := range edges {
			e.Kill()
		}
	}()
	job := fmt.Sprintf("7c41e09b52d6a3f%d", n)
	held, fits := s.reset(job)
	if status, body := r.Call(edges[0], http.MethodPost, "/draft/0", job, nil, step(n), 3*time.Second); status != http.StatusAccepted {
		return "", fmt.Errorf("the step was answered with %d: %s", status, body)
	}
	r.Note("step %s accepted by %s", job, edges[0].Name)
	live := edges
	if r.Trouble {
		select {
		case <-held:
		case <-time.After(5 * time.Second):
			return "", fmt.Errorf("the owner wrote too few results")
		}
		time.Sleep(50 * time.Millisecond)
		edges[0].Kill()
		live = edges[1:]
		select {
		case owner := <-fits:
			time.Sleep(100 * time.Millisecond)
			for i, e := range edges {
				if e.Name == owner {
					e.Kill()
					live = []*rig.Edge{edges[3-i]}
				}
			}
		case <-time.After(6 * time.Second):
			r.Note("no texts that fit by their lengths")
		}
	}
	violation := readStep(r, f, live, job)
	s.report()
	return violation, nil
}

// reset prepares the store for a step. The first channel is closed when a write is
// held, the second gets the owner that has stored events from the end of a held text
// on.
func (s *store) reset(job string) (<-chan struct{}, <-chan string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.job, s.held, s.began, s.lost, s.all, s.ends = job, nil, time.Time{}, 0, 0, nil
	s.heldSignal, s.fits = make(chan struct{}), make(chan string, 1)
	return s.heldSignal, s.fits
}

// report notes how many writes got no answer.
func (s *store) report() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rig.Note("store: %d of %d writes in %s got no answer", s.lost, s.all, window)
}

// step returns the body of a trainer's batch job.
func step(round int) string {
	var list []map[string]any
	for i := range items {
		list = append(list, map[string]any{
			"id": fmt.Sprintf("a5b2907c1%d%06d", round, i), "path": "/draft/x", "headers": map[string]string{"X-Model": "daka510000", "X-Token-Count": "255,220", "X-Prompt-Prefix": fmt.Sprintf("5d07b8%d:255", i/groupSize)},
			"body": "q83vEjRWeJA=", "token_count": 475, "group": fmt.Sprintf("g%d", i/groupSize),
		})
	}
	b, _ := json.Marshal(map[string]any{
		"step": round, "model": "daka510000", "min_version": 1, "desired_count": items / groupSize, "items": list,
	})
	return string(b)
}

// readStep reads the results until all are listed, and returns how the rule was
// broken.
func readStep(r *rig.Rig, f *fleet, edges []*rig.Edge, job string) string {
	var page rig.Page
	for began := time.Now(); len(page.Results) < items && time.Since(began) < readFor; time.Sleep(500 * time.Millisecond) {
		if p, status := r.Read(edges[0], job, 0); status == http.StatusOK {
			page = p
		}
		r.Note("read: %d of %d results", len(page.Results), items)
	}
	broken := 0
	for _, result := range page.Results {
		if result.State != "completed" {
			continue
		}
		if err := f.check(result.Text); err != nil {
			broken++
			r.Note("%s: %v", result.ID, err)
		}
	}
	if broken > 0 {
		return fmt.Sprintf("ORDER: %d of %d texts join the events of runs of which the later wasn't asked to go on there", broken, len(page.Results))
	}
	return ""
}

// check returns an error if an event is missing or stands twice, or if a run goes on
// where it was not asked to.
func (f *fleet) check(text string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	previous := -1
	lines := strings.Split(text, "\n")
	for n, line := range lines {
		var id string
		var event, run int
		if _, err := fmt.Sscanf(line, "%s event %d run %d", &id, &event, &run); err != nil || event != n {
			return fmt.Errorf("line %d is %q", n, line)
		}
		if run != previous && f.asked[run] != n-1 {
			return fmt.Errorf("goes on after event %d of run %d with run %d, which was asked to go on after event %d", n-1, previous, run, f.asked[run])
		}
		previous = run
	}
	if len(lines) != events {
		return fmt.Errorf("has %d of %d events", len(lines), events)
	}
	return nil
}
