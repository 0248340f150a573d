package cli

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/catkinhead/catkinhead/internal/demo"
)

func (g *program) demoCommand() command {
	logs := false
	return command{
		name: "demo", help: "run a small fleet with a simulated platform and engines on loopback, and check the guarantees of the service",
		flags: func(s *flaggy.Subcommand) { s.Bool(&logs, "", "logs", "show the instances' logs on standard error") },
		run: func(ctx context.Context) error {
			to := io.Discard
			if logs {
				to = g.err
			}
			r, err := demo.Run(ctx, to)
			if err != nil {
				return fmt.Errorf("demo: %w", err)
			}
			if err := g.printDemo(r); err != nil {
				return err
			}
			if len(r.Broken) > 0 {
				return fmt.Errorf("%w:\n%s", errViolation, strings.Join(r.Broken, "\n"))
			}
			return nil
		},
	}
}

// printDemo prints a row for each trainer and one for the live service.
func (g *program) printDemo(r demo.Result) error {
	if g.json {
		return g.print(r, nil, nil)
	}
	var rows [][]string
	for _, t := range r.Trainers {
		rows = append(rows, []string{
			string(t.Workspace), fmt.Sprint(t.Samples), fmt.Sprint(t.ByVersion), fmt.Sprint(t.Duplicates),
			fmt.Sprint(t.TooOld), fmt.Sprintf("%.2f", t.Idle.Seconds()),
			fmt.Sprint(r.Delivered[t.Workspace]), fmt.Sprint(r.Reported[t.Workspace]),
		})
	}
	rows = append(rows, []string{
		"booking", fmt.Sprint(r.LiveAnswers), "-", "-", "-", "-",
		fmt.Sprint(r.Delivered["booking"]), fmt.Sprint(r.Reported["booking"]),
	})
	head := []string{
		"Workspace", "Answers", "ByOldestVersion", "Duplicates", "TooOld", "IdleSeconds", "TokensDelivered", "TokensReported",
	}
	return g.print(nil, head, rows)
}
