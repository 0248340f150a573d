// Package demo runs a whole small fleet in one process on loopback: stand-ins
// for the platform and the engines, several instances, two trainers and one
// live service, with a change of weights in the middle. It counts what was
// promised and says whether it held.
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

	"github.com/catkinhead/catkinhead/internal/loopback"
	"github.com/catkinhead/catkinhead/internal/setting"
	"github.com/catkinhead/catkinhead/internal/standin"
	"github.com/catkinhead/catkinhead/pkg/client"
	"github.com/catkinhead/catkinhead/pkg/rpc"
	"github.com/catkinhead/catkinhead/pkg/spec"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	instances    = 3
	engines      = 4
	samples      = 64
	groupSize    = 8
	steps        = 3
	window       = 2 * time.Second
	deadline     = 28 * time.Second
	sampleTokens = 40
	longTokens   = 240
)

// Result is what the demo counted.
type Result struct {
	Trainers []TrainerResult
	// LiveAnswers counts live answers, LiveWrong those that were not whole.
	LiveAnswers, LiveWrong int
	// Delivered is the tokens that callers and trainers received, Reported
	// those that the platform was told of.
	Delivered, Reported map[unit.Workspace]int64
	// Different counts windows reported with other figures.
	Different int
	// Broken lists the promises that did not hold.
	Broken []string
}

// TrainerResult is one trainer's count.
type TrainerResult struct {
	Workspace unit.Workspace
	Samples   int
	// ByVersion counts samples by the oldest version that produced them.
	ByVersion  map[int64]int
	Duplicates int
	TooOld     int
	// Idle is the time in which the trainer waited for its steps.
	Idle time.Duration
}

// fleet is all that runs.
type fleet struct{ *loopback.Fleet }

// Run runs the demo.
func Run(ctx context.Context, logTo io.Writer) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	lf, err := loopback.New(&standin.Platform{CheckFence: true, LagMillis: 200}, logTo)
	if err != nil {
		return Result{}, err
	}
	f := &fleet{lf}
	keys, err := f.start(ctx)
	var r Result
	if err == nil {
		r, err = f.work(ctx, keys)
	}
	return r, errors.Join(err, f.Stop())
}

// keysOf are the callers' keys by workspace.
type keysOf map[unit.Workspace]string

func (f *fleet) start(ctx context.Context) (keysOf, error) {
	f.Platform.Publish("draft-pool", 2)
	for i := range engines {
		err := f.AddEngine("draft-pool", centre(i), standin.EngineConfig{TokenMicros: 1500, SwapMillis: 50, CheckFence: true})
		if err != nil {
			return nil, err
		}
	}
	for i := range instances {
		if err := f.AddInstance(ctx, centre(i), func(s *setting.Settings) { s.Window = window }); err != nil {
			return nil, err
		}
	}
	keys, c, err := document()
	if err != nil {
		return nil, err
	}
	return keys, f.Configure(ctx, c)
}

func centre(i int) unit.DataCentre { return unit.DataCentre([]string{"north", "south"}[i%2]) }

// document is the demo's configuration and the keys in it.
func document() (keysOf, spec.Config, error) {
	keys := make(keysOf)
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

// work runs the trainers and the live service, and counts.
func (f *fleet) work(ctx context.Context, keys keysOf) (Result, error) {
	r := Result{Delivered: make(map[unit.Workspace]int64)}
	var version atomic.Int64
	version.Store(1)
	var mu sync.Mutex
	liveCtx, endLive := context.WithCancel(ctx)
	liveDone := make(chan liveCount)
	go func() { liveDone <- f.live(liveCtx, keys["booking"]) }()
	errs := make(chan error)
	for _, w := range []unit.Workspace{"trainer-a", "trainer-b"} {
		go func() {
			t, tokens, err := f.train(ctx, w, keys[w], &version)
			mu.Lock()
			defer mu.Unlock()
			r.Trainers = append(r.Trainers, t)
			r.Delivered[w] = tokens
			errs <- err
		}()
	}
	time.Sleep(1500 * time.Millisecond)
	opCtx, op := f.Operator(ctx, 0)
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
	r.judge()
	return r, nil
}

// train runs a trainer's steps.
func (f *fleet) train(ctx context.Context, w unit.Workspace, key string, version *atomic.Int64) (TrainerResult, int64, error) {
	t := TrainerResult{Workspace: w, ByVersion: make(map[int64]int)}
	c := &client.Client{Addresses: f.Addresses(), Key: key}
	var tokens int64
	for n := range steps {
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

// stepSamples makes the samples of a step: groups of one prompt, and one
// straggler in each.
func stepSamples(w unit.Workspace, n int) []*rpc.SampleSpec {
	var out []*rpc.SampleSpec
	for i := range samples {
		length := int64(sampleTokens)
		if i%groupSize == 0 {
			length = longTokens
		}
		out = append(out, &rpc.SampleSpec{
			Prompt:    fmt.Sprintf("%s step %d: write a blessing for tide %d", w, n, i/groupSize),
			MaxTokens: length, Seed: int64(i), Group: int32(i / groupSize),
		})
	}
	return out
}

func oldestVersion(s *rpc.Sample) int64 {
	oldest := int64(0)
	for i, v := range s.Versions {
		if i == 0 || v.Version < oldest {
			oldest = v.Version
		}
	}
	return oldest
}

// awaitReports waits until the platform was told of all that was delivered.
func (f *fleet) awaitReports(ctx context.Context, r *Result) {
	for {
		stats := f.Platform.Stats()
		r.Reported, r.Different = reportedTokens(stats), stats.Different
		whole := true
		for w, n := range r.Delivered {
			whole = whole && r.Reported[w] >= n
		}
		if whole {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

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

// judge lists the promises that did not hold.
func (r *Result) judge() {
	for _, t := range r.Trainers {
		if t.Samples != steps*samples {
			r.broken("%s got %d samples of %d", t.Workspace, t.Samples, steps*samples)
		}
		if t.Duplicates > 0 {
			r.broken("%s got %d samples twice", t.Workspace, t.Duplicates)
		}
		if t.TooOld > 0 {
			r.broken("%s got %d samples behind the bound", t.Workspace, t.TooOld)
		}
		if t.ByVersion[0] > 0 {
			r.broken("%s got %d samples without a version", t.Workspace, t.ByVersion[0])
		}
	}
	if r.LiveWrong > 0 {
		r.broken("%d live answers were not whole", r.LiveWrong)
	}
	if r.LiveAnswers == 0 {
		r.broken("no live answer came")
	}
	for w, n := range r.Delivered {
		if r.Reported[w] != n {
			r.broken("%s was delivered %d tokens and billed %d", w, n, r.Reported[w])
		}
	}
	if r.Different > 0 {
		r.broken("%d windows were reported with other figures", r.Different)
	}
}

func (r *Result) broken(format string, args ...any) {
	r.Broken = append(r.Broken, fmt.Sprintf(format, args...))
}
