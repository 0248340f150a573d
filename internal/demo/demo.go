// Package demo runs a small fleet in one process on loopback: a simulated
// platform and simulated engines, several instances, two trainers, and one live
// service, which is a caller that sends single chat requests. The weights change in
// the middle. The package counts what the trainers and the live service received
// and what was reported as usage, and checks catkinhead's guarantees on these
// counts.
package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/catkinhead/catkinhead/internal/localfleet"
	"github.com/catkinhead/catkinhead/internal/setting"
	"github.com/catkinhead/catkinhead/internal/standin"
	"github.com/catkinhead/catkinhead/pkg/client"
	"github.com/catkinhead/catkinhead/pkg/rpc"
	"github.com/catkinhead/catkinhead/pkg/spec"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	instances = 3
	engines   = 4
	// samplesPerStep is the number of samples in a step.
	samplesPerStep = 64
	// groupSize is the number of samples that share one prompt.
	groupSize = 8
	// stepsPerTrainer is the number of steps that each trainer runs.
	stepsPerTrainer = 3
	// usageWindow is the length of a usage reporting window.
	usageWindow = 2 * time.Second
	// demoTimeout bounds the whole demo.
	demoTimeout = 28 * time.Second
	// sampleTokens is the length of a normal sample, stragglerTokens that of a
	// straggler.
	sampleTokens    = 40
	stragglerTokens = 240
)

// Result holds the counts of a run and the violated guarantees.
type Result struct {
	Trainers []TrainerResult
	// LiveAnswers counts the answers to the requests of the live service,
	// LiveWrong those requests that failed or whose answer had other text than the
	// engine generates.
	LiveAnswers, LiveWrong int
	// Delivered counts the tokens that callers and trainers received, Reported
	// those in the usage reports that the platform accepted.
	Delivered, Reported map[unit.Workspace]int64
	// Different counts usage reports that differed from the report already
	// accepted for the same window.
	Different int
	// Broken lists the violated guarantees.
	Broken []string
}

// TrainerResult holds the counts of one trainer over all its steps.
type TrainerResult struct {
	Workspace unit.Workspace
	Samples   int
	// ByVersion counts samples by the oldest version of the weights that
	// produced a part of them.
	ByVersion map[int64]int
	// Duplicates counts samples that were received again.
	Duplicates int
	// TooOld counts samples that were produced by older weights than the
	// staleness bound allows.
	TooOld int
	// Idle is the time that the trainer waited for its steps.
	Idle time.Duration
}

// fleet is the simulated platform and engines with the instances of the demo.
type fleet struct{ *localfleet.Fleet }

// Run starts the fleet, runs the trainers and the live service, and stops all.
// logTo receives the logs of the instances. A violated guarantee is listed in
// Result.Broken and is not an error.
func Run(ctx context.Context, logTo io.Writer) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	lf, err := localfleet.New(&standin.Platform{CheckFence: true, LagMillis: 200}, logTo)
	if err != nil {
		return Result{}, err
	}
	f := &fleet{lf}
	keys, err := f.start(ctx)
	var r Result
	if err == nil {
		r, err = f.runWorkloads(ctx, keys)
	}
	return r, errors.Join(err, f.Stop())
}

// callerKeys maps each workspace to its API key.
type callerKeys map[unit.Workspace]string

// start publishes version 2 of the weights, starts the engines and the instances,
// and applies the configuration, whose keys it returns.
func (f *fleet) start(ctx context.Context) (callerKeys, error) {
	f.Platform.Publish("draft-pool", 2)
	for i := range engines {
		err := f.AddEngine("draft-pool", dataCentre(i), standin.EngineConfig{TokenMicros: 1500, SwapMillis: 50, CheckFence: true})
		if err != nil {
			return nil, err
		}
	}
	for i := range instances {
		if err := f.AddInstance(ctx, dataCentre(i), func(s *setting.Settings) { s.Window = usageWindow }); err != nil {
			return nil, err
		}
	}
	keys, c, err := demoConfig()
	if err != nil {
		return nil, err
	}
	return keys, f.Configure(ctx, c)
}

// dataCentre alternates between two data centres.
func dataCentre(i int) unit.DataCentre { return unit.DataCentre([]string{"north", "south"}[i%2]) }

// demoConfig returns the configuration and the newly generated keys in it.
func demoConfig() (callerKeys, spec.Config, error) {
	keys := make(callerKeys)
	c := spec.Config{
		Routes: []spec.Route{{Name: "draft", Pool: "draft-pool"}},
		Pools:  []spec.Pool{{Name: "draft-pool", Kind: spec.Model}},
	}
	for _, w := range []unit.Workspace{"trainer-a", "trainer-b", "booking"} {
		key, err := spec.NewKey()
		if err != nil {
			return nil, c, err
		}
		keys[w] = key
		c.Workspaces = append(c.Workspaces, spec.Workspace{Name: w, Weight: 1})
		c.Keys = append(c.Keys, spec.Key{ID: unit.KeyID(w), Workspace: w, Hash: spec.HashKey(key)})
	}
	return keys, c, nil
}

