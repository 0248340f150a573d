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
	// centres and pools are those of the size designed for.
	centres = 18
	pools   = 22
	rounds  = 200
)

// bench is one reducer with the rest of the fleet played.
type bench struct {
	s   *decide.State
	now clock.Millis
}

// config makes a configuration of a size.
func config(nPools, nKeys int) *spec.Config {
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

func newBench(nPools, nKeys, peers, targets int) *bench {
	b := &bench{s: decide.New(op.MemberInfo{Incarnation: "self#1", Address: "a", DataCentre: "dc-0"}, 60_000)}
	b.s.Reduce(0, op.Tick{})
	b.s.Reduce(0, op.StateRead{Result: op.Done, Revision: 1, State: &op.OperatorState{ConfigVersion: 1, Parsed: config(nPools, nKeys)}})
	list := op.ListRead{Result: op.Done}
	for i := range peers {
		list.Instances = append(list.Instances, platform.InstanceState{
			Instance: unit.Instance(fmt.Sprintf("entry-%04d", i)), Address: "10.0.0.1:8080", DataCentre: unit.DataCentre(fmt.Sprint("dc-", i%centres)),
		})
	}
	for i := range targets {
		list.Targets = append(list.Targets, platform.TargetState{
			Target: unit.Target(fmt.Sprintf("target-%05d", i)), Pool: unit.Pool(fmt.Sprintf("pool-%02d", i%nPools)),
			Address: "10.0.0.2:9000", DataCentre: unit.DataCentre(fmt.Sprint("dc-", i%centres)),
		})
	}
	b.s.Reduce(0, list)
	return b
}

// tick passes 100 ms in which every member showed life.
func (b *bench) tick() op.List {
	b.now += 100
	for _, m := range b.s.Members.Members {
		m.BeatAt = b.now
	}
	return b.s.Reduce(b.now, op.Tick{Wall: b.now})
}

// tickCost is a tick's processor time, as a part of a core at ten a second.
func tickCost(peers []int) Slope {
	s := Slope{Name: "ticks", X: "instances", Y: "% of a core"}
	for _, n := range peers {
		b := newBench(pools, 100, n, 0)
		b.tick()
		begun := time.Now()
		for range rounds {
			b.tick()
		}
		s.Points = append(s.Points, Point{float64(n), time.Since(begun).Seconds() / rounds * 10 * 100})
	}
	s.fit()
	return s
}

// decisionCost is the processor time of admitting and ending a request.
func decisionCost(targets []int) Slope {
	s := Slope{Name: "decisions", X: "targets listed", Y: "µs"}
	for _, n := range targets {
		b := newBench(1, 100, 8, n)
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

// pollRate is the load reports asked a second.
func pollRate(targets []int) Slope {
	s := Slope{Name: "load reports", X: "targets listed", Y: "a second"}
	for _, n := range targets {
		b := newBench(pools, 100, 8, n)
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

// listRate is the bytes a second of the platform's lists, as JSON.
func listRate(instances []int) Slope {
	s := Slope{Name: "lists", X: "instances (6.25 targets each)", Y: "KB a second"}
	for _, n := range instances {
		list := op.ListRead{Result: op.Done}
		for i := range n {
			list.Instances = append(list.Instances, platform.InstanceState{Instance: unit.Instance(fmt.Sprintf("entry-%04d", i)), Address: "10.0.0.1:8080", DataCentre: "dc-00"})
		}
		for i := range n * 25 / 4 {
			list.Targets = append(list.Targets, platform.TargetState{Target: unit.Target(fmt.Sprintf("target-%05d", i)), Pool: "pool-00", Address: "10.0.0.2:9000", DataCentre: "dc-00"})
		}
		size := len(text(list.Instances)) + len(text(list.Targets))
		b := newBench(pools, 100, 0, 0)
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

// keyMemory is the memory of a configuration in force.
func keyMemory(keys []int) Slope {
	s := Slope{Name: "configuration", X: "keys", Y: "MB"}
	for _, n := range keys {
		before := heap()
		b := newBench(pools, n, 0, 0)
		s.Points = append(s.Points, Point{float64(n), float64(heap()-before) / 1e6})
		runtime.KeepAlive(b)
	}
	s.fit()
	return s
}

// stepCost is the processor time of a step's decisions, from opening to the
// last acknowledgement.
func stepCost(samples []int) Slope {
	s := Slope{Name: "step decisions", X: "samples", Y: "ms a step"}
	for _, n := range samples {
		b := newBench(1, 2, 0, 64)
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

func (b *bench) runStep(n int) {
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

// recordSize is the size of a step's record in the store.
func recordSize(samples []int) Slope {
	s := Slope{Name: "step record", X: "samples", Y: "KB"}
	for _, n := range samples {
		r := op.StepRecord{Home: "entry-0001#00001796364128671673", Epoch: 1, Count: n, Billed: make([]byte, n/8)}
		s.Points = append(s.Points, Point{float64(n), float64(len(text(r))) / 1000})
	}
	s.fit()
	return s
}

// exchangeSize is the size of what one instance tells another.
func exchangeSize(peers []int) Slope {
	s := Slope{Name: "exchange", X: "instances", Y: "KB"}
	for _, n := range peers {
		b := newBench(pools, 100, n, 0)
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
		s.Points = append(s.Points, Point{float64(n), float64(len(text(out))) / 1000})
	}
	s.fit()
	return s
}

func text(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
