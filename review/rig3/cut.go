package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// drainBound is drain_ms of the settings.
	drainBound = 2 * time.Second
	// cutTime is how long the store cuts the watches of the workers' entries off, cutWait
	// how long each of them has waited then.
	cutTime = 1200 * time.Millisecond
	cutWait = 20 * time.Millisecond
	// removeAfter is when, in that time, the entry of a worker is removed.
	removeAfter = 450 * time.Millisecond
	// lingerTime is how long a worker serves on once its entry is removed.
	lingerTime = 4 * time.Second
	trials     = 10
	trialTime  = 7 * time.Second
	cutWorkers = 5
)

// cutStore passes calls on to the store's stand-in. While cutting is set, it closes the
// connections of watches for the workers' entries that are waiting.
type cutStore struct {
	next    http.Handler
	cutting atomic.Bool
	cuts    atomic.Int64
}

// ServeHTTP serves a call.
func (s *cutStore) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	q := in.URL.Query()
	if q.Get("watch") == "" || !strings.HasPrefix(in.URL.Path, "/objects/servers") {
		s.next.ServeHTTP(w, in)
		return
	}
	wait, err := strconv.Atoi(q.Get("wait_ms"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for until := time.Now().Add(time.Duration(wait) * time.Millisecond); ; {
		slice := min(cutWait, max(time.Until(until), 0))
		one := in.Clone(in.Context())
		one.URL = &url.URL{Path: in.URL.Path, RawQuery: fmt.Sprintf("watch=%s&wait_ms=%d", q.Get("watch"), slice.Milliseconds())}
		answer := httptest.NewRecorder()
		s.next.ServeHTTP(answer, one)
		if answer.Code == http.StatusOK && bytes.Contains(answer.Body.Bytes(), []byte(`"events":[]`)) {
			if s.cutting.Load() {
				s.cuts.Add(1)
				panic(http.ErrAbortHandler)
			}
			if time.Now().Before(until) {
				continue
			}
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(answer.Code)
		// An error means that the client has closed the connection.
		_, _ = w.Write(answer.Body.Bytes())
		return
	}
}

// cutCase is what the workers saw.
type cutCase struct {
	r  *rig
	mu sync.Mutex
	// removed is when the store had removed the entry of a worker.
	removed map[string]time.Time
	// late counts the requests that reached a worker later than drainBound after that.
	late, served int
}

// playCut removes entries of workers while the store cuts waiting watches off. No request
// may reach such a worker later than drainBound after the removal.
func playCut(r *rig) (bool, error) {
	c := &cutCase{r: r, removed: make(map[string]time.Time)}
	r.store.Set("config", "main", fmt.Sprintf(`{"version":3,"routes":[
{"name":"live","hostname":%[1]q,"path_prefix":"/live/","route_kind":"idempotent","timeout_ms":1500,"target_latency_ms":150,"priority":2,"service":"desk","max_attempts":2,"public":false}],
"services":[{"name":"desk","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":%[2]q,"api_keys":[%[3]q],"priority":1}]}`, host, tenant, key))
	store := &cutStore{next: r.store}
	var err error
	if r.storeAddress, err = r.serve(store); err != nil {
		return false, err
	}
	var workers []*worker
	add := func() error {
		w, err := startWorker(fmt.Sprintf("i-%d", len(workers)+1), "desk", 6, c.run)
		if err != nil {
			return err
		}
		w.register(r.store, "ready")
		workers = append(workers, w)
		return nil
	}
	for range cutWorkers {
		if err := add(); err != nil {
			return false, err
		}
	}
	if err := r.startEdges(3); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var live sync.WaitGroup
	live.Add(1)
	go func() { defer live.Done(); c.sendLive(stop) }()
	for n := range trials {
		began := time.Now()
		if err := add(); err != nil {
			return false, err
		}
		time.Sleep(time.Second)
		store.cutting.Store(r.trouble)
		time.Sleep(removeAfter)
		w := workers[n]
		c.mu.Lock()
		r.store.Remove("servers", w.id)
		c.removed[w.id] = time.Now()
		c.mu.Unlock()
		r.record("the entry of %s is removed, %d watches were cut off so far", w.id, store.cuts.Load())
		time.Sleep(cutTime - removeAfter)
		store.cutting.Store(false)
		time.AfterFunc(lingerTime, func() { w.ln.Close() })
		time.Sleep(time.Until(began.Add(trialTime)))
	}
	close(stop)
	live.Wait()
	r.record("%d requests were served by workers, %d reached one later than %s after its entry was removed", c.served, c.late, drainBound)
	return c.late == 0, nil
}

// run serves a request at a worker.
func (c *cutCase) run(w *worker, conn net.Conn, in *http.Request) {
	now := time.Now()
	c.mu.Lock()
	c.served++
	at, gone := c.removed[w.id]
	late := gone && now.Sub(at) > drainBound
	if late {
		c.late++
	}
	c.mu.Unlock()
	if late {
		c.r.record("%s reaches %s %.3f s after its entry was removed", in.Header.Get("X-Attempt-Id"), w.id, now.Sub(at).Seconds())
	}
	time.Sleep(25 * time.Millisecond)
	reply(conn, in, http.StatusOK, "text/plain", "page", w.stamp(in))
}

// sendLive sends requests of a live service until stop is closed.
func (c *cutCase) sendLive(stop <-chan struct{}) {
	tick := time.NewTicker(8 * time.Millisecond)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		e := c.r.edges[n%len(c.r.edges)]
		go func() {
			_, _ = e.call(http.MethodPost, "/live/x", fmt.Sprintf("live-%d", n), []byte("x"), 1500*time.Millisecond)
		}()
	}
}
