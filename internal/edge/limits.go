package edge

import (
	"fmt"

	"github.com/catkinhead/catkinhead/internal/listen"
	"github.com/catkinhead/catkinhead/pkg/clock"
)

// ListenLimits are the limits of a process's listeners.
type ListenLimits struct{ Callers, Peers, Probes, Metrics listen.Limits }

// NewListenLimits returns the limits of a process's listeners.
// callers returns what the configuration says of callers.
func NewListenLimits(callers func() listen.ClientLimits) ListenLimits {
	l := listen.Limits{BodyTime: listen.DefaultBodyTime, Client: listen.Internal}
	out := ListenLimits{Callers: l, Peers: l, Probes: l, Metrics: l}
	out.Callers.Client = callers
	return out
}

// ClientLimits returns what the configuration in force says of callers.
func (p *Process) ClientLimits() listen.ClientLimits {
	var out listen.ClientLimits
	p.withState(func(_ clock.Millis, s *State) {
		if s.Table == nil {
			return
		}
		l := s.Table.Limits
		out = listen.ClientLimits{HeadBytes: l.HeaderBytes, HeadTime: l.HeaderTimeout.Duration(), IdleTime: l.Idle.Duration()}
	})
	return out.OrDefault()
}

// WatchGate adds what a listener does to the metrics. use says what the listener is for.
func (p *Process) WatchGate(use string, g *listen.Gate) {
	for name, value := range map[string]func(listen.Counts) int64{
		"connections":           func(c listen.Counts) int64 { return c.Open },
		"connections_most":      func(c listen.Counts) int64 { return c.Most },
		"connections_limit":     func(c listen.Counts) int64 { return c.Limit },
		"connections_evicted":   func(c listen.Counts) int64 { return c.Evicted },
		"connections_refused":   func(c listen.Counts) int64 { return c.Refused },
		"heads_too_long":        func(c listen.Counts) int64 { return c.LongHeads },
		"heads_without_room":    func(c listen.Counts) int64 { return c.HeadsWithoutRoom },
		"heads_in_memory_bytes": func(c listen.Counts) int64 { return c.HeadBytes },
	} {
		p.metrics.NewGauge(fmt.Sprintf("catkinhead_%s{listener=%q}", name, use), func() float64 { return float64(value(g.Counts())) })
	}
}
