package rig

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Worker is a stand-in of a worker. It runs at most Slots requests at the same
// time, queues a few more and refuses the others.
type Worker struct {
	ID, Service string
	Slots       int
	// Events is the number of events of a stream, EventEvery the time between two
	// of them, RequestTime how long any other request takes.
	Events      int
	EventEvery  time.Duration
	RequestTime time.Duration
	// EventsOf returns the number of events of an item's stream; nil for Events.
	EventsOf func(id string) int
	// Sampled is set if each run makes a text of its own: the data of an event then
	// ends with the number of the run, which is unique among all workers.
	Sampled bool
	// Models are the models whose weights the worker has; nil for Model alone.
	Models []string
	// LoadTime is how long the worker takes to load a version. Meanwhile it refuses
	// requests that have not started.
	LoadTime time.Duration
	// Lose reports whether the worker closes the connection instead of answering
	// a request that has just run; nil for never.
	Lose func(r *http.Request) bool
	// Answer answers a request that is not a stream; nil for status 200.
	Answer func(w http.ResponseWriter, r *http.Request) bool
	// OnOrder is called with each order that arrives; it may be nil.
	OnOrder func(o Order)

	rig    *Rig
	at     string
	slots  chan struct{}
	mu     sync.Mutex
	queued int
	runs   []*Run
	// versions are the versions of the models, loading the model that is being loaded.
	versions map[string]int
	loading  string
}

// Model is the model that workers serve if nothing else is said.
const Model = "daka510000"

// serials numbers the runs of all workers.
var serials atomic.Int64

// Order is an order to a worker.
type Order struct {
	Op      string `json:"op"`
	Model   string `json:"model"`
	Version int    `json:"version"`
	Holder  string `json:"holder"`
	Fence   int64  `json:"fence"`
	Worker  string `json:"-"`
}

// Run is one run of a request at a worker.
type Run struct {
	ID, Method, Path, Worker, LastEvent, Tenant string
	// Serial is the number of the run among those of all workers.
	Serial       int64
	Began, Ended time.Time
	// Finished is set if the run made its last event or answer.
	Finished bool
}

// AddWorker starts a worker and registers it in the store.
func (r *Rig) AddWorker(w *Worker) error {
	if w.Models == nil {
		w.Models = []string{Model}
	}
	w.rig, w.slots, w.versions = r, make(chan struct{}, w.Slots), make(map[string]int)
	for _, m := range w.Models {
		w.versions[m] = 1
	}
	at, err := r.Serve(w)
	if err != nil {
		return err
	}
	w.at = at
	w.register(at)
	return nil
}

// Address is where the worker listens.
func (w *Worker) Address() string { return w.at }

// Register writes the worker's entry with another address, such as a proxy's.
func (w *Worker) Register(at string) { w.register(at) }

func (w *Worker) register(at string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var models []string
	for _, m := range w.Models {
		models = append(models, fmt.Sprintf(`{"name":%q,"version":%d,"adapters":[]}`, m, w.versions[m]))
	}
	w.rig.Store.Set("servers", w.ID, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","cold_remaining_ms":0,"phase":"both","models":[%s],"seq":0,"born":1}`,
		w.Service, at, zone, w.Slots, strings.Join(models, ",")))
}

// Runs returns the runs so far.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]Run, 0, len(w.runs))
	for _, run := range w.runs {
		out = append(out, *run)
	}
	return out
}

// Active returns how many requests run.
func (w *Worker) Active() int { return len(w.slots) }

// ServeHTTP runs a request.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != w.ID {
		rw.Header().Set("X-Instance-Id", w.ID)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/order" {
		w.order(rw, r)
		return
	}
	if r.URL.Path == "/report" {
		_, _ = io.WriteString(rw, `{"busy":false,"seq":0}`)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	rw.Header().Set("X-Attempt-Id", id)
	if w.loads(r.Header.Get("X-Model")) || !w.admit(r) {
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-w.slots }()
	run := &Run{ID: id, Method: r.Method, Path: r.URL.Path, Worker: w.ID, LastEvent: r.Header.Get("Last-Event-Id"), Tenant: r.Header.Get("X-Tenant"), Serial: serials.Add(1), Began: time.Now()}
	w.mu.Lock()
	w.runs = append(w.runs, run)
	w.mu.Unlock()
	w.rig.Note("%s runs %s as run %d: %s %s, %d bytes, Last-Event-Id %q", w.ID, id, run.Serial, r.Method, r.URL.Path, len(body), run.LastEvent)
	defer func() {
		w.mu.Lock()
		run.Ended = time.Now()
		w.mu.Unlock()
		w.rig.Note("%s ends run %d of %s, finished: %t", w.ID, run.Serial, id, run.Finished)
	}()
	if r.Header.Get("X-Model") != "" {
		w.stream(rw, r, run)
		return
	}
	select {
	case <-time.After(w.RequestTime):
	case <-r.Context().Done():
		return
	}
	if w.Lose != nil && w.Lose(r) {
		w.rig.Note("%s loses the answer to %s", w.ID, id)
		w.finish(run)
		panic(http.ErrAbortHandler)
	}
	rw.Header().Set("X-Server-Stamp", Stamp(w.ID, id))
	w.finish(run)
	if w.Answer != nil && w.Answer(rw, r) {
		return
	}
	_, _ = fmt.Fprintf(rw, "page for %s", r.Header.Get("X-Tenant"))
}

