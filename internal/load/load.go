// Package load sends a bounded load to a fleet and measures it: arrivals of an
// open loop drawn from a seed, so that a slow fleet is not spared, and steps
// with stragglers.
package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/catkinhead/catkinhead/pkg/client"
	"github.com/catkinhead/catkinhead/pkg/rpc"
)

const (
	// maxRate bounds the arrivals a second, and maxTime a run.
	maxRate = 5000
	maxTime = 10 * time.Minute
	// longestMicros is the longest latency told apart, in microseconds.
	longestMicros = int64(10 * time.Minute / time.Microsecond)
	figures       = 3
)

// Profile is a load.
type Profile struct {
	Addresses []string
	Route     string
	// Keys of the workspaces that send live requests, each with its share.
	Keys []Share
	// TrainerKeys run steps one after another.
	TrainerKeys []string
	Seed        uint64
	// Rate is the live arrivals a second.
	Rate     float64
	Duration time.Duration
	Tokens   int
	Samples  int
	// StragglerShare of the samples are StragglerTimes as long.
	StragglerShare float64
	StragglerTimes int
	// Name makes the names of steps unique to the run.
	Name string
}

// Share is a workspace's part of the arrivals.
type Share struct {
	Name, Key string
	Part      float64
}

// Check returns an error that names the first wrong field.
func (p Profile) Check() error {
	switch {
	case len(p.Addresses) == 0:
		return fmt.Errorf("addresses are missing")
	case p.Rate < 0 || p.Rate > maxRate:
		return fmt.Errorf("rate is %g; 0 to %d is allowed", p.Rate, maxRate)
	case p.Duration <= 0 || p.Duration > maxTime:
		return fmt.Errorf("duration is %v; up to %v is allowed", p.Duration, maxTime)
	case p.Tokens < 1:
		return fmt.Errorf("tokens is %d; 1 or more is allowed", p.Tokens)
	}
	return nil
}

// Quantiles of a latency, in milliseconds.
type Quantiles struct {
	Count              int64
	P50, P90, P99, Max float64
}

// Result is what a run measured.
type Result struct {
	Seed uint64
	// Live is the latency of live answers by workspace, from the time that
	// they were due.
	Live map[string]Quantiles
	// Refused counts live requests by status code.
	Refused map[string]int
	// StepTime is the time of whole steps: trainers wait for it.
	StepTime Quantiles
	Samples  int
	Repeated int
	// IdleShare is the part of the run in which trainers waited.
	IdleShare float64
}

// run is a load under way.
type run struct {
	p    Profile
	http *http.Client
	mu   sync.Mutex
	res  Result
	live map[string]*hdrhistogram.Histogram
	step *hdrhistogram.Histogram
}

// Run sends a load and measures it.
func Run(ctx context.Context, p Profile) (Result, error) {
	if err := p.Check(); err != nil {
		return Result{}, err
	}
	r := &run{
		p:    p,
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}, Timeout: 2 * time.Minute},
		live: make(map[string]*hdrhistogram.Histogram),
		step: newHistogram(),
	}
	r.res = Result{Seed: p.Seed, Live: make(map[string]Quantiles), Refused: make(map[string]int)}
	begun := time.Now()
	ctx, cancel := context.WithTimeout(ctx, p.Duration)
	defer cancel()
	ends := make(chan time.Duration)
	for i, key := range p.TrainerKeys {
		go func() { ends <- r.train(ctx, i, key) }()
	}
	r.arrivals(ctx)
	var waited time.Duration
	for range p.TrainerKeys {
		waited += <-ends
	}
	if n := len(p.TrainerKeys); n > 0 {
		r.res.IdleShare = waited.Seconds() / (time.Since(begun).Seconds() * float64(n))
	}
	for name, h := range r.live {
		r.res.Live[name] = quantiles(h)
	}
	r.res.StepTime = quantiles(r.step)
	return r.res, nil
}

