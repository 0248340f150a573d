package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
	"github.com/sirupsen/logrus"

	"github.com/catkinhead/catkinhead/internal/build"
	"github.com/catkinhead/catkinhead/internal/logs"
	"github.com/catkinhead/catkinhead/internal/serve"
	"github.com/catkinhead/catkinhead/internal/setting"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

func (g *program) serveCommand() command {
	set, envErr := setting.FromEnvironment()
	instance, dc := string(set.Instance), string(set.DataCentre)
	return command{
		name: "serve", help: "run one instance until SIGTERM; secrets come from CATKINHEAD_FLEET_SECRET and CATKINHEAD_OPERATOR_KEY_HASH",
		flags: func(s *flaggy.Subcommand) {
			s.String(&instance, "i", "instance", "unique name of this instance")
			s.String(&dc, "d", "data-centre", "data centre it runs in")
			s.String(&set.Listen, "l", "listen", "host:port for callers, operators and peers")
			s.String(&set.Advertise, "", "advertise", "host:port that peers use, if it is not the one listened on")
			s.String(&set.Platform, "p", "platform", "URL of the platform")
			s.Duration(&set.Window, "w", "window", "length of a usage reporting window")
			s.Duration(&set.StoreTimeout, "", "store-timeout", "time limit of a call to the platform")
			s.Duration(&set.DrainLag, "", "drain-lag", "how long a stopping instance still accepts new requests")
			s.Duration(&set.DrainDeadline, "", "drain-deadline", "time limit of a graceful shutdown")
			s.String(&set.Data, "", "data", "directory that keeps the last configuration across restarts, if there is a disk")
			s.String(&set.Record, "r", "record", "file to record a trace of all events to, for replay")
			s.String(&set.Policy, "", "policy", "how requests are admitted: fair, or a baseline: round-robin, least-loaded, first-come")
			s.Int64(&set.MemoryMB, "", "memory-mb", "memory of the process in MB, which bounds what clients can make it hold; 0: no bound")
			s.Int(&set.Descriptors, "", "descriptors", "descriptors that the process may have open; 0: the system's limit")
			s.String(&set.LogLevel, "", "log-level", "debug, info, warning or error")
			s.Duration(&set.OrderPause, "", "order-pause", "for tests: pause between deciding on an order and sending it")
		},
		run: func(ctx context.Context) error {
			if envErr != nil {
				return &usageError{envErr.Error()}
			}
			set.Instance, set.DataCentre = unit.Instance(instance), unit.DataCentre(dc)
			if err := set.Check(); err != nil {
				return fmt.Errorf("invalid settings:\n%w", err)
			}
			boundHeap(set.MemoryMB * bytesPerMB)
			return serveUntil(ctx, set, g.err)
		},
	}
}

// bytesPerMB is the size of a megabyte in which memory is set.
const bytesPerMB = 1 << 20

// serveUntil runs an instance until ctx ends, and then shuts it down gracefully. A
// second signal ends it immediately.
func serveUntil(ctx context.Context, set setting.Settings, logTo io.Writer) error {
	log, err := newLogger(set.LogLevel, logTo)
	if err != nil {
		return err
	}
	app := serve.NewApp(set, log)
	if err := app.Start(ctx); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	log.WithFields(build.Current().Fields()).WithFields(logrus.Fields{"Instance": set.Instance, "DataCentre": set.DataCentre, "Listen": set.Listen}).Info("started")
	<-ctx.Done()
	second := make(chan os.Signal, 1)
	signal.Notify(second, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(second)
	stopCtx, cancel := context.WithTimeout(context.Background(), set.DrainDeadline+serve.StopMargin)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- app.Stop(stopCtx) }()
	select {
	case err := <-ended:
		if err != nil {
			return fmt.Errorf("stop: %w", err)
		}
		return nil
	case <-second:
		return fmt.Errorf("stopped immediately by a second signal; requests in flight were cut off")
	}
}

// newLogger returns a logger that writes JSON lines.
func newLogger(level string, to io.Writer) (*logrus.Logger, error) {
	l, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	return logs.New(l, to), nil
}
