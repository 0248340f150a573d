// Package loadgen generates load on a fleet and measures how the fleet serves it.
// The load consists of live requests and of trainers. Live requests are single
// chat completions and form an open loop: their arrival times are drawn from a
// seed and do not depend on how fast the fleet responds. Trainers run steps, which
// are batches of samples, one after another, with some samples longer than the
// rest (stragglers).
package loadgen

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
	// maxArrivalsPerSecond and maxDuration are the largest allowed rate and
	// duration of a run.
	maxArrivalsPerSecond = 5000
	maxDuration          = 10 * time.Minute
	// maxLatencyMicros is the largest latency that the histograms record.
	maxLatencyMicros  = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Profile describes the load of one run.
type Profile struct {
	Addresses []string
	Route     string
	// Workspaces are the workspaces that send live requests, with their API keys
	// and weights.
	Workspaces []WorkspaceWeight
	// TrainerKeys are the API keys of the trainers; each runs steps one after
	// another.
	TrainerKeys []string
	Seed        uint64
	// Rate is the mean number of live requests per second.
	Rate     float64
	Duration time.Duration
	// Tokens is the length, in tokens, of a live response and of a sample that is
	// not a straggler.
	Tokens int
	// Samples is the number of samples in a step.
	Samples int
	// StragglerShare is the fraction of samples that are stragglers; they have
	// StragglerFactor times as many tokens as the others.
	StragglerShare  float64
	StragglerFactor int
	// Name prefixes the names of steps and makes them unique to this run.
	Name string
}

// WorkspaceWeight is a workspace with its API key and its weight, the relative
// part of the live requests that it sends.
type WorkspaceWeight struct {
	Name, Key string
	Weight    float64
}

// Check returns an error for the first field that is not valid.
func (p Profile) Check() error {
	switch {
	case len(p.Addresses) == 0:
		return fmt.Errorf("no addresses are given")
	case p.Rate < 0 || p.Rate > maxArrivalsPerSecond:
		return fmt.Errorf("rate is %g; 0 to %d is allowed", p.Rate, maxArrivalsPerSecond)
	case p.Duration <= 0 || p.Duration > maxDuration:
		return fmt.Errorf("duration is %v; up to %v is allowed", p.Duration, maxDuration)
	case p.Tokens < 1:
		return fmt.Errorf("tokens is %d; 1 or more is allowed", p.Tokens)
	}
	return nil
}

// Quantiles summarizes durations, in milliseconds.
type Quantiles struct {
	Count              int64
	P50, P90, P99, Max float64
}

// Result holds the measurements of a run.
type Result struct {
	Seed uint64
	// Live is the latency of successful live requests by workspace. It counts from
	// the scheduled arrival time, so it includes any delay before sending.
	Live map[string]Quantiles
	// Refused counts unsuccessful live requests by status, or by a short text if
	// there was no complete response.
	Refused map[string]int
	// StepTime is the duration of the steps that completed.
	StepTime Quantiles
	// Samples and Repeated count the samples of all steps: those delivered, and
	// the duplicates that were dropped.
	Samples  int
	Repeated int
	// IdleShare is the fraction of the run that trainers spent waiting for
	// their steps, as the mean over the trainers.
	IdleShare float64
}

// loadRun is the state of one Run call.
type loadRun struct {
	profile     Profile
	http        *http.Client
	mu          sync.Mutex
	result      Result
	liveLatency map[string]*hdrhistogram.Histogram
	stepTime    *hdrhistogram.Histogram
}

// Run generates the load of a profile for its Duration, waits for the live
// requests that are in flight then, and returns the measurements. It returns an
// error only if the profile is not valid; failed requests are counted in the
// Result.
func Run(ctx context.Context, p Profile) (Result, error) {
	if err := p.Check(); err != nil {
		return Result{}, err
	}
	r := &loadRun{
		profile:     p,
		http:        &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}, Timeout: 2 * time.Minute},
		liveLatency: make(map[string]*hdrhistogram.Histogram),
		stepTime:    newHistogram(),
	}
	r.result = Result{Seed: p.Seed, Live: make(map[string]Quantiles), Refused: make(map[string]int)}
	begun := time.Now()
	ctx, cancel := context.WithTimeout(ctx, p.Duration)
	defer cancel()
	ends := make(chan time.Duration)
	for i, key := range p.TrainerKeys {
		go func() { ends <- r.runTrainer(ctx, i, key) }()
	}
	r.sendArrivals(ctx)
	var waited time.Duration
	for range p.TrainerKeys {
		waited += <-ends
	}
	if n := len(p.TrainerKeys); n > 0 {
		r.result.IdleShare = waited.Seconds() / (time.Since(begun).Seconds() * float64(n))
	}
	for name, h := range r.liveLatency {
		r.result.Live[name] = quantiles(h)
	}
	r.result.StepTime = quantiles(r.stepTime)
	return r.result, nil
}

