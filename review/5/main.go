// Command 5 stops one of two machines as planned, with SIGTERM, while clients read
// streams of a few seconds over connections that they keep, and looks which of the
// requests that the machine passed on end without a complete answer.
package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/catkinhead/catkinhead/review/rig"
)

const (
	slots   = 12
	workers = 2
	clients = 8
	// A stream takes about four seconds.
	events     = 100
	eventEvery = 40 * time.Millisecond
	// pause is the time between two streams of a client.
	pause = 100 * time.Millisecond
	// before is how long streams are read before the SIGTERM, deadline how long a
	// client waits for the end of a stream.
	before   = 6 * time.Second
	deadline = 10 * time.Second
	// grace is grace_s. A request that was sent later than excused after the SIGTERM
	// has no excuse; with graceSlack, planned work ends.
	grace      = 8 * time.Second
	graceSlack = time.Second
	excused    = 3 * time.Second
	routes     = `[{"name":"r-chat","hostname":"desk.example","path_prefix":"/chat/","route_kind":"streaming","streaming":true,"timeout_ms":10000,"target_latency_ms":400,"priority":1,"service":"drafting-models","max_attempts":2,"public":false,"sticky":true,"resumable":false}]`
	services   = `[{"name":"drafting-models","health_path":"/healthz","max_conns":170,"protocol":"h1","tls":false,"engine":{"slots":12,"kv_capacity":49588,"models":[{"name":"daka510000"}]}}]`
)

func main() { rig.Main(run) }

// request is a request of a client and how it ended.
type request struct {
	id          string
	sent, ended time.Time
	status      int
	// whole is set if the answer is complete.
	whole bool
	err   error
}

func run(r *rig.Rig) (string, error) {
	r.Configure(3, routes, services)
	var fleet []*rig.Worker
	for i := range workers {
		w := &rig.Worker{ID: fmt.Sprintf("i-draft-%d", i), Service: "drafting-models", Slots: slots, Events: events, EventEvery: eventEvery}
		if err := r.AddWorker(w); err != nil {
			return "", err
		}
		fleet = append(fleet, w)
	}
	edges, err := r.StartEdges(2)
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mu sync.Mutex
	var requests []*request
	var group sync.WaitGroup
	for c := range clients {
		group.Go(func() {
			// The clients don't begin at the same moment.
			time.Sleep(time.Duration(c) * 550 * time.Millisecond)
			keepSending(ctx, r, edges[0], c, func(q *request) {
				mu.Lock()
				defer mu.Unlock()
				requests = append(requests, q)
			})
		})
	}
	time.Sleep(before)
	stopped := time.Now()
	if r.Trouble {
		edges[0].Signal(syscall.SIGTERM)
	}
	time.Sleep(grace + graceSlack)
	cancel()
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	return judge(r, fleet, requests, stopped), nil
}

// judge returns how the rule was broken, or an empty text.
func judge(r *rig.Rig, fleet []*rig.Worker, requests []*request, stopped time.Time) string {
	runs := make(map[string]rig.Run)
	for _, w := range fleet {
		for _, one := range w.Runs() {
			runs[one.ID] = one
		}
	}
	lost, late := 0, 0
	for _, q := range requests {
		one, ran := runs[q.id]
		after := q.sent.Sub(stopped)
		if q.whole || !ran || one.Finished || after < 0 || q.ended.Sub(stopped) > grace+graceSlack {
			continue
		}
		r.Note("%s, sent %.2f s after the SIGTERM and passed on to %s, ends %.2f s after it without a complete answer: status %d, %v", q.id, after.Seconds(), one.Worker, q.ended.Sub(stopped).Seconds(), q.status, q.err)
		lost++
		if after > excused {
			late++
		}
	}
	if late == 0 {
		return ""
	}
	return fmt.Sprintf("LOST: %d requests that were sent later than %s after the SIGTERM and passed on to a worker ended without a complete answer (%d with those that were sent earlier)", late, excused, lost)
}

// keepSending sends streams one after the other on one connection until ctx ends,
// the connection is closed or the answer says that it will be.
func keepSending(ctx context.Context, r *rig.Rig, e *rig.Edge, c int, record func(*request)) {
	conn, err := net.DialTimeout("tcp", e.Front, time.Second)
	if err != nil {
		r.Note("client %d: %v", c, err)
		return
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	for n := 0; ctx.Err() == nil; n++ {
		q := &request{id: fmt.Sprintf("c%d-%d", c, n), sent: time.Now()}
		closes := q.exchange(conn, in)
		if ctx.Err() != nil {
			return
		}
		q.ended = time.Now()
		r.Note("client %d: %s gets %d, complete: %t, %v", c, q.id, q.status, q.whole, q.err)
		record(q)
		if closes {
			return
		}
		time.Sleep(pause)
	}
}

// exchange sends the request and reads the answer. It reports whether the
// connection can't be used again.
func (q *request) exchange(conn net.Conn, in *bufio.Reader) (closes bool) {
	if q.err = conn.SetDeadline(time.Now().Add(deadline)); q.err != nil {
		return true
	}
	body := "question"
	_, q.err = fmt.Fprintf(conn, "POST /chat/a HTTP/1.1\r\nHost: %s\r\nX-Api-Key: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Model: daka510000\r\nX-Token-Count: 100,%d\r\nX-Prompt-Prefix: 9c2e41:100\r\nContent-Length: %d\r\n\r\n%s",
		rig.Host, rig.Key, q.id, deadline.Milliseconds(), events, len(body), body)
	if q.err != nil {
		return true
	}
	res, err := http.ReadResponse(in, nil)
	if err != nil {
		q.err = err
		return true
	}
	defer res.Body.Close()
	q.status = res.StatusCode
	var text strings.Builder
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		if lines.Text() != "" {
			text.WriteString(lines.Text() + "\n")
		}
	}
	q.err = lines.Err()
	q.whole = q.err == nil && (q.status != http.StatusOK || strings.Contains(text.String(), rig.EventData(q.id, events-1)+"\n"))
	return res.Close || q.err != nil
}
