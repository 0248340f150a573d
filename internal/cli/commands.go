package cli

import (
	"context"
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"github.com/catkinhead/catkinhead/internal/build"
	"github.com/catkinhead/catkinhead/internal/trace"
	"github.com/catkinhead/catkinhead/pkg/spec"
)

// commands returns all top-level commands.
func (g *program) commands() []command {
	return []command{
		g.serveCommand(),
		g.hostedCommand("edge", "run one instance on a hosted platform; CATKINHEAD_BOOT names its settings file", serveHosted),
		g.hostedCommand("storage", "run on a storage instance of a hosted platform; it only completes the retirement of the instance", serveStorage),
		g.demoCommand(), g.checkCommand(), g.applyCommand(), g.getCommand(),
		g.workspaceCommand(), g.keyCommand(), g.routeCommand(), g.poolCommand(), g.targetCommand(),
		g.stepCommand(), g.drainCommand(), g.dumpCommand(), g.replayCommand(), g.loadCommand(), g.stepsCommand(),
		g.versionCommand(),
	}
}

func (g *program) versionCommand() command {
	return command{name: "version", help: "print which build of the program this is", run: func(context.Context) error {
		b := build.Current()
		return g.print(b, []string{"Release", "Build", "Revision", "Go", "Platform"}, [][]string{{b.Release, b.ID, b.Revision, b.Go, b.Platform}})
	}}
}

func (g *program) checkCommand() command {
	var file string
	return command{
		name: "check", help: "check a configuration file and list every error with its line and field",
		flags: func(s *flaggy.Subcommand) { s.AddPositionalValue(&file, "FILE", 1, true, "the YAML file") },
		run: func(context.Context) error {
			c, _, err := readConfig(file)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(g.out, "%s is valid: %d workspaces, %d keys, %d routes, %d pools\n",
				file, len(c.Workspaces), len(c.Keys), len(c.Routes), len(c.Pools))
			return err
		},
	}
}

// readConfig parses and checks a configuration file, and also returns its text.
func readConfig(file string) (spec.Config, []byte, error) {
	doc, err := os.ReadFile(file)
	if err != nil {
		return spec.Config{}, nil, &usageError{fmt.Sprintf("cannot read the file: %v", err)}
	}
	c, err := spec.Parse(doc)
	if err != nil {
		return c, doc, fmt.Errorf("%s is invalid:\n%w", file, err)
	}
	return c, doc, nil
}

func (g *program) replayCommand() command {
	var file string
	return command{
		name: "replay", help: "replay a recorded trace and compare the effects with the recorded ones",
		flags: func(s *flaggy.Subcommand) {
			s.AddPositionalValue(&file, "TRACE", 1, true, "the trace file, written by serve --record")
		},
		run: func(context.Context) error {
			f, err := os.Open(file)
			if err != nil {
				return &usageError{fmt.Sprintf("cannot read the trace: %v", err)}
			}
			defer f.Close()
			n, err := trace.Replay(f)
			if err != nil {
				return fmt.Errorf("%s: %w", file, err)
			}
			_, err = fmt.Fprintf(g.out, "%d events replayed, all effects equal the recorded ones\n", n)
			return err
		},
	}
}
