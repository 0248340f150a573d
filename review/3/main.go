// Command 3 sends requests of a route that is not idempotent to three busy workers, of
// which one sends a second copy of some of its answers, late. It counts the requests
// that ran more than once, and those that were refused although they ran.
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/catkinhead/catkinhead/review/rig"
)

const (
	// extraShare is the share of the answers of the first of the workers that it sends
	// again, for extraTime.
	extraShare = 0.03
	extraTime  = 5 * time.Second
	workers    = 2
	clients    = 16
	// A worker runs slots requests, lets queue more wait and refuses the others.
	slots       = 3
	queue       = 3
	requestTime = 25 * time.Millisecond
	routes      = `[{"name":"r-hold","hostname":"desk.example","path_prefix":"/hold/","route_kind":"non_idempotent","timeout_ms":1500,"target_latency_ms":150,"priority":1,"service":"booking-desk","max_attempts":2,"public":false}]`
	services    = `[{"name":"booking-desk","health_path":"/healthz","max_conns":100,"protocol":"h1","tls":false}]`
)

func main() { rig.Main(run) }

func run(r *rig.Rig) (string, error) {
	r.Configure(3, routes, services)
	var spoils atomic.Bool
	var fleet []*worker
	for i := range workers {
		w := &worker{rig: r, id: fmt.Sprintf("i-desk-%d", i), slots: make(chan struct{}, slots), runs: make(map[string]int)}
		if i == 0 {
			w.spoils = func() bool { return spoils.Load() && rand.Float64() < extraShare }
		}
		if err := w.start(); err != nil {
			return "", err
		}
		fleet = append(fleet, w)
	}
	edges, err := r.StartEdges(2)
	if err != nil {
		return "", err
	}
	refused := make(map[string]int)
	sendRequests(r, edges, "calm", time.Second, refused)
	spoils.Store(r.Trouble)
	r.Note("second copies begin: %t", r.Trouble)
	sendRequests(r, edges, "late", extraTime, refused)
	spoils.Store(false)
	sendRequests(r, edges, "last", time.Second, refused)
	return judge(r, fleet, refused), nil
}

// sendRequests sends requests from several clients, each with an attempt id of its
// own. No client repeats a request. The ids of those that are refused go to refused.
func sendRequests(r *rig.Rig, edges []*rig.Edge, phase string, lasts time.Duration, refused map[string]int) {
	var mu sync.Mutex
	var group sync.WaitGroup
	until := time.Now().Add(lasts)
	for c := range clients {
		group.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				id := fmt.Sprintf("%s-%d-%d", phase, c, n)
				r.Note("client %d sends POST /hold/%s", c, id)
				status, _ := r.Call(edges[c%len(edges)], http.MethodPost, "/hold/"+id, id, map[string]string{"X-Deadline-Ms": "1500"}, "hold "+id, 2*time.Second)
				r.Note("client %d gets %d for %s", c, status, id)
				if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
					mu.Lock()
					refused[id] = status
					mu.Unlock()
				}
				time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond)
			}
		})
	}
	group.Wait()
}

// judge returns how the rules were broken, or an empty text.
func judge(r *rig.Rig, fleet []*worker, refused map[string]int) string {
	runs := make(map[string]int)
	answers, refusals, copies := 0, 0, 0
	for _, w := range fleet {
		w.mu.Lock()
		for id, n := range w.runs {
			runs[id] += n
		}
		answers, refusals, copies = answers+w.answers, refusals+w.refusals, copies+w.copies
		w.mu.Unlock()
	}
	r.Note("%d answers of workers, %d of them refusals; %d were sent twice", answers, refusals, copies)
	twice, untrue := 0, 0
	for id, n := range runs {
		if n > 1 {
			twice++
			r.Note("%s ran %d times", id, n)
		}
		if status, ok := refused[id]; ok {
			untrue++
			r.Note("%s was answered with %d and ran", id, status)
		}
	}
	if twice+untrue == 0 {
		return ""
	}
	return fmt.Sprintf("TWICE: %d of %d requests that are not idempotent ran more than once; REFUSED: %d were answered with 503 and had run", twice, len(runs), untrue)
}

// worker is a worker that can send an answer twice: the second time when the next
// request has arrived on the same connection, before the answer to that.
type worker struct {
	rig   *rig.Rig
	id    string
	slots chan struct{}
	// spoils reports whether an answer is sent twice; nil for never.
	spoils func() bool
	mu     sync.Mutex
	// queued counts the requests that wait for a slot. runs counts the runs by the id
	// of the request.
	queued                    int
	runs                      map[string]int
	answers, refusals, copies int
}

// start listens and registers the worker.
func (w *worker) start() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	w.rig.Store.Set("servers", w.id, fmt.Sprintf(
		`{"service":"booking-desk","address":%q,"zone":"nz-north-a","version":"v1","slots":%d,"state":"ready","cold_remaining_ms":0,"seq":0,"born":1}`, ln.Addr(), slots))
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go w.serve(conn)
		}
	}()
	return nil
}

// serve answers the requests of a connection, one after the other.
func (w *worker) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	var second []byte
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get("X-Attempt-Id")
		if second != nil {
			w.rig.Note("%s sends a second copy of an answer while %s is in hand", w.id, id)
			if _, err := conn.Write(second); err != nil {
				return
			}
			second = nil
		}
		answer := w.answer(req, id)
		if _, err := conn.Write(answer); err != nil {
			return
		}
		w.mu.Lock()
		w.answers++
		if w.spoils != nil && w.spoils() {
			w.copies++
			second = answer
		}
		w.mu.Unlock()
	}
}

// answer runs or refuses a request and returns the answer.
func (w *worker) answer(req *http.Request, id string) []byte {
	res := http.Response{StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1, Header: make(http.Header)}
	res.Header.Set("X-Attempt-Id", id)
	body := ""
	switch {
	case req.Header.Get("X-Expect-Instance") != w.id:
		res.StatusCode = http.StatusMisdirectedRequest
	case !w.admit():
		res.StatusCode = http.StatusServiceUnavailable
		res.Header.Set("X-Not-Executed", "1")
		w.mu.Lock()
		w.refusals++
		w.mu.Unlock()
		w.rig.Note("%s refuses %s", w.id, id)
	default:
		w.mu.Lock()
		w.runs[id]++
		w.mu.Unlock()
		w.rig.Note("%s runs %s: %s %s", w.id, id, req.Method, req.URL.Path)
		time.Sleep(requestTime)
		<-w.slots
		res.Header.Set("X-Server-Stamp", rig.Stamp(w.id, id))
		body = "done: " + id
	}
	res.Body, res.ContentLength = io.NopCloser(bytes.NewReader([]byte(body))), int64(len(body))
	if body == "" {
		res.Body = http.NoBody
		res.Header.Set("Content-Length", "0")
	}
	var out bytes.Buffer
	if err := res.Write(&out); err != nil {
		w.rig.Note("%s: %v", w.id, err)
	}
	return out.Bytes()
}

// admit takes a slot. It returns false if too many requests wait for one already.
func (w *worker) admit() bool {
	select {
	case w.slots <- struct{}{}:
		return true
	default:
	}
	w.mu.Lock()
	if w.queued >= queue {
		w.mu.Unlock()
		return false
	}
	w.queued++
	w.mu.Unlock()
	w.slots <- struct{}{}
	w.mu.Lock()
	w.queued--
	w.mu.Unlock()
	return true
}