// sendArrivals sends live requests at their scheduled times until ctx ends,
// without waiting for earlier ones. It then waits for all that are in flight.
func (r *loadRun) sendArrivals(ctx context.Context) {
	if r.profile.Rate == 0 || len(r.profile.Workspaces) == 0 {
		<-ctx.Done()
		return
	}
	rng := rand.New(rand.NewPCG(r.profile.Seed, 1))
	ends := make(chan struct{})
	sent := 0
	for due := time.Now(); ; sent++ {
		due = due.Add(time.Duration(rng.ExpFloat64() / r.profile.Rate * float64(time.Second)))
		workspace := r.pickWorkspace(rng.Float64())
		select {
		case <-ctx.Done():
			for range sent {
				<-ends
			}
			return
		case <-time.After(time.Until(due)):
		}
		at := r.profile.Addresses[sent%len(r.profile.Addresses)]
		go func() {
			r.measureRequest(at, workspace, sent, due)
			ends <- struct{}{}
		}()
	}
}

// pickWorkspace picks a workspace by weight, for a random x from 0 to 1.
func (r *loadRun) pickWorkspace(x float64) WorkspaceWeight {
	var sum float64
	for _, w := range r.profile.Workspaces {
		sum += w.Weight
	}
	x *= sum
	for _, w := range r.profile.Workspaces {
		if x < w.Weight {
			return w
		}
		x -= w.Weight
	}
	return r.profile.Workspaces[len(r.profile.Workspaces)-1]
}

// measureRequest sends one live request and records its latency, or its status
// if it failed.
func (r *loadRun) measureRequest(address string, w WorkspaceWeight, n int, due time.Time) {
	status := r.post(address, w, n)
	took := time.Since(due)
	r.mu.Lock()
	defer r.mu.Unlock()
	if status != "200 OK" {
		r.result.Refused[status]++
		return
	}
	h := r.liveLatency[w.Name]
	if h == nil {
		h = newHistogram()
		r.liveLatency[w.Name] = h
	}
	_ = h.RecordValue(took.Microseconds())
}

// post sends one live request and returns its status line, or a short text if
// there was no complete response.
func (r *loadRun) post(address string, w WorkspaceWeight, n int) string {
	body, err := json.Marshal(map[string]any{
		"model": r.profile.Route, "max_tokens": r.profile.Tokens,
		"messages": []map[string]string{{"role": "user", "content": fmt.Sprintf("%s %d", w.Name, n)}},
	})
	if err != nil {
		return err.Error()
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return err.Error()
	}
	req.Header.Set("Authorization", "Bearer "+w.Key)
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

// runTrainer runs steps until ctx ends, and returns the time spent waiting for
// them. i is the trainer's index; each index has its own random numbers and step
// names.
func (r *loadRun) runTrainer(ctx context.Context, i int, key string) time.Duration {
	c := &client.Client{Addresses: r.profile.Addresses, Key: key}
	rng := rand.New(rand.NewPCG(r.profile.Seed, uint64(i)+100))
	var waited time.Duration
	for n := 0; ctx.Err() == nil; n++ {
		begun := time.Now()
		rep, err := c.Run(ctx, client.Step{
			Name: fmt.Sprintf("%s-%d-%d", r.profile.Name, i, n), Route: r.profile.Route, Samples: r.newSamples(rng, i, n), Staleness: 1 << 20,
		}, func(*rpc.Sample) error { return nil })
		waited += time.Since(begun)
		r.mu.Lock()
		r.result.Samples += rep.Delivered
		r.result.Repeated += rep.Repeated
		if err == nil {
			_ = r.stepTime.RecordValue(time.Since(begun).Microseconds())
		}
		r.mu.Unlock()
	}
	return waited
}

// newSamples builds the samples of a step and draws from rng which of them are
// stragglers. Groups of eight samples share a prompt.
func (r *loadRun) newSamples(rng *rand.Rand, trainer, step int) []*rpc.SampleSpec {
	out := make([]*rpc.SampleSpec, r.profile.Samples)
	for i := range out {
		n := r.profile.Tokens
		if rng.Float64() < r.profile.StragglerShare {
			n *= max(r.profile.StragglerFactor, 1)
		}
		out[i] = &rpc.SampleSpec{
			Prompt: fmt.Sprintf("trainer %d step %d group %d", trainer, step, i/8), MaxTokens: int64(n), Seed: int64(i),
			Group: int32(i / 8),
		}
	}
	return out
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, significantDigits)
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{Count: h.TotalCount(), P50: ms(50), P90: ms(90), P99: ms(99), Max: float64(h.Max()) / 1000}
}
