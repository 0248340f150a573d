// Package experiment compares the admission policies on the same workloads and
// seeds. Each run starts a small fleet on loopback; the workloads are those by
// which the users judge the service. Engines are simulated, so the figures
// compare policies and don't predict the performance of real engines.
package experiment

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/catkinhead/catkinhead/internal/loadgen"
	"github.com/catkinhead/catkinhead/internal/localfleet"
	"github.com/catkinhead/catkinhead/internal/setting"
	"github.com/catkinhead/catkinhead/internal/standin"
	"github.com/catkinhead/catkinhead/pkg/spec"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	instances  = 3
	engines    = 3
	workspaces = 8
	// runTime is how long a run sends load.
	runTime = 6 * time.Second
	// liveTokens is the length of a live answer in the hot workspace workload.
	liveTokens = 20
	// overloadRate is the arrival rate in requests a second, twice what the
	// engines can serve: 12 slots, with 100 ms of decoding and 20 ms of prefill a
	// request.
	overloadRate = 200
	// hotShare is the hot workspace's weight in the arrivals. All others together
	// have the weight (1-hotShare)/2, so the hot one sends 75 % of the requests.
	hotShare = 0.6
	// deadlineMillis is the deadline of a request.
	deadlineMillis = 4000
)

// engineConfig describes the simulated engines.
var engineConfig = standin.EngineConfig{Slots: 4, TokenMicros: 5000, PrefillMicros: 20_000, CachedPrefixes: 8}

// Outcome holds the measurements of one run, or their medians over several runs.
type Outcome struct {
	Workload, Policy string
	Seed             uint64
	// WorstP99 is the highest 99th percentile latency, in ms, among the
	// workspaces that request less than their share.
	WorstP99 float64
	// Answered counts the live requests with status 200, Refused all others.
	Answered, Refused int64
	// StepMillis is the median duration of a step, for which trainers wait.
	StepMillis float64
	// Samples counts the samples that trainers received.
	Samples int
	// HitShare is the fraction of prompts whose prefix was cached.
	HitShare float64
}

// workload builds the load profile of a run from its seed.
type workload func(f *localfleet.Fleet, keys []string, seed uint64) loadgen.Profile

var workloads = map[string]workload{"hot workspace": hotWorkspace, "groups with stragglers": stragglerGroups}

// hotWorkspace is a workload in which one workspace alone requests more than the
// engines can serve, and the others request less than their share.
func hotWorkspace(f *localfleet.Fleet, keys []string, seed uint64) loadgen.Profile {
	p := loadgen.Profile{
		Addresses: f.Addresses(), Route: "draft", Seed: seed, Rate: overloadRate, Duration: runTime, Tokens: liveTokens,
	}
	for i, k := range keys {
		weight := hotShare
		if i > 0 {
			weight = (1 - hotShare) / float64(len(keys)-1) / 2
		}
		p.Workspaces = append(p.Workspaces, loadgen.WorkspaceWeight{Name: fmt.Sprint("w", i), Key: k, Weight: weight})
	}
	return p
}

// stragglerGroups is a workload of two trainers whose samples come in groups that
// share one prompt. A few samples are eight times as long as the others. There is
// little live traffic.
func stragglerGroups(f *localfleet.Fleet, keys []string, seed uint64) loadgen.Profile {
	return loadgen.Profile{
		Addresses: f.Addresses(), Route: "draft", Seed: seed, Rate: 5, Duration: runTime, Tokens: 10,
		Workspaces:  []loadgen.WorkspaceWeight{{Name: "w0", Key: keys[0], Weight: 1}},
		TrainerKeys: keys[1:3], Samples: 64, StragglerShare: 0.06, StragglerFactor: 8, Name: fmt.Sprint("x", seed),
	}
}

// Workloads returns the names of all workloads in order.
func Workloads() []string { return slices.Sorted(maps.Keys(workloads)) }

