// Command 7 is a case of the second review; see claim.txt.
package main

import (
	"errors"
	"fmt"
	"time"

	"github.com/catkinhead/catkinhead/review/rig2"
)

const (
	host = "rollouts.example"
	key  = "key-of-the-tenant"
	// workers is the number of workers, groups and items the size of the trainer's step.
	workers = 9
	slots   = 16
	groups  = 2
	items   = 4
	// othersGroups and othersItems are the size of the other trainer's step.
	othersGroups = 20
	othersItems  = 7
	// deadline is how long the trainer waits for a step, steady the time of steady state
	// for which an item may be at no worker, contact the time after a disruption from
	// which on a machine is in touch.
	deadline = 12 * time.Second
	steady   = 5 * time.Second
	contact  = 3 * time.Second
)

func main() { rig2.Main(run) }

// start starts the deployment.
func start(f *rig2.Fleet) error {
	f.Store.Set("config", "main", fmt.Sprintf(`{"version":1,"routes":[
{"name":"r-rollouts","hostname":"%s","path_prefix":"/fit/","route_kind":"rollout","timeout_ms":10000,"target_latency_ms":500,"priority":1,"service":"fitter","max_attempts":3,"queue_ttl_s":40.0,"result_deadline_ms":7500,"single_version":false,"public":false,"sticky":true,"resumable":true}],
"services":[{"name":"fitter","health_path":"/healthz","max_conns":170,"protocol":"h1","tls":false,"engine":{"slots":16,"kv_capacity":44070,"models":[{"name":"model-a"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"tenant-a","api_keys":["%s"],"priority":1}]}`, host, key))
	for n := range workers {
		w := &rig2.Worker{ID: fmt.Sprintf("i-fitter-%d", n+1), Service: "fitter", Slots: slots, Events: 28, EventTime: 60 * time.Millisecond}
		if err := f.AddHiddenWorker(w); err != nil {
			return err
		}
	}
	for n := range 3 {
		if _, err := f.AddEdge(fmt.Sprintf("edge-%d", n+1)); err != nil {
			return err
		}
	}
	if err := f.StartAll(); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	return nil
}

// submit submits a step at a machine.
func submit(f *rig2.Fleet, e *rig2.Edge, name string, step, groups, perGroup int) (string, error) {
	id := fmt.Sprintf("%x%x", name, step)
	a := f.Send(e, rig2.Request{
		Method: "POST", Path: "/fit/" + id, Host: host, Key: key, Attempt: id,
		Body: rig2.Job(fmt.Sprintf("%s%d", name, step), "/fit/", step, 1, groups, perGroup, 600), Timeout: 4 * time.Second,
	})
	if a.Status != 202 {
		return id, errors.New("a step was not accepted")
	}
	return id, nil
}

// run returns whether the rule held.
func run(f *rig2.Fleet, trouble bool) (bool, error) {
	if err := start(f); err != nil {
		return false, err
	}
	// The step before leaves kept connections at the machine that owns it.
	before, err := submit(f, f.Edges[1], "mine", 0, 26, 8)
	if err != nil {
		return false, err
	}
	if _, all := read(f, f.Edges[1], before, f.Record.Now()+deadline); !all {
		return false, errors.New("the step before was not finished")
	}
	f.Send(f.Edges[1], rig2.Request{Method: "DELETE", Path: "/lots/" + before, Host: host, Key: key, Timeout: 4 * time.Second})
	time.Sleep(time.Second)
	// Another trainer's step takes most places of the workers for two seconds.
	others, err := submit(f, f.Edges[0], "others", 0, othersGroups, othersItems)
	if err != nil {
		return false, err
	}
	time.Sleep(400 * time.Millisecond)
	begun := f.Record.Now()
	id, err := submit(f, f.Edges[1], "mine", 1, groups, items)
	if err != nil {
		return false, err
	}
	calm := make(chan time.Duration, 1)
	go func() {
		if trouble {
			silence(f)
		}
		calm <- f.Record.Now()
	}()
	go read(f, f.Edges[0], others, begun+deadline)
	listed, all := read(f, f.Edges[1], id, begun+deadline)
	return all || check(f, listed, <-calm, begun+deadline), nil
}

// silence makes all open connections to the workers go silent.
func silence(f *rig2.Fleet) {
	time.Sleep(400 * time.Millisecond)
	n := 0
	for _, w := range f.Workers {
		n += w.Proxy.Silence()
	}
	f.Record.Add("links: %d open connections to workers have gone silent", n)
}

// read reads the results as the trainer does, until all are there or its time is up.
func read(f *rig2.Fleet, e *rig2.Edge, id string, until time.Duration) (listed map[string]bool, all bool) {
	listed = make(map[string]bool)
	for f.Record.Now() < until {
		a := f.Send(e, rig2.Request{
			Method: "GET", Path: "/lots/" + id + "?after=0", Host: host, Key: key,
			Header: map[string]string{"X-Wait-Ms": "1000"}, Timeout: 2500 * time.Millisecond,
		})
		if p, ok := a.Read(); ok {
			for _, r := range p.Results {
				listed[r.ID] = true
			}
			if len(listed) == p.Total {
				f.Record.Add("check: all %d results of %s were read", p.Total, id)
				return listed, true
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	return listed, false
}

// check reports whether the rule held: each item that is not listed was finished by a
// worker, or was at a worker within the last 5 s of steady state, or the workers were not
// under half full then, or no item of the step had begun.
func check(f *rig2.Fleet, listed map[string]bool, calm, until time.Duration) bool {
	last, whole, begun := make(map[string]time.Duration), make(map[string]bool), false
	var runs []rig2.Run
	for _, w := range f.Workers {
		for _, r := range w.Runs() {
			if r.Ended == 0 {
				r.Ended = until
			}
			last[r.ID] = max(last[r.ID], r.Ended)
			whole[r.ID] = whole[r.ID] || r.Whole
			runs = append(runs, r)
		}
	}
	most := mostTaken(runs, until-steady, until)
	f.Record.Add("check: of %d places of the workers, at most %d were taken in the last %.0f s", workers*slots, most, steady.Seconds())
	idleItems := 0
	for g := range groups {
		for n := range items {
			id := fmt.Sprintf("mine1-%d-%d", g, n)
			begun = begun || last[id] > 0
			if listed[id] {
				continue
			}
			idle := until - max(last[id], calm+contact)
			f.Record.Add("check: item %s is not listed; finished by a worker: %v; last at a worker at %.3f, then at none for %.3f s of steady state", id, whole[id], last[id].Seconds(), idle.Seconds())
			if !whole[id] && idle >= steady {
				idleItems++
			}
		}
	}
	return idleItems == 0 || !begun || 2*most >= workers*slots
}

// mostTaken returns how many runs were in progress at most at the same time.
func mostTaken(runs []rig2.Run, from, until time.Duration) int {
	most := 0
	for t := from; t <= until; t += 20 * time.Millisecond {
		n := 0
		for _, r := range runs {
			if r.Begun <= t && t < r.Ended {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
