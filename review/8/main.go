// Command 8 is a case of the second review; see claim.txt.
package main

import (
	"errors"
	"fmt"
	"time"

	"github.com/catkinhead/catkinhead/review/rig2"
)

const (
	host   = "rollouts.example"
	key    = "key-of-the-tenant"
	jobID  = "7c41e09b52d6a3f8"
	groups = 4
	items  = 12
	// deadline is how long the trainer waits for a step, steady the time of steady state
	// for which an item may be at no worker, contact the time after a disruption from
	// which on a machine is in touch.
	deadline = 12 * time.Second
	steady   = 5 * time.Second
	contact  = 3 * time.Second
	// drainTime is how long a worker that leaves goes on serving, at least.
	drainTime = 2 * time.Second
)

func main() { rig2.Main(run) }

// config returns a configuration in which the rollout route leads to a service.
func config(version int, service string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[
{"name":"r-rollouts","hostname":"%s","path_prefix":"/fit/","route_kind":"rollout","timeout_ms":10000,"target_latency_ms":500,"priority":1,"service":"%s","max_attempts":3,"queue_ttl_s":40.0,"result_deadline_ms":7500,"single_version":false,"public":false,"sticky":true,"resumable":true}],
"services":[{"name":"old-lm","health_path":"/healthz","max_conns":170,"protocol":"h1","tls":false,"engine":{"slots":16,"kv_capacity":44070,"models":[{"name":"model-a"}]}},
{"name":"new-lm","health_path":"/healthz","max_conns":170,"protocol":"h1","tls":false,"engine":{"slots":16,"kv_capacity":44070,"models":[{"name":"model-a"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"tenant-a","api_keys":["%s"],"priority":1}]}`, version, host, service, key)
}

// run returns whether the rule held.
func run(f *rig2.Fleet, trouble bool) (bool, error) {
	f.Store.Set("config", "main", config(1, "old-lm"))
	for _, service := range []string{"old-lm", "new-lm", "new-lm"} {
		w := &rig2.Worker{ID: fmt.Sprintf("i-%s-%d", service, len(f.Workers)+1), Service: service, Slots: 16, Events: 28, EventTime: 60 * time.Millisecond}
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
	begun := f.Record.Now()
	a := f.Send(f.Edges[0], rig2.Request{
		Method: "POST", Path: "/fit/" + jobID, Host: host, Key: key, Attempt: jobID,
		Body: rig2.Job("item", "/fit/", 0, 1, groups, items, 600), Timeout: 4 * time.Second,
	})
	if a.Status != 202 {
		return false, errors.New("the step was not accepted")
	}
	calm := make(chan time.Duration, 1)
	go func() {
		if trouble {
			retireOld(f)
		}
		calm <- f.Record.Now()
	}()
	listed, all := read(f, begun+deadline)
	return all || check(f, listed, <-calm, begun+deadline), nil
}

// retireOld moves the route to the new service and then empties the only worker of the
// old one and takes it away.
func retireOld(f *rig2.Fleet) {
	time.Sleep(300 * time.Millisecond)
	f.Store.Set("config", "main", config(2, "new-lm"))
	time.Sleep(500 * time.Millisecond)
	old := f.Workers[0]
	f.Store.Set("servers", old.ID, old.Entry("draining"))
	time.Sleep(drainTime + 500*time.Millisecond)
	f.Store.Remove("servers", old.ID)
	old.Close()
	f.Record.Add("platform: worker %s has left", old.ID)
}

// read reads the results as the trainer does, until all are there or its time is up.
func read(f *rig2.Fleet, until time.Duration) (listed map[string]bool, all bool) {
	listed = make(map[string]bool)
	for n := 0; f.Record.Now() < until; n++ {
		a := f.Send(f.Edges[n%3], rig2.Request{
			Method: "GET", Path: "/lots/" + jobID + "?after=0", Host: host, Key: key,
			Header: map[string]string{"X-Wait-Ms": "1000"}, Timeout: 2500 * time.Millisecond,
		})
		if p, ok := a.Read(); ok {
			for _, r := range p.Results {
				listed[r.ID] = true
			}
			if len(listed) == p.Total {
				f.Record.Add("check: all %d results were read", p.Total)
				return listed, true
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	return listed, false
}

// check reports whether the rule held: each item that is not listed was finished by a
// worker, or was at a worker within the last 5 s of steady state.
func check(f *rig2.Fleet, listed map[string]bool, calm, until time.Duration) bool {
	last, whole := make(map[string]time.Duration), make(map[string]bool)
	for _, w := range f.Workers {
		for _, r := range w.Runs() {
			if r.Ended == 0 {
				r.Ended = until
			}
			last[r.ID] = max(last[r.ID], r.Ended)
			whole[r.ID] = whole[r.ID] || r.Whole
		}
	}
	held := true
	for g := range groups {
		for n := range items {
			id := fmt.Sprintf("item-%d-%d", g, n)
			idle := until - max(last[id], calm+contact)
			if listed[id] || whole[id] || idle < steady {
				continue
			}
			f.Record.Add("check: item %s is not listed; no worker has finished it; last at a worker at %.3f, then at none for %.3f s of steady state", id, last[id].Seconds(), idle.Seconds())
			held = false
		}
	}
	return held
}
