// Package experiment compares the admission policies on the same seeds: small
// fleets on loopback, one after another, with the workloads that the users
// measure by. Engines are stand-ins, so the figures compare policies and say
// nothing of real engines.
package experiment

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/catkinhead/catkinhead/internal/load"
	"github.com/catkinhead/catkinhead/internal/loopback"
	"github.com/catkinhead/catkinhead/internal/setting"
	"github.com/catkinhead/catkinhead/internal/standin"
	"github.com/catkinhead/catkinhead/pkg/spec"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	instances  = 3
	engines    = 3
	workspaces = 8
	runTime    = 6 * time.Second
	liveTokens = 20
	// overload is twice what the engines can serve, in requests a second: 12
	// slots of 100 ms and a prefill of 20 ms each.
	overload = 200
	// hotShare is the hot workspace's part of the arrivals.
	hotShare = 0.6
	// deadline of a live request, in milliseconds.
	deadline = 4000
)

// shape of the engines.
var shape = standin.EngineConfig{Slots: 4, TokenMicros: 5000, PrefillMicros: 20_000, CachedPrefixes: 8}

// Outcome is what one run measured.
type Outcome struct {
	Workload, Policy string
	Seed             uint64
	// WorstP99 is the 99th percentile of the worst-served workspace that asks
	// for less than its share, in ms.
	WorstP99 float64
	// Answered and Refused count live requests.
	Answered, Refused int64
	// StepMillis is the median time of a step, which trainers wait for.
	StepMillis float64
	Samples    int
	// HitShare is the part of prompts whose prefix was cached.
	HitShare float64
}

// workload makes a load for a seed.
type workload func(f *loopback.Fleet, keys []string, seed uint64) load.Profile

var workloads = map[string]workload{"hot workspace": hot, "groups with stragglers": groups}

// hot is one workspace that alone asks for more than the engines can serve,
// among seven that ask for little.
func hot(f *loopback.Fleet, keys []string, seed uint64) load.Profile {
	p := load.Profile{
		Addresses: f.Addresses(), Route: "draft", Seed: seed, Rate: overload, Duration: runTime, Tokens: liveTokens,
	}
	for i, k := range keys {
		part := hotShare
		if i > 0 {
			part = (1 - hotShare) / float64(len(keys)-1) / 2
		}
		p.Keys = append(p.Keys, load.Share{Name: fmt.Sprint("w", i), Key: k, Part: part})
	}
	return p
}

// groups is two trainers whose samples come in groups of one prompt, with some
// that are eight times as long, and a little live traffic.
func groups(f *loopback.Fleet, keys []string, seed uint64) load.Profile {
	return load.Profile{
		Addresses: f.Addresses(), Route: "draft", Seed: seed, Rate: 5, Duration: runTime, Tokens: 10,
		Keys:        []load.Share{{Name: "w0", Key: keys[0], Part: 1}},
		TrainerKeys: keys[1:3], Samples: 64, StragglerShare: 0.06, StragglerTimes: 8, Name: fmt.Sprint("x", seed),
	}
}

// Workloads are the names of all workloads.
func Workloads() []string { return slices.Sorted(maps.Keys(workloads)) }

// Run compares policies on workloads and seeds and hands each outcome to note.
func Run(ctx context.Context, names, policies []string, seeds []uint64, note func(Outcome)) error {
	for _, name := range names {
		for _, seed := range seeds {
			for _, policy := range policies {
				o, err := once(ctx, policy, workloads[name], seed)
				if err != nil {
					return fmt.Errorf("%s under %s, seed %d: %w", name, policy, seed, err)
				}
				o.Workload = name
				note(o)
			}
		}
	}
	return nil
}

func once(ctx context.Context, policy string, w workload, seed uint64) (Outcome, error) {
	o := Outcome{Policy: policy, Seed: seed}
	f, err := loopback.New(&standin.Platform{}, io.Discard)
	if err != nil {
		return o, err
	}
	defer f.Stop() //nolint:errcheck // what is left is no part of the measurement
	for range engines {
		if err := f.AddEngine("pool", "north", shape); err != nil {
			return o, err
		}
	}
	for range instances {
		err := f.AddInstance(ctx, "north", func(s *setting.Settings) { s.Policy, s.LogLevel = policy, "error" })
		if err != nil {
			return o, err
		}
	}
	c, keys, err := config()
	if err != nil {
		return o, err
	}
	if err := f.Configure(ctx, c); err != nil {
		return o, err
	}
	r, err := load.Run(ctx, w(f, keys, seed))
	if err != nil {
		return o, err
	}
	o.take(r)
	o.HitShare = hits(f)
	return o, nil
}

func config() (spec.Config, []string, error) {
	c := spec.Config{
		Routes: []spec.Route{{Name: "draft", Pool: "pool", DeadlineMillis: deadline}},
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

func (o *Outcome) take(r load.Result) {
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

func hits(f *loopback.Fleet) float64 {
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

// Median is the outcome with each figure's median over the seeds.
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