// arrivals sends live requests at the times that the seed gives, whatever the
// fleet does, and waits for all.
func (r *run) arrivals(ctx context.Context) {
	if r.p.Rate == 0 || len(r.p.Keys) == 0 {
		<-ctx.Done()
		return
	}
	rng := rand.New(rand.NewPCG(r.p.Seed, 1))
	ends := make(chan struct{})
	sent := 0
	for due := time.Now(); ; sent++ {
		due = due.Add(time.Duration(rng.ExpFloat64() / r.p.Rate * float64(time.Second)))
		share := r.pick(rng.Float64())
		select {
		case <-ctx.Done():
			for range sent {
				<-ends
			}
			return
		case <-time.After(time.Until(due)):
		}
		at := r.p.Addresses[sent%len(r.p.Addresses)]
		go func() {
			r.ask(at, share, sent, due)
			ends <- struct{}{}
		}()
	}
}

func (r *run) pick(x float64) Share {
	var sum float64
	for _, s := range r.p.Keys {
		sum += s.Part
	}
	x *= sum
	for _, s := range r.p.Keys {
		if x < s.Part {
			return s
		}
		x -= s.Part
	}
	return r.p.Keys[len(r.p.Keys)-1]
}

func (r *run) ask(address string, s Share, n int, due time.Time) {
	status := r.post(address, s, n)
	took := time.Since(due)
	r.mu.Lock()
	defer r.mu.Unlock()
	if status != "200 OK" {
		r.res.Refused[status]++
		return
	}
	h := r.live[s.Name]
	if h == nil {
		h = newHistogram()
		r.live[s.Name] = h
	}
	_ = h.RecordValue(took.Microseconds())
}

func (r *run) post(address string, s Share, n int) string {
	body, err := json.Marshal(map[string]any{
		"model": r.p.Route, "max_tokens": r.p.Tokens,
		"messages": []map[string]string{{"role": "user", "content": fmt.Sprintf("%s %d", s.Name, n)}},
	})
	if err != nil {
		return err.Error()
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return err.Error()
	}
	req.Header.Set("Authorization", "Bearer "+s.Key)
	res, err := r.http.Do(req)
	if err != nil {
		return "no answer"
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return "cut answer"
	}
	return res.Status
}

// train runs steps until ctx ends, and returns how long it waited for them.
func (r *run) train(ctx context.Context, i int, key string) time.Duration {
	c := &client.Client{Addresses: r.p.Addresses, Key: key}
	rng := rand.New(rand.NewPCG(r.p.Seed, uint64(i)+100))
	var waited time.Duration
	for n := 0; ctx.Err() == nil; n++ {
		begun := time.Now()
		rep, err := c.Run(ctx, client.Step{
			Name: fmt.Sprintf("%s-%d-%d", r.p.Name, i, n), Route: r.p.Route, Samples: r.samples(rng, i, n), Staleness: 1 << 20,
		}, func(*rpc.Sample) error { return nil })
		waited += time.Since(begun)
		r.mu.Lock()
		r.res.Samples += rep.Delivered
		r.res.Repeated += rep.Repeated
		if err == nil {
			_ = r.step.RecordValue(time.Since(begun).Microseconds())
		}
		r.mu.Unlock()
	}
	return waited
}

func (r *run) samples(rng *rand.Rand, trainer, step int) []*rpc.SampleSpec {
	out := make([]*rpc.SampleSpec, r.p.Samples)
	for i := range out {
		n := r.p.Tokens
		if rng.Float64() < r.p.StragglerShare {
			n *= max(r.p.StragglerTimes, 1)
		}
		out[i] = &rpc.SampleSpec{
			Prompt: fmt.Sprintf("trainer %d step %d group %d", trainer, step, i/8), MaxTokens: int64(n), Seed: int64(i),
			Group: int32(i / 8),
		}
	}
	return out
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, longestMicros, figures) }

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{Count: h.TotalCount(), P50: ms(50), P90: ms(90), P99: ms(99), Max: float64(h.Max()) / 1000}
}
