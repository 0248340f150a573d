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

// Sizes lists the x values of the series: numbers of peers, targets, keys,
// samples in a step, and instances in a fleet of whole instances.
type Sizes struct {
	Peers, Targets, Keys, Samples, Fleets []int
}

// DefaultSizes returns the sizes that docs/CAPACITY.md is based on.
func DefaultSizes() Sizes {
	return Sizes{
		Peers: []int{8, 32, 128, 400, 800, 1600}, Targets: []int{10, 100, 1000, 10_000},
		Keys: []int{100, 1000, 4000}, Samples: []int{1024, 4096, 16_384}, Fleets: []int{8, 16, 32, 64, 128},
	}
}

// Measure measures all series. Without sizes of fleets it starts no instances. If
// a fleet fails, it returns the series of the reducer with the error.
func Measure(ctx context.Context, z Sizes) ([]Series, error) {
	out := []Series{
		tickCost(z.Peers), exchangeSize(z.Peers), listTraffic(z.Peers), decisionCost(z.Targets), loadReportRate(z.Targets),
		configMemory(z.Keys), stepCost(z.Samples), recordSize(z.Samples),
	}
	if len(z.Fleets) == 0 {
		return out, nil
	}
	more, err := measureFleets(ctx, z.Fleets)
	return append(out, more...), err
}

// Table writes the series as a Markdown table.
func Table(w io.Writer, series []Series) {
	fmt.Fprintln(w, "| what | unit | points | base | a unit of x | residual |\n|---|---|---|---|---|---|")
	for _, s := range series {
		var ps []string
		for _, p := range s.Points {
			ps = append(ps, fmt.Sprintf("%g: %.3g", p.X, p.Y))
		}
		fmt.Fprintf(w, "| %s by %s | %s | %s | %.3g | %.3g | %.0f %% |\n",
			s.Name, s.X, s.Y, strings.Join(ps, ", "), s.Base, s.Per, s.Residual*100)
	}
}

// Write writes the series to a directory: slopes.json, and a plot of each as SVG.
func Write(dir string, series []Series) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("create directory: %w", err)
	}
	b, err := json.MarshalIndent(series, "", "  ")
	if err != nil {
		return fmt.Errorf("encode series: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, "slopes.json"), append(b, '\n'), 0o644); err != nil {
		return fmt.Errorf("write series: %w", err)
	}
	for _, s := range series {
		if err := drawPlot(dir, s); err != nil {
			return fmt.Errorf("plot %s: %w", s.Name, err)
		}
	}
	return nil
}

// drawPlot plots the points and the line of a series to a file named after it.
func drawPlot(dir string, s Series) error {
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
