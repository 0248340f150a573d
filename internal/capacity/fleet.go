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

	"github.com/catkinhead/catkinhead/internal/localfleet"
	"github.com/catkinhead/catkinhead/internal/setting"
	"github.com/catkinhead/catkinhead/internal/standin"
	"github.com/catkinhead/catkinhead/pkg/rpc"
	"github.com/catkinhead/catkinhead/pkg/spec"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// settleTime is how long a new or changed fleet runs before it is measured
	// for measureTime.
	settleTime  = 6 * time.Second
	measureTime = 10 * time.Second
	// fleetTargets is the number of targets of each fleet.
	fleetTargets = 8
)

// resourceUsage holds the cumulative resource usage of a fleet at a point in time.
type resourceUsage struct {
	at time.Time
	// cpu is the processor time of this process.
	cpu time.Duration
	// peers, platform and loads are the bytes exchanged with peers, with the
	// platform and with engines for load reports, over all instances. peers counts
	// each byte once, at the instance that opened the connection.
	peers, platform, loads int64
	// calls counts the calls to the store.
	calls int64
}

// measureFleets runs idle fleets of several sizes. It returns the processor time,
// memory and traffic of one instance, and for the whole fleet the store calls and
// the time until a change of the configuration is in force on all instances.
func measureFleets(ctx context.Context, sizes []int) ([]Series, error) {
	cpu := Series{Name: "idle instance", X: "instances", Y: "% of a core"}
	mem := Series{Name: "memory of an instance", X: "instances", Y: "MB"}
	net := Series{Name: "traffic of an instance", X: "instances", Y: "KB a second"}
	exchanges := Series{Name: "exchanges of an instance", X: "instances", Y: "KB a second"}
	calls := Series{Name: "store calls of the fleet", X: "instances", Y: "a second"}
	change := Series{Name: "configuration in force everywhere", X: "instances", Y: "ms"}
	for _, n := range sizes {
		x := float64(n)
		c, err := measureFleet(ctx, n)
		if err != nil {
			return nil, fmt.Errorf("fleet of %d: %w", n, err)
		}
		cpu.Points = append(cpu.Points, Point{x, c.cpu / x})
		mem.Points = append(mem.Points, Point{x, c.memory / x})
		net.Points = append(net.Points, Point{x, c.traffic / x})
		exchanges.Points = append(exchanges.Points, Point{x, c.peers / x})
		calls.Points = append(calls.Points, Point{x, c.calls})
		change.Points = append(change.Points, Point{x, c.change})
	}
	out := []Series{cpu, mem, net, exchanges, calls, change}
	for i := range out {
		out[i].fit()
	}
	return out, nil
}

// cost is the cost of a whole fleet: cpu in % of a core, memory in MB, all traffic
// in KB a second, the part of it between peers, store calls a second, and the time
// in ms until a change of the configuration is in force on all instances.
type cost struct{ cpu, memory, traffic, peers, calls, change float64 }

// measureFleet runs a fleet of n idle instances and measures its cost.
func measureFleet(ctx context.Context, n int) (cost, error) {
	f, before, err := newFleet(ctx, n)
	if f != nil {
		defer f.Stop() //nolint:errcheck // the measurement is over
	}
	if err != nil {
		return cost{}, err
	}
	took, err := timeConfigChange(ctx, f)
	if err != nil {
		return cost{}, err
	}
	time.Sleep(settleTime)
	a := readUsage(f)
	time.Sleep(measureTime)
	b := readUsage(f)
	sec := b.at.Sub(a.at).Seconds()
	// Bytes between peers count twice: one instance writes and another reads them.
	traffic := 2*(b.peers-a.peers) + b.platform - a.platform + b.loads - a.loads
	return cost{
		cpu:     (b.cpu - a.cpu).Seconds() / sec * 100,
		memory:  float64(heapBytes()+stackBytes()-before) / 1e6,
		traffic: float64(traffic) / sec / 1000,
		peers:   2 * float64(b.peers-a.peers) / sec / 1000,
		calls:   float64(b.calls-a.calls) / sec,
		change:  float64(took.Milliseconds()),
	}, nil
}

// newFleet starts a fleet of n instances. It also returns the bytes of memory in
// use before the instances were started. If an error occurs after the platform was
// started, the returned fleet is not nil and must be stopped.
func newFleet(ctx context.Context, n int) (*localfleet.Fleet, int64, error) {
	f, err := localfleet.New(&standin.Platform{}, io.Discard)
	if err != nil {
		return nil, 0, err
	}
	for range fleetTargets {
		if err := f.AddEngine("pool-00", "dc-0", standin.EngineConfig{}); err != nil {
			return f, 0, err
		}
	}
	before := heapBytes() + stackBytes()
	for i := range n {
		err := f.AddInstance(ctx, unit.DataCentre(fmt.Sprint("dc-", i%3)), func(s *setting.Settings) { s.LogLevel = "error" })
		if err != nil {
			return f, 0, err
		}
	}
	return f, before, nil
}

// timeConfigChange applies a configuration and returns the time until it is in
// force on all instances.
func timeConfigChange(ctx context.Context, f *localfleet.Fleet) (time.Duration, error) {
	time.Sleep(settleTime)
	doc, err := spec.Format(*newConfig(1, 10))
	if err != nil {
		return 0, err
	}
	begun := time.Now()
	opCtx, op := f.OperatorClient(ctx, 0)
	applied := make(chan error, 1)
	go func() {
		// The instances are polled below, since the call returns only after all
		// have confirmed the change, which is later than it is in force.
		_, err := op.ApplyConfig(opCtx, &rpc.ApplyConfigRequest{Document: doc})
		applied <- err
	}()
	for !inForceEverywhere(ctx, f, doc) {
		if time.Since(begun) > time.Minute {
			return 0, errors.New("configuration is not in force on all instances after a minute")
		}
		time.Sleep(5 * time.Millisecond)
	}
	took := time.Since(begun)
	if err := <-applied; err != nil {
		return 0, fmt.Errorf("apply: %w", err)
	}
	return took, nil
}

// inForceEverywhere reports whether the configuration is in force on all
// instances.
func inForceEverywhere(ctx context.Context, f *localfleet.Fleet, doc []byte) bool {
	for i := range f.Instances {
		opCtx, op := f.OperatorClient(ctx, i)
		got, err := op.GetConfig(opCtx, &rpc.GetConfigRequest{})
		if err != nil || !bytes.Equal(got.Document, doc) {
			return false
		}
	}
	return true
}

// readUsage reads the resource usage of the fleet so far.
func readUsage(f *localfleet.Fleet) resourceUsage {
	s := resourceUsage{at: time.Now(), calls: f.Platform.Stats().StoreCalls}
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

// stackBytes returns the bytes in use for the stacks of goroutines.
func stackBytes() int64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.StackInuse)
}
