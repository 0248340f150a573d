// Package localfleet runs a small fleet within the current process: a simulated
// platform and engines, and complete catkinhead instances in front of them, all
// listening on loopback. The demo, the capacity measurements and the experiments
// use it.
//
// A Fleet must be used from one goroutine only. Its method Stop shuts down
// everything that the Fleet has started.
package localfleet

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
	operatorKey       = "ck-operator-of-the-loopback-fleet"
	callTimeout       = time.Second
	readyTimeout      = 15 * time.Second
	drainTimeout      = 10 * time.Second
	readHeaderTimeout = time.Minute
)

// Fleet is a running fleet. LogTo receives the logs of all instances and must
// be set.
type Fleet struct {
	LogTo     io.Writer
	Platform  *standin.Platform
	Engines   []*standin.Engine
	Instances []*Instance

	platformURL string
	servers     []*http.Server
}

// Instance is one catkinhead instance with its clients for the platform and the
// engines.
type Instance struct {
	Process  *serve.Process
	Address  string
	Platform *wire.Platform
	Engines  *wire.Engines

	server *http.Server
}

// New starts the HTTP server of the platform and returns a fleet without
// engines or instances.
func New(p *standin.Platform, logTo io.Writer) (*Fleet, error) {
	f := &Fleet{LogTo: logTo, Platform: p}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for platform: %w", err)
	}
	f.platformURL = "http://" + ln.Addr().String()
	f.servers = append(f.servers, startServer(ln, p.Handler()))
	return f, nil
}

// startServer serves h on ln until the server is closed.
func startServer(ln net.Listener, h http.Handler) *http.Server {
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	go s.Serve(ln) //nolint:errcheck // ends with Close
	return s
}

// AddEngine starts an engine and adds it to the platform's list of targets.
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

// AddInstance starts an instance and adds it to the platform's list of
// instances. The instance runs until Stop is called or ctx ends. change, if not
// nil, modifies the default settings first.
func (f *Fleet) AddInstance(ctx context.Context, dc unit.DataCentre, change func(*setting.Settings)) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for instance: %w", err)
	}
	set := setting.Default()
	set.Instance = unit.Instance(fmt.Sprintf("entry-%03d", len(f.Instances)))
	set.DataCentre, set.Listen, set.Platform = dc, ln.Addr().String(), f.platformURL
	set.FleetSecret, set.OperatorKeyHash = "secret-of-the-loopback-fleet", spec.HashKey(operatorKey)
	set.DrainDeadline = drainTimeout
	if change != nil {
		change(&set)
	}
	if err := set.Check(); err != nil {
		return fmt.Errorf("settings of %s:\n%w", set.Instance, err)
	}
	c := clock.System{}
	i := &Instance{
		Address: set.Listen, Platform: wire.NewPlatform(f.platformURL, c, callTimeout), Engines: wire.NewEngines(c, callTimeout),
	}
	log := logrus.New()
	log.SetOutput(f.LogTo)
	log.SetFormatter(&logrus.JSONFormatter{})
	i.Process, err = serve.New(set, serve.NewWireDependencies(i.Platform, i.Engines), c, log)
	if err != nil {
		return fmt.Errorf("create instance: %w", err)
	}
	i.Process.Run(ctx)
	i.server = startServer(ln, i.Process.Handler())
	f.Instances = append(f.Instances, i)
	f.Platform.AddInstance(platform.InstanceState{Instance: set.Instance, DataCentre: dc, Address: set.Listen})
	return nil
}

// Addresses returns the address of every instance.
func (f *Fleet) Addresses() []string {
	var out []string
	for _, i := range f.Instances {
		out = append(out, i.Address)
	}
	return out
}

// OperatorClient returns an operator client for Instances[n], and a context that
// authenticates the client's calls as the operator's.
func (f *Fleet) OperatorClient(ctx context.Context, n int) (context.Context, rpc.Operator) {
	ctx, err := twirp.WithHTTPRequestHeaders(ctx, http.Header{"Authorization": {"Bearer " + operatorKey}})
	if err != nil {
		panic("authorization header is reserved: " + err.Error())
	}
	return ctx, rpc.NewOperatorProtobufClient("http://"+f.Instances[n].Address, http.DefaultClient)
}

// Configure applies a configuration, and waits until every instance has it and
// is ready. It returns an error if that takes longer than readyTimeout in all.
func (f *Fleet) Configure(ctx context.Context, c spec.Config) error {
	doc, err := spec.Format(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	opCtx, op := f.OperatorClient(ctx, 0)
	err = pollUntil(ctx, func() bool {
		res, err := op.ApplyConfig(opCtx, &rpc.ApplyConfigRequest{Document: doc})
		return err == nil && len(res.Lagging) == 0
	})
	if err != nil {
		return fmt.Errorf("apply configuration: %w", err)
	}
	for _, i := range f.Instances {
		if err := pollUntil(ctx, func() bool { return isReady(ctx, i.Address) }); err != nil {
			return fmt.Errorf("instance at %s is not ready: %w", i.Address, err)
		}
	}
	return nil
}

// pollUntil calls f until it returns true or ctx ends.
func pollUntil(ctx context.Context, f func() bool) error {
	for !f() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(50 * time.Millisecond):
		}
	}
	return nil
}

// isReady reports whether an instance answers its readiness probe with 200.
func isReady(ctx context.Context, address string) bool {
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

// Stop drains the instances for at most drainTimeout, then shuts everything down.
// It returns an error if an instance had not finished its work by then.
func (f *Fleet) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	ends := make(chan bool)
	for _, i := range f.Instances {
		go func() {
			i.Process.Drain()
			ends <- i.Process.AwaitIdle(ctx)
		}()
	}
	drained := true
	for range f.Instances {
		drained = <-ends && drained
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
	if !drained {
		return errors.New("an instance was not idle when its drain timed out")
	}
	return nil
}
