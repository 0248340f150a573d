package cli

import (
	"context"
	"fmt"
	"slices"

	"github.com/integrii/flaggy"

	"github.com/catkinhead/catkinhead/pkg/rpc"
	"github.com/catkinhead/catkinhead/pkg/spec"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

func (g *program) targetCommand() command {
	return command{
		name: "target", help: "add, remove, start and stop targets",
		subs: []command{g.addTarget(), g.removeTarget(), g.orderTarget("start", "Start"), g.orderTarget("stop", "Stop")},
	}
}

func (g *program) addTarget() command {
	var n named
	var pool, address, dc string
	return command{
		name: "add", help: "add a target that is already running",
		flags: func(s *flaggy.Subcommand) {
			n.flags(s)
			s.String(&pool, "p", "pool", "its pool")
			s.String(&address, "", "at", "its host:port")
			s.String(&dc, "d", "data-centre", "its data centre")
		},
		run: func(ctx context.Context) error {
			return g.edit(ctx, &n.remote, func(c *spec.Config) error {
				i := slices.IndexFunc(c.Pools, func(p spec.Pool) bool { return string(p.Name) == pool })
				if i < 0 {
					return fmt.Errorf("pool %q: %w", pool, errNotFound)
				}
				c.Pools[i].Targets = append(c.Pools[i].Targets, spec.Target{
					Name: unit.Target(n.name), Address: address, DataCentre: unit.DataCentre(dc),
				})
				return nil
			})
		},
	}
}

func (g *program) removeTarget() command {
	r := g.deleteCommand("target", func(c *spec.Config, name string) bool {
		found := false
		for i := range c.Pools {
			if removeMatching(&c.Pools[i].Targets, func(t spec.Target) bool { return string(t.Name) == name }) {
				found = true
			}
		}
		return found
	})
	r.name = "remove"
	return r
}

// orderTarget returns the command that sends an order of a kind to the platform.
func (g *program) orderTarget(name, kind string) command {
	var r remote
	var target, pool, dc string
	return command{
		name: name, help: "order the platform to " + name + " a target",
		flags: func(s *flaggy.Subcommand) {
			r.flags(s)
			s.String(&target, "t", "target", "its name; optional for a start")
			s.String(&pool, "p", "pool", "its pool")
			s.String(&dc, "d", "data-centre", "its data centre")
		},
		run: func(ctx context.Context) error {
			ctx, op := r.operator(ctx)
			res, err := op.OrderTarget(ctx, &rpc.OrderTargetRequest{Kind: kind, Target: target, Pool: pool, DataCentre: dc})
			if err != nil {
				return fmt.Errorf("order target: %w", err)
			}
			return g.print(res, []string{"Order", "Target"}, [][]string{{res.OrderId, res.Target}})
		},
	}
}
