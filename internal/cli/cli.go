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

	"github.com/catkinhead/catkinhead/internal/build"
	"github.com/catkinhead/catkinhead/internal/setting"
	"github.com/catkinhead/catkinhead/internal/trace"
	"github.com/catkinhead/catkinhead/pkg/spec"
)

// Exit codes of all commands.
const (
	ExitOK = 0
	// ExitFailed means that the command failed for any reason not listed below.
	ExitFailed = 1
	// ExitUsage means that the command line, a setting or a configuration
	// document is invalid.
	ExitUsage = 2
	// ExitConflict means that the current state does not allow the command: a
	// concurrent change was applied first, the version of the weights is not
	// above the active one, or the step is closed.
	ExitConflict = 3
	// ExitViolation means that the demo found a violated guarantee or that a
	// replay produced other effects than the trace records.
	ExitViolation = 4
)

// errViolation is returned by the demo if a guarantee of the service was violated.
var errViolation = errors.New("a guarantee was violated")

// usageError reports invalid flags, arguments or environment variables.
type usageError struct{ msg string }

func (e *usageError) Error() string { return e.msg }

// program holds the output streams, the global flags and the selected command
// of one invocation.
type program struct {
	out, err io.Writer
	// json is set by --json.
	json bool
	// run executes the command that the arguments select.
	run func(context.Context) error
}

// Main parses args, runs the selected command and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	g := &program{out: out, err: errOut}
	p := flaggy.NewParser("catkinhead")
	p.Description = "A rollout service between trainers or live services and the engines they use."
	p.Version = build.Current().String()
	p.AdditionalHelpAppend = "\nExit codes: 0 success, 1 failure, 2 usage error, 3 conflict with the current state, such as a concurrent change, 4 a guarantee was violated."
	p.ShowHelpWithHFlag = true
	// The parser's own --version also takes the place of the version command.
	p.DisableShowVersionWithVersion()
	var version bool
	p.Bool(&version, "", "version", "print which build of the program this is")
	g.attachCommands(p)
	if err := p.ParseArgs(args); err != nil {
		fmt.Fprintln(errOut, "error:", err)
		return ExitUsage
	}
	if version {
		fmt.Fprintln(out, "Version:", p.Version)
		return ExitOK
	}
	if g.run == nil {
		p.ShowHelpWithMessage("No command given.")
		return ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := g.run(ctx); err != nil {
		fmt.Fprintln(errOut, "error:", errorMessage(err))
		return exitCode(err)
	}
	return ExitOK
}

// command describes a command or a group of subcommands.
type command struct {
	name, help string
	// flags registers the command's flags and positional arguments.
	flags func(*flaggy.Subcommand)
	// run executes the command; it is nil for a group.
	run  func(context.Context) error
	subs []command
}

// parent is the root parser or a subcommand, to which subcommands are attached.
type parent interface {
	AttachSubcommand(*flaggy.Subcommand, int)
}

func (g *program) attachCommands(p *flaggy.Parser) {
	for _, c := range g.commands() {
		g.attachCommand(p, c)
	}
}

// attachCommand attaches a command and its subcommands to a parent.
func (g *program) attachCommand(on parent, c command) {
	sub := flaggy.NewSubcommand(c.name)
	sub.Description = c.help
	if c.flags != nil {
		c.flags(sub)
	}
	if len(c.subs) == 0 {
		sub.Bool(&g.json, "", "json", "print JSON instead of a table")
	}
	for _, s := range c.subs {
		g.attachCommand(sub, s)
	}
	on.AttachSubcommand(sub, 1)
	if c.run != nil {
		g.runIfUsed(sub, c.run)
	}
}

// runIfUsed makes g.run call f if the parsed arguments select sub, and otherwise
// the function that was registered before.
func (g *program) runIfUsed(sub *flaggy.Subcommand, f func(context.Context) error) {
	old := g.run
	g.run = func(ctx context.Context) error {
		if sub.Used {
			return f(ctx)
		}
		if old == nil {
			return &usageError{"no command given; catkinhead --help lists them"}
		}
		return old(ctx)
	}
}

// exitCode maps an error of a command to the exit code.
func exitCode(err error) int {
	var usage *usageError
	var settings setting.Faults
	var document spec.Faults
	var te twirp.Error
	var diff *trace.Difference
	switch {
	case errors.Is(err, errViolation), errors.As(err, &diff):
		return ExitViolation
	case errors.As(err, &usage), errors.As(err, &settings), errors.As(err, &document):
		return ExitUsage
	case errors.As(err, &te) && te.Code() == twirp.FailedPrecondition:
		return ExitConflict
	case errors.As(err, &te) && te.Code() == twirp.InvalidArgument:
		return ExitUsage
	}
	return ExitFailed
}

// errorMessage formats an error for the user. For an error response of an
// instance it adds the reason and a hint on how to solve it.
func errorMessage(err error) string {
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
		msg += "; check that an instance listens at --address, or try another instance"
	}
	return msg
}

// print writes v as JSON if --json is set, and otherwise the rows as a table.
func (g *program) print(v any, header []string, rows [][]string) error {
	if g.json {
		enc := json.NewEncoder(g.out)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	w := tabwriter.NewWriter(g.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(header, "\t"))
	for _, r := range rows {
		fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	return w.Flush()
}
