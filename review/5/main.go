// Command 5 lets clients leave streams before their end, as `give_up` does, and
// then, when all is calm again, hands in a step of a trainer that needs the same
// workers.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/catkinhead/catkinhead/review/rig"
)

const (
	slots   = 4
	workers = 2
	// A stream or an item takes a second.
	events     = 25
	eventEvery = 40 * time.Millisecond
	// streams is the number of streams, of which leavers are left by their clients
	// after leaveAfter, half of the target latency of their route.
	streams    = 24
	leavers    = 7
	leaveAfter = 200 * time.Millisecond
	// calm is the time without any disruption before the step, longer than
	// contact_ms and settle_ms together.
	calm = 6 * time.Second
	// items is the number of items of the step. The workers need four seconds for
	// them. The trainer gives the step up after giveUpAfter, 4.5 s after the results
	// are due.
	items       = 32
	groupSize   = 4
	giveUpAfter = 12 * time.Second
	// unserved is the time for which an item has to be at no worker.
	unserved = 5 * time.Second
	job      = "7c41e09b52d6a3f8"
	routes   = `[
{"name":"r-chat","hostname":"desk.example","path_prefix":"/chat/","route_kind":"streaming","streaming":true,"timeout_ms":10000,"target_latency_ms":400,"priority":1,"service":"fitter-lm","max_attempts":2,"public":false,"sticky":true,"resumable":false},
{"name":"r-fit","hostname":"desk.example","path_prefix":"/fit/","route_kind":"rollout","timeout_ms":10000,"target_latency_ms":400,"priority":1,"service":"fitter-lm","max_attempts":3,"queue_ttl_s":40.0,"result_deadline_ms":7500,"single_version":false,"public":false,"sticky":true,"resumable":true}]`
	services = `[{"name":"fitter-lm","health_path":"/healthz","max_conns":170,"protocol":"h1","tls":false,"engine":{"slots":4,"kv_capacity":49588,"models":[{"name":"daka510000"}]}}]`
)

func main() { rig.Main(run) }

func run(r *rig.Rig) (string, error) {
	r.Configure(3, routes, services)
	var fleet []*rig.Worker
	for i := range workers {
		w := &rig.Worker{ID: fmt.Sprintf("i-fit-%d", i), Service: "fitter-lm", Slots: slots, Events: events, EventEvery: eventEvery}
		if err := r.AddWorker(w); err != nil {
			return "", err
		}
		fleet = append(fleet, w)
	}
	edges, err := r.StartEdges(2)
	if err != nil {
		return "", err
	}
	for n := range streams {
		leave := r.Trouble && n*leavers/streams != (n+1)*leavers/streams
		readStream(r, edges[n%len(edges)], fmt.Sprintf("c%04d", n), leave)
	}
	r.Note("all streams have ended")
	time.Sleep(calm)
	if n := fleet[0].Active() + fleet[1].Active(); n > 0 {
		return "", fmt.Errorf("%d requests still run at the workers before the step", n)
	}
	submitted := time.Now()
	if status, body := r.Call(edges[1], http.MethodPost, "/fit/0", job, nil, step(), 3*time.Second); status != http.StatusAccepted {
		return "", fmt.Errorf("the step was answered with %d: %s", status, body)
	}
	r.Note("step %s of %d items accepted", job, items)
	return readStep(r, edges, fleet, submitted), nil
}

// readStream reads a stream, whole or until the client leaves.
func readStream(r *rig.Rig, e *rig.Edge, id string, leave bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Front+"/chat/a", strings.NewReader("question"))
	if err != nil {
		r.Note("client: %v", err)
		return
	}
	req.Host = rig.Host
	for k, v := range map[string]string{
		"X-Api-Key": rig.Key, "X-Attempt-Id": id, "X-Deadline-Ms": "10000", "X-Model": "daka510000", "X-Token-Count": "100,25", "X-Prompt-Prefix": "9c2e41:100",
	} {
		req.Header.Set(k, v)
	}
	r.Note("client sends %s to %s, leaves: %t", id, e.Name, leave)
	if leave {
		time.AfterFunc(leaveAfter, cancel)
	}
	res, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		r.Note("client: %s ends: %v", id, err)
		return
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	r.Note("client: %s gets %d and %d bytes, end: %v", id, res.StatusCode, len(b), err)
}

// step returns the body of a trainer's batch job.
func step() string {
	var list []map[string]any
	for i := range items {
		list = append(list, map[string]any{
			"id": itemID(i), "path": "/fit/x", "headers": map[string]string{"X-Model": "daka510000", "X-Token-Count": "255,25", "X-Prompt-Prefix": fmt.Sprintf("5d07b8%d:255", i/groupSize)},
			"body": "q83vEjRWeJA=", "token_count": 280, "group": fmt.Sprintf("g%d", i/groupSize),
		})
	}
	b, _ := json.Marshal(map[string]any{
		"step": 0, "model": "daka510000", "min_version": 1, "desired_count": items / groupSize * 9 / 10, "items": list,
	})
	return string(b)
}

func itemID(i int) string { return fmt.Sprintf("e5b2907c14da%04d", i) }

// readStep reads the results like a trainer, twice a second, until the groups that
// it waits for are complete or its time is up. It returns how the rule was broken.
func readStep(r *rig.Rig, edges []*rig.Edge, fleet []*rig.Worker, submitted time.Time) string {
	most := 0
	for n := 0; time.Since(submitted) < giveUpAfter; n++ {
		most = max(most, fleet[0].Active()+fleet[1].Active())
		page, status := r.Read(edges[n%len(edges)], job, 0)
		groups := make(map[string]int)
		for _, result := range page.Results {
			groups[result.ID[:len(result.ID)-4]+fmt.Sprint(index(result.ID)/groupSize)]++
		}
		complete := 0
		for _, size := range groups {
			if size == groupSize {
				complete++
			}
		}
		r.Note("read: %d, %d of %d results, %d complete groups, %d requests run at workers", status, len(page.Results), page.Total, complete, fleet[0].Active()+fleet[1].Active())
		if complete >= items/groupSize*9/10 {
			return ""
		}
		time.Sleep(500 * time.Millisecond)
	}
	begun := make(map[string]time.Time)
	for _, w := range fleet {
		for _, run := range w.Runs() {
			begun[run.ID] = run.Began
		}
	}
	some, waiting := 0, 0
	for i := range items {
		if _, ok := begun[itemID(i)]; ok {
			some++
		} else {
			waiting++
		}
	}
	r.Note("at most %d of %d places of the workers were taken", most, slots*workers)
	if some == 0 {
		return fmt.Sprintf("LOST: the step ran out of time and none of its %d items was ever sent to a worker", items)
	}
	if waiting > 0 && most < slots*workers/2 && giveUpAfter > unserved {
		return fmt.Sprintf("LOST: the step ran out of time after %s; %d of its items had begun, %d were at no worker all the while, at most %d of %d places were taken",
			giveUpAfter, some, waiting, most, slots*workers)
	}
	return ""
}

func index(id string) int {
	var i int
	_, _ = fmt.Sscanf(id[len(id)-4:], "%d", &i)
	return i
}
