package capacity

import (
	"math"
	"runtime"
	"testing"
)

// TestSeriesFit checks the line and the residual for points that lie on a line.
func TestSeriesFit(t *testing.T) {
	s := Series{Points: []Point{{1, 3}, {2, 5}, {3, 7}}}
	s.fit()
	if math.Abs(s.Base-1) > 1e-9 || math.Abs(s.Per-2) > 1e-9 || s.Residual > 1e-9 {
		t.Fatalf("got %+v", s)
	}
}

// TestStepCost checks that a simulated step completes and gives a point for each size.
func TestStepCost(t *testing.T) {
	if s := stepCost([]int{64, 128}); len(s.Points) != 2 || s.Points[0].Y <= 0 {
		t.Fatalf("got %+v", s)
	}
}

// BenchmarkFleetStateMemory reports the memory that one instance needs for its
// state about a fleet of the size that catkinhead is designed for: 1600 instances,
// 10 000 targets and 1000 keys.
func BenchmarkFleetStateMemory(b *testing.B) {
	for b.Loop() {
		before := heapBytes()
		x := newHarness(pools, 1000, 1600, 10_000)
		x.tick()
		b.ReportMetric(float64(heapBytes()-before)/1e6, "MB")
		runtime.KeepAlive(x)
	}
}
