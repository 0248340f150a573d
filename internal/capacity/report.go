package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Sizes are the points at which each series is measured.
type Sizes struct {
	Peers, Targets, Keys, Samples, Fleets []int
}

// DefaultSizes are those of docs/CAPACITY.md.
func DefaultSizes() Sizes {
	return Sizes{
		Peers: []int{8, 32, 128, 400, 800, 1600}, Targets: []int{10, 100, 1000, 10_000},
		Keys: []int{100, 1000, 4000}, Samples: []int{1024, 4096, 16_384}, Fleets: []int{8, 16, 32, 64, 128},
	}
}

// Measure takes all series.
func Measure(ctx context.Context, z Sizes) ([]Slope, error) {
	out := []Slope{
		tickCost(z.Peers), exchangeSize(z.Peers), listRate(z.Peers), decisionCost(z.Targets), pollRate(z.Targets),
		keyMemory(z.Keys), stepCost(z.Samples), recordSize(z.Samples),
	}
	if len(z.Fleets) == 0 {
		return out, nil
	}
	more, err := fleetCost(ctx, z.Fleets)
	return append(out, more...), err
}

// Table writes the series as a table.
func Table(w io.Writer, slopes []Slope) {
	fmt.Fprintln(w, "| what | unit | points | base | a unit of x | residual |\n|---|---|---|---|---|---|")
	for _, s := range slopes {
		var ps []string
		for _, p := range s.Points {
			ps = append(ps, fmt.Sprintf("%g: %.3g", p.X, p.Y))
		}
		fmt.Fprintf(w, "| %s by %s | %s | %s | %.3g | %.3g | %.0f %% |\n",
			s.Name, s.X, s.Y, strings.Join(ps, ", "), s.Base, s.Per, s.Residual*100)
	}
}

// Write puts the series into a folder: slopes.json, and a plot of each.
func Write(dir string, slopes []Slope) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("make folder: %w", err)
	}
	b, err := json.MarshalIndent(slopes, "", "  ")
	if err != nil {
		return fmt.Errorf("encode slopes: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, "slopes.json"), append(b, '\n'), 0o644); err != nil {
		return fmt.Errorf("write slopes: %w", err)
	}
	for _, s := range slopes {
		if err := draw(dir, s); err != nil {
			return fmt.Errorf("plot %s: %w", s.Name, err)
		}
	}
	return nil
}

// draw plots the points and the line of a series.
func draw(dir string, s Slope) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = s.Name, s.X, s.Y
	var points plotter.XYs
	top := 0.0
	for _, x := range s.Points {
		points = append(points, plotter.XY{X: x.X, Y: x.Y})
		top = max(top, x.X)
	}
	dots, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	line, err := plotter.NewLine(plotter.XYs{{X: 0, Y: s.At(0)}, {X: top, Y: s.At(top)}})
	if err != nil {
		return err
	}
	p.Add(dots, line, plotter.NewGrid())
	p.Y.Min = min(p.Y.Min, 0)
	return p.Save(12*vg.Centimeter, 8*vg.Centimeter, filepath.Join(dir, strings.ReplaceAll(s.Name, " ", "-")+".svg"))
}
