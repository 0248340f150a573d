// Command 10 is a case of the second review; see claim.txt.
package main

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/catkinhead/catkinhead/review/rig2"
)

const (
	host = "rollouts.example"
	key  = "key-of-the-tenant"
	// applyTime is the time in which a configuration has to be in force.
	applyTime = 2 * time.Second
)

func main() { rig2.Main(run) }

// config returns a configuration in which both routes are split between two services by
// the given weights.
func config(version, old, next int) string {
	split := fmt.Sprintf(`"split":[{"service":"old-lm","weight":%d},{"service":"new-lm","weight":%d}]`, old, next)
	return fmt.Sprintf(`{"version":%[4]d,"routes":[
{"name":"r-live","hostname":"%[1]s","path_prefix":"/live/","route_kind":"idempotent","timeout_ms":800,"target_latency_ms":150,"priority":2,%[2]s,"max_attempts":2,"public":false},
{"name":"r-rollouts","hostname":"%[1]s","path_prefix":"/fit/","route_kind":"rollout","timeout_ms":10000,"target_latency_ms":500,"priority":1,%[2]s,"max_attempts":3,"queue_ttl_s":40.0,"result_deadline_ms":7500,"single_version":false,"public":false,"sticky":true,"resumable":true}],
"services":[{"name":"old-lm","health_path":"/healthz","max_conns":170,"protocol":"h1","tls":false,"engine":{"slots":16,"kv_capacity":44070,"models":[{"name":"model-a"}]}},
{"name":"new-lm","health_path":"/healthz","max_conns":170,"protocol":"h1","tls":false,"engine":{"slots":16,"kv_capacity":44070,"models":[{"name":"model-a"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"tenant-a","api_keys":["%[3]s"],"priority":1}]}`, host, split, key, version)
}

// run returns whether the rule held.
func run(f *rig2.Fleet, trouble bool) (bool, error) {
	f.Store.Set("config", "main", config(1, 100, 0))
	for _, service := range []string{"old-lm", "old-lm", "new-lm", "new-lm"} {
		w := &rig2.Worker{ID: fmt.Sprintf("i-%s-%d", service, len(f.Workers)+1), Service: service, Slots: 16, Events: 28, EventTime: 20 * time.Millisecond, RequestTime: 25 * time.Millisecond}
		if err := f.AddWorker(w); err != nil {
			return false, err
		}
	}
	for n := range 3 {
		if _, err := f.AddEdge(fmt.Sprintf("edge-%d", n+1)); err != nil {
			return false, err
		}
	}
	if err := f.StartAll(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	if err := step(f, 0); err != nil {
		return false, err
	}
	changed := time.Duration(1 << 62)
	if trouble {
		f.Store.Set("config", "main", config(2, 0, 100))
		changed = f.Record.Now()
	}
	time.Sleep(applyTime + 2*time.Second)
	for n := range 30 {
		f.Send(f.Edges[n%3], rig2.Request{Method: "POST", Path: "/live/x", Host: host, Key: key, Attempt: fmt.Sprintf("live-%d", n), Body: []byte("q"), Timeout: 2 * time.Second})
	}
	for n := range 3 {
		if err := step(f, n+1); err != nil {
			return false, err
		}
	}
	return check(f, changed), nil
}

// step submits a step at one of the machines.
func step(f *rig2.Fleet, n int) error {
	id := fmt.Sprintf("7c41e09b52d6a3f%d", n)
	a := f.Send(f.Edges[n%3], rig2.Request{
		Method: "POST", Path: "/fit/" + id, Host: host, Key: key, Attempt: id,
		Body: rig2.Job(fmt.Sprintf("item-%d", n), "/fit/", n, 1, 4, 4, 600), Timeout: 4 * time.Second,
	})
	if a.Status != 202 {
		return errors.New("a step was not accepted")
	}
	time.Sleep(1500 * time.Millisecond)
	return nil
}

// check reports whether the rule held: nothing that was sent later than applyTime after
// the change runs at the old service. All of that was sent after a pause.
func check(f *rig2.Fleet, changed time.Duration) bool {
	held := true
	for _, w := range f.Workers {
		live, items := 0, 0
		for _, r := range w.Runs() {
			if r.Begun <= changed+applyTime {
				continue
			}
			if strings.HasPrefix(r.ID, "item") {
				items++
			} else {
				live++
			}
		}
		f.Record.Add("check: worker %s of service %s: %d plain requests and %d items later than 2 s after the change", w.ID, w.Service, live, items)
		if w.Service == "old-lm" && live+items > 0 {
			held = false
		}
	}
	return held
}
