package cli

import (
	"context"
	"strconv"

	"github.com/integrii/flaggy"

	"github.com/catkinhead/catkinhead/pkg/spec"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

func (g *program) workspaceCommand() command {
	var n named
	weight := 1
	create := command{
		name: "create", help: "add a workspace",
		flags: func(s *flaggy.Subcommand) {
			n.flags(s)
			s.Int(&weight, "", "weight", "relative share of the capacity under overload")
		},
		run: func(ctx context.Context) error {
			return g.edit(ctx, &n.remote, func(c *spec.Config) error {
				c.Workspaces = append(c.Workspaces, spec.Workspace{Name: unit.Workspace(n.name), Weight: weight})
				return nil
			})
		},
	}
	remove := g.deleteCommand("workspace", func(c *spec.Config, name string) bool {
		return removeMatching(&c.Workspaces, func(w spec.Workspace) bool { return string(w.Name) == name })
	})
	list := g.listCommand("workspaces", []string{"Name", "Weight"}, func(c spec.Config) (any, [][]string) {
		var rows [][]string
		for _, w := range c.Workspaces {
			rows = append(rows, []string{string(w.Name), strconv.Itoa(max(w.Weight, 1))})
		}
		return c.Workspaces, rows
	})
	return command{name: "workspace", help: "create, delete and list workspaces", subs: []command{create, remove, list}}
}
