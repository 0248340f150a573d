package cli

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/integrii/flaggy"

	"github.com/catkinhead/catkinhead/internal/load"
)

func (g *program) loadCommand() command {
	p := load.Profile{
		Route: "draft", Seed: 1, Rate: 20, Duration: 10 * time.Second, Tokens: 32, Samples: 64,
		StragglerShare: 0.05, StragglerTimes: 8,
	}
	addresses, trainers := "127.0.0.1:8080", 0
	return command{
		name: "load", help: "send a bounded load to instances on loopback and print latency and idle time; the key comes from CATKINHEAD_KEY",
		flags: func(s *flaggy.Subcommand) {
			s.String(&addresses, "a", "addresses", "host:port of instances, with commas")
			s.String(&p.Route, "r", "route", "the model route")
			s.UInt64(&p.Seed, "", "seed", "seed of arrivals and lengths")
			s.Float64(&p.Rate, "", "rate", "live requests a second")
			s.Duration(&p.Duration, "", "duration", "length of the run")
			s.Int(&p.Tokens, "t", "tokens", "length of an answer")
			s.Int(&p.Samples, "s", "samples", "samples in a step")
			s.Int(&trainers, "", "trainers", "trainers that run steps")
			s.Float64(&p.StragglerShare, "", "straggler-share", "part of the samples that are stragglers")
			s.Int(&p.StragglerTimes, "", "straggler-times", "how much longer a straggler is")
		},
		run: func(ctx context.Context) error {
			key := os.Getenv("CATKINHEAD_KEY")
			p.Addresses = splitList(addresses)
			p.Keys = []load.Share{{Name: "live", Key: key, Part: 1}}
			for range trainers {
				p.TrainerKeys = append(p.TrainerKeys, key)
			}
			p.Name = "load-" + strconv.FormatInt(time.Now().UnixMicro(), 36)
			if err := p.Check(); err != nil {
				return &usageError{err.Error()}
			}
			r, err := load.Run(ctx, p)
			if err != nil {
				return err
			}
			return g.printLoad(r)
		},
	}
}

func (g *program) printLoad(r load.Result) error {
	var rows [][]string
	row := func(name string, q load.Quantiles) {
		rows = append(rows, []string{
			name, fmt.Sprint(q.Count), fmt.Sprintf("%.2f", q.P50), fmt.Sprintf("%.2f", q.P90),
			fmt.Sprintf("%.2f", q.P99), fmt.Sprintf("%.2f", q.Max),
		})
	}
	for name, q := range r.Live {
		row(name, q)
	}
	row("steps", r.StepTime)
	for status, n := range r.Refused {
		rows = append(rows, []string{"refused: " + status, strconv.Itoa(n), "", "", "", ""})
	}
	return g.print(r, []string{"What", "Count", "P50Millis", "P90Millis", "P99Millis", "MaxMillis"}, rows)
}
