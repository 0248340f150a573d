package capacity

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement.
type Point struct{ X, Y float64 }

// Series is a series of measurements and the line fitted to them.
type Series struct {
	// Name says what is measured, X and Y are the units of the axes.
	Name, X, Y string
	Points     []Point
	// Base and Per are the parameters of the line: Y = Base + Per * X.
	Base, Per float64
	// Residual is the largest vertical distance of a point from the line, as a
	// fraction of the largest Y.
	Residual float64
}

// fit computes Base, Per and Residual from Points by linear regression.
func (s *Series) fit() {
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

// At returns the line's value at x.
func (s *Series) At(x float64) float64 { return s.Base + s.Per*x }
