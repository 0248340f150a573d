package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"text/tabwriter"

	"github.com/integrii/flaggy"
	"github.com/twitchtv/twirp"

	"github.com/catkinhead/catkinhead/internal/setting"
	"github.com/catkinhead/catkinhead/internal/trace"
	"github.com/catkinhead/catkinhead/pkg/spec"
)

// Version of the program.
const Version = "0.1.0"

// The exit codes of all commands.
const (
	ExitOK = 0
	// ExitFailed means that the command could not be carried out.
	ExitFailed = 1
	// ExitUsage means that the command line, a setting or a document is wrong.
	ExitUsage = 2
	// ExitConflict means that somebody else changed the same thing first.
	ExitConflict = 3
	// ExitBroken means that a promise was broken: a demo or replay that found
	// a difference.
	ExitBroken = 4
)

// errBroken marks a broken promise.
var errBroken = errors.New("a promise was broken")

// usageError is a mistake in how a command was called.
type usageError struct{ msg string }

func (e *usageError) Error() string { return e.msg }

// program is one call of the command line.
type program struct {
	out, err io.Writer
	json     bool
	run      func(context.Context) error
}

// Main runs a command line and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	g := &program{out: out, err: errOut}
	p := flaggy.NewParser("catkinhead")
	p.Description = "A rollout service between trainers or live services and the engines they use."
	p.Version = Version
	p.AdditionalHelpAppend = "\nExit codes: 0 done, 1 failed, 2 wrong use, 3 changed by somebody else, 4 a promise was broken."
	p.ShowHelpWithHFlag, p.ShowVersionWithVersionFlag = true, true
	g.attach(p)
	if err := p.ParseArgs(args); err != nil {
		fmt.Fprintln(errOut, "error:", err)
		return ExitUsage
	}
	if g.run == nil {
		p.ShowHelpWithMessage("Name a command.")
		return ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := g.run(ctx); err != nil {
		fmt.Fprintln(errOut, "error:", explain(err))
		return codeOf(err)
	}
	return ExitOK
}

// command is one command: where it hangs, what it says and what it does.
type command struct {
	name, help string
	// flags adds flags and positional values.
	flags func(*flaggy.Subcommand)
	run   func(context.Context) error
	subs  []command
}

// parent is what commands hang on.
type parent interface {
	AttachSubcommand(*flaggy.Subcommand, int)
}

func (g *program) attach(p *flaggy.Parser) {
	for _, c := range g.commands() {
		g.hang(p, c)
	}
}

// hang attaches a command. The last one that the line names is the one run.
func (g *program) hang(on parent, c command) {
	sub := flaggy.NewSubcommand(c.name)
	sub.Description = c.help
	if c.flags != nil {
		c.flags(sub)
	}
	if len(c.subs) == 0 {
		sub.Bool(&g.json, "", "json", "print JSON instead of a table")
	}
	for _, s := range c.subs {
		g.hang(sub, s)
	}
	on.AttachSubcommand(sub, 1)
	if c.run != nil {
		g.pick(sub, c.run)
	}
}

// pick runs f once the line was parsed if it named sub.
func (g *program) pick(sub *flaggy.Subcommand, f func(context.Context) error) {
	old := g.run
	g.run = func(ctx context.Context) error {
		if sub.Used {
			return f(ctx)
		}
		if old == nil {
			return &usageError{"name a command; catkinhead --help lists them"}
		}
		return old(ctx)
	}
}

func codeOf(err error) int {
	var usage *usageError
	var settings setting.Faults
	var document spec.Faults
	var te twirp.Error
	var diff *trace.Difference
	switch {
	case errors.Is(err, errBroken), errors.As(err, &diff):
		return ExitBroken
	case errors.As(err, &usage), errors.As(err, &settings), errors.As(err, &document):
		return ExitUsage
	case errors.As(err, &te) && te.Code() == twirp.FailedPrecondition:
		return ExitConflict
	case errors.As(err, &te) && te.Code() == twirp.InvalidArgument:
		return ExitUsage
	}
	return ExitFailed
}

// explain adds what to do to an error from a call.
func explain(err error) string {
	var te twirp.Error
	if !errors.As(err, &te) {
		return err.Error()
	}
	msg := te.Msg()
	if r := te.Meta("reason"); r != "" {
		msg += " (" + r + ")"
	}
	switch te.Code() {
	case twirp.Unauthenticated:
		msg += "; set CATKINHEAD_OPERATOR_KEY or CATKINHEAD_KEY"
	case twirp.Internal, twirp.Unavailable:
		msg += "; is an instance at --address? another one may answer"
	}
	return msg
}

// print writes v as JSON, or the rows as a table.
func (g *program) print(v any, head []string, rows [][]string) error {
	if g.json {
		enc := json.NewEncoder(g.out)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	w := tabwriter.NewWriter(g.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(head, "\t"))
	for _, r := range rows {
		fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	return w.Flush()
}
