package cli

import (
	"context"
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"github.com/catkinhead/catkinhead/internal/steplife"
)

func (g *program) stepsCommand() command {
	var file string
	return command{
		name: "steps", help: "show from the logs of hosted instances what the time of each step was spent on",
		flags: func(s *flaggy.Subcommand) {
			s.AddPositionalValue(&file, "FILE", 1, true, "the log lines of all instances")
		},
		run: func(context.Context) error {
			f, err := os.Open(file)
			if err != nil {
				return &usageError{fmt.Sprintf("cannot read the log: %v", err)}
			}
			defer f.Close()
			report, err := steplife.Read(f)
			if err != nil {
				return fmt.Errorf("%s: %w", file, err)
			}
			rows := report.Rows()
			return g.print(rows, stepsHeader, stepsTable(rows))
		},
	}
}

// stepsHeader names the columns of the table of steps. Times are in
// milliseconds; all but Total are those of the step's critical item.
var stepsHeader = []string{
	"Accepted", "Model", "Step", "Job", "Items", "Want", "Listed", "Owners", "Total",
	"Start", "Between", "First", "Events", "Stalled", "Score", "List", "Read", "Count", "Targets",
}

func stepsTable(rows []steplife.Row) [][]string {
	var out [][]string
	for _, r := range rows {
		l := r.Losses
		cells := []any{
			r.AcceptedAt.Format("05.000"), r.Model, r.Step, r.ID, r.Items, r.WantGroups, r.Listed, 1 + r.Takeovers, r.Total,
			l.Start, l.Between, l.First, l.Events, l.Stalled, l.Score, l.List, l.Read, r.Count, r.Targets,
		}
		row := make([]string, len(cells))
		for i, c := range cells {
			row[i] = fmt.Sprint(c)
		}
		out = append(out, row)
	}
	return out
}
