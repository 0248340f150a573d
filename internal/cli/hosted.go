package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/pprof"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/catkinhead/catkinhead/internal/build"
	"github.com/catkinhead/catkinhead/internal/edge"
	"github.com/catkinhead/catkinhead/internal/listen"
	"github.com/catkinhead/catkinhead/internal/logs"
	"github.com/catkinhead/catkinhead/pkg/clock"
	base "github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/platform"
)

const (
	// hostedStoreTimeout bounds a call to the store, which normally takes
	// milliseconds.
	hostedStoreTimeout = time.Second
	// hostedOrderTimeout bounds an order to a target and a call to the cloud API.
	hostedOrderTimeout = time.Second
	// memoryLimitFraction is the fraction of the instance's memory that is set as
	// the soft memory limit of the Go runtime.
	memoryLimitFraction = 0.6
	// gcPercent is the heap growth between garbage collections, in percent. It
	// is below Go's default of 100, since memory is scarcer than processor time
	// on small instances.
	gcPercent = 40
	// shutdownTimeout bounds the time for closing the listener for callers, in
	// addition to the time in which requests are served.
	shutdownTimeout = 200 * time.Millisecond
	// stopPollInterval is the time between checks whether a stopping instance is
	// idle.
	stopPollInterval = 50 * time.Millisecond
)

// hostedFlags are the settings of a hosted instance that come from flags; the
// rest is in the platform's settings file.
type hostedFlags struct {
	logLevel string
	// metrics is the host:port of the metrics, the state dump and the profiles.
	metrics string
	// advertise is the host:port that peers use; empty means the address that
	// the instance listens on.
	advertise string
}

// hostedCommand returns a command that runs a process on a hosted platform.
func (g *program) hostedCommand(name, help string, run func(context.Context, hostedFlags, io.Writer) error) command {
	f := hostedFlags{logLevel: "info", metrics: ":9464"}
	return command{
		name: name, help: help,
		flags: func(s *flaggy.Subcommand) {
			s.String(&f.logLevel, "", "log-level", "debug, info, warning or error")
			s.String(&f.metrics, "", "metrics", "host:port for metrics, state dumps and profiles")
			s.String(&f.advertise, "", "advertise", "host:port that peers use, if it is not the one listened on")
		},
		run: func(ctx context.Context) error { return run(ctx, f, g.out) },
	}
}

// serveHosted runs an instance that serves callers, until ctx ends.
func serveHosted(ctx context.Context, f hostedFlags, out io.Writer) error {
	ignoreSignals()
	logCtx, endLog := context.WithCancel(context.Background())
	sink := logs.NewAsyncWriter(logCtx, out)
	defer func() { _ = sink.Wait() }()
	defer endLog()
	log, err := newLogger(f.logLevel, sink)
	if err != nil {
		return err
	}
	environment, err := platform.LoadSettings()
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if f.advertise != "" {
		if _, _, err := net.SplitHostPort(f.advertise); err != nil {
			return &usageError{fmt.Sprintf("--advertise: want host:port: %s", err)}
		}
	}
	environment.Advertise = f.advertise
	boundHeap(environment.Memory)
	app := fx.New(
		fx.NopLogger, fx.Supply(environment, f), fx.Supply(log),
		fx.StopTimeout(environment.Bounds.StopWithin),
		fx.Provide(func() clock.Clock { return clock.System{} }, newHosted),
		fx.Invoke(listenHosted),
	)
	if err := app.Start(ctx); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	log.WithFields(build.Current().Fields()).WithFields(logrus.Fields{"Instance": environment.Instance, "DataCentre": environment.DataCentre, "Front": environment.Front}).Info("started")
	waitHosted(ctx, environment, log)
	stop, cancel := context.WithTimeout(context.Background(), environment.Bounds.StopWithin)
	defer cancel()
	if err := app.Stop(stop); err != nil {
		return fmt.Errorf("stop: %w", err)
	}
	log.WithField("LinesDropped", sink.Dropped()).Info("stopped")
	return nil
}

// boundHeap makes the Go runtime collect garbage early enough for a process with some bytes
// of memory, 0 if that is not known.
func boundHeap(memory int64) {
	if memory <= 0 {
		return
	}
	debug.SetMemoryLimit(int64(float64(memory) * memoryLimitFraction))
	debug.SetGCPercent(gcPercent)
}

// waitHosted waits until ctx ends. On SIGHUP it reads the settings file again,
// but only logs whether it changed: settings take effect at the next start.
func waitHosted(ctx context.Context, environment base.Environment, log *logrus.Logger) {
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(reloads)
	for {
		select {
		case <-reloads:
			now, err := platform.LoadSettings()
			if err != nil {
				log.WithField("Error", err.Error()).Warn("cannot reload the settings file; the settings read at the start stay in effect")
				continue
			}
			now.Advertise = environment.Advertise
			log.WithField("Changed", now != environment).Info("settings read again; changes take effect at the next start")
		case <-ctx.Done():
			return
		}
	}
}

// ignoreSignals ignores SIGPIPE, which a write to a closed standard output or
// standard error raises, and SIGHUP until waitHosted handles it. Both would end
// the process.
func ignoreSignals() {
	signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE)
}

