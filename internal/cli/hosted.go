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

	"github.com/catkinhead/catkinhead/internal/edge"
	"github.com/catkinhead/catkinhead/internal/logs"
	"github.com/catkinhead/catkinhead/pkg/clock"
	base "github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/platform"
)

const (
	// hostedStoreTimeout bounds a call to the store, which answers in
	// milliseconds unless it is slow or away.
	hostedStoreTimeout = time.Second
	// hostedOrderTimeout bounds an order to a target and a call to the cloud.
	hostedOrderTimeout = time.Second
	// hostedIdle is how long a caller's connection may be idle: longer than
	// callers keep one.
	hostedIdle = 60 * time.Second
	// hostedHeader bounds the time for a request's headers.
	hostedHeader = 5 * time.Second
	// memoryPart is the part of the memory limit that the collector aims at.
	memoryPart = 0.6
	// heapGrowth is how much the heap may grow between collections, in percent:
	// memory is dearer than processor time on small instances.
	heapGrowth = 40
	// stopSpare is kept of the time between the stop signal and the kill for the
	// requests that are under way when the listeners close, closeWithin is
	// what they get of it.
	stopSpare   = 2500 * time.Millisecond
	closeWithin = 2 * time.Second
	// stopPoll is the time between looks whether a stopping instance is idle.
	stopPoll = 50 * time.Millisecond
	// readyLag is how long after the stop signal callers may still be sent
	// here: two looks of the balancer, a second apart.
	readyLag = 2500 * time.Millisecond
)

// hostedFlags are the settings of a hosted instance beside the platform's file.
type hostedFlags struct {
	logLevel string
	metrics  string
	// advertise is the host:port that peers use; empty means the address that
	// the instance listens on.
	advertise string
}

func (g *program) hostedCommand(name, help string, run func(context.Context, hostedFlags, io.Writer) error) command {
	f := hostedFlags{logLevel: "info", metrics: ":9464"}
	return command{
		name: name, help: help,
		flags: func(s *flaggy.Subcommand) {
			s.String(&f.logLevel, "", "log-level", "debug, info, warning or error")
			s.String(&f.metrics, "", "metrics", "host:port for metrics and dumps")
			s.String(&f.advertise, "", "advertise", "host:port that peers use, if it is not the one listened on")
		},
		run: func(ctx context.Context) error { return run(ctx, f, g.out) },
	}
}

// serveHosted runs an instance that callers reach until ctx ends.
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
	site, err := platform.LoadSettings()
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if f.advertise != "" {
		if _, _, err := net.SplitHostPort(f.advertise); err != nil {
			return &usageError{fmt.Sprintf("--advertise: want host:port: %s", err)}
		}
	}
	site.Advertise = f.advertise
	if site.Memory > 0 {
		debug.SetMemoryLimit(int64(float64(site.Memory) * memoryPart))
		debug.SetGCPercent(heapGrowth)
	}
	app := fx.New(
		fx.NopLogger, fx.Supply(site, f), fx.Supply(log),
		fx.StopTimeout(site.Terms.StopWithin),
		fx.Provide(func() clock.Clock { return clock.System{} }, newHosted),
		fx.Invoke(listenHosted),
	)
	if err := app.Start(ctx); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	log.WithFields(logrus.Fields{"Instance": site.Instance, "DataCentre": site.DataCentre, "Front": site.Front}).Info("started")
	waitHosted(ctx, site, log)
	stop, cancel := context.WithTimeout(context.Background(), site.Terms.StopWithin)
	defer cancel()
	if err := app.Stop(stop); err != nil {
		return fmt.Errorf("stop: %w", err)
	}
	log.WithField("LinesDropped", sink.Dropped()).Info("stopped")
	return nil
}

// waitHosted waits for the end of ctx. At each SIGHUP the settings file is read
// again; what it holds takes effect at a start, so a change is logged.
func waitHosted(ctx context.Context, site base.Site, log *logrus.Logger) {
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(reloads)
	for {
		select {
		case <-reloads:
			now, err := platform.LoadSettings()
			if err != nil {
				log.WithField("Error", err.Error()).Warn("settings file is not readable; what was read at the start holds")
				continue
			}
			now.Advertise = site.Advertise
			log.WithField("Changed", now != site).Info("settings read again; changes hold from the next start")
		case <-ctx.Done():
			return
		}
	}
}

