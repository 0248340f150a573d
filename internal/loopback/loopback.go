// Package loopback runs a small fleet in this process on loopback: the
// stand-ins of the platform and the engines, and whole instances before them.
// The demo, the capacity measurements and the experiments share it.
//
// A Fleet is for one goroutine. Stop ends all that it started.
package loopback

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"

	"github.com/catkinhead/catkinhead/internal/serve"
	"github.com/catkinhead/catkinhead/internal/setting"
	"github.com/catkinhead/catkinhead/internal/standin"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/platform/wire"
	"github.com/catkinhead/catkinhead/pkg/rpc"
	"github.com/catkinhead/catkinhead/pkg/spec"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	operatorKey = "ck-operator-of-the-loopback-fleet"
	callTime    = time.Second
	readyTime   = 15 * time.Second
	drainTime   = 10 * time.Second
	readTime    = time.Minute
)

// Fleet is all that runs. LogTo must be set.
type Fleet struct {
	LogTo     io.Writer
	Platform  *standin.Platform
	Engines   []*standin.Engine
	Instances []*Instance

	url     string
	servers []*http.Server
}

// Instance is one whole instance.
type Instance struct {
	Process  *serve.Process
	Address  string
	Platform *wire.Platform
	Engines  *wire.Engines

	server *http.Server
}

// New starts a platform.
func New(p *standin.Platform, logTo io.Writer) (*Fleet, error) {
	f := &Fleet{LogTo: logTo, Platform: p}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for the platform: %w", err)
	}
	f.url = "http://" + ln.Addr().String()
	f.servers = append(f.servers, serveOn(ln, p.Handler()))
	return f, nil
}

func serveOn(ln net.Listener, h http.Handler) *http.Server {
	s := &http.Server{Handler: h, ReadHeaderTimeout: readTime}
	go s.Serve(ln) //nolint:errcheck // ends with Close
	return s
}

// AddEngine starts an engine and has it listed.
func (f *Fleet) AddEngine(pool unit.Pool, dc unit.DataCentre, cfg standin.EngineConfig) error {
	cfg.Name = fmt.Sprintf("engine-%d", len(f.Engines))
	e := standin.NewEngine(cfg)
	if err := e.Listen("127.0.0.1:0"); err != nil {
		return err
	}
	f.Engines = append(f.Engines, e)
	f.Platform.AddTarget(platform.TargetState{
		Target: unit.Target(cfg.Name), Pool: pool, DataCentre: dc, Address: e.Address(),
	})
	return nil
}

// AddInstance starts an instance and has it listed. The change, if any, is
// made to its settings.
func (f *Fleet) AddInstance(ctx context.Context, dc unit.DataCentre, change func(*setting.Settings)) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for an instance: %w", err)
	}
	set := setting.Default()
	set.Instance = unit.Instance(fmt.Sprintf("entry-%03d", len(f.Instances)))
	set.DataCentre, set.Listen, set.Platform = dc, ln.Addr().String(), f.url
	set.FleetSecret, set.OperatorKeyHash = "secret-of-the-loopback-fleet", spec.HashKey(operatorKey)
	set.DrainDeadline = drainTime
	if change != nil {
		change(&set)
	}
	if err := set.Check(); err != nil {
		return fmt.Errorf("settings of %s:\n%w", set.Instance, err)
	}
	c := clock.System{}
	i := &Instance{
		Address: set.Listen, Platform: wire.NewPlatform(f.url, c, callTime), Engines: wire.NewEngines(c, callTime),
	}
	log := logrus.New()
	log.SetOutput(f.LogTo)
	log.SetFormatter(&logrus.JSONFormatter{})
	i.Process, err = serve.New(set, serve.NewWireDependencies(i.Platform, i.Engines), c, log)
	if err != nil {
		return fmt.Errorf("new instance: %w", err)
	}
	i.Process.Run(ctx)
	i.server = serveOn(ln, i.Process.Handler())
	f.Instances = append(f.Instances, i)
	f.Platform.AddInstance(platform.InstanceState{Instance: set.Instance, DataCentre: dc, Address: set.Listen})
	return nil
}

// Addresses lists the instances' addresses.
func (f *Fleet) Addresses() []string {
	var out []string
	for _, i := range f.Instances {
		out = append(out, i.Address)
	}
	return out
}

// Operator returns a client to the n-th instance, and a context that carries
// the operators' key.
func (f *Fleet) Operator(ctx context.Context, n int) (context.Context, rpc.Operator) {
	ctx, err := twirp.WithHTTPRequestHeaders(ctx, http.Header{"Authorization": {"Bearer " + operatorKey}})
	if err != nil {
		panic("authorization header is reserved: " + err.Error())
	}
	return ctx, rpc.NewOperatorProtobufClient("http://"+f.Instances[n].Address, http.DefaultClient)
}

// Configure applies a configuration and waits until all instances are ready.
func (f *Fleet) Configure(ctx context.Context, c spec.Config) error {
	doc, err := spec.Format(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	opCtx, op := f.Operator(ctx, 0)
	err = until(ctx, func() bool {
		res, err := op.ApplyConfig(opCtx, &rpc.ApplyConfigRequest{Document: doc})
		return err == nil && len(res.Lagging) == 0
	})
	if err != nil {
		return fmt.Errorf("apply configuration: %w", err)
	}
	for _, i := range f.Instances {
		if err := until(ctx, func() bool { return ready(ctx, i.Address) }); err != nil {
			return fmt.Errorf("instance at %s is not ready: %w", i.Address, err)
		}
	}
	return nil
}

func until(ctx context.Context, f func() bool) error {
	for !f() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(50 * time.Millisecond):
		}
	}
	return nil
}

func ready(ctx context.Context, address string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// Stop drains the instances and ends everything.
func (f *Fleet) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), drainTime)
	defer cancel()
	ends := make(chan bool)
	for _, i := range f.Instances {
		go func() {
			i.Process.Drain()
			ends <- i.Process.AwaitIdle(ctx)
		}()
	}
	whole := true
	for range f.Instances {
		whole = <-ends && whole
	}
	for _, i := range f.Instances {
		i.server.Close()
		i.Process.Stop()
	}
	for _, e := range f.Engines {
		e.Close()
	}
	for _, s := range f.servers {
		s.Close()
	}
	if !whole {
		return errors.New("an instance had work left after its drain")
	}
	return nil
}