// newHosted builds the instance with the platform's adapters. Calls to the store
// go through peers for a while after a direct call failed.
func newHosted(environment base.Environment, c clock.Clock, log *logrus.Logger) (*edge.Process, error) {
	store := platform.NewStore(environment.Store, hostedStoreTimeout)
	var relay *edge.Relay
	store.WrapTransport(func(direct http.RoundTripper) http.RoundTripper {
		relay = edge.NewRelay(c, environment.Store, direct)
		return relay
	})
	backends := platform.NewBackends(c, hostedOrderTimeout)
	cloud := platform.NewCloud(environment.Cloud, c, hostedOrderTimeout)
	return edge.New(environment, edge.Dependencies{
		Store: store,
		Kinds: edge.ObjectKinds{
			Configuration: platform.KindConfiguration, Targets: platform.KindTargets, Versions: platform.KindVersions,
		},
		Decoder: platform.Decoder{}, Ingress: platform.Ingress{}, Backends: backends, Orders: backends,
		Counts: cloud, Sizes: cloud, StoreCalls: store.Calls.Load,
	}, relay, c, log)
}

// listenHosted opens the listeners when the application starts and shuts them
// down gracefully when it stops.
func listenHosted(lc fx.Lifecycle, environment base.Environment, f hostedFlags, p *edge.Process, log *logrus.Logger) {
	limits := edge.NewListenLimits(environment, p.ClientLimits)
	front := &listener{"callers", environment.Front, limits.Callers, listen.NewServer(p)}
	servers := []*listener{
		front,
		{"readiness", environment.Ready, limits.Probes, listen.NewServer(p.ReadyHandler())},
		{"peers", net.JoinHostPort(environment.IP, fmt.Sprint(environment.PeerPort)), limits.Peers, listen.NewServer(p.PeerHandler())},
		{"metrics", f.metrics, limits.Metrics, listen.NewServer(debugHandler(p))},
	}
	ended := make(chan error, len(servers))
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			p.Run(context.Background())
			return listenAll(servers, p.WatchGate, ended)
		},
		OnStop: func(ctx context.Context) error {
			stopHosted(ctx, environment, front.server, p, log)
			for _, s := range servers {
				if err := s.server.Close(); err != nil {
					log.WithField("Error", err.Error()).Warn("cannot close a listener")
				}
			}
			p.Stop()
			for range servers {
				if err := <-ended; err != nil && !errors.Is(err, http.ErrServerClosed) {
					return fmt.Errorf("serve: %w", err)
				}
			}
			return nil
		},
	})
}

// listener is one of the process's listeners: what it is for, its host:port, which may be
// empty, its limits and its server.
type listener struct {
	use     string
	address string
	limits  listen.Limits
	server  *http.Server
}

// listenAll opens each listener that has an address, and serves it. The end of each server
// is sent to ended, and watch is called with its gate. Two listeners with the same address
// are an error.
func listenAll(listeners []*listener, watch func(use string, g *listen.Gate), ended chan<- error) error {
	for _, l := range listeners {
		if l.address == "" {
			ended <- nil
			continue
		}
		gate, err := listen.Listen(l.address, l.limits)
		if err != nil {
			return err
		}
		watch(l.use, gate)
		go func() { ended <- l.server.Serve(gate) }()
	}
	return nil
}

// stopHosted marks the instance as not ready, keeps serving the requests that can
// still be answered, waits until all work is finished or handed over or the time is
// up, and then closes the listener for callers.
func stopHosted(ctx context.Context, environment base.Environment, front *http.Server, p *edge.Process, log *logrus.Logger) {
	began := time.Now()
	p.Drain()
	plan := edge.NewStopPlan(environment.Bounds)
	for time.Since(began) < plan.Serve && ctx.Err() == nil {
		if time.Since(began) >= plan.Unready && p.Idle() {
			break
		}
		time.Sleep(stopPollInterval)
	}
	log.WithFields(logrus.Fields{"Idle": p.Idle(), "TookMillis": time.Since(began).Milliseconds()}).Info("closing the listeners")
	stop, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	if err := front.Shutdown(stop); err != nil {
		log.WithField("Error", err.Error()).Warn("requests were still in flight when the listener for callers was closed")
	}
}

const (
	// metricsAtOnce and dumpsAtOnce are how many requests for metrics, and for state dumps
	// and profiles, are served at the same time.
	metricsAtOnce = 2
	dumpsAtOnce   = 1
)

// debugHandler serves the metrics, the state dump and the profiles.
func debugHandler(p *edge.Process) http.Handler {
	large := http.NewServeMux()
	large.HandleFunc("/dump", p.WriteDump)
	large.HandleFunc("/debug/pprof/", pprof.Index)
	large.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux := http.NewServeMux()
	mux.Handle("/metrics", listen.AtMost(metricsAtOnce, http.HandlerFunc(p.WriteMetrics)))
	mux.Handle("/", listen.AtMost(dumpsAtOnce, large))
	return mux
}

// serveStorage runs on an instance with a disk. All durable state is in the
// platform's store, so there is no data to move: it only waits for the
// retirement of its instance and completes it.
func serveStorage(ctx context.Context, f hostedFlags, out io.Writer) error {
	ignoreSignals()
	log, err := newLogger(f.logLevel, out)
	if err != nil {
		return err
	}
	environment, err := platform.LoadSettings()
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	log.WithFields(build.Current().Fields()).WithField("Instance", environment.Instance).Info("started")
	store := platform.NewStore(environment.Store, hostedStoreTimeout)
	retire := edge.RetirementWatcher{Feed: store, Log: log, Kind: platform.KindRetirements, Instance: environment.Instance}
	retire.Complete = func(ctx context.Context) error { return store.CompleteRetirement(ctx, string(environment.Instance)) }
	retire.Run(ctx)
	log.Info("stopped")
	return nil
}
