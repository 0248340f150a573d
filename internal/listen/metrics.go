package listen

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// Register adds what a gate does to a set of metrics. use says what the listener is for.
func (g *Gate) Register(set *metrics.Set, use string) {
	for name, value := range map[string]func(Counts) int64{
		"connections":           func(c Counts) int64 { return c.Open },
		"connections_most":      func(c Counts) int64 { return c.Most },
		"connections_limit":     func(c Counts) int64 { return c.Limit },
		"connections_evicted":   func(c Counts) int64 { return c.Evicted },
		"connections_refused":   func(c Counts) int64 { return c.Refused },
		"heads_too_long":        func(c Counts) int64 { return c.LongHeads },
		"heads_without_room":    func(c Counts) int64 { return c.HeadsWithoutRoom },
		"heads_in_memory_bytes": func(c Counts) int64 { return c.HeadBytes },
	} {
		set.NewGauge(fmt.Sprintf("catkinhead_%s{listener=%q}", name, use), func() float64 { return float64(value(g.Counts())) })
	}
}
