package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	poisonWorkers = 6
	// crashAfter is how long a worker has run the request when it crashes, backAfter how long
	// it is away then.
	crashAfter = 400 * time.Millisecond
	backAfter  = 3 * time.Second
	// poisonEvery is the time between two client attempts with the request that crashes
	// workers, liveEvery between two other requests.
	poisonEvery = 150 * time.Millisecond
	liveEvery   = 40 * time.Millisecond
	poisonTime  = 105 * time.Second
	// contact is contact_ms of the settings. maxRetries is how many times the request may
	// reach workers later than that after it has crashed the third one.
	contact    = 3 * time.Second
	maxRetries = 3
)

// poisonCase is what the workers saw.
type poisonCase struct {
	r  *rig
	mu sync.Mutex
	// crashes are the times at which the request crashed a worker, retries those at which it
	// reached one later than contact after the third of them.
	crashes, retries []time.Time
	// conns are the connections of each worker.
	conns map[string]map[net.Conn]bool
	// lost counts the other requests without an answer of a worker.
	lost int
}

// playPoison sends a request that crashes each worker that begins to run it again and
// again. It must reach workers in maxRetries retries at most once it has crashed three.
func playPoison(r *rig) (bool, error) {
	c := &poisonCase{r: r, conns: make(map[string]map[net.Conn]bool)}
	r.store.Set("config", "main", fmt.Sprintf(`{"version":3,"routes":[
{"name":"live","hostname":%[1]q,"path_prefix":"/live/","route_kind":"idempotent","timeout_ms":1500,"target_latency_ms":150,"priority":2,"service":"desk","max_attempts":1,"public":false},
{"name":"once","hostname":%[1]q,"path_prefix":"/once/","route_kind":"non_idempotent","timeout_ms":1500,"target_latency_ms":150,"priority":2,"service":"desk","max_attempts":2,"public":false}],
"services":[{"name":"desk","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":%[2]q,"api_keys":[%[3]q],"priority":1}]}`, host, tenant, key))
	for i := range poisonWorkers {
		if err := c.start(fmt.Sprintf("i-%d", i+1), "127.0.0.1:0"); err != nil {
			return false, err
		}
	}
	if err := r.startEdges(4); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var senders sync.WaitGroup
	for path, every := range map[string]time.Duration{"/live/poison": poisonEvery, "/once/page": liveEvery} {
		senders.Add(1)
		go func() { defer senders.Done(); c.send(path, every, stop) }()
	}
	time.Sleep(poisonTime)
	close(stop)
	senders.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	r.record("the request crashed workers %d times, and reached them in %d retries later than %s after the third crash; %d other requests were lost", len(c.crashes), len(c.retries), contact, c.lost)
	return len(c.retries) <= maxRetries, nil
}

// start starts a worker at an address and registers it.
func (c *poisonCase) start(id, address string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("start worker: %w", err)
	}
	w := &worker{id: id, service: "desk", address: ln.Addr().String(), slots: 6, ln: ln, born: time.Now().UnixMilli()}
	w.run = c.run
	w.register(c.r.store, "ready")
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			c.mu.Lock()
			if c.conns[id] == nil {
				c.conns[id] = make(map[net.Conn]bool)
			}
			c.conns[id][conn] = true
			c.mu.Unlock()
			go w.serve(conn)
		}
	}()
	return nil
}

// run serves a request at a worker, which crashes if the request is the one that does so.
func (c *poisonCase) run(w *worker, conn net.Conn, in *http.Request) {
	if !c.r.trouble || !strings.HasSuffix(in.URL.Path, "/poison") {
		time.Sleep(time.Duration(15+rand.IntN(20)) * time.Millisecond)
		reply(conn, in, http.StatusOK, "text/plain", "page", w.stamp(in))
		return
	}
	now := time.Now()
	c.mu.Lock()
	if n := len(c.crashes); n >= 3 && now.Sub(c.crashes[2]) > contact {
		c.retries = append(c.retries, now)
		c.r.record("%s reaches %s, retry %d, %.1f s after the third crash", in.Header.Get("X-Attempt-Id"), w.id, len(c.retries), now.Sub(c.crashes[2]).Seconds())
	}
	c.mu.Unlock()
	time.Sleep(crashAfter)
	c.crash(w)
}

// crash ends a worker that still runs, and starts it again at the same address later.
func (c *poisonCase) crash(w *worker) {
	c.mu.Lock()
	conns := c.conns[w.id]
	if w.down {
		c.mu.Unlock()
		return
	}
	w.down = true
	c.crashes = append(c.crashes, time.Now())
	n := len(c.crashes)
	c.conns[w.id] = nil
	c.mu.Unlock()
	c.r.record("%s crashes, number %d", w.id, n)
	w.ln.Close()
	for conn := range conns {
		if t, ok := conn.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		conn.Close()
	}
	time.AfterFunc(backAfter, func() {
		if err := c.start(w.id, w.address); err != nil {
			c.r.record("%s does not come back: %v", w.id, err)
		}
	})
}

// send sends requests to a path until stop is closed, at all edges in turn. Requests with
// the same path have the same body.
func (c *poisonCase) send(path string, every time.Duration, stop <-chan struct{}) {
	tick := time.NewTicker(every)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		e := c.r.edges[n%len(c.r.edges)]
		go func() {
			a, err := e.call(http.MethodPost, path, fmt.Sprintf("%s-%d", path[6:], n), []byte(path), 1500*time.Millisecond)
			if err != nil || a.status != http.StatusOK {
				c.mu.Lock()
				if path == "/once/page" {
					c.lost++
				}
				c.mu.Unlock()
			}
		}()
	}
}