// ignoreSignals keeps writes to closed connections, and a reload before it is
// waited for, from ending the process.
func ignoreSignals() {
	signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE)
}

func newHosted(site base.Site, c clock.Clock, log *logrus.Logger) (*edge.Process, error) {
	store := platform.NewStore(site.Store, hostedStoreTimeout)
	var relay *edge.Relay
	store.Through(func(direct http.RoundTripper) http.RoundTripper {
		relay = edge.NewRelay(c, site.Store, direct)
		return relay
	})
	backends := platform.NewBackends(c, hostedOrderTimeout)
	cloud := platform.NewCloud(site.Cloud, c, hostedOrderTimeout)
	return edge.New(site, edge.Dependencies{
		Store: store,
		Kinds: edge.ObjectKinds{
			Configuration: platform.KindConfiguration, Targets: platform.KindTargets, Versions: platform.KindVersions,
		},
		Source: platform.Source{}, Ingress: platform.Ingress{}, Backends: backends, Orders: backends,
		Counts: cloud, Sizes: cloud, StoreCalls: store.Calls.Load,
	}, relay, c, log)
}

// listenHosted opens the listeners with the application's start and stops
// gracefully with its end.
func listenHosted(lc fx.Lifecycle, site base.Site, f hostedFlags, p *edge.Process, log *logrus.Logger) {
	front := &http.Server{Handler: p, ReadHeaderTimeout: hostedHeader, IdleTimeout: hostedIdle}
	servers := map[string]*http.Server{
		site.Front: front,
		site.Ready: {Handler: p.ReadyHandler()},
		net.JoinHostPort(site.IP, fmt.Sprint(site.PeerPort)): {Handler: p.PeerHandler()},
		f.metrics: {Handler: observed(p)},
	}
	ended := make(chan error, len(servers))
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			p.Run(context.Background())
			for address, s := range servers {
				if address == "" {
					ended <- nil
					continue
				}
				ln, err := net.Listen("tcp", address)
				if err != nil {
					return fmt.Errorf("listen on %s: %w", address, err)
				}
				go func() { ended <- s.Serve(ln) }()
			}
			return nil
		},
		OnStop: func(ctx context.Context) error {
			stopHosted(ctx, site, front, p, log)
			for _, s := range servers {
				if err := s.Close(); err != nil {
					log.WithField("Error", err.Error()).Warn("listener not closed")
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

// stopHosted turns the instance unready, serves what the balancer still sends,
// and waits until all work is finished or handed over.
func stopHosted(ctx context.Context, site base.Site, front *http.Server, p *edge.Process, log *logrus.Logger) {
	began := time.Now()
	p.Drain()
	limit := max(site.Terms.StopWithin-stopSpare, time.Second)
	lag := min(readyLag, limit/2)
	for time.Since(began) < limit && ctx.Err() == nil {
		if time.Since(began) >= lag && p.Idle() {
			break
		}
		time.Sleep(stopPoll)
	}
	log.WithFields(logrus.Fields{"Idle": p.Idle(), "TookMillis": time.Since(began).Milliseconds()}).Info("listeners close")
	stop, cancel := context.WithTimeout(ctx, closeWithin)
	defer cancel()
	if err := front.Shutdown(stop); err != nil {
		log.WithField("Error", err.Error()).Warn("planned stop ends with connections left")
	}
}

// observed serves metrics, the state and profiles.
func observed(p *edge.Process) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/metrics", p.WriteMetrics)
	mux.HandleFunc("/dump", p.WriteDump)
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	return mux
}

// serveStorage runs on an instance with a disk. Everything that lasts lives in
// the platform's store, so it only answers when its instance is to be retired:
// nothing has to be moved.
func serveStorage(ctx context.Context, f hostedFlags, out io.Writer) error {
	ignoreSignals()
	log, err := newLogger(f.logLevel, out)
	if err != nil {
		return err
	}
	site, err := platform.LoadSettings()
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	log.WithField("Instance", site.Instance).Info("started")
	store := platform.NewStore(site.Store, hostedStoreTimeout)
	retire := edge.RetirementWatcher{Feed: store, Log: log, Kind: platform.KindRetirements, Instance: site.Instance}
	retire.Complete = func(ctx context.Context) error { return store.CompleteRetirement(ctx, string(site.Instance)) }
	retire.Run(ctx)
	log.Info("stopped")
	return nil
}
