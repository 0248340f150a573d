package main

import (
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	copyWorkers = 5
	// faultyWorkers of them send answers twice, a share of 0.6.
	faultyWorkers = 3
	// copyWindow is how long the workers are faulty, at most one answer is sent twice in it.
	copyWindow = 5 * time.Second
	// copyDelay is how long after an answer its copy follows.
	copyDelay = 200 * time.Millisecond
	// failTime is how long a run takes that fails.
	failTime = 400 * time.Millisecond
	// failingRuns is how many runs of the flaky item fail, maxAttempts the limit of the route.
	failingRuns = 2
	maxAttempts = 3
	// partEvents is how many events of the output the second answer has in steps with an odd
	// number.
	partEvents = 3
	// maxCopied is the largest share of answers that are sent twice.
	maxCopied = 0.03
	steps     = 6
	stepTime  = 8 * time.Second
	groups    = 12
	groupSize = 4
)

// copyCase is what the workers did.
type copyCase struct {
	r  *rig
	mu sync.Mutex
	// failed counts the answers of 500 by item, begun its runs.
	failed, begun map[string]int
	// faultyUntil is the end of the present window, copied whether an answer was sent twice
	// in it. part is set if the second answer is a part of the output.
	faultyUntil  time.Time
	copied, part bool
	// answers counts those of the faulty workers in windows, copies those sent twice.
	answers, copies int
}

// playCopy plays batch jobs with an item of which two runs fail, while workers send a second
// answer to a few requests: the same one again, or a part of the output. The item must not be
// given up before the third failure, nor be completed with a part of its output.
func playCopy(r *rig) (bool, error) {
	c := &copyCase{r: r, failed: make(map[string]int), begun: make(map[string]int)}
	r.store.Set("config", "main", fmt.Sprintf(`{"version":3,"routes":[
{"name":"drafts","hostname":%[1]q,"path_prefix":"/jobs/","route_kind":"rollout","timeout_ms":10000,"target_latency_ms":400,"priority":1,"service":"engines","max_attempts":%[2]d,"queue_ttl_s":40,"result_deadline_ms":7500,"public":false},
{"name":"live","hostname":%[1]q,"path_prefix":"/live/","route_kind":"idempotent","timeout_ms":1500,"target_latency_ms":150,"priority":2,"service":"engines","max_attempts":2,"public":false}],
"services":[{"name":"engines","health_path":"/healthz","max_conns":170,"protocol":"h1","tls":false,"engine":{"slots":12,"kv_capacity":50000,"models":[{"name":%[3]q}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":%[4]q,"api_keys":[%[5]q],"priority":1}]}`, host, maxAttempts, model, tenant, key))
	for i := range copyWorkers {
		faulty := r.trouble && i < faultyWorkers
		w, err := startWorker(fmt.Sprintf("i-%d", i+1), "engines", 12, func(w *worker, conn net.Conn, in *http.Request) { c.run(w, conn, in, faulty) })
		if err != nil {
			return false, err
		}
		w.register(r.store, "ready")
	}
	if err := r.startEdges(3); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var live sync.WaitGroup
	live.Add(1)
	go func() { defer live.Done(); c.sendLive(stop) }()
	held := true
	for step := range steps {
		ok, err := c.playStep(step)
		if err != nil {
			close(stop)
			live.Wait()
			return false, err
		}
		held = held && ok
	}
	close(stop)
	live.Wait()
	r.record("faulty workers answered %d requests in their windows, %d of them twice", c.answers, c.copies)
	if float64(c.copies) > maxCopied*float64(c.answers) {
		return false, fmt.Errorf("more than a share of %.2f was sent twice", maxCopied)
	}
	return held, nil
}

// run serves a request at a worker.
func (c *copyCase) run(w *worker, conn net.Conn, in *http.Request, faulty bool) {
	id := in.Header.Get("X-Attempt-Id")
	c.mu.Lock()
	inWindow := faulty && time.Now().Before(c.faultyUntil)
	if inWindow {
		c.answers++
	}
	c.begun[id]++
	fails := strings.HasSuffix(id, "flaky") && c.begun[id] <= failingRuns
	c.mu.Unlock()
	switch {
	case strings.HasPrefix(in.URL.Path, "/live/"):
		time.Sleep(25 * time.Millisecond)
		reply(conn, in, http.StatusOK, "text/plain", "page", w.stamp(in))
	case !fails:
		time.Sleep(300 * time.Millisecond)
		ok := w.stream(conn, in, 40*time.Millisecond)
		if strings.HasSuffix(id, "flaky") {
			c.r.record("%s runs %s, its whole output was sent: %t", w.id, id, ok)
		}
	default:
		c.fail(w, conn, in, inWindow)
	}
}

