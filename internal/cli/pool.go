package cli

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/catkinhead/catkinhead/pkg/rpc"
	"github.com/catkinhead/catkinhead/pkg/spec"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

func (g *program) poolCommand() command {
	var n named
	var kind, counts string
	create := command{
		name: "create", help: "add a pool of targets",
		flags: func(s *flaggy.Subcommand) {
			n.flags(s)
			s.String(&kind, "k", "kind", "Model or Plain")
			s.String(&counts, "c", "counts", "number of targets to run in each data centre, as comma-separated data-centre=number")
		},
		run: func(ctx context.Context) error {
			wanted, err := parseCounts(counts)
			if err != nil {
				return err
			}
			return g.edit(ctx, &n.remote, func(c *spec.Config) error {
				c.Pools = append(c.Pools, spec.Pool{Name: unit.Pool(n.name), Kind: spec.Kind(kind), Counts: wanted})
				return nil
			})
		},
	}
	remove := g.deleteCommand("pool", func(c *spec.Config, name string) bool {
		return removeMatching(&c.Pools, func(p spec.Pool) bool { return string(p.Name) == name })
	})
	list := g.listCommand("pools", []string{"Name", "Kind", "Targets"}, func(c spec.Config) (any, [][]string) {
		var rows [][]string
		for _, p := range c.Pools {
			rows = append(rows, []string{string(p.Name), string(p.Kind), strconv.Itoa(len(p.Targets))})
		}
		return c.Pools, rows
	})
	return command{
		name: "pool", help: "create, delete, list and activate pools",
		subs: []command{create, remove, list, g.activatePool()},
	}
}

// parseCounts parses comma-separated data-centre=number pairs.
func parseCounts(s string) ([]spec.Count, error) {
	var out []spec.Count
	for _, x := range splitList(s) {
		dc, n, ok := strings.Cut(x, "=")
		count, err := strconv.Atoi(n)
		if !ok || err != nil {
			return nil, &usageError{fmt.Sprintf("--counts: %q is not data-centre=number", x)}
		}
		out = append(out, spec.Count{DataCentre: unit.DataCentre(dc), Targets: count})
	}
	return out, nil
}

func (g *program) activatePool() command {
	var n named
	var version int64
	return command{
		name: "activate", help: "set the version of the weights that all targets of a pool have to run",
		flags: func(s *flaggy.Subcommand) {
			n.flags(s)
			s.Int64(&version, "", "weights", "the version to run")
		},
		run: func(ctx context.Context) error {
			ctx, op := n.operator(ctx)
			res, err := op.Activate(ctx, &rpc.ActivateRequest{Pool: n.name, Version: version})
			if err != nil {
				return fmt.Errorf("activate: %w", err)
			}
			return g.print(res, []string{"Pool", "Version"}, [][]string{{n.name, strconv.FormatInt(res.Version, 10)}})
		},
	}
}
