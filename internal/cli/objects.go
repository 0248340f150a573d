package cli

import (
	"context"
	"fmt"
	"slices"

	"github.com/integrii/flaggy"

	"github.com/catkinhead/catkinhead/pkg/spec"
)

// named is a command on one named object.
type named struct {
	remote
	name string
}

func (n *named) flags(s *flaggy.Subcommand) {
	n.remote.flags(s)
	s.AddPositionalValue(&n.name, "NAME", 1, true, "its name")
}

// remover is a command that removes an object.
func (g *program) remover(what string, remove func(*spec.Config, string) bool) command {
	var n named
	return command{
		name: "delete", help: "remove a " + what, flags: n.flags,
		run: func(ctx context.Context) error {
			return g.edit(ctx, &n.remote, func(c *spec.Config) error {
				if !remove(c, n.name) {
					return fmt.Errorf("%s %q: %w", what, n.name, errAbsent)
				}
				return nil
			})
		},
	}
}

// lister is a command that prints objects.
func (g *program) lister(what string, head []string, pick func(spec.Config) (any, [][]string)) command {
	var r remote
	return command{
		name: "list", help: "list the " + what, flags: r.flags,
		run: func(ctx context.Context) error {
			c, _, err := r.current(ctx)
			if err != nil {
				return err
			}
			v, rows := pick(c)
			return g.print(v, head, rows)
		},
	}
}

// without removes the elements that match, and tells whether there were any.
func without[T any](list *[]T, match func(T) bool) bool {
	n := len(*list)
	*list = slices.DeleteFunc(*list, match)
	return len(*list) < n
}
