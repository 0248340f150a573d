// Command 3 sends one request that crashes each worker that begins to run it again
// and again, as its caller does, and counts how often it still reaches workers after
// it has crashed the third.
package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/catkinhead/catkinhead/review/rig"
)

const (
	workers = 4
	// downTime is how long a crashed worker is away.
	downTime = 3 * time.Second
	// The caller sends the request again every interval, for lasts.
	interval = 1500 * time.Millisecond
	lasts    = 95 * time.Second
	// contact is contact_ms, allowed the number of retries that the rule allows.
	contact  = 3 * time.Second
	allowed  = 3
	poison   = "poison"
	routes   = `[{"name":"r-page","hostname":"desk.example","path_prefix":"/page/","route_kind":"idempotent","timeout_ms":1500,"target_latency_ms":150,"priority":2,"service":"booking-app","max_attempts":2,"public":false}]`
	services = `[{"name":"booking-app","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}]`
)

func main() { rig.Main(run) }

// crashes holds the times at which the request began to run at a worker.
type crashes struct {
	mu sync.Mutex
	at []time.Time
}

func (c *crashes) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = append(c.at, time.Now())
}

// late returns how many runs began later than contact after the third.
func (c *crashes) late() (all, late int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, at := range c.at {
		if len(c.at) >= 3 && at.After(c.at[2].Add(contact)) {
			late++
		}
	}
	return len(c.at), late
}

func run(r *rig.Rig) (string, error) {
	r.Configure(3, routes, services)
	var c crashes
	for i := range workers {
		if err := startWorker(r, i, &c); err != nil {
			return "", err
		}
	}
	edges, err := r.StartEdges(2)
	if err != nil {
		return "", err
	}
	began := time.Now()
	served := 0
	for n := 0; time.Since(began) < lasts; n++ {
		id := fmt.Sprintf("p%04d", n)
		status, _ := r.Call(edges[n%len(edges)], http.MethodPost, "/page/"+poison, id, map[string]string{"X-Deadline-Ms": "1500"}, poison, 2*time.Second)
		r.Note("the caller gets %d for %s", status, id)
		id = fmt.Sprintf("o%04d", n)
		if status, _ = r.Call(edges[n%len(edges)], http.MethodPost, "/page/other", id, map[string]string{"X-Deadline-Ms": "1500"}, id, 2*time.Second); status == http.StatusOK {
			served++
		}
		r.Note("another caller gets %d for %s", status, id)
		time.Sleep(interval)
	}
	all, late := c.late()
	r.Note("the request crashed workers %d times, %d of them over %s after the third; %d other requests were served", all, late, contact, served)
	if late > allowed {
		return fmt.Sprintf("BUDGET: %d times at a worker later than contact_ms after the third crash, %d are allowed (%d crashes in all)", late, allowed, all), nil
	}
	return "", nil
}

// worker is a worker that crashes when it begins to run the poisoned request.
type worker struct {
	rig     *rig.Rig
	id, at  string
	crashes *crashes
	mu      sync.Mutex
	server  *http.Server
}

func startWorker(r *rig.Rig, n int, c *crashes) error {
	w := &worker{rig: r, id: fmt.Sprintf("i-app-%d", n), at: "127.0.0.1:0", crashes: c}
	return w.start()
}

// start listens, at the address that the worker had if it has crashed, and
// registers the worker.
func (w *worker) start() error {
	ln, err := net.Listen("tcp", w.at)
	if err != nil {
		return fmt.Errorf("worker %s: %w", w.id, err)
	}
	w.mu.Lock()
	w.at = ln.Addr().String()
	w.server = &http.Server{Handler: w}
	server := w.server
	w.mu.Unlock()
	go func() { _ = server.Serve(ln) }()
	w.rig.Store.Set("servers", w.id, fmt.Sprintf(
		`{"service":"booking-app","address":%q,"zone":"nz-north-a","version":"v1","slots":6,"state":"ready","cold_remaining_ms":0,"seq":0,"born":%d}`, w.at, time.Now().UnixMilli()))
	w.rig.Note("%s is up", w.id)
	return nil
}

// crash closes the listener and all connections, and starts the worker again after
// downTime.
func (w *worker) crash() {
	w.mu.Lock()
	server := w.server
	w.mu.Unlock()
	server.Close()
	time.AfterFunc(downTime, func() {
		if err := w.start(); err != nil {
			w.rig.Note("%v", err)
		}
	})
}

// ServeHTTP runs a request.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.rig.Note("%s runs %s %s", w.id, id, r.URL.Path)
	if w.rig.Trouble && strings.HasSuffix(r.URL.Path, poison) {
		w.crashes.add()
		w.rig.Note("%s crashes", w.id)
		w.crash()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(25 * time.Millisecond)
	rw.Header().Set("X-Attempt-Id", id)
	rw.Header().Set("X-Server-Stamp", rig.Stamp(w.id, id))
	_, _ = fmt.Fprintf(rw, "answer to %s", body)
}
