// Command capacity measures how the cost of an instance grows with the size of
// the fleet, for docs/CAPACITY.md. It prints a table and writes the series and
// their plots.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"github.com/catkinhead/catkinhead/internal/capacity"
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	out, quick := "docs/capacity", false
	p := flaggy.NewParser("capacity")
	p.Description = "Measures how the cost of an instance grows with the size of the fleet, and prints a table."
	p.String(&out, "o", "out", "directory for slopes.json and the plots")
	p.Bool(&quick, "q", "quick", "skip the series that run fleets of whole instances")
	if err := p.ParseArgs(args); err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		return 2
	}
	sizes := capacity.DefaultSizes()
	if quick {
		sizes.Fleets = nil
	}
	series, err := capacity.Measure(context.Background(), sizes)
	if err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		return 1
	}
	capacity.Table(os.Stdout, series)
	if err := capacity.Write(out, series); err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		return 1
	}
	return 0
}
