package cli

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"
	"github.com/twitchtv/twirp"

	"github.com/catkinhead/catkinhead/pkg/platform/link"
	"github.com/catkinhead/catkinhead/pkg/rpc"
	"github.com/catkinhead/catkinhead/pkg/spec"
)

const (
	// operatorTimeout bounds a call to an instance.
	operatorTimeout = 15 * time.Second
	// editAttempts bounds the attempts of an edit that conflicts with concurrent
	// changes.
	editAttempts = 4
)

// remote is the instance that operator commands are sent to.
type remote struct{ address string }

func (r *remote) flags(s *flaggy.Subcommand) {
	r.address = os.Getenv("CATKINHEAD_ADDRESS")
	if r.address == "" {
		r.address = "127.0.0.1:8080"
	}
	s.String(&r.address, "a", "address", "host:port of an instance (CATKINHEAD_ADDRESS); the operators' key comes from CATKINHEAD_OPERATOR_KEY")
}

// operator returns a client of the instance and a context with the operators' key.
func (r *remote) operator(ctx context.Context) (context.Context, rpc.Operator) {
	ctx = withBearer(ctx, os.Getenv("CATKINHEAD_OPERATOR_KEY"))
	client := link.NewClient(0, false, nil)
	client.Timeout = operatorTimeout
	return ctx, rpc.NewOperatorProtobufClient("http://"+r.address, client)
}

// withBearer adds the key as a bearer token to the headers of Twirp calls.
func withBearer(ctx context.Context, key string) context.Context {
	ctx, err := twirp.WithHTTPRequestHeaders(ctx, http.Header{"Authorization": {"Bearer " + key}})
	if err != nil {
		panic("authorization header is reserved: " + err.Error())
	}
	return ctx
}

// current reads the configuration in force and its version.
func (r *remote) current(ctx context.Context) (spec.Config, int64, error) {
	ctx, op := r.operator(ctx)
	doc, err := op.GetConfig(ctx, &rpc.GetConfigRequest{})
	if err != nil {
		return spec.Config{}, 0, fmt.Errorf("get configuration: %w", err)
	}
	c, err := spec.Parse(doc.Document)
	if err != nil {
		return c, 0, fmt.Errorf("configuration in force: %w", err)
	}
	return c, doc.Version, nil
}

// edit reads the configuration in force, changes it and applies the result. If
// another change was applied in between, it starts again from the new version.
func (g *program) edit(ctx context.Context, r *remote, change func(*spec.Config) error) error {
	var last error
	for range editAttempts {
		c, version, err := r.current(ctx)
		if err != nil {
			return err
		}
		if err := change(&c); err != nil {
			return err
		}
		doc, err := spec.Format(c)
		if err != nil {
			return err
		}
		if _, err := spec.Parse(doc); err != nil {
			return fmt.Errorf("the changed configuration is invalid:\n%w", err)
		}
		last = g.apply(ctx, r, doc, version)
		if exitCode(last) != ExitConflict {
			return last
		}
		time.Sleep(100 * time.Millisecond)
	}
	return last
}

// apply sends a configuration, which is refused unless version ifVersion is still
// in force, and prints which instances have not confirmed it yet.
func (g *program) apply(ctx context.Context, r *remote, doc []byte, ifVersion int64) error {
	ctx, op := r.operator(ctx)
	res, err := op.ApplyConfig(ctx, &rpc.ApplyConfigRequest{IfVersion: ifVersion, Document: doc})
	if err != nil {
		return fmt.Errorf("apply configuration: %w", err)
	}
	if g.json {
		return g.print(res, nil, nil)
	}
	fmt.Fprintf(g.out, "version %d accepted", res.Version)
	if len(res.Lagging) > 0 {
		fmt.Fprintf(g.out, "; not yet confirmed by %s", strings.Join(res.Lagging, ", "))
	}
	_, err = fmt.Fprintln(g.out)
	return err
}

func (g *program) applyCommand() command {
	var r remote
	var file string
	ifVersion := int64(-1)
	dryRun := false
	return command{
		name: "apply", help: "show what a configuration file changes, and apply it",
		flags: func(s *flaggy.Subcommand) {
			r.flags(s)
			s.AddPositionalValue(&file, "FILE", 1, true, "the YAML file")
			s.Int64(&ifVersion, "", "if-version", "apply only if this version is in force; the default is the version that the changes are shown against")
			s.Bool(&dryRun, "", "dry-run", "show what changes without applying it")
		},
		run: func(ctx context.Context) error {
			next, doc, err := readConfig(file)
			if err != nil {
				return err
			}
			old, version, err := r.current(ctx)
			if err != nil {
				return err
			}
			if ifVersion < 0 {
				ifVersion = version
			}
			if !g.json {
				for _, line := range diffConfigs(old, next) {
					fmt.Fprintln(g.out, line)
				}
			}
			if dryRun {
				return nil
			}
			return g.apply(ctx, &r, doc, ifVersion)
		},
	}
}

func (g *program) getCommand() command {
	var r remote
	return command{
		name: "get", help: "print the configuration in force", flags: r.flags,
		run: func(ctx context.Context) error {
			ctx, op := r.operator(ctx)
			doc, err := op.GetConfig(ctx, &rpc.GetConfigRequest{})
			if err != nil {
				return fmt.Errorf("get configuration: %w", err)
			}
			if g.json {
				return g.print(doc, nil, nil)
			}
			_, err = fmt.Fprintf(g.out, "# version %d\n%s", doc.Version, doc.Document)
			return err
		},
	}
}

func (g *program) drainCommand() command {
	var r remote
	return command{
		name: "drain", help: "start the graceful shutdown of the instance at --address", flags: r.flags,
		run: func(ctx context.Context) error {
			ctx, op := r.operator(ctx)
			if _, err := op.Drain(ctx, &rpc.DrainRequest{}); err != nil {
				return fmt.Errorf("drain: %w", err)
			}
			_, err := fmt.Fprintln(g.out, "graceful shutdown started")
			return err
		},
	}
}

func (g *program) dumpCommand() command {
	var r remote
	return command{
		name: "dump", help: "print the state of the instance at --address as JSON", flags: r.flags,
		run: func(ctx context.Context) error {
			ctx, op := r.operator(ctx)
			res, err := op.Dump(ctx, &rpc.DumpRequest{})
			if err != nil {
				return fmt.Errorf("dump: %w", err)
			}
			_, err = fmt.Fprintf(g.out, "%s\n", res.Json)
			return err
		},
	}
}

// errNotFound is returned for a name that the configuration does not contain.
var errNotFound = errors.New("not found in the configuration")
