// Command 1 kills the holder of the duties, which starts again, and stops the next
// holder as planned soon after. It looks in which order the holders call the platform.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/catkinhead/catkinhead/review/rig"
)

const (
	machines = 3
	// leaseTime is lease_ms: holders that act in the order A, B, A take longer.
	leaseTime = 3 * time.Second
	// restartDelay is how long the platform takes to start a process again that has
	// ended.
	restartDelay = 500 * time.Millisecond
	// calm is the time without any disruption before a round, longer than contact_ms.
	calm = 4 * time.Second
	// callWait is longer than the time between two reports of usage.
	callWait = 8 * time.Second
	// after is how long the calls of the last holder of a round are watched.
	after    = 4 * time.Second
	rounds   = 3
	routes   = `[{"name":"r-page","hostname":"desk.example","path_prefix":"/page/","route_kind":"idempotent","timeout_ms":1500,"target_latency_ms":150,"priority":2,"service":"booking-app","max_attempts":2,"public":false}]`
	services = `[{"name":"booking-app","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}]`
)

func main() { rig.Main(run) }

// call is a report of usage as the platform gets it.
type call struct {
	at            time.Time
	holder, fence string
}

// platform keeps the calls in the order in which they arrive.
type platform struct {
	rig   *rig.Rig
	mu    sync.Mutex
	calls []call
}

func (p *platform) add(path, holder, fence string, body []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rig.Note("the platform gets %s from %s with fence %s: %s", path, holder, fence, body)
	if path == "/usage" {
		p.calls = append(p.calls, call{time.Now(), holder, fence})
	}
}

// next returns the first call after a time whose holder fits.
func (p *platform) next(from time.Time, fits func(holder string) bool) (call, error) {
	for end := time.Now().Add(callWait); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		p.mu.Lock()
		for _, c := range p.calls {
			if c.at.After(from) && fits(c.holder) {
				p.mu.Unlock()
				return c, nil
			}
		}
		p.mu.Unlock()
	}
	return call{}, fmt.Errorf("no report of usage in %s", callWait)
}

// turns returns how holders took turns inside leaseTime, or an empty text.
func (p *platform) turns() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k, last := range p.calls {
		for j := k - 1; j >= 0; j-- {
			middle := p.calls[j]
			if middle.holder == last.holder {
				continue
			}
			for i := j - 1; i >= 0; i-- {
				first := p.calls[i]
				if apart := last.at.Sub(first.at); first.holder == last.holder && apart < leaseTime {
					return fmt.Sprintf("ONE: holders acted in the order %s (fence %s), %s (fence %s), %s (fence %s) inside %s",
						first.holder, first.fence, middle.holder, middle.fence, last.holder, last.fence, apart.Round(time.Millisecond))
				}
			}
		}
	}
	return ""
}

func run(r *rig.Rig) (string, error) {
	p := &platform{rig: r}
	r.OnCloud = p.add
	r.Configure(3, routes, services)
	w := &rig.Worker{ID: "i-app-0", Service: "booking-app", Slots: 6, RequestTime: 25 * time.Millisecond}
	if err := r.AddWorker(w); err != nil {
		return "", err
	}
	edges, err := r.StartEdges(machines)
	if err != nil {
		return "", err
	}
	byName := make(map[string]*rig.Edge)
	for i, e := range edges {
		byName[e.Name] = e
		id := fmt.Sprintf("p%d", i)
		status, _ := r.Call(e, http.MethodPost, "/page/x", id, map[string]string{"X-Deadline-Ms": "1500"}, "page", 2*time.Second)
		r.Note("client gets %d for %s", status, id)
	}
	anyone := func(string) bool { return true }
	first, err := p.next(time.Now(), anyone)
	if err != nil {
		return "", err
	}
	r.Note("%s holds the duties", first.holder)
	if r.Trouble {
		if err := restart(byName[first.holder], syscall.SIGTERM); err != nil {
			return "", err
		}
	}
	for range rounds {
		time.Sleep(calm)
		// A round begins right after a report.
		holder, err := p.next(time.Now(), anyone)
		if err != nil {
			return "", err
		}
		if r.Trouble {
			err = disturb(p, byName, holder.holder, anyone)
		}
		if err != nil {
			return "", err
		}
		time.Sleep(after)
		if text := p.turns(); text != "" {
			return text, nil
		}
	}
	return p.turns(), nil
}

// disturb kills the holder, which starts again, and stops the next instance that
// acts as planned: its successor, or the holder itself if it goes on.
func disturb(p *platform, byName map[string]*rig.Edge, holder string, anyone func(string) bool) error {
	from := time.Now()
	killed := make(chan error, 1)
	go func() { killed <- restart(byName[holder], syscall.SIGKILL) }()
	next, err := p.next(from, anyone)
	if err != nil {
		return err
	}
	stop := func() error { return restart(byName[next.holder], syscall.SIGTERM) }
	if next.holder == holder {
		if err := <-killed; err != nil {
			return err
		}
		return stop()
	}
	stopped := make(chan error, 1)
	go func() { stopped <- stop() }()
	if err := <-killed; err != nil {
		return err
	}
	return <-stopped
}

// restart ends a process with a signal, starts it again after restartDelay and waits
// until it is ready.
func restart(e *rig.Edge, s syscall.Signal) error {
	<-e.Signal(s)
	time.Sleep(restartDelay)
	if err := e.Start(); err != nil {
		return err
	}
	return e.WaitReady()
}
