package serve

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/catkinhead/catkinhead/internal/setting"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform/wire"
)

// engineTimeout bounds load reports and weight orders.
const engineTimeout = 2 * time.Second

// StopExtra is what a planned stop may take beyond its deadline.
const StopExtra = 10 * time.Second

// NewApp returns the application of one instance. Settings must have been
// checked.
func NewApp(set setting.Settings, log *logrus.Logger) *fx.App {
	return fx.New(
		fx.NopLogger,
		fx.StartTimeout(StopExtra),
		fx.StopTimeout(set.DrainDeadline+StopExtra),
		fx.Supply(set, log),
		fx.Provide(func() clock.Clock { return clock.System{} }),
		Module,
	)
}

// Module builds a process from its settings and runs it with the application.
var Module = fx.Module("serve",
	fx.Provide(newOutside, newProcess),
	fx.Invoke(serveHTTP),
)

func newOutside(set setting.Settings, c clock.Clock) Outside {
	platform := wire.NewPlatform(set.Platform, c, set.StoreTimeout)
	platform.From = set.Instance
	engines := wire.NewEngines(c, engineTimeout)
	engines.From = set.Instance
	return Over(platform, engines)
}

// Over is everything outside over the wire.
func Over(p *wire.Platform, e *wire.Engines) Outside {
	return Outside{
		Store: p, Orders: p, Instances: p, Weights: p, Intake: p,
		Engine: e, Service: e, Loads: e, Swaps: e,
	}
}

func newProcess(set setting.Settings, out Outside, c clock.Clock, log *logrus.Logger) (*Process, error) {
	return New(set, out, c, log)
}

// serveHTTP listens with the application's start and stops gracefully with
// its end.
func serveHTTP(lc fx.Lifecycle, set setting.Settings, p *Process) {
	srv := &http.Server{Handler: p.Handler(), ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute}
	ended := make(chan error, 1)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			ln, err := net.Listen("tcp", set.Listen)
			if err != nil {
				return fmt.Errorf("listen on --listen %s: %w", set.Listen, err)
			}
			p.Run(context.Background())
			go func() { ended <- srv.Serve(ln) }()
			p.log.WithField("Address", ln.Addr().String()).Info("serving")
			return nil
		},
		OnStop: func(context.Context) error { return p.shutDown(srv, ended) },
	})
}

// shutDown is the planned stop: the process turns unready, takes what the
// balancer still sends for a while, finishes what it has and ends.
func (p *Process) shutDown(srv *http.Server, ended <-chan error) error {
	ctx, cancel := context.WithTimeout(context.Background(), p.set.DrainDeadline)
	defer cancel()
	p.Drain()
	select {
	case <-time.After(p.set.DrainLag):
	case <-ctx.Done():
	}
	whole := p.AwaitIdle(ctx)
	err := srv.Shutdown(ctx)
	if err != nil || !whole {
		p.reportCut()
		srv.Close()
	}
	p.Stop()
	if e := <-ended; !errors.Is(e, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", e)
	}
	if err != nil || !whole {
		return errors.New("the deadline of the planned stop passed with work left")
	}
	p.log.Info("planned stop ended")
	return nil
}
