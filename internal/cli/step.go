package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strconv"

	"github.com/integrii/flaggy"

	"github.com/catkinhead/catkinhead/pkg/client"
	"github.com/catkinhead/catkinhead/pkg/rpc"
)

// stepOptions is a step as the command line describes it.
type stepOptions struct {
	addresses, name, route, prompt, out string
	samples, group, tokens, longEvery   int
	longTokens                          int
	staleness, version                  int64
}

func (g *program) stepCommand() command {
	o := stepOptions{
		addresses: "127.0.0.1:8080", route: "draft", prompt: "sample", samples: 16, group: 4, tokens: 32, longTokens: 256,
	}
	return command{
		name: "step", help: "run one step of samples as a trainer does; the key comes from CATKINHEAD_KEY",
		flags: func(s *flaggy.Subcommand) {
			s.String(&o.addresses, "a", "addresses", "host:port of instances, with commas")
			s.String(&o.name, "n", "name", "name of the step, used once")
			s.String(&o.route, "r", "route", "the model route")
			s.String(&o.prompt, "p", "prompt", "start of each group's prompt")
			s.Int(&o.samples, "s", "samples", "number of samples")
			s.Int(&o.group, "g", "group", "samples in a group")
			s.Int(&o.tokens, "t", "tokens", "length of a sample")
			s.Int(&o.longEvery, "", "long-every", "every so many samples is a straggler; 0 is none")
			s.Int(&o.longTokens, "", "long-tokens", "length of a straggler")
			s.Int64(&o.staleness, "", "staleness", "versions a sample may be behind")
			s.Int64(&o.version, "", "trainer-version", "newest version the trainer knows")
			s.String(&o.out, "o", "out", "file for the samples, a JSON line each")
		},
		run: func(ctx context.Context) error { return g.runStep(ctx, o) },
	}
}

// stepResult is what a step gave.
type stepResult struct {
	client.Report
	Tokens    int64
	ByVersion map[string]int
}

func (g *program) runStep(ctx context.Context, o stepOptions) error {
	if o.name == "" || o.samples < 1 || o.group < 1 {
		return &usageError{"--name is needed, and --samples and --group are 1 or more"}
	}
	write, done, err := sampleWriter(o.out)
	if err != nil {
		return err
	}
	defer done()
	res := stepResult{ByVersion: make(map[string]int)}
	c := &client.Client{Addresses: splitList(o.addresses), Key: os.Getenv("CATKINHEAD_KEY")}
	res.Report, err = c.Run(ctx, client.Step{
		Name: o.name, Route: o.route, Samples: o.specs(), Staleness: o.staleness,
		Version: func() int64 { return o.version },
	}, func(s *rpc.Sample) error {
		res.Tokens += s.Tokens
		res.ByVersion[versionsText(s)]++
		return write(s)
	})
	if err != nil {
		return err
	}
	return g.print(res, []string{"Delivered", "Failed", "Repeated", "Homes", "Recorded", "Tokens", "ByVersion"}, [][]string{{
		strconv.Itoa(res.Delivered), strconv.Itoa(res.Failed), strconv.Itoa(res.Repeated), strconv.Itoa(res.Homes),
		strconv.FormatBool(res.Recorded), strconv.FormatInt(res.Tokens, 10), fmt.Sprint(res.ByVersion),
	}})
}

func (o stepOptions) specs() []*rpc.SampleSpec {
	out := make([]*rpc.SampleSpec, o.samples)
	for i := range out {
		n := o.tokens
		if o.longEvery > 0 && i%o.longEvery == 0 {
			n = o.longTokens
		}
		out[i] = &rpc.SampleSpec{
			Prompt: fmt.Sprintf("%s %d", o.prompt, i/o.group), MaxTokens: int64(n),
			Seed: int64(i), Group: int32(i / o.group),
		}
	}
	return out
}

func versionsText(s *rpc.Sample) string {
	text := ""
	for _, v := range s.Versions {
		if text != "" {
			text += ">"
		}
		text += strconv.FormatInt(v.Version, 10)
	}
	return text
}

// sampleWriter returns a function that writes a sample to a file, if there is
// one.
func sampleWriter(file string) (func(*rpc.Sample) error, func(), error) {
	if file == "" {
		return func(*rpc.Sample) error { return nil }, func() {}, nil
	}
	f, err := os.Create(file)
	if err != nil {
		return nil, nil, fmt.Errorf("create --out file: %w", err)
	}
	enc := json.NewEncoder(f)
	return func(s *rpc.Sample) error { return enc.Encode(s) }, func() { f.Close() }, nil
}
