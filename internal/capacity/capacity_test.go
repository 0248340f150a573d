package capacity

import (
	"math"
	"runtime"
	"testing"
)

func TestFit(t *testing.T) {
	s := Slope{Points: []Point{{1, 3}, {2, 5}, {3, 7}}}
	s.fit()
	if math.Abs(s.Base-1) > 1e-9 || math.Abs(s.Per-2) > 1e-9 || s.Residual > 1e-9 {
		t.Fatalf("got %+v", s)
	}
}

// TestStep runs a step through the reducer as the series does.
func TestStep(t *testing.T) {
	if s := stepCost([]int{64, 128}); len(s.Points) != 2 || s.Points[0].Y <= 0 {
		t.Fatalf("got %+v", s)
	}
}

// BenchmarkKnownFleet is the memory of knowing the fleet that is designed for.
func BenchmarkKnownFleet(b *testing.B) {
	for b.Loop() {
		before := heap()
		x := newBench(pools, 1000, 1600, 10_000)
		x.tick()
		b.ReportMetric(float64(heap()-before)/1e6, "MB")
		runtime.KeepAlive(x)
	}
}
