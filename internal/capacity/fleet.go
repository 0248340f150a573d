package capacity

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"runtime"
	"syscall"
	"time"

	"github.com/catkinhead/catkinhead/internal/loopback"
	"github.com/catkinhead/catkinhead/internal/setting"
	"github.com/catkinhead/catkinhead/internal/standin"
	"github.com/catkinhead/catkinhead/pkg/rpc"
	"github.com/catkinhead/catkinhead/pkg/spec"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// settleTime is left out before a fleet is measured for measureTime.
	settleTime  = 6 * time.Second
	measureTime = 10 * time.Second
	// fleetTargets is the number of engines behind each fleet.
	fleetTargets = 8
)

// spent is what a fleet spent up to a time.
type spent struct {
	at                     time.Time
	cpu                    time.Duration
	peers, platform, loads int64
	calls                  int64
}

// fleetCost runs fleets of several sizes without any work, and returns for one
// instance the processor time, memory and traffic, and for all of them the
// calls to the store and the time of a change of the configuration.
func fleetCost(ctx context.Context, sizes []int) ([]Slope, error) {
	cpu := Slope{Name: "idle instance", X: "instances", Y: "% of a core"}
	mem := Slope{Name: "memory of an instance", X: "instances", Y: "MB"}
	net := Slope{Name: "traffic of an instance", X: "instances", Y: "KB a second"}
	told := Slope{Name: "exchanges of an instance", X: "instances", Y: "KB a second"}
	calls := Slope{Name: "store calls of the fleet", X: "instances", Y: "a second"}
	change := Slope{Name: "configuration in force everywhere", X: "instances", Y: "ms"}
	for _, n := range sizes {
		x := float64(n)
		c, err := costOf(ctx, n)
		if err != nil {
			return nil, fmt.Errorf("fleet of %d: %w", n, err)
		}
		cpu.Points = append(cpu.Points, Point{x, c.cpu / x})
		mem.Points = append(mem.Points, Point{x, c.memory / x})
		net.Points = append(net.Points, Point{x, c.traffic / x})
		told.Points = append(told.Points, Point{x, c.peers / x})
		calls.Points = append(calls.Points, Point{x, c.calls})
		change.Points = append(change.Points, Point{x, c.change})
	}
	out := []Slope{cpu, mem, net, told, calls, change}
	for i := range out {
		out[i].fit()
	}
	return out, nil
}

// cost is what a whole fleet costs: % of a core, MB, KB a second in all and
// between peers, store calls a second, and ms for a change.
type cost struct{ cpu, memory, traffic, peers, calls, change float64 }

// costOf runs a fleet of n idle instances and measures it.
func costOf(ctx context.Context, n int) (cost, error) {
	f, before, err := newFleet(ctx, n)
	if f != nil {
		defer f.Stop() //nolint:errcheck // nothing is measured any more
	}
	if err != nil {
		return cost{}, err
	}
	took, err := change(ctx, f)
	if err != nil {
		return cost{}, err
	}
	time.Sleep(settleTime)
	a := spend(f)
	time.Sleep(measureTime)
	b := spend(f)
	sec := b.at.Sub(a.at).Seconds()
	// Every byte between peers is read by one and written by another.
	traffic := 2*(b.peers-a.peers) + b.platform - a.platform + b.loads - a.loads
	return cost{
		cpu:     (b.cpu - a.cpu).Seconds() / sec * 100,
		memory:  float64(heap()+stacks()-before) / 1e6,
		traffic: float64(traffic) / sec / 1000,
		peers:   2 * float64(b.peers-a.peers) / sec / 1000,
		calls:   float64(b.calls-a.calls) / sec,
		change:  float64(took.Milliseconds()),
	}, nil
}

// newFleet returns a fleet and the memory in use before its instances.
func newFleet(ctx context.Context, n int) (*loopback.Fleet, int64, error) {
	f, err := loopback.New(&standin.Platform{}, io.Discard)
	if err != nil {
		return nil, 0, err
	}
	for range fleetTargets {
		if err := f.AddEngine("pool-00", "dc-0", standin.EngineConfig{}); err != nil {
			return f, 0, err
		}
	}
	before := heap() + stacks()
	for i := range n {
		err := f.AddInstance(ctx, unit.DataCentre(fmt.Sprint("dc-", i%3)), func(s *setting.Settings) { s.LogLevel = "error" })
		if err != nil {
			return f, 0, err
		}
	}
	return f, before, nil
}

// change applies a configuration and returns the time until all have it.
func change(ctx context.Context, f *loopback.Fleet) (time.Duration, error) {
	time.Sleep(settleTime)
	doc, err := spec.Format(*config(1, 10))
	if err != nil {
		return 0, err
	}
	begun := time.Now()
	opCtx, op := f.Operator(ctx, 0)
	applied := make(chan error, 1)
	go func() {
		// The call itself waits until all have confirmed, which takes longer.
		_, err := op.ApplyConfig(opCtx, &rpc.ApplyConfigRequest{Document: doc})
		applied <- err
	}()
	for !all(ctx, f, doc) {
		if time.Since(begun) > time.Minute {
			return 0, errors.New("not in force everywhere after a minute")
		}
		time.Sleep(5 * time.Millisecond)
	}
	took := time.Since(begun)
	if err := <-applied; err != nil {
		return 0, fmt.Errorf("apply: %w", err)
	}
	return took, nil
}

func all(ctx context.Context, f *loopback.Fleet, doc []byte) bool {
	for i := range f.Instances {
		opCtx, op := f.Operator(ctx, i)
		got, err := op.GetConfig(opCtx, &rpc.GetConfigRequest{})
		if err != nil || !bytes.Equal(got.Document, doc) {
			return false
		}
	}
	return true
}

func spend(f *loopback.Fleet) spent {
	s := spent{at: time.Now(), calls: f.Platform.Stats().StoreCalls}
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) == nil {
		s.cpu = time.Duration(u.Utime.Nano() + u.Stime.Nano())
	}
	for _, i := range f.Instances {
		s.peers += i.Process.PeerBytes()
		s.platform += i.Platform.Bytes.Load()
		s.loads += i.Engines.LoadBytes.Load()
	}
	return s
}

func stacks() int64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.StackInuse)
}
