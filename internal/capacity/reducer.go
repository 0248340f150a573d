package capacity

import (
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"github.com/catkinhead/catkinhead/internal/decide"
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/rpc"
	"github.com/catkinhead/catkinhead/pkg/spec"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// dataCentres and pools are the numbers of data centres and pools in a fleet of
	// the size that catkinhead is designed for.
	dataCentres = 18
	pools       = 22
	// tickRounds is the number of ticks that a tick's cost is averaged over.
	tickRounds = 200
)

// harness drives the reducer of one instance, decide.State, on a simulated clock
// and feeds it the events that the rest of the fleet would cause.
type harness struct {
	s   *decide.State
	now clock.Millis
}

// newConfig builds a configuration with nPools pools, each with a route, and nKeys
// keys of one workspace.
func newConfig(nPools, nKeys int) *spec.Config {
	c := &spec.Config{Workspaces: []spec.Workspace{{Name: "w"}}}
	for i := range nPools {
		name := unit.Pool(fmt.Sprintf("pool-%02d", i))
		c.Pools = append(c.Pools, spec.Pool{Name: name, Kind: spec.Model})
		c.Routes = append(c.Routes, spec.Route{Name: unit.Route(name), Pool: name})
	}
	for i := range nKeys {
		c.Keys = append(c.Keys, spec.Key{
			ID: unit.KeyID(fmt.Sprintf("key-%05d", i)), Workspace: "w", Hash: spec.HashKey(fmt.Sprint(i)),
		})
	}
	return c
}

// newHarness returns a harness whose reducer has received a configuration and the
// platform's lists of instances and targets, of the given sizes.
func newHarness(nPools, nKeys, peers, targets int) *harness {
	b := &harness{s: decide.New(op.MemberInfo{Incarnation: "self#1", Address: "a", DataCentre: "dc-0"}, 60_000)}
	b.s.Reduce(0, op.Tick{})
	b.s.Reduce(0, op.StateRead{Result: op.Done, Revision: 1, State: &op.OperatorState{ConfigVersion: 1, Parsed: newConfig(nPools, nKeys)}})
	list := op.ListRead{Result: op.Done}
	for i := range peers {
		list.Instances = append(list.Instances, platform.InstanceState{
			Instance: unit.Instance(fmt.Sprintf("entry-%04d", i)), Address: "10.0.0.1:8080", DataCentre: unit.DataCentre(fmt.Sprint("dc-", i%dataCentres)),
		})
	}
	for i := range targets {
		list.Targets = append(list.Targets, platform.TargetState{
			Target: unit.Target(fmt.Sprintf("target-%05d", i)), Pool: unit.Pool(fmt.Sprintf("pool-%02d", i%nPools)),
			Address: "10.0.0.2:9000", DataCentre: unit.DataCentre(fmt.Sprint("dc-", i%dataCentres)),
		})
	}
	b.s.Reduce(0, list)
	return b
}

// tick advances the clock by 100 ms, with a fresh heartbeat of every member, and
// returns the effects of the tick.
func (b *harness) tick() op.List {
	b.now += 100
	for _, m := range b.s.Members.Members {
		m.BeatAt = b.now
	}
	return b.s.Reduce(b.now, op.Tick{Wall: b.now})
}

// tickCost measures the share of a processor core that ticks take, at ten a second.
// It is computed from the wall time of a single goroutine, as are the times of the
// other functions in this file.
func tickCost(peers []int) Series {
	s := Series{Name: "ticks", X: "instances", Y: "% of a core"}
	for _, n := range peers {
		b := newHarness(pools, 100, n, 0)
		b.tick()
		begun := time.Now()
		for range tickRounds {
			b.tick()
		}
		s.Points = append(s.Points, Point{float64(n), time.Since(begun).Seconds() / tickRounds * 10 * 100})
	}
	s.fit()
	return s
}

