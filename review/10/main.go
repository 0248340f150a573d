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
	rolloutHost = "rollouts.example"
	liveHost    = "live.example"
	key         = "key-of-the-tenant"
	jobID       = "7c41e09b52d6a3f8"
	// applyTime is the time in which a configuration has to be in force, settle the time
	// after which an accepted batch job must be known everywhere.
	applyTime = 2 * time.Second
	settle    = time.Second
)

func main() { rig2.Main(run) }

// config returns a configuration, with the rollout route or without it.
func config(version int, rollouts bool) string {
	route := ""
	if rollouts {
		route = `,
{"name":"r-rollouts","hostname":"` + rolloutHost + `","path_prefix":"/fit/","route_kind":"rollout","timeout_ms":10000,"target_latency_ms":500,"priority":1,"service":"fitter","max_attempts":3,"queue_ttl_s":40.0,"result_deadline_ms":7500,"single_version":false,"public":false,"sticky":true,"resumable":true}`
	}
	return fmt.Sprintf(`{"version":%d,"routes":[
{"name":"r-live","hostname":"%s","path_prefix":"/desk/","route_kind":"idempotent","timeout_ms":800,"target_latency_ms":150,"priority":2,"service":"desk","max_attempts":2,"public":false}%s],
"services":[{"name":"fitter","health_path":"/healthz","max_conns":170,"protocol":"h1","tls":false,"engine":{"slots":16,"kv_capacity":44070,"models":[{"name":"model-a"}]}},
{"name":"desk","health_path":"/healthz","max_conns":100,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"tenant-a","api_keys":["%s"],"priority":1}]}`, version, liveHost, route, key)
}

// run returns whether the rule held.
func run(f *rig2.Fleet, trouble bool) (bool, error) {
	f.Store.Set("config", "main", config(1, true))
	for n := range 2 {
		if err := f.AddWorker(&rig2.Worker{ID: fmt.Sprintf("i-fitter-%d", n+1), Service: "fitter", Slots: 16, Events: 28, EventTime: 40 * time.Millisecond}); err != nil {
			return false, err
		}
	}
	if err := f.AddWorker(&rig2.Worker{ID: "i-desk-1", Service: "desk", Slots: 6, RequestTime: 25 * time.Millisecond}); err != nil {
		return false, err
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
	a := f.Send(f.Edges[0], rig2.Request{
		Method: "POST", Path: "/fit/" + jobID, Host: rolloutHost, Key: key, Attempt: jobID,
		Body: rig2.Job("item", "/fit/", 0, 1, 4, 4, 600), Timeout: 4 * time.Second,
	})
	if a.Status != 202 {
		return false, errors.New("the step was not accepted")
	}
	acceptedAt := f.Record.Now()
	// The results that are there before the change are read at each machine.
	if err := readAll(f); err != nil {
		return false, err
	}
	f.Store.Set("config", "main", config(2, !trouble))
	changedAt := f.Record.Now()
	held := true
	for f.Record.Now() < changedAt+8*time.Second {
		for _, e := range f.Edges {
			p := f.Send(e, rig2.Request{Method: "GET", Path: "/lots/" + jobID + "?after=0", Host: rolloutHost, Key: key, Timeout: 2500 * time.Millisecond})
			now := f.Record.Now()
			if now > acceptedAt+settle && now > changedAt+applyTime && (p.Status == 404 || p.Status == 410) {
				f.Record.Add("check: %s answers %d for the batch job, %.1f s after its 202", e.Name, p.Status, (now - acceptedAt).Seconds())
				held = false
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	return held, nil
}

// readAll reads all results of the step at each machine.
func readAll(f *rig2.Fleet) error {
	for _, e := range f.Edges {
		for end := time.Now().Add(8 * time.Second); ; {
			p, ok := f.Send(e, rig2.Request{
				Method: "GET", Path: "/lots/" + jobID + "?after=0", Host: rolloutHost, Key: key,
				Header: map[string]string{"X-Wait-Ms": "1000"}, Timeout: 2500 * time.Millisecond,
			}).Read()
			if ok && len(p.Results) == p.Total {
				for _, r := range p.Results {
					if r.State != "completed" || r.Text != f.Workers[0].Text(r.ID) || strings.TrimSpace(r.Text) == "" {
						return fmt.Errorf("unexpected result of %s", r.ID)
					}
				}
				break
			}
			if time.Now().After(end) {
				return errors.New("the step was not finished before the change")
			}
			time.Sleep(300 * time.Millisecond)
		}
	}
	return nil
}
