package cli

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/catkinhead/catkinhead/pkg/rpc"
	"github.com/catkinhead/catkinhead/pkg/spec"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

func unitInstance(s string) unit.Instance { return unit.Instance(s) }
func unitCentre(s string) unit.DataCentre { return unit.DataCentre(s) }

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

func (g *program) workspaceCommand() command {
	var n named
	weight := 1
	create := command{
		name: "create", help: "add a workspace",
		flags: func(s *flaggy.Subcommand) {
			n.flags(s)
			s.Int(&weight, "", "weight", "its share under load")
		},
		run: func(ctx context.Context) error {
			return g.edit(ctx, &n.remote, func(c *spec.Config) error {
				c.Workspaces = append(c.Workspaces, spec.Workspace{Name: unit.Workspace(n.name), Weight: weight})
				return nil
			})
		},
	}
	remove := g.remover("workspace", func(c *spec.Config, name string) bool {
		return without(&c.Workspaces, func(w spec.Workspace) bool { return string(w.Name) == name })
	})
	list := g.lister("workspaces", []string{"Name", "Weight"}, func(c spec.Config) (any, [][]string) {
		var rows [][]string
		for _, w := range c.Workspaces {
			rows = append(rows, []string{string(w.Name), strconv.Itoa(max(w.Weight, 1))})
		}
		return c.Workspaces, rows
	})
	return command{name: "workspace", help: "create, delete and list workspaces", subs: []command{create, remove, list}}
}

func (g *program) keyCommand() command {
	remove := g.remover("key", func(c *spec.Config, name string) bool {
		return without(&c.Keys, func(k spec.Key) bool { return string(k.ID) == name })
	})
	list := g.lister("keys", []string{"Id", "Workspace"}, func(c spec.Config) (any, [][]string) {
		var rows [][]string
		for _, k := range c.Keys {
			rows = append(rows, []string{string(k.ID), string(k.Workspace)})
		}
		return c.Keys, rows
	})
	return command{
		name: "key", help: "create, withdraw, delete and list callers' keys",
		subs: []command{g.createKey(), g.withdrawKey(), remove, list, g.hashKey()},
	}
}

func (g *program) createKey() command {
	var n named
	var workspace string
	return command{
		name: "create", help: "add a key and print it, once",
		flags: func(s *flaggy.Subcommand) {
			n.flags(s)
			s.String(&workspace, "w", "workspace", "the workspace it acts for")
		},
		run: func(ctx context.Context) error {
			key, err := spec.NewKey()
			if err != nil {
				return err
			}
			err = g.edit(ctx, &n.remote, func(c *spec.Config) error {
				c.Keys = append(c.Keys, spec.Key{
					ID: unit.KeyID(n.name), Workspace: unit.Workspace(workspace), Hash: spec.HashKey(key),
				})
				return nil
			})
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(g.out, key)
			return err
		},
	}
}

func (g *program) withdrawKey() command {
	var n named
	return command{
		name: "withdraw", help: "end a key everywhere within seconds; its id can never be used again", flags: n.flags,
		run: func(ctx context.Context) error {
			ctx, op := n.operator(ctx)
			res, err := op.WithdrawKey(ctx, &rpc.WithdrawKeyRequest{KeyId: n.name})
			if err != nil {
				return fmt.Errorf("withdraw key: %w", err)
			}
			return g.print(res, []string{"Stored", "Confirmed", "Members"}, [][]string{{
				strconv.FormatBool(res.Stored), strconv.Itoa(int(res.Confirmed)), strconv.Itoa(int(res.Members)),
			}})
		},
	}
}

func (g *program) hashKey() command {
	return command{
		name: "hash", help: "print the hash of a key read from standard input",
		run: func(context.Context) error {
			line, err := bufio.NewReader(os.Stdin).ReadString('\n')
			key := strings.TrimSpace(line)
			if key == "" {
				return &usageError{fmt.Sprintf("no key on standard input: %v", err)}
			}
			_, err = fmt.Fprintln(g.out, spec.HashKey(key))
			return err
		},
	}
}

