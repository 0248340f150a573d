package route

import (
	"testing"

	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

func TestSplitByWeight(t *testing.T) {
	var s Splitter
	rule := platform.RouteRule{Split: []platform.WeightedPool{{Pool: "p", Weight: 90}, {Pool: "q", Weight: 10}}}
	n := map[unit.Pool]int{}
	for range 1000 {
		n[s.Pick(rule)]++
	}
	if n["p"] != 900 || n["q"] != 100 {
		t.Errorf("got %v", n)
	}
}

func TestAttemptTime(t *testing.T) {
	tests := map[string]struct {
		left     clock.Millis
		attempts int
		want     clock.Millis
	}{
		"first of four":    {1500, 4, 300},
		"not below a part": {600, 4, 250},
		"last":             {1500, 1, 1500},
		"none left":        {1500, 0, 1500},
		"short of time":    {100, 3, 100},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := AttemptTime(tt.left, tt.attempts); got != tt.want {
				t.Errorf("got %d ms, want %d ms", got, tt.want)
			}
		})
	}
}
