package cli

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/catkinhead/catkinhead/internal/loadgen"
)

func (g *program) loadCommand() command {
	p := loadgen.Profile{
		Route: "draft", Seed: 1, Rate: 20, Duration: 10 * time.Second, Tokens: 32, Samples: 64,
		StragglerShare: 0.05, StragglerFactor: 8,
	}
	addresses, trainers, hotShare := "127.0.0.1:8080", 0, 0.0
	return command{
		name: "load", help: "send a bounded load to instances on loopback and print latency and idle time; the key comes from CATKINHEAD_KEY, or the keys of several workspaces from CATKINHEAD_KEYS as comma-separated name=key",
		flags: func(s *flaggy.Subcommand) {
			s.String(&addresses, "a", "addresses", "comma-separated host:port of instances")
			s.String(&p.Route, "r", "route", "route to a model pool")
			s.UInt64(&p.Seed, "", "seed", "seed of arrivals and lengths")
			s.Float64(&p.Rate, "", "rate", "live requests a second")
			s.Duration(&p.Duration, "", "duration", "length of the run")
			s.Int(&p.Tokens, "t", "tokens", "length of an answer in tokens")
			s.Int(&p.Samples, "s", "samples", "samples in a step")
			s.Int(&trainers, "", "trainers", "number of trainers that run steps")
			s.Float64(&hotShare, "", "hot-share", "fraction of the live requests that the first workspace sends; 0 gives all workspaces the same")
			s.Float64(&p.StragglerShare, "", "straggler-share", "fraction of the samples that are stragglers")
			s.Int(&p.StragglerFactor, "", "straggler-times", "length of a straggler as a multiple of a normal sample")
		},
		run: func(ctx context.Context) error {
			p.Addresses = splitList(addresses)
			if err := assignKeys(&p, trainers, hotShare); err != nil {
				return err
			}
			p.Name = "load-" + strconv.FormatInt(time.Now().UnixMicro(), 36)
			if err := p.Check(); err != nil {
				return &usageError{err.Error()}
			}
			r, err := loadgen.Run(ctx, p)
			if err != nil {
				return err
			}
			return g.printLoad(r)
		},
	}
}

// assignKeys sets the workspaces, with the keys from the environment, and their
// weights, so that the first one sends the fraction hotShare of the live requests.
// All have the same weight unless hotShare is above 0 and below 1. It assigns the
// workspaces' keys to the trainers round-robin.
func assignKeys(p *loadgen.Profile, trainers int, hotShare float64) error {
	p.Workspaces = []loadgen.WorkspaceWeight{{Name: "live", Key: os.Getenv("CATKINHEAD_KEY"), Weight: 1}}
	if list := splitList(os.Getenv("CATKINHEAD_KEYS")); len(list) > 0 {
		p.Workspaces = nil
		for _, x := range list {
			name, key, ok := strings.Cut(x, "=")
			if !ok {
				return &usageError{"CATKINHEAD_KEYS has an entry that is not name=key"}
			}
			p.Workspaces = append(p.Workspaces, loadgen.WorkspaceWeight{Name: name, Key: key, Weight: 1})
		}
	}
	if others := float64(len(p.Workspaces) - 1); hotShare > 0 && hotShare < 1 && others > 0 {
		p.Workspaces[0].Weight = hotShare * others / (1 - hotShare)
	}
	for i := range trainers {
		p.TrainerKeys = append(p.TrainerKeys, p.Workspaces[i%len(p.Workspaces)].Key)
	}
	return nil
}

// printLoad prints the latencies, the counts of refused requests by status and
// the trainers' share of idle time.
func (g *program) printLoad(r loadgen.Result) error {
	var rows [][]string
	row := func(name string, q loadgen.Quantiles) {
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
	rows = append(rows, []string{"trainers' idle share", fmt.Sprintf("%.3f", r.IdleShare), "", "", "", ""})
	return g.print(r, []string{"What", "Count", "P50Millis", "P90Millis", "P99Millis", "MaxMillis"}, rows)
}