func (w *Worker) finish(run *Run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	run.Finished = true
}

// Stamp returns the signature of a worker's answer.
func Stamp(worker, id string) string { return "stamp-" + worker + "-" + id }

// admit waits for a slot. It returns false if too many requests wait already.
func (w *Worker) admit(r *http.Request) bool {
	w.mu.Lock()
	if w.queued >= 3*w.Slots {
		w.mu.Unlock()
		return false
	}
	w.queued++
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.queued--
		w.mu.Unlock()
	}()
	select {
	case w.slots <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

// stream writes the events of a stream, which are numbered from 0.
func (w *Worker) stream(rw http.ResponseWriter, r *http.Request, run *Run) {
	from := 0
	if n, err := strconv.Atoi(run.LastEvent); err == nil {
		from = n + 1
	}
	model := r.Header.Get("X-Model")
	version, events := w.Version(model), w.Events
	if w.EventsOf != nil {
		events = w.EventsOf(run.ID)
	}
	h := rw.Header()
	h.Set("X-Server-Stamp", Stamp(w.ID, run.ID))
	h.Set("X-Weight-Versions", strconv.Itoa(version))
	h.Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(rw)
	for n := from; n < events; n++ {
		select {
		case <-time.After(w.EventEvery):
		case <-r.Context().Done():
			return
		}
		change, data := "", EventData(run.ID, n)
		if v := w.Version(model); v != version {
			version, change = v, fmt.Sprintf("x-weight-versions: %d\n", v)
		}
		if w.Sampled {
			data += fmt.Sprintf("-%d", run.Serial)
		}
		if _, err := fmt.Fprintf(rw, "%sid: %d\ndata: %s\n\n", change, n, data); err != nil {
			return
		}
		if rc.Flush() != nil {
			return
		}
	}
	w.finish(run)
}

// Version returns the version of a model's weights.
func (w *Worker) Version(model string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.versions[model]
}

// loads reports whether the worker loads a version of a model.
func (w *Worker) loads(model string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return model != "" && w.loading == model
}

// EventData returns the data of an event.
func EventData(id string, n int) string { return fmt.Sprintf("%s-%d", id, n) }

// order takes an order and loads the version, at once if LoadTime is not set.
func (w *Worker) order(rw http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.Fence == 0 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	o.Worker = w.ID
	w.rig.Note("%s gets an order from %s with fence %d: %s %s %d", w.ID, o.Holder, o.Fence, o.Op, o.Model, o.Version)
	if w.OnOrder != nil {
		w.OnOrder(o)
	}
	if w.LoadTime > 0 {
		w.load(rw, o)
		return
	}
	w.mu.Lock()
	done := w.versions[o.Model] >= o.Version
	w.versions[o.Model] = max(w.versions[o.Model], o.Version)
	w.mu.Unlock()
	if done {
		rw.WriteHeader(http.StatusOK)
		return
	}
	rw.WriteHeader(http.StatusAccepted)
	go func() {
		time.Sleep(900 * time.Millisecond)
		w.register(w.at)
	}()
}

// load carries out an order, which takes LoadTime.
func (w *Worker) load(rw http.ResponseWriter, o Order) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.loading != "":
		rw.WriteHeader(http.StatusConflict)
	case w.versions[o.Model] == o.Version:
		rw.WriteHeader(http.StatusOK)
	default:
		w.loading = o.Model
		rw.WriteHeader(http.StatusAccepted)
		time.AfterFunc(w.LoadTime, func() {
			w.mu.Lock()
			w.loading, w.versions[o.Model] = "", o.Version
			w.mu.Unlock()
			w.rig.Note("%s has loaded version %d of %s", w.ID, o.Version, o.Model)
			w.register(w.at)
		})
	}
}

// Reset closes a connection so that its peer sees a reset.
func Reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}
