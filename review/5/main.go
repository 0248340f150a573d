// Command 5 lets a service answer requests with a redirect, as web applications do
// after a form was sent, and compares what the clients sent and got with what the
// workers ran and answered.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/catkinhead/catkinhead/review/rig"
)

const (
	requests = 40
	routes   = `[{"name":"r-book","hostname":"desk.example","path_prefix":"/book/","route_kind":"non_idempotent","timeout_ms":1500,"target_latency_ms":150,"priority":1,"service":"booking-app","max_attempts":2,"public":false}]`
	services = `[{"name":"booking-app","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}]`
)

func main() { rig.Main(run) }

func run(r *rig.Rig) (string, error) {
	r.Configure(3, routes, services)
	var workers []*rig.Worker
	for i := range 2 {
		w := &rig.Worker{ID: fmt.Sprintf("i-app-%d", i), Service: "booking-app", Slots: 6, RequestTime: 25 * time.Millisecond}
		w.Answer = func(rw http.ResponseWriter, req *http.Request) bool {
			// Every fourth booking is answered with the address of its receipt.
			if !r.Trouble || req.Method != http.MethodPost || !strings.HasSuffix(req.URL.Path, "3") {
				return false
			}
			r.Note("%s answers %s with 303", w.ID, req.Header.Get("X-Attempt-Id"))
			rw.Header().Set("Location", "/book/receipt")
			rw.WriteHeader(http.StatusSeeOther)
			return true
		}
		if err := r.AddWorker(w); err != nil {
			return "", err
		}
		workers = append(workers, w)
	}
	edges, err := r.StartEdges(2)
	if err != nil {
		return "", err
	}
	sent := make(map[string]bool)
	foreign := 0
	for n := range requests {
		id := fmt.Sprintf("b%04d", n)
		path := fmt.Sprintf("/book/new/%d", n%4)
		sent[id+" POST "+path] = true
		status, body, err := post(edges[n%len(edges)], path, id)
		r.Note("client sends %s POST %s and gets %d, body %q, %v", id, path, status, body, err)
		if status == http.StatusOK && r.Trouble && n%4 == 3 {
			foreign++
		}
	}
	unasked, again := 0, 0
	runs := make(map[string]int)
	for _, w := range workers {
		for _, run := range w.Runs() {
			runs[run.ID]++
			if runs[run.ID] == 2 {
				again++
			}
			if !sent[run.ID+" "+run.Method+" "+run.Path] {
				unasked++
			}
		}
	}
	if unasked > 0 {
		return fmt.Sprintf("UNASKED: workers ran %d requests with another method and path than any client sent; %d of %d requests that are not idempotent ran twice; %d clients got a 200 where the worker had answered with 303",
			unasked, again, requests, foreign), nil
	}
	return "", nil
}

// post sends a request on a connection of its own and reads one answer. It follows
// no redirect.
func post(e *rig.Edge, path, id string) (int, string, error) {
	conn, err := net.DialTimeout("tcp", e.Front, time.Second)
	if err != nil {
		return 0, "", fmt.Errorf("connect: %w", err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(2 * time.Second)); err != nil {
		return 0, "", fmt.Errorf("set deadline: %w", err)
	}
	body := "booking " + id
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Api-Key: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 1500\r\nContent-Length: %d\r\n\r\n%s", path, rig.Host, rig.Key, id, len(body), body); err != nil {
		return 0, "", fmt.Errorf("send: %w", err)
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", fmt.Errorf("read answer: %w", err)
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return res.StatusCode, string(b), err
}