// decisionCost measures the time of admitting and finishing a request.
func decisionCost(targets []int) Series {
	s := Series{Name: "decisions", X: "targets listed", Y: "µs"}
	for _, n := range targets {
		b := newHarness(1, 100, 8, n)
		for _, e := range b.tick() {
			if l, ok := e.(op.ReadLoad); ok {
				b.s.Reduce(b.now, op.LoadRead{Target: l.Target, Result: op.Done, Load: platform.Load{Slots: 16, Version: 1}})
			}
		}
		b.tick()
		hash := spec.HashKey("1")
		const times = 20_000
		begun := time.Now()
		for i := range times {
			id := unit.Request(fmt.Sprint(i))
			out := b.s.Reduce(b.now, op.Arrive{Request: op.Request{ID: id, Route: "pool-00", KeyHash: hash, Cost: 32, Prefix: uint64(i) * 7919}})
			for _, e := range out {
				if d, ok := e.(op.Dispatch); ok {
					b.s.Reduce(b.now, op.Finished{Request: id, Run: d.Run, Target: d.Target, OK: true, Outcome: unit.Ran})
				}
			}
		}
		s.Points = append(s.Points, Point{float64(n), float64(time.Since(begun).Microseconds()) / times})
	}
	s.fit()
	return s
}

// loadReportRate measures how many load reports an instance requests from targets
// a second.
func loadReportRate(targets []int) Series {
	s := Series{Name: "load reports", X: "targets listed", Y: "a second"}
	for _, n := range targets {
		b := newHarness(pools, 100, 8, n)
		asked := 0
		const seconds = 20
		for range seconds * 10 {
			for _, e := range b.tick() {
				if l, ok := e.(op.ReadLoad); ok {
					asked++
					b.s.Reduce(b.now, op.LoadRead{Target: l.Target, Result: op.Done, Load: platform.Load{Slots: 16, Version: 1}})
				}
			}
		}
		s.Points = append(s.Points, Point{float64(n), float64(asked) / seconds})
	}
	s.fit()
	return s
}

// listTraffic measures the traffic of one instance that reads the platform's lists
// of instances and targets as JSON.
func listTraffic(instances []int) Series {
	s := Series{Name: "lists", X: "instances (6.25 targets each)", Y: "KB a second"}
	for _, n := range instances {
		list := op.ListRead{Result: op.Done}
		for i := range n {
			list.Instances = append(list.Instances, platform.InstanceState{Instance: unit.Instance(fmt.Sprintf("entry-%04d", i)), Address: "10.0.0.1:8080", DataCentre: "dc-00"})
		}
		for i := range n * 25 / 4 {
			list.Targets = append(list.Targets, platform.TargetState{Target: unit.Target(fmt.Sprintf("target-%05d", i)), Pool: "pool-00", Address: "10.0.0.2:9000", DataCentre: "dc-00"})
		}
		size := len(mustJSON(list.Instances)) + len(mustJSON(list.Targets))
		b := newHarness(pools, 100, 0, 0)
		reads := 0
		const seconds = 600
		for range seconds * 10 {
			for _, e := range b.tick() {
				if _, ok := e.(op.ReadList); ok {
					reads++
					b.s.Reduce(b.now, list)
				}
			}
		}
		s.Points = append(s.Points, Point{float64(n), float64(size) * float64(reads) / seconds / 1000})
	}
	s.fit()
	return s
}

// configMemory measures the memory of the state with a configuration in force.
func configMemory(keys []int) Series {
	s := Series{Name: "configuration", X: "keys", Y: "MB"}
	for _, n := range keys {
		before := heapBytes()
		b := newHarness(pools, n, 0, 0)
		s.Points = append(s.Points, Point{float64(n), float64(heapBytes()-before) / 1e6})
		runtime.KeepAlive(b)
	}
	s.fit()
	return s
}

