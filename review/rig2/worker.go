package rig2

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Worker is a stand-in of a worker: it runs items as streams of events, and other
// requests as plain answers. It drops a request when its connection closes.
type Worker struct {
	ID, Address string
	// Service is the service that the worker belongs to, Slots the number of requests
	// that it runs at once; further ones are rejected.
	Service string
	Slots   int
	// Events is the number of events of an item, EventTime the time of each.
	Events    int
	EventTime time.Duration
	// RequestTime is the time of a request that is no item.
	RequestTime time.Duration
	// OnOrder is called with each order that the worker receives, and the remote
	// address that it came from; it may be nil.
	OnOrder func(o Order, from string)

	// Proxy is in front of the worker, nil for none.
	Proxy *Proxy

	record  *Record
	server  *http.Server
	own     string
	born    int64
	mu      sync.Mutex
	active  int
	version int
	seq     int64
	busy    bool
	// runs are the runs of requests, in the order of their beginning.
	runs []Run
}

// Run is a run of a request at a worker.
type Run struct {
	ID, Worker   string
	Begun, Ended time.Duration
	// Whole is set if the run came to its end.
	Whole bool
}

// Order is an order to a worker.
type Order struct {
	Op       string `json:"op"`
	Model    string `json:"model"`
	Version  int    `json:"version"`
	Holder   string `json:"holder"`
	Fence    int64  `json:"fence"`
	Expected *int64 `json:"expected"`
}

// Start starts the worker on a free port.
func (w *Worker) Start(r *Record) error {
	w.record, w.version, w.own = r, 1, "127.0.0.1:0"
	if err := w.listen(); err != nil {
		return err
	}
	w.Address = w.own
	return nil
}

func (w *Worker) listen() error {
	ln, err := net.Listen("tcp", w.own)
	if err != nil {
		return fmt.Errorf("listen for worker %s: %w", w.ID, err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.own, w.born = ln.Addr().String(), time.Now().UnixMilli()
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Minute}
	server := w.server
	go func() { _ = server.Serve(ln) }()
	return nil
}

// Hide puts a proxy in front of the worker.
func (w *Worker) Hide() error {
	p, err := NewProxy(w.own)
	if err != nil {
		return err
	}
	w.Proxy, w.Address = p, p.Address
	return nil
}

// Close ends the worker.
func (w *Worker) Close() {
	w.mu.Lock()
	server := w.server
	w.mu.Unlock()
	_ = server.Close()
}

// Entry returns the worker's entry in the store.
func (w *Worker) Entry(state string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"zone-a","version":"v1","slots":%d,"state":%q,"cold_remaining_ms":0,"phase":"both","models":[{"name":"model-a","version":%d,"adapters":[]}],"seq":1,"born":%d}`,
		w.Service, w.Address, w.Slots, state, w.version, w.born)
}

// Runs returns the runs so far.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Run(nil), w.runs...)
}

// ServeHTTP runs a request, or answers a call about the worker.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set("X-Instance-Id", w.ID)
	if id := r.Header.Get("X-Expect-Instance"); id != "" && id != w.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/order":
		w.order(rw, r)
		return
	case "/report":
		w.report(rw)
		return
	case "/healthz":
		rw.WriteHeader(http.StatusOK)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	rw.Header().Set("X-Attempt-Id", id)
	w.mu.Lock()
	if w.busy || w.active >= w.Slots {
		w.mu.Unlock()
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.active++
	n, version := len(w.runs), w.version
	w.runs = append(w.runs, Run{ID: id, Worker: w.ID, Begun: w.record.Now()})
	w.mu.Unlock()
	w.record.Add("worker %s: runs %s %s (after event %q)", w.ID, id, r.URL.Path, r.Header.Get("Last-Event-Id"))
	whole := w.run(rw, r, id, version)
	w.mu.Lock()
	w.active--
	w.runs[n].Ended, w.runs[n].Whole = w.record.Now(), whole
	w.mu.Unlock()
	w.record.Add("worker %s: run of %s ended, whole: %v", w.ID, id, whole)
}

// run answers a request and reports whether it came to its end.
func (w *Worker) run(rw http.ResponseWriter, r *http.Request, id string, version int) bool {
	h := rw.Header()
	h.Set("X-Server-Stamp", "stamp-"+w.ID+"-"+id)
	h.Set("X-Weight-Versions", strconv.Itoa(version))
	if r.Header.Get("X-Model") == "" {
		select {
		case <-time.After(w.RequestTime):
		case <-r.Context().Done():
			return false
		}
		_, err := fmt.Fprintf(rw, "answer to %s", id)
		return err == nil
	}
	from := 0
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		n, err := strconv.Atoi(last)
		if err != nil {
			return false
		}
		from = n + 1
	}
	h.Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(rw)
	for n := from; n < w.Events; n++ {
		select {
		case <-time.After(w.EventTime):
		case <-r.Context().Done():
			return false
		}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s-%d\n\n", n, id, n); err != nil || rc.Flush() != nil {
			return false
		}
	}
	return true
}

// Text returns the whole output of an item.
func (w *Worker) Text(id string) string {
	out := ""
	for n := range w.Events {
		if n > 0 {
			out += "\n"
		}
		out += fmt.Sprintf("%s-%d", id, n)
	}
	return out
}

func (w *Worker) report(rw http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	answerJSON(rw, http.StatusOK, map[string]any{
		"phase": "both", "models": []any{map[string]any{"name": "model-a", "version": w.version, "adapters": []string{}}},
		"busy": w.busy, "seq": w.seq, "queued": 0, "active": w.active, "kv_used": 0, "kv_total": 44070, "handles": 0,
	})
}

func (w *Worker) order(rw http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.Fence == 0 || o.Op != "version" {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if w.OnOrder != nil {
		w.OnOrder(o, r.RemoteAddr)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.busy, o.Expected != nil && *o.Expected != w.seq:
		rw.WriteHeader(http.StatusConflict)
	case o.Version == w.version:
		rw.WriteHeader(http.StatusOK)
	default:
		w.busy = true
		w.seq++
		time.AfterFunc(900*time.Millisecond, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.busy, w.version = false, o.Version
		})
		rw.WriteHeader(http.StatusAccepted)
	}
}
