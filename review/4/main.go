// Command 4 sends GET requests of routes that are not idempotent, while one of two
// workers loses the answers of some of the requests that it ran. It counts the
// requests that ran more than once.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/catkinhead/catkinhead/review/rig"
)

const (
	// lossShare is the share of the requests that ran whose answer the first of two
	// workers loses, for lossTime.
	lossShare = 0.03
	lossTime  = 5 * time.Second
	clients   = 8
	routes    = `[
{"name":"r-hold","hostname":"desk.example","path_prefix":"/hold/","route_kind":"non_idempotent","timeout_ms":1500,"target_latency_ms":150,"priority":1,"service":"booking-desk","max_attempts":2,"public":false},
{"name":"r-tale","hostname":"desk.example","path_prefix":"/tale/","route_kind":"streaming","streaming":true,"timeout_ms":1500,"target_latency_ms":150,"priority":1,"service":"booking-desk","max_attempts":2,"public":false,"resumable":false}]`
	services = `[{"name":"booking-desk","health_path":"/healthz","max_conns":100,"protocol":"h1","tls":false}]`
)

func main() { rig.Main(run) }

func run(r *rig.Rig) (string, error) {
	r.Configure(3, routes, services)
	var losing atomic.Bool
	workers, err := startWorkers(r, &losing)
	if err != nil {
		return "", err
	}
	edges, err := r.StartEdges(2)
	if err != nil {
		return "", err
	}
	// Some seconds without losses, in which the connections to the workers are
	// opened.
	sendRequests(r, edges, "calm", time.Second)
	losing.Store(r.Trouble)
	r.Note("losses begin: %t", r.Trouble)
	sendRequests(r, edges, "loss", lossTime)
	losing.Store(false)
	sendRequests(r, edges, "last", time.Second)
	return countRuns(r, workers), nil
}

// startWorkers starts two workers, of which the first loses answers while losing is
// set.
func startWorkers(r *rig.Rig, losing *atomic.Bool) ([]*rig.Worker, error) {
	var workers []*rig.Worker
	for i := range 2 {
		w := &rig.Worker{ID: fmt.Sprintf("i-desk-%d", i), Service: "booking-desk", Slots: 6, RequestTime: 25 * time.Millisecond}
		workers = append(workers, w)
		if i == 0 {
			w.Lose = func(*http.Request) bool { return losing.Load() && rand.Float64() < lossShare }
		}
		if err := r.AddWorker(w); err != nil {
			return nil, err
		}
	}
	return workers, nil
}

// sendRequests sends requests from several clients, each with an attempt id of its
// own. No client repeats a request.
func sendRequests(r *rig.Rig, edges []*rig.Edge, phase string, lasts time.Duration) {
	var group sync.WaitGroup
	until := time.Now().Add(lasts)
	for c := range clients {
		group.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				id := fmt.Sprintf("%s-%d-%d", phase, c, n)
				path := "/hold/" + id
				if n%2 == 1 {
					path = "/tale/" + id
				}
				r.Note("client %d sends GET %s with id %s", c, path, id)
				status, _ := r.Call(edges[c%len(edges)], http.MethodGet, path, id, map[string]string{"X-Deadline-Ms": "1500"}, "", 2*time.Second)
				r.Note("client %d gets %d for %s", c, status, id)
			}
		})
	}
	group.Wait()
}

// countRuns returns how the rule was broken, or an empty text.
func countRuns(r *rig.Rig, workers []*rig.Worker) string {
	runs := make(map[string]int)
	for _, w := range workers {
		for _, run := range w.Runs() {
			runs[run.ID]++
		}
	}
	twice := 0
	for id, n := range runs {
		if n > 1 {
			twice++
			r.Note("%s ran %d times", id, n)
		}
	}
	if twice == 0 {
		return ""
	}
	return fmt.Sprintf("TWICE: %d of %d requests that are not idempotent ran more than once", twice, len(runs))
}