// stepCost measures the time of all decisions on a step, from opening
// it to the acknowledgement of its last sample.
func stepCost(samples []int) Series {
	s := Series{Name: "step decisions", X: "samples", Y: "ms a step"}
	for _, n := range samples {
		b := newHarness(1, 2, 0, 64)
		for _, e := range b.tick() {
			if l, ok := e.(op.ReadLoad); ok {
				b.s.Reduce(b.now, op.LoadRead{Target: l.Target, Result: op.Done, Load: platform.Load{Slots: 64, Version: 1}})
			}
		}
		begun := time.Now()
		b.runStep(n)
		s.Points = append(s.Points, Point{float64(n), float64(time.Since(begun).Microseconds()) / 1000})
	}
	s.fit()
	return s
}

// runStep opens a step of n samples and simulates the results of the reducer's
// effects until all samples are acknowledged: store calls succeed and samples
// finish at once.
func (b *harness) runStep(n int) {
	hash := spec.HashKey("1")
	queue := b.s.Reduce(b.now, op.OpenStep{
		Call: 1, Step: unit.StepID{Name: "s"}, Route: "pool-00", KeyHash: hash, Samples: make([]op.SampleShape, n),
	})
	var pulled []int32
	acked := 0
	for acked < n {
		if len(queue) == 0 {
			queue = b.s.Reduce(b.now, op.PullSamples{
				Call: 2, Step: unit.StepID{Name: "s"}, Epoch: 1, KeyHash: hash, Acknowledged: pulled,
			})
			acked += len(pulled)
			pulled = nil
		}
		e := queue[0]
		queue = queue[1:]
		switch e := e.(type) {
		case op.ReadStep:
			queue = append(queue, b.s.Reduce(b.now, op.StepRead{Step: e.Step, Result: op.Done})...)
		case op.SaveStep:
			queue = append(queue, b.s.Reduce(b.now, op.StepSaved{Step: e.Step, Result: op.Done, Record: e.Record, Revision: e.IfRev + 1})...)
		case op.Dispatch:
			queue = append(queue, b.s.Reduce(b.now, op.Finished{
				Request: e.Request, Run: e.Run, Target: e.Target, OK: true, Outcome: unit.Ran, Passed: 10, Spans: []op.Span{{Version: 1}},
			})...)
		case op.Deliver:
			for _, x := range e.Samples {
				pulled = append(pulled, x.Index)
			}
		}
	}
}

// recordSize measures the size, as JSON, of a step's record in the store.
func recordSize(samples []int) Series {
	s := Series{Name: "step record", X: "samples", Y: "KB"}
	for _, n := range samples {
		r := op.StepRecord{Home: "entry-0001#00001796364128671673", Epoch: 1, Count: n, Billed: make([]byte, n/8)}
		s.Points = append(s.Points, Point{float64(n), float64(len(mustJSON(r))) / 1000})
	}
	s.fit()
	return s
}

// exchangeSize measures the size, as JSON, of the message about the fleet's members
// that an instance sends to a peer.
func exchangeSize(peers []int) Series {
	s := Series{Name: "exchange", X: "instances", Y: "KB"}
	for _, n := range peers {
		b := newHarness(pools, 100, n, 0)
		for _, m := range b.s.Members.Members {
			m.Beat = 1
			m.Incarnation += "#00001796364128671673"
		}
		b.tick()
		k := b.s.Knowledge(b.now)
		out := &rpc.Knowledge{}
		for _, m := range k.Members {
			out.Members = append(out.Members, &rpc.Member{
				Incarnation: string(m.Incarnation), Address: m.Address, DataCentre: string(m.DataCentre), Beat: 1 << 20, ConfigVersion: 9000,
			})
		}
		s.Points = append(s.Points, Point{float64(n), float64(len(mustJSON(out))) / 1000})
	}
	s.fit()
	return s
}

// mustJSON encodes a value of a known type as JSON.
func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// heapBytes returns the bytes of live heap objects after a garbage collection.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
