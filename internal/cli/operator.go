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

	"github.com/catkinhead/catkinhead/pkg/rpc"
	"github.com/catkinhead/catkinhead/pkg/spec"
)

const (
	// operatorTime bounds a call to an instance.
	operatorTime = 15 * time.Second
	// editTries is how often an edit is tried again on a newer version.
	editTries = 4
)

// remote is where operators' commands go.
type remote struct{ address string }

func (r *remote) flags(s *flaggy.Subcommand) {
	r.address = os.Getenv("CATKINHEAD_ADDRESS")
	if r.address == "" {
		r.address = "127.0.0.1:8080"
	}
	s.String(&r.address, "a", "address", "host:port of an instance (CATKINHEAD_ADDRESS); the operators' key comes from CATKINHEAD_OPERATOR_KEY")
}

// operator returns a client and a context that carries the operators' key.
func (r *remote) operator(ctx context.Context) (context.Context, rpc.Operator) {
	ctx = withBearer(ctx, os.Getenv("CATKINHEAD_OPERATOR_KEY"))
	return ctx, rpc.NewOperatorProtobufClient("http://"+r.address, &http.Client{Timeout: operatorTime})
}

func withBearer(ctx context.Context, key string) context.Context {
	ctx, err := twirp.WithHTTPRequestHeaders(ctx, http.Header{"Authorization": {"Bearer " + key}})
	if err != nil {
		panic("authorization header is reserved: " + err.Error())
	}
	return ctx
}

// current reads the configuration in force.
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

// edit changes the configuration in force, again if somebody else was first.
func (g *program) edit(ctx context.Context, r *remote, change func(*spec.Config) error) error {
	var last error
	for range editTries {
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
			return fmt.Errorf("the change is not allowed:\n%w", err)
		}
		last = g.apply(ctx, r, doc, version)
		if codeOf(last) != ExitConflict {
			return last
		}
		time.Sleep(100 * time.Millisecond)
	}
	return last
}

func (g *program) apply(ctx context.Context, r *remote, doc []byte, seen int64) error {
	ctx, op := r.operator(ctx)
	res, err := op.ApplyConfig(ctx, &rpc.ApplyConfigRequest{IfVersion: seen, Document: doc})
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
	seen := int64(-1)
	dry := false
	return command{
		name: "apply", help: "put a configuration file in force, after showing what changes",
		flags: func(s *flaggy.Subcommand) {
			r.flags(s)
			s.AddPositionalValue(&file, "FILE", 1, true, "the YAML file")
			s.Int64(&seen, "", "if-version", "apply only if this version is in force; default is the one shown")
			s.Bool(&dry, "", "dry-run", "show what changes and stop")
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
			if seen < 0 {
				seen = version
			}
			if !g.json {
				for _, line := range difference(old, next) {
					fmt.Fprintln(g.out, line)
				}
			}
			if dry {
				return nil
			}
			return g.apply(ctx, &r, doc, seen)
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
		name: "drain", help: "begin the planned stop of the instance at --address", flags: r.flags,
		run: func(ctx context.Context) error {
			ctx, op := r.operator(ctx)
			if _, err := op.Drain(ctx, &rpc.DrainRequest{}); err != nil {
				return fmt.Errorf("drain: %w", err)
			}
			_, err := fmt.Fprintln(g.out, "the planned stop has begun")
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

// errAbsent is a name that the configuration does not have.
var errAbsent = errors.New("there is no such name in the configuration")
