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

// stepOptions holds the flags of the step command; their help texts describe them.
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
			s.String(&o.addresses, "a", "addresses", "comma-separated host:port of instances")
			s.String(&o.name, "n", "name", "name of the step; it must not have been used before")
			s.String(&o.route, "r", "route", "route to a model pool")
			s.String(&o.prompt, "p", "prompt", "prefix of the prompts; the number of the group is appended")
			s.Int(&o.samples, "s", "samples", "number of samples")
			s.Int(&o.group, "g", "group", "samples that share one prompt")
			s.Int(&o.tokens, "t", "tokens", "length of a sample in tokens")
			s.Int(&o.longEvery, "", "long-every", "make every n-th sample a straggler; 0 for none")
			s.Int(&o.longTokens, "", "long-tokens", "length of a straggler in tokens")
			s.Int64(&o.staleness, "", "staleness", "how many versions of the weights a sample may be behind the newest one, which is the active version or --trainer-version")
			s.Int64(&o.version, "", "trainer-version", "newest version of the weights that the trainer has")
			s.String(&o.out, "o", "out", "file to write the samples to, one JSON object a line")
		},
		run: func(ctx context.Context) error { return g.runStep(ctx, o) },
	}
}

// stepResult sums up the samples of a step. ByVersion counts them by the versions
// of the weights that produced them, such as "1" or "1>2".
type stepResult struct {
	client.Report
	Tokens    int64
	ByVersion map[string]int
}

func (g *program) runStep(ctx context.Context, o stepOptions) error {
	if o.name == "" || o.samples < 1 || o.group < 1 {
		return &usageError{"--name is required, and --samples and --group must be at least 1"}
	}
	write, done, err := sampleWriter(o.out)
	if err != nil {
		return err
	}
	defer done()
	res := stepResult{ByVersion: make(map[string]int)}
	c := &client.Client{Addresses: splitList(o.addresses), Key: os.Getenv("CATKINHEAD_KEY")}
	res.Report, err = c.Run(ctx, client.Step{
		Name: o.name, Route: o.route, Samples: o.sampleSpecs(), Staleness: o.staleness,
		Version: func() int64 { return o.version },
	}, func(s *rpc.Sample) error {
		res.Tokens += s.Tokens
		res.ByVersion[formatVersions(s)]++
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

// sampleSpecs builds the requests of all samples of the step.
func (o stepOptions) sampleSpecs() []*rpc.SampleSpec {
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

// formatVersions joins the versions that produced a sample, in order, with ">".
func formatVersions(s *rpc.Sample) string {
	text := ""
	for _, v := range s.Versions {
		if text != "" {
			text += ">"
		}
		text += strconv.FormatInt(v.Version, 10)
	}
	return text
}

// sampleWriter returns a function that appends a sample to the file and one that
// closes it. Without a file name both do nothing.
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
