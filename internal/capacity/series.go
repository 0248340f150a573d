package capacity

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement.
type Point struct{ X, Y float64 }

// Slope is a series of points and the line through them.
type Slope struct {
	// Name tells what is measured, X and Y in which units.
	Name, X, Y string
	Points     []Point
	// Base and Per are the line: Y = Base + Per * X.
	Base, Per float64
	// Residual is the largest distance of a point from the line, as a part
	// of the largest Y.
	Residual float64
}

// fit works out the line.
func (s *Slope) fit() {
	var xs, ys []float64
	top := 0.0
	for _, p := range s.Points {
		xs, ys = append(xs, p.X), append(ys, p.Y)
		top = max(top, math.Abs(p.Y))
	}
	s.Base, s.Per = stat.LinearRegression(xs, ys, nil, false)
	s.Residual = 0
	for _, p := range s.Points {
		s.Residual = max(s.Residual, math.Abs(p.Y-s.At(p.X)))
	}
	if top > 0 {
		s.Residual /= top
	}
}

// At is the line's value at x.
func (s *Slope) At(x float64) float64 { return s.Base + s.Per*x }
