package edge

import (
	"fmt"

	"github.com/catkinhead/catkinhead/internal/listen"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
)

const (
	// callerConnectionBytes and peerConnectionBytes are what a connection takes at most
	// without its head and body, in bytes: what the system keeps unread, buffers,
	// goroutines and, for callers, the connection to a target.
	callerConnectionBytes = 80 << 10
	peerConnectionBytes   = 48 << 10
	// Callers may take one in callerSocketShare of the process's sockets, peers one in
	// peerSocketShare. The others are for targets, the store and the cloud service.
	callerSocketShare = 4
	peerSocketShare   = 8
	// probeConnections and metricConnections are the most connections of the load
	// balancer's probes and of what reads metrics.
	probeConnections  = 16
	metricConnections = 8
	// internalHeads is the room for the heads of peers, probes and what reads metrics, each,
	// in bytes.
	internalHeads = 2 << 20
	// defaultConnections is the most connections if neither the memory nor the sockets of
	// the process are known.
	defaultConnections = 4096
)

// ListenLimits are the limits of a process's listeners.
type ListenLimits struct{ Callers, Peers, Probes, Metrics listen.Limits }

// NewListenLimits divides the memory and the sockets of a process among its listeners.
// callers returns what the configuration says of callers.
func NewListenLimits(environment platform.Environment, callers func() listen.ClientLimits) ListenLimits {
	plan := NewMemoryPlan(environment.Memory)
	l := listen.Limits{BodyTime: listen.DefaultBodyTime, WriteTime: listen.DefaultWriteTime, Client: listen.Internal}
	out := ListenLimits{Callers: l, Peers: l, Probes: l, Metrics: l}
	out.Callers.Client, out.Callers.Heads, out.Callers.WholeBodies = callers, plan.Heads, true
	out.Callers.Connections = connectionLimit(environment, callerSocketShare, plan.Connections/callerConnectionBytes)
	out.Peers.Connections = connectionLimit(environment, peerSocketShare, plan.Peers/peerConnectionBytes)
	out.Probes.Connections, out.Metrics.Connections = probeConnections, metricConnections
	out.Peers.Heads, out.Probes.Heads, out.Metrics.Heads = internalHeads, internalHeads, internalHeads
	return out
}

// connectionLimit returns how many connections of a listener may be open, if they may take
// one in socketShare of the sockets, and if there is memory for some.
func connectionLimit(environment platform.Environment, socketShare int, byMemory int64) int {
	n := defaultConnections
	if environment.Sockets > 0 {
		n = environment.Sockets / socketShare
	}
	if environment.Memory > 0 {
		n = min(n, int(byMemory))
	}
	return max(n, 1)
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
