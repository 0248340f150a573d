package cli

import (
	"context"
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"github.com/catkinhead/catkinhead/internal/trace"
	"github.com/catkinhead/catkinhead/pkg/spec"
)

// commands lists the whole command line.
func (g *program) commands() []command {
	return []command{
		g.serveCommand(),
		g.hostedCommand("edge", "run one instance on a hosted platform; CATKINHEAD_BOOT names its settings file", serveHosted),
		g.hostedCommand("storage", "run beside a disk on a hosted platform", serveStorage),
		g.demoCommand(), g.checkCommand(), g.applyCommand(), g.getCommand(),
		g.workspaceCommand(), g.keyCommand(), g.routeCommand(), g.poolCommand(), g.targetCommand(),
		g.stepCommand(), g.drainCommand(), g.dumpCommand(), g.replayCommand(), g.loadCommand(),
		g.versionCommand(),
	}
}

func (g *program) versionCommand() command {
	return command{name: "version", help: "print the version", run: func(context.Context) error {
		return g.print(map[string]string{"Version": Version}, []string{"Version"}, [][]string{{Version}})
	}}
}

func (g *program) checkCommand() command {
	var file string
	return command{
		name: "check", help: "check a configuration file; lists every fault with line and field",
		flags: func(s *flaggy.Subcommand) { s.AddPositionalValue(&file, "FILE", 1, true, "the YAML file") },
		run: func(context.Context) error {
			c, _, err := readConfig(file)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(g.out, "%s is right: %d workspaces, %d keys, %d routes, %d pools\n",
				file, len(c.Workspaces), len(c.Keys), len(c.Routes), len(c.Pools))
			return err
		},
	}
}

// readConfig reads and checks a configuration file.
func readConfig(file string) (spec.Config, []byte, error) {
	doc, err := os.ReadFile(file)
	if err != nil {
		return spec.Config{}, nil, &usageError{fmt.Sprintf("cannot read the file: %v", err)}
	}
	c, err := spec.Parse(doc)
	if err != nil {
		return c, doc, fmt.Errorf("%s has faults:\n%w", file, err)
	}
	return c, doc, nil
}

func (g *program) replayCommand() command {
	var file string
	return command{
		name: "replay", help: "run a recorded trace and compare its effects with those stated",
		flags: func(s *flaggy.Subcommand) {
			s.AddPositionalValue(&file, "TRACE", 1, true, "the trace, as serve --record wrote it")
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
			_, err = fmt.Fprintf(g.out, "%d events, all effects as stated\n", n)
			return err
		},
	}
}
