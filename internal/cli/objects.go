package cli

import (
	"context"
	"fmt"
	"slices"

	"github.com/integrii/flaggy"

	"github.com/catkinhead/catkinhead/pkg/spec"
)

// named holds the arguments of a command on one named object.
type named struct {
	remote
	name string
}

func (n *named) flags(s *flaggy.Subcommand) {
	n.remote.flags(s)
	s.AddPositionalValue(&n.name, "NAME", 1, true, "its name")
}

// deleteCommand returns a command that deletes an object of a kind by its name.
// The function remove deletes it from the configuration and reports whether it
// existed.
func (g *program) deleteCommand(what string, remove func(*spec.Config, string) bool) command {
	var n named
	return command{
		name: "delete", help: "remove a " + what, flags: n.flags,
		run: func(ctx context.Context) error {
			return g.edit(ctx, &n.remote, func(c *spec.Config) error {
				if !remove(c, n.name) {
					return fmt.Errorf("%s %q: %w", what, n.name, errNotFound)
				}
				return nil
			})
		},
	}
}

// listCommand returns a command that lists all objects of a kind. The function
// pick returns their JSON form and their table rows.
func (g *program) listCommand(what string, header []string, pick func(spec.Config) (any, [][]string)) command {
	var r remote
	return command{
		name: "list", help: "list the " + what, flags: r.flags,
		run: func(ctx context.Context) error {
			c, _, err := r.current(ctx)
			if err != nil {
				return err
			}
			v, rows := pick(c)
			return g.print(v, header, rows)
		},
	}
}

// removeMatching removes the elements that match and reports whether there were
// any.
func removeMatching[T any](list *[]T, match func(T) bool) bool {
	n := len(*list)
	*list = slices.DeleteFunc(*list, match)
	return len(*list) < n
}