// runWorkloads runs the trainers and the live service, activates version 2 of the
// weights meanwhile, and checks the results.
func (f *fleet) runWorkloads(ctx context.Context, keys callerKeys) (Result, error) {
	r := Result{Delivered: make(map[unit.Workspace]int64)}
	var version atomic.Int64
	version.Store(1)
	var mu sync.Mutex
	liveCtx, endLive := context.WithCancel(ctx)
	liveDone := make(chan liveCounts)
	go func() { liveDone <- f.runLive(liveCtx, keys["booking"]) }()
	errs := make(chan error)
	for _, w := range []unit.Workspace{"trainer-a", "trainer-b"} {
		go func() {
			t, tokens, err := f.runTrainer(ctx, w, keys[w], &version)
			mu.Lock()
			defer mu.Unlock()
			r.Trainers = append(r.Trainers, t)
			r.Delivered[w] = tokens
			errs <- err
		}()
	}
	time.Sleep(1500 * time.Millisecond)
	opCtx, op := f.OperatorClient(ctx, 0)
	if _, err := op.Activate(opCtx, &rpc.ActivateRequest{Pool: "draft-pool", Version: 2}); err != nil {
		endLive()
		return r, fmt.Errorf("activate weights: %w", err)
	}
	version.Store(2)
	err := errors.Join(<-errs, <-errs)
	endLive()
	live := <-liveDone
	r.LiveAnswers, r.LiveWrong, r.Delivered["booking"] = live.answers, live.wrong, live.tokens
	if err != nil {
		return r, err
	}
	f.awaitReports(ctx, &r)
	r.checkGuarantees()
	return r, nil
}

// runTrainer runs the steps of one trainer. It also returns the number of tokens
// in all samples received. version is the newest version of the weights that the
// trainer knows.
func (f *fleet) runTrainer(ctx context.Context, w unit.Workspace, key string, version *atomic.Int64) (TrainerResult, int64, error) {
	t := TrainerResult{Workspace: w, ByVersion: make(map[int64]int)}
	c := &client.Client{Addresses: f.Addresses(), Key: key}
	var tokens int64
	for n := range stepsPerTrainer {
		seen := make(map[int32]bool)
		begun := time.Now()
		_, err := c.Run(ctx, client.Step{
			Name: fmt.Sprintf("%s-%d", w, n), Route: "draft", Samples: stepSamples(w, n),
			Staleness: 1, Version: version.Load,
		}, func(s *rpc.Sample) error {
			if seen[s.Index] {
				t.Duplicates++
			}
			seen[s.Index] = true
			tokens += s.Tokens
			oldest := oldestVersion(s)
			t.Samples++
			t.ByVersion[oldest]++
			if oldest < version.Load()-1 {
				t.TooOld++
			}
			return nil
		})
		t.Idle += time.Since(begun)
		if err != nil {
			return t, tokens, fmt.Errorf("step %d of %s: %w", n, w, err)
		}
	}
	return t, tokens, nil
}

// stepSamples builds the sample requests of a step: groups that share one prompt,
// with one straggler in each.
func stepSamples(w unit.Workspace, n int) []*rpc.SampleSpec {
	var out []*rpc.SampleSpec
	for i := range samplesPerStep {
		length := int64(sampleTokens)
		if i%groupSize == 0 {
			length = stragglerTokens
		}
		out = append(out, &rpc.SampleSpec{
			Prompt:    fmt.Sprintf("%s step %d: write a blessing for tide %d", w, n, i/groupSize),
			MaxTokens: length, Seed: int64(i), Group: int32(i / groupSize),
		})
	}
	return out
}

// oldestVersion returns the oldest version of the weights that produced a part of
// the sample, or 0 if the sample names no version.
func oldestVersion(s *rpc.Sample) int64 {
	oldest := int64(0)
	for i, v := range s.Versions {
		if i == 0 || v.Version < oldest {
			oldest = v.Version
		}
	}
	return oldest
}

// awaitReports waits until the usage reported to the platform covers all tokens
// delivered, or until ctx ends.
func (f *fleet) awaitReports(ctx context.Context, r *Result) {
	for {
		stats := f.Platform.Stats()
		r.Reported, r.Different = reportedTokens(stats), stats.Different
		allReported := true
		for w, n := range r.Delivered {
			allReported = allReported && r.Reported[w] >= n
		}
		if allReported {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// reportedTokens sums the tokens of all accepted usage windows by workspace.
func reportedTokens(s standin.PlatformStats) map[unit.Workspace]int64 {
	out := make(map[unit.Workspace]int64)
	for _, b := range s.Windows {
		var body struct {
			Lines []struct {
				Workspace unit.Workspace
				Tokens    int64
			}
		}
		if json.Unmarshal(b, &body) != nil {
			continue
		}
		for _, l := range body.Lines {
			out[l.Workspace] += l.Tokens
		}
	}
	return out
}

// checkGuarantees adds a line to Broken for each violated guarantee.
func (r *Result) checkGuarantees() {
	for _, t := range r.Trainers {
		if t.Samples != stepsPerTrainer*samplesPerStep {
			r.violated("%s received %d of %d samples", t.Workspace, t.Samples, stepsPerTrainer*samplesPerStep)
		}
		if t.Duplicates > 0 {
			r.violated("%s received %d duplicate samples", t.Workspace, t.Duplicates)
		}
		if t.TooOld > 0 {
			r.violated("%s received %d samples older than the staleness bound", t.Workspace, t.TooOld)
		}
		if t.ByVersion[0] > 0 {
			r.violated("%s received %d samples that name no version of the weights", t.Workspace, t.ByVersion[0])
		}
	}
	if r.LiveWrong > 0 {
		r.violated("%d live requests failed or got an incomplete or wrong answer", r.LiveWrong)
	}
	if r.LiveAnswers == 0 {
		r.violated("no live request was answered")
	}
	for w, n := range r.Delivered {
		if r.Reported[w] != n {
			r.violated("%s received %d tokens but %d were reported as usage", w, n, r.Reported[w])
		}
	}
	if r.Different > 0 {
		r.violated("%d usage reports differed from the one already accepted for their window", r.Different)
	}
}

// violated adds a violated guarantee.
func (r *Result) violated(format string, args ...any) {
	r.Broken = append(r.Broken, fmt.Sprintf(format, args...))
}
