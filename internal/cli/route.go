package cli

import (
	"context"
	"strconv"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/catkinhead/catkinhead/pkg/spec"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

func (g *program) routeCommand() command {
	var n named
	var pool, workspaces string
	var open, idempotent bool
	create := command{
		name: "create", help: "add a route to a pool",
		flags: func(s *flaggy.Subcommand) {
			n.flags(s)
			s.String(&pool, "p", "pool", "the pool that serves the requests")
			s.String(&workspaces, "w", "workspaces", "comma-separated workspaces that may use it; default all")
			s.Bool(&open, "", "open", "allow requests without a key")
			s.Bool(&idempotent, "", "idempotent", "requests are idempotent: they may be retried after an attempt with unknown outcome")
		},
		run: func(ctx context.Context) error {
			return g.edit(ctx, &n.remote, func(c *spec.Config) error {
				r := spec.Route{Name: unit.Route(n.name), Pool: unit.Pool(pool), Open: open, Idempotent: idempotent}
				for _, w := range splitList(workspaces) {
					r.Workspaces = append(r.Workspaces, unit.Workspace(w))
				}
				c.Routes = append(c.Routes, r)
				return nil
			})
		},
	}
	remove := g.deleteCommand("route", func(c *spec.Config, name string) bool {
		return removeMatching(&c.Routes, func(r spec.Route) bool { return string(r.Name) == name })
	})
	list := g.listCommand("routes", []string{"Name", "Pool", "Open"}, func(c spec.Config) (any, [][]string) {
		var rows [][]string
		for _, r := range c.Routes {
			rows = append(rows, []string{string(r.Name), string(r.Pool), strconv.FormatBool(r.Open)})
		}
		return c.Routes, rows
	})
	return command{name: "route", help: "create, delete and list routes", subs: []command{create, remove, list}}
}

// splitList splits a comma-separated list; an empty string has no elements.
func splitList(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(s, ",")
}
