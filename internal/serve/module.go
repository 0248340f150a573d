package serve

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/catkinhead/catkinhead/internal/listen"
	"github.com/catkinhead/catkinhead/internal/setting"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform/wire"
)

// engineTimeout bounds a request for a target's load report, and an order to
// stage or activate a weight version.
const engineTimeout = 2 * time.Second

// StopMargin is the time allowed for starting, and for stopping beyond the
// drain deadline.
const StopMargin = 10 * time.Second

// NewApp returns the fx application that runs one instance. The settings must
// have passed Check.
func NewApp(set setting.Settings, log *logrus.Logger) *fx.App {
	return fx.New(
		fx.NopLogger,
		fx.StartTimeout(StopMargin),
		fx.StopTimeout(set.DrainDeadline+StopMargin),
		fx.Supply(set, log),
		fx.Provide(func() clock.Clock { return clock.System{} }),
		Module,
	)
}

// Module provides the Process for the settings and serves HTTP while the
// application runs.
var Module = fx.Module("serve",
	fx.Provide(newDependencies, newProcess),
	fx.Invoke(serveHTTP),
)

// newDependencies returns clients that reach the platform and the targets over
// the network.
func newDependencies(set setting.Settings, c clock.Clock) Dependencies {
	platform := wire.NewPlatform(set.Platform, c, set.StoreTimeout)
	platform.From = set.Instance
	engines := wire.NewEngines(c, engineTimeout)
	engines.From = set.Instance
	return NewWireDependencies(platform, engines)
}

// NewWireDependencies returns dependencies that are reached over the network.
func NewWireDependencies(p *wire.Platform, e *wire.Engines) Dependencies {
	return Dependencies{
		Store: p, Orders: p, Instances: p, Weights: p, UsageReporter: p,
		Engine: e, Service: e, Loads: e, Swaps: e,
	}
}

func newProcess(set setting.Settings, deps Dependencies, c clock.Clock, log *logrus.Logger) (*Process, error) {
	return New(set, deps, c, log)
}

// serveHTTP starts the HTTP server when the application starts and drains the
// process when the application stops.
func serveHTTP(lc fx.Lifecycle, set setting.Settings, p *Process) {
	srv := listen.NewServer(p.Handler())
	ended := make(chan error, 1)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			ln, err := listen.Listen(set.Listen, listenLimits(set))
			if err != nil {
				return fmt.Errorf("--listen: %w", err)
			}
			ln.Register(p.metrics, "all")
			p.Run(context.Background())
			go func() { ended <- srv.Serve(ln) }()
			p.log.WithField("Address", ln.Addr().String()).Info("serving")
			return nil
		},
		OnStop: func(context.Context) error { return p.stopGracefully(srv, ended) },
	})
}

// stopGracefully makes the process report that it is not ready, keeps accepting
// the requests that the load balancer still sends during DrainLag, waits for
// the work in flight, and stops. Work that is not finished by DrainDeadline is
// abandoned and reported as an error.
func (p *Process) stopGracefully(srv *http.Server, ended <-chan error) error {
	ctx, cancel := context.WithTimeout(context.Background(), p.set.DrainDeadline)
	defer cancel()
	p.Drain()
	select {
	case <-time.After(p.set.DrainLag):
	case <-ctx.Done():
	}
	idle := p.AwaitIdle(ctx)
	err := srv.Shutdown(ctx)
	if err != nil || !idle {
		p.logUnfinished()
		srv.Close()
	}
	p.Stop()
	if e := <-ended; !errors.Is(e, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", e)
	}
	if err != nil || !idle {
		return errors.New("planned stop: the deadline passed with work in flight")
	}
	p.log.Info("planned stop ended")
	return nil
}