// Run runs each workload with each seed under each policy and passes each outcome
// to report. The names of the workloads must be among those of Workloads. The first
// error ends it.
func Run(ctx context.Context, names, policies []string, seeds []uint64, report func(Outcome)) error {
	for _, name := range names {
		for _, seed := range seeds {
			for _, policy := range policies {
				o, err := runOnce(ctx, policy, workloads[name], seed)
				if err != nil {
					return fmt.Errorf("%s under %s, seed %d: %w", name, policy, seed, err)
				}
				o.Workload = name
				report(o)
			}
		}
	}
	return nil
}

// runOnce measures one workload under one policy on a new fleet.
func runOnce(ctx context.Context, policy string, w workload, seed uint64) (Outcome, error) {
	o := Outcome{Policy: policy, Seed: seed}
	f, err := localfleet.New(&standin.Platform{}, io.Discard)
	if err != nil {
		return o, err
	}
	defer f.Stop() //nolint:errcheck // the measurement is over
	for range engines {
		if err := f.AddEngine("pool", "north", engineConfig); err != nil {
			return o, err
		}
	}
	for range instances {
		err := f.AddInstance(ctx, "north", func(s *setting.Settings) { s.Policy, s.LogLevel = policy, "error" })
		if err != nil {
			return o, err
		}
	}
	c, keys, err := newConfig()
	if err != nil {
		return o, err
	}
	if err := f.Configure(ctx, c); err != nil {
		return o, err
	}
	r, err := loadgen.Run(ctx, w(f, keys, seed))
	if err != nil {
		return o, err
	}
	o.setLoad(r)
	o.HitShare = prefixHitShare(f)
	return o, nil
}

// newConfig builds a configuration of workspaces with equal weights and returns
// their API keys.
func newConfig() (spec.Config, []string, error) {
	c := spec.Config{
		Routes: []spec.Route{{Name: "draft", Pool: "pool", DeadlineMillis: deadlineMillis}},
		Pools:  []spec.Pool{{Name: "pool", Kind: spec.Model}},
	}
	var keys []string
	for i := range workspaces {
		key, err := spec.NewKey()
		if err != nil {
			return c, nil, err
		}
		name := fmt.Sprint("w", i)
		keys = append(keys, key)
		c.Workspaces = append(c.Workspaces, spec.Workspace{Name: unit.Workspace(name)})
		c.Keys = append(c.Keys, spec.Key{ID: unit.KeyID(name), Workspace: unit.Workspace(name), Hash: spec.HashKey(key)})
	}
	return c, keys, nil
}

// setLoad copies the figures of the load generator. Workspace w0 is the hot one,
// which WorstP99 leaves out.
func (o *Outcome) setLoad(r loadgen.Result) {
	for name, q := range r.Live {
		o.Answered += q.Count
		if name != "w0" {
			o.WorstP99 = max(o.WorstP99, q.P99)
		}
	}
	for _, n := range r.Refused {
		o.Refused += int64(n)
	}
	o.StepMillis, o.Samples = r.StepTime.P50, r.Samples
}

// prefixHitShare returns the fraction of prompts on all engines whose prefix was
// cached.
func prefixHitShare(f *localfleet.Fleet) float64 {
	hit, all := 0, 0
	for _, e := range f.Engines {
		s := e.Stats()
		hit += s.PrefixHits
		all += s.PrefixHits + s.PrefixMisses
	}
	if all == 0 {
		return 0
	}
	return float64(hit) / float64(all)
}

// Median returns an outcome in which each figure is the median over the list, or
// the upper of the two middle values if the length is even. The list must not be
// empty; the other fields are those of its first element.
func Median(list []Outcome) Outcome {
	o := list[0]
	pick := func(f func(Outcome) float64) float64 {
		var vs []float64
		for _, x := range list {
			vs = append(vs, f(x))
		}
		slices.Sort(vs)
		return vs[len(vs)/2]
	}
	o.WorstP99 = pick(func(x Outcome) float64 { return x.WorstP99 })
	o.Answered = int64(pick(func(x Outcome) float64 { return float64(x.Answered) }))
	o.Refused = int64(pick(func(x Outcome) float64 { return float64(x.Refused) }))
	o.StepMillis = pick(func(x Outcome) float64 { return x.StepMillis })
	o.Samples = int(pick(func(x Outcome) float64 { return float64(x.Samples) }))
	o.HitShare = pick(func(x Outcome) float64 { return x.HitShare })
	return o
}
