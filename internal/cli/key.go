package cli

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/catkinhead/catkinhead/pkg/rpc"
	"github.com/catkinhead/catkinhead/pkg/spec"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

func (g *program) keyCommand() command {
	remove := g.deleteCommand("key", func(c *spec.Config, name string) bool {
		return removeMatching(&c.Keys, func(k spec.Key) bool { return string(k.ID) == name })
	})
	list := g.listCommand("keys", []string{"Id", "Workspace"}, func(c spec.Config) (any, [][]string) {
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
		name: "create", help: "add a key and print it; it cannot be shown again",
		flags: func(s *flaggy.Subcommand) {
			n.flags(s)
			s.String(&workspace, "w", "workspace", "the workspace that the key belongs to")
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
		name: "withdraw", help: "withdraw (revoke) a key on all instances within seconds; its id can never be used again", flags: n.flags,
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
