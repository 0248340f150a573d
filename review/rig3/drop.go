package main

import (
	"bufio"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	dropWorkers = 6
	dropSlots   = 12
	// firstToken is how long a worker takes until the first event, eventTime between two.
	firstToken = 300 * time.Millisecond
	eventTime  = 36 * time.Millisecond
	// longEvents is the number of events of a long item, which are longEventTime apart; others
	// have the usual number.
	longEvents    = 202
	longEventTime = 65 * time.Millisecond
	// longItems and shortItems are those of the second step.
	longItems  = 4
	shortItems = 4
	// patience is how long a trainer waits for a step.
	patience = 12 * time.Second
	// idleBound is the time at no worker that the rule allows an item.
	idleBound = 5 * time.Second
)

// dropCase is what the workers saw.
type dropCase struct {
	r  *rig
	mu sync.Mutex
	// begun are the items that have begun to run, and when they first did.
	begun map[string]time.Time
	// running counts the runs that are under way at all workers.
	running int
	// droppedAt is when the workers dropped the connections that were idle then, dropped how
	// many of them were used afterwards.
	droppedAt time.Time
	dropped   int
}

// playDrop plays a small step while the workers drop idle connections without notice. All
// its items must reach a worker in time.
func playDrop(r *rig) (bool, error) {
	c := &dropCase{r: r, begun: make(map[string]time.Time)}
	r.store.Set("config", "main", fmt.Sprintf(`{"version":3,"routes":[
{"name":"drafts","hostname":%[1]q,"path_prefix":"/jobs/","route_kind":"rollout","timeout_ms":10000,"target_latency_ms":400,"priority":1,"service":"engines","max_attempts":3,"queue_ttl_s":40,"result_deadline_ms":7500,"public":false}],
"services":[{"name":"engines","health_path":"/healthz","max_conns":170,"protocol":"h1","tls":false,"engine":{"slots":%[5]d,"kv_capacity":50000,"models":[{"name":%[2]q}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":%[3]q,"api_keys":[%[4]q],"priority":1}]}`, host, model, tenant, key, dropSlots))
	for i := range dropWorkers {
		w, err := listenWorker(fmt.Sprintf("i-%d", i+1), "engines", dropSlots, c.run)
		if err != nil {
			return false, err
		}
		go c.accept(w)
		w.register(r.store, "ready")
	}
	if err := r.startEdges(3); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if err := c.playFullStep(r.edges[0], "first", dropWorkers*dropSlots); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	// Another trainer's step takes all slots but four.
	if err := r.submitAt(r.edges[1], "other", stepOf("other", 0, dropWorkers*dropSlots-4)); err != nil {
		return false, err
	}
	time.Sleep(500 * time.Millisecond)
	began := time.Now()
	if err := r.submitAt(r.edges[0], "second", stepOf("second", longItems, longItems+shortItems)); err != nil {
		return false, err
	}
	time.Sleep(300 * time.Millisecond)
	if r.trouble {
		c.mu.Lock()
		c.droppedAt = time.Now()
		c.mu.Unlock()
		r.record("the workers drop all connections that are idle now, without notice")
	}
	return c.watchStep(began)
}

// playFullStep plays a step that is read to its end.
func (c *dropCase) playFullStep(e *edge, id string, n int) error {
	if err := c.r.submitAt(e, id, stepOf(id, 0, n)); err != nil {
		return err
	}
	for until := time.Now().Add(patience); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		total, results, err := c.r.results(e, id)
		if err == nil && len(results) == total {
			a, err := e.call(http.MethodDelete, "/lots/"+id, id+"-end", nil, 4*time.Second)
			c.r.record("batch job %s is complete, and ended: %d %v", id, a.status, err)
			return nil
		}
	}
	return fmt.Errorf("batch job %s is not complete in time", id)
}