// fail answers a run with status 500, and sends a second answer if the worker is faulty and
// no other request got one in this window.
func (c *copyCase) fail(w *worker, conn net.Conn, in *http.Request, inWindow bool) {
	id := in.Header.Get("X-Attempt-Id")
	c.r.record("%s begins to run %s, asked from %s", w.id, id, conn.RemoteAddr())
	time.Sleep(failTime)
	answer := fmt.Sprintf("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\nX-Attempt-Id: %s\r\n%s\r\n\r\n", id, w.stamp(in))
	_, err := io.WriteString(conn, answer)
	c.mu.Lock()
	if err == nil {
		c.failed[id]++
	}
	twice := err == nil && inWindow && !c.copied
	if twice {
		c.copied = true
		c.copies++
	}
	n, part := c.failed[id], c.part
	c.mu.Unlock()
	c.r.record("%s answers %s with status 500, number %d, error %v", w.id, id, n, err)
	if !twice {
		return
	}
	second, what := answer, "the same answer"
	if part {
		second, what = w.partOfOutput(in), fmt.Sprintf("%d events", partEvents)
	}
	time.AfterFunc(copyDelay, func() {
		_, err := io.WriteString(conn, second)
		c.r.record("%s sends a second answer to %s, %s, error %v", w.id, id, what, err)
	})
}

// sendLive sends requests of a live service until stop is closed.
func (c *copyCase) sendLive(stop <-chan struct{}) {
	tick := time.NewTicker(50 * time.Millisecond)
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

// playStep submits a batch job, reads its results until all are there or they are due, and
// ends it. It reports whether no item was given up too early.
func (c *copyCase) playStep(step int) (bool, error) {
	began := time.Now()
	id := fmt.Sprintf("job-%d", step)
	c.mu.Lock()
	c.faultyUntil, c.copied, c.part = began.Add(copyWindow), false, step%2 == 1
	c.mu.Unlock()
	var items []map[string]any
	for n := range groups * groupSize {
		item := fmt.Sprintf("%s-item-%d", id, n)
		if n == 0 {
			item = id + "-flaky"
		}
		items = append(items, map[string]any{
			"id": item, "path": "/jobs/" + item, "headers": map[string]string{"X-Model": model, "X-Token-Count": "271,40"},
			"body": base64.StdEncoding.EncodeToString([]byte(item)), "token_count": 311, "group": fmt.Sprintf("%s-group-%d", id, n/groupSize),
		})
	}
	job := map[string]any{"step": step, "model": model, "min_version": 1, "desired_count": groups, "items": items}
	if err := c.r.submit(id, job); err != nil {
		return false, err
	}
	ok := true
	var results []result
	for n := 0; time.Since(began) < 7500*time.Millisecond; n++ {
		total, now, err := c.r.results(c.r.edges[n%len(c.r.edges)], id)
		if err == nil {
			results = now
		}
		if err == nil && len(results) == total {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	completed := 0
	for _, one := range results {
		c.mu.Lock()
		failed := c.failed[one.ID]
		c.mu.Unlock()
		switch {
		case one.State == "completed" && one.Text != outputOf(one.ID):
			c.r.record("%s is completed with a text of %d of %d bytes", one.ID, len(one.Text), len(outputOf(one.ID)))
			ok = false
		case one.State == "completed":
			completed++
		case one.State == "abandoned" && failed < maxAttempts:
			c.r.record("%s is abandoned %.1f s after its submission, after %d answers of status 500; max_attempts is %d", one.ID, time.Since(began).Seconds(), failed, maxAttempts)
			ok = false
		}
	}
	c.r.record("batch job %s: %d results, %d completed", id, len(results), completed)
	a, err := c.r.edges[0].call(http.MethodDelete, "/lots/"+id, id+"-end", nil, 4*time.Second)
	c.r.record("batch job %s ended: %d %v", id, a.status, err)
	time.Sleep(time.Until(began.Add(stepTime)))
	return ok, nil
}