func (g *program) routeCommand() command {
	var n named
	var pool, workspaces string
	var open, idempotent bool
	create := command{
		name: "create", help: "add a route to a pool",
		flags: func(s *flaggy.Subcommand) {
			n.flags(s)
			s.String(&pool, "p", "pool", "the pool it leads to")
			s.String(&workspaces, "w", "workspaces", "workspaces that may use it, with commas; default all")
			s.Bool(&open, "", "open", "let callers without a key in")
			s.Bool(&idempotent, "", "idempotent", "allow a second run after an unknown outcome")
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
	remove := g.remover("route", func(c *spec.Config, name string) bool {
		return without(&c.Routes, func(r spec.Route) bool { return string(r.Name) == name })
	})
	list := g.lister("routes", []string{"Name", "Pool", "Open"}, func(c spec.Config) (any, [][]string) {
		var rows [][]string
		for _, r := range c.Routes {
			rows = append(rows, []string{string(r.Name), string(r.Pool), strconv.FormatBool(r.Open)})
		}
		return c.Routes, rows
	})
	return command{name: "route", help: "create, delete and list routes", subs: []command{create, remove, list}}
}

func splitList(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(s, ",")
}

func (g *program) poolCommand() command {
	var n named
	var kind, counts string
	create := command{
		name: "create", help: "add a pool of targets",
		flags: func(s *flaggy.Subcommand) {
			n.flags(s)
			s.String(&kind, "k", "kind", "Model or Plain")
			s.String(&counts, "c", "counts", "targets to order, as data-centre=number with commas")
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
	remove := g.remover("pool", func(c *spec.Config, name string) bool {
		return without(&c.Pools, func(p spec.Pool) bool { return string(p.Name) == name })
	})
	list := g.lister("pools", []string{"Name", "Kind", "Targets"}, func(c spec.Config) (any, [][]string) {
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

func parseCounts(s string) ([]spec.Count, error) {
	var out []spec.Count
	for _, x := range splitList(s) {
		dc, n, ok := strings.Cut(x, "=")
		count, err := strconv.Atoi(n)
		if !ok || err != nil {
			return nil, &usageError{fmt.Sprintf("--counts has %q; data-centre=number is allowed", x)}
		}
		out = append(out, spec.Count{DataCentre: unit.DataCentre(dc), Targets: count})
	}
	return out, nil
}

func (g *program) activatePool() command {
	var n named
	var version int64
	return command{
		name: "activate", help: "make a version of the weights the one wanted on a pool",
		flags: func(s *flaggy.Subcommand) {
			n.flags(s)
			s.Int64(&version, "", "weights", "the version")
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
		name: "add", help: "name a target that runs already",
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
					return fmt.Errorf("pool %q: %w", pool, errAbsent)
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
	r := g.remover("target", func(c *spec.Config, name string) bool {
		found := false
		for i := range c.Pools {
			if without(&c.Pools[i].Targets, func(t spec.Target) bool { return string(t.Name) == name }) {
				found = true
			}
		}
		return found
	})
	r.name = "remove"
	return r
}

func (g *program) orderTarget(name, kind string) command {
	var r remote
	var target, pool, dc string
	return command{
		name: name, help: "order the platform to " + name + " a target",
		flags: func(s *flaggy.Subcommand) {
			r.flags(s)
			s.String(&target, "t", "target", "its name; a start may leave it out")
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

// difference lists what changes from one configuration to another.
func difference(old, next spec.Config) []string {
	var out []string
	compare := func(what string, a, b map[string]string) {
		for _, k := range sortedUnion(a, b) {
			switch {
			case a[k] == "":
				out = append(out, "+ "+what+" "+k)
			case b[k] == "":
				out = append(out, "- "+what+" "+k)
			case a[k] != b[k]:
				out = append(out, "~ "+what+" "+k)
			}
		}
	}
	compare("workspace", texts(old.Workspaces, nameOfWorkspace), texts(next.Workspaces, nameOfWorkspace))
	compare("key", texts(old.Keys, nameOfKey), texts(next.Keys, nameOfKey))
	compare("route", texts(old.Routes, nameOfRoute), texts(next.Routes, nameOfRoute))
	compare("pool", texts(old.Pools, nameOfPool), texts(next.Pools, nameOfPool))
	return out
}

func nameOfWorkspace(w spec.Workspace) string { return string(w.Name) }
func nameOfKey(k spec.Key) string             { return string(k.ID) }
func nameOfRoute(r spec.Route) string         { return string(r.Name) }
func nameOfPool(p spec.Pool) string           { return string(p.Name) }

// texts maps the names of objects to their content as text.
func texts[T any](list []T, name func(T) string) map[string]string {
	out := make(map[string]string)
	for _, x := range list {
		out[name(x)] = fmt.Sprintf("%+v", x)
	}
	return out
}

func sortedUnion(a, b map[string]string) []string {
	var out []string
	for k := range a {
		out = append(out, k)
	}
	for k := range b {
		if _, ok := a[k]; !ok {
			out = append(out, k)
		}
	}
	slices.Sort(out)
	return out
}
