package capacity

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/catkinhead/catkinhead/internal/serve"
	"github.com/catkinhead/catkinhead/internal/setting"
	"github.com/catkinhead/catkinhead/internal/standin"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/platform/wire"
	"github.com/catkinhead/catkinhead/pkg/rpc"
	"github.com/catkinhead/catkinhead/pkg/spec"
	"github.com/catkinhead/catkinhead/pkg/unit"

	"github.com/twitchtv/twirp"
)

const (
	operatorKey = "ck-operator-of-the-measurement"
	// settleTime is left out before a fleet is measured for measureTime.
	settleTime  = 6 * time.Second
	measureTime = 10 * time.Second
	fleetTarget = 8
)

// fleet is instances in this process and what they spend.
type fleet struct {
	platform  *standin.Platform
	server    *http.Server
	engines   []*standin.Engine
	procs     []*serve.Process
	servers   []*http.Server
	platforms []*wire.Platform
	wires     []*wire.Engines
	address   []string
}

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
	calls := Slope{Name: "store calls of the fleet", X: "instances", Y: "a second"}
	change := Slope{Name: "configuration in force everywhere", X: "instances", Y: "ms"}
	for _, n := range sizes {
		x := float64(n)
		f, before, err := newFleet(ctx, n)
		if err != nil {
			f.stop()
			return nil, fmt.Errorf("fleet of %d: %w", n, err)
		}
		took, err := f.change(ctx)
		if err != nil {
			f.stop()
			return nil, fmt.Errorf("change in a fleet of %d: %w", n, err)
		}
		time.Sleep(settleTime)
		a := f.spent()
		time.Sleep(measureTime)
		b := f.spent()
		sec := b.at.Sub(a.at).Seconds()
		cpu.Points = append(cpu.Points, Point{x, (b.cpu - a.cpu).Seconds() / sec / x * 100})
		mem.Points = append(mem.Points, Point{x, float64(heap()+stacks()-before) / x / 1e6})
		// Every byte between peers is read by one and written by another.
		traffic := 2*(b.peers-a.peers) + b.platform - a.platform + b.loads - a.loads
		net.Points = append(net.Points, Point{x, float64(traffic) / sec / x / 1000})
		calls.Points = append(calls.Points, Point{x, float64(b.calls-a.calls) / sec})
		change.Points = append(change.Points, Point{x, float64(took.Milliseconds())})
		f.stop()
	}
	out := []Slope{cpu, mem, net, calls, change}
	for i := range out {
		out[i].fit()
	}
	return out, nil
}

func newFleet(ctx context.Context, n int) (*fleet, int64, error) {
	f := &fleet{platform: &standin.Platform{}}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return f, 0, fmt.Errorf("listen: %w", err)
	}
	f.server = &http.Server{Handler: f.platform.Handler(), ReadHeaderTimeout: time.Minute}
	go f.server.Serve(ln) //nolint:errcheck // ends with Close
	for i := range fleetTarget {
		e := standin.NewEngine(standin.EngineConfig{})
		if err := e.Listen("127.0.0.1:0"); err != nil {
			return f, 0, err
		}
		f.engines = append(f.engines, e)
		f.platform.AddTarget(platform.TargetState{
			Target: unit.Target(fmt.Sprint("e", i)), Pool: "pool-00", DataCentre: "dc-0", Address: e.Address(),
		})
	}
	before := heap() + stacks()
	for i := range n {
		if err := f.startInstance(ctx, i, "http://"+ln.Addr().String()); err != nil {
			return f, 0, err
		}
	}
	return f, before, nil
}

func (f *fleet) startInstance(ctx context.Context, i int, url string) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	dc := unit.DataCentre(fmt.Sprint("dc-", i%3))
	set := setting.Settings{
		Instance: unit.Instance(fmt.Sprintf("entry-%04d", i)), DataCentre: dc, Listen: ln.Addr().String(), Platform: url,
		FleetSecret: "secret-of-the-measurement", OperatorKeyHash: spec.HashKey(operatorKey), Window: time.Minute,
		StoreTimeout: time.Second, DrainDeadline: time.Second, LogLevel: "error",
	}
	c := clock.System{}
	w, e := wire.NewPlatform(url, c, time.Second), wire.NewEngines(c, time.Second)
	log := logrus.New()
	log.SetOutput(io.Discard)
	p, err := serve.New(set, serve.Outside{
		Store: w, Orders: w, Instances: w, Engine: e, Service: e, Loads: e, Swaps: e, Weights: w, Intake: w,
	}, c, log)
	if err != nil {
		return fmt.Errorf("new instance: %w", err)
	}
	srv := &http.Server{Handler: p.Handler(), ReadHeaderTimeout: time.Minute}
	go srv.Serve(ln) //nolint:errcheck // ends with Close
	p.Run(ctx)
	f.procs, f.servers = append(f.procs, p), append(f.servers, srv)
	f.platforms, f.wires = append(f.platforms, w), append(f.wires, e)
	f.address = append(f.address, ln.Addr().String())
	f.platform.AddInstance(platform.InstanceState{Instance: set.Instance, DataCentre: dc, Address: ln.Addr().String()})
	return nil
}

// change applies a configuration and returns the time until all have it.
func (f *fleet) change(ctx context.Context) (time.Duration, error) {
	ctx, err := twirp.WithHTTPRequestHeaders(ctx, http.Header{"Authorization": {"Bearer " + operatorKey}})
	if err != nil {
		return 0, fmt.Errorf("operator key: %w", err)
	}
	time.Sleep(settleTime)
	doc, err := spec.Format(*config(1, 10))
	if err != nil {
		return 0, err
	}
	begun := time.Now()
	op := rpc.NewOperatorProtobufClient("http://"+f.address[0], http.DefaultClient)
	if _, err := op.ApplyConfig(ctx, &rpc.ApplyConfigRequest{Document: doc}); err != nil {
		return 0, fmt.Errorf("apply: %w", err)
	}
	for {
		if f.all(ctx, doc) {
			return time.Since(begun), nil
		}
		if time.Since(begun) > time.Minute {
			return 0, errors.New("not in force everywhere after a minute")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (f *fleet) all(ctx context.Context, doc []byte) bool {
	for _, a := range f.address {
		op := rpc.NewOperatorProtobufClient("http://"+a, http.DefaultClient)
		got, err := op.GetConfig(ctx, &rpc.GetConfigRequest{})
		if err != nil || !bytes.Equal(got.Document, doc) {
			return false
		}
	}
	return true
}

func (f *fleet) spent() spent {
	s := spent{at: time.Now(), calls: f.platform.Stats().StoreCalls}
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) == nil {
		s.cpu = time.Duration(u.Utime.Nano() + u.Stime.Nano())
	}
	for i := range f.procs {
		s.peers += f.procs[i].PeerBytes()
		s.platform += f.platforms[i].Bytes.Load()
		s.loads += f.wires[i].LoadBytes.Load()
	}
	return s
}

func (f *fleet) stop() {
	for i := range f.procs {
		f.servers[i].Close()
		f.procs[i].Stop()
	}
	for _, e := range f.engines {
		e.Close()
	}
	f.server.Close()
}

func stacks() int64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.StackInuse)
}