// watchStep watches the second step until its group of short items is complete, or
// the trainer's patience is over. The rule is broken if the step runs out of time while one
// of its items has been at no worker for idleBound, though others had begun and at most half
// of the slots were taken.
func (c *dropCase) watchStep(began time.Time) (bool, error) {
	var calmSince time.Time
	for time.Since(began) < patience {
		time.Sleep(500 * time.Millisecond)
		_, results, err := c.r.results(c.r.edges[2], "second")
		c.mu.Lock()
		begun := c.begunOf("second")
		running, dropped := c.running, c.dropped
		c.mu.Unlock()
		if running > dropWorkers*dropSlots/2 {
			calmSince = time.Time{}
		} else if calmSince.IsZero() {
			calmSince = time.Now()
		}
		c.r.record("%4.1f s: %d of %d items have begun, %d results, %v; %d runs at all workers, %d dropped connections used", time.Since(began).Seconds(), begun, longItems+shortItems, len(results), err, running, dropped)
		if len(results) >= shortItems {
			c.r.record("the trainer has its group")
			return true, nil
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	waited := 0
	for n := range longItems + shortItems {
		first, ok := c.begun[fmt.Sprintf("second-%d", n)]
		if !ok {
			first = time.Now()
		}
		if !calmSince.IsZero() && first.Sub(calmSince) >= idleBound {
			waited++
		}
	}
	c.r.record("the step runs out of time: %d items were at no worker for %s or longer, while at most half of the slots were taken", waited, idleBound)
	return waited == 0 || c.begunOf("second") == 0, nil
}

// begunOf counts the items of a batch job that have begun. The caller holds c.mu.
func (c *dropCase) begunOf(job string) int {
	n := 0
	for id := range c.begun {
		if strings.HasPrefix(id, job+"-") {
			n++
		}
	}
	return n
}

// stepOf returns a batch job of n items, of which the first are long.
func stepOf(id string, long, n int) map[string]any {
	var items []map[string]any
	for k := range n {
		item, tokens := fmt.Sprintf("%s-%d", id, k), events
		if k < long {
			tokens = longEvents
		}
		items = append(items, map[string]any{
			"id": item, "path": "/jobs/" + item, "body": base64.StdEncoding.EncodeToString([]byte(item)), "token_count": 271 + tokens, "group": fmt.Sprintf("%s-group-%d", id, k/groupSize),
			"headers": map[string]string{"X-Model": model, "X-Token-Count": fmt.Sprintf("271,%d", tokens), "X-Length-Hint": fmt.Sprint(tokens)},
		})
	}
	return map[string]any{"step": 0, "model": model, "min_version": 1, "desired_count": max((n-long)/groupSize, 1), "items": items}
}

// accept serves the connections of a worker, and resets one that was idle when the workers
// dropped theirs, once something is sent on it.
func (c *dropCase) accept(w *worker) {
	for {
		conn, err := w.ln.Accept()
		if err != nil {
			return
		}
		go c.serve(w, conn)
	}
}

func (c *dropCase) serve(w *worker, conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for served := false; ; served = true {
		idleSince := time.Now()
		if _, err := r.Peek(1); err != nil {
			return
		}
		c.mu.Lock()
		dropped := served && idleSince.Before(c.droppedAt)
		if dropped {
			c.dropped++
		}
		c.mu.Unlock()
		if dropped {
			if t, ok := conn.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
			return
		}
		in, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, in.Body); err != nil || !w.answer(conn, in) {
			return
		}
	}
}

// run runs an item at a worker.
func (c *dropCase) run(w *worker, conn net.Conn, in *http.Request) {
	id := in.Header.Get("X-Attempt-Id")
	c.mu.Lock()
	if _, ok := c.begun[id]; !ok {
		c.begun[id] = time.Now()
	}
	c.running++
	c.mu.Unlock()
	time.Sleep(firstToken)
	n, err := strconv.Atoi(in.Header.Get("X-Length-Hint"))
	if err != nil {
		n = events
	}
	between := eventTime
	if n == longEvents {
		between = longEventTime
	}
	w.streamEvents(conn, in, n, between)
	c.mu.Lock()
	c.running--
	c.mu.Unlock()
}
