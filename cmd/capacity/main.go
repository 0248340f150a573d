// Command capacity measures the slopes of docs/CAPACITY.md and draws them.
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
	p.Description = "Measures how the cost of an instance grows, with a table on standard output."
	p.String(&out, "o", "out", "folder for slopes.json and the plots")
	p.Bool(&quick, "q", "quick", "leave out the fleets of whole instances")
	if err := p.ParseArgs(args); err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		return 2
	}
	sizes := capacity.DefaultSizes()
	if quick {
		sizes.Fleets = nil
	}
	slopes, err := capacity.Measure(context.Background(), sizes)
	if err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		return 1
	}
	capacity.Table(os.Stdout, slopes)
	if err := capacity.Write(out, slopes); err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		return 1
	}
	return 0
}
