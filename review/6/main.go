// Command 6 is a case of the second review; see claim.txt.
package main

import (
	"fmt"
	"time"

	"github.com/catkinhead/catkinhead/review/rig2"
)

const (
	host = "rollouts.example"
	key  = "key-of-the-tenant"
	// jobID is one of the third of all ids for which this shows itself with these three
	// machines.
	jobID = "fd5c8199f65ad8fa"
	// deadline is how long the trainer waits for a step, steady the time of steady state
	// for which an item may be at no worker, contact the time after a disruption from
	// which on a machine is in touch.
	deadline = 12 * time.Second
	steady   = 5 * time.Second
	contact  = 3 * time.Second
)

func main() { rig2.Main(run) }

// run returns whether the rule held.
func run(f *rig2.Fleet, trouble bool) (bool, error) {
	f.Store.Set("config", "main", `{"version":1,"routes":[
{"name":"r-rollouts","hostname":"`+host+`","path_prefix":"/fit/","route_kind":"rollout","timeout_ms":10000,"target_latency_ms":500,"priority":1,"service":"fitter","max_attempts":3,"queue_ttl_s":40.0,"result_deadline_ms":7500,"single_version":false,"public":false,"sticky":true,"resumable":true}],
"services":[{"name":"fitter","health_path":"/healthz","max_conns":170,"protocol":"h1","tls":false,"engine":{"slots":16,"kv_capacity":44070,"models":[{"name":"model-a"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"tenant-a","api_keys":["`+key+`"],"priority":1}]}`)
	for n := range 3 {
		w := &rig2.Worker{ID: fmt.Sprintf("i-worker-%d", n+1), Service: "fitter", Slots: 16, Events: 28, EventTime: 60 * time.Millisecond}
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
	time.Sleep(6 * time.Second)
	c := &course{f: f, trouble: trouble}
	return c.play()
}

// course is one step of the trainer and the disruptions beside it.
type course struct {
	f       *rig2.Fleet
	trouble bool
	// calmAt is when the last disruption ended.
	calmAt time.Duration
}

// setStore sets how the store treats all machines.
func (c *course) setStore(m rig2.Mode) {
	for _, e := range c.f.Edges {
		e.Store.SetMode(m)
	}
}

// disrupt is the disruption: the store is down for 2.7 s; 0.1 s before its return the
// process that has the trainer's connection is killed, and it is started again 0.5 s
// later. The trainer sends its step 1.5 s after the store went down.
func (c *course) disrupt(submit func()) error {
	c.f.Record.Add("platform: the store is down (503)")
	c.setStore(rig2.Busy)
	time.Sleep(1500 * time.Millisecond)
	go submit()
	time.Sleep(1100 * time.Millisecond)
	c.f.Edges[0].Kill()
	time.Sleep(100 * time.Millisecond)
	c.setStore(rig2.Serving)
	c.f.Record.Add("platform: the store is back")
	time.Sleep(400 * time.Millisecond)
	err := c.f.Edges[0].Start()
	c.calmAt = c.f.Record.Now()
	return err
}

func (c *course) play() (bool, error) {
	accepted := make(chan int, 1)
	firstSent := make(chan time.Duration, 1)
	submit := func() {
		firstSent <- c.f.Record.Now()
		// The trainer's own machine is the first one; retries reach the others.
		for n := range 6 {
			e := c.f.Edges[min(n, 1)]
			a := c.f.Send(e, rig2.Request{
				Method: "POST", Path: "/fit/" + jobID, Host: host, Key: key, Attempt: jobID,
				Header: map[string]string{"Content-Type": "application/json"},
				Body:   rig2.Job("item", "/fit/", 0, 1, 4, 4, 600), Timeout: 4 * time.Second,
			})
			if a.Status == 202 {
				accepted <- n
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
		accepted <- -1
	}
	if c.trouble {
		if err := c.disrupt(submit); err != nil {
			return false, err
		}
	} else {
		c.calmAt = c.f.Record.Now()
		go submit()
	}
	begun := <-firstSent
	if n := <-accepted; n < 0 {
		return false, fmt.Errorf("the step was not accepted")
	}
	return c.read(begun + deadline)
}

// read reads the results as the trainer does, until all are there or its time is up.
func (c *course) read(until time.Duration) (bool, error) {
	listed := make(map[string]bool)
	for n := 0; c.f.Record.Now() < until; n++ {
		e := c.f.Edges[0]
		if n%4 == 3 {
			// Another client of the tenant, at the third machine.
			e = c.f.Edges[2]
		}
		a := c.f.Send(e, rig2.Request{
			Method: "GET", Path: "/lots/" + jobID + "?after=0", Host: host, Key: key,
			Header: map[string]string{"X-Wait-Ms": "1000"}, Timeout: 2500 * time.Millisecond,
		})
		if p, ok := a.Read(); ok {
			for _, r := range p.Results {
				listed[r.ID] = true
			}
			if len(listed) == p.Total {
				c.f.Record.Add("check: all %d results were read", p.Total)
				return true, nil
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	return c.check(listed, until), nil
}

// check reports whether the rule held: each item that is not listed was finished by a
// worker, or was at a worker within the last 5 s of steady state.
func (c *course) check(listed map[string]bool, until time.Duration) bool {
	held := true
	calm := c.calmAt + contact
	for g := range 4 {
		for n := range 4 {
			id := fmt.Sprintf("item-%d-%d", g, n)
			if listed[id] {
				continue
			}
			last, whole := time.Duration(0), false
			for _, w := range c.f.Workers {
				for _, r := range w.Runs() {
					if r.ID != id {
						continue
					}
					whole = whole || r.Whole
					if r.Ended == 0 {
						r.Ended = until
					}
					last = max(last, r.Ended)
				}
			}
			idle := until - max(last, calm)
			c.f.Record.Add("check: item %s is not listed; finished by a worker: %v; last at a worker %.3f, then at none for %.3f s of steady state", id, whole, last.Seconds(), idle.Seconds())
			if !whole && idle >= steady {
				held = false
			}
		}
	}
	return held
}
