package edge

import (
	"sync"

	"github.com/sirupsen/logrus"

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

// gateWatch is a listener whose counts are logged when they change.
type gateWatch struct {
	use    string
	gate   *listen.Gate
	logged listen.Counts
}

// gateWatches holds the watched listeners of a process.
type gateWatches struct {
	mu  sync.Mutex
	all []*gateWatch
}

// WatchGate adds what a listener does to the metrics and the log. use says what the
// listener is for.
func (p *Process) WatchGate(use string, g *listen.Gate) {
	p.gates.mu.Lock()
	p.gates.all = append(p.gates.all, &gateWatch{use: use, gate: g})
	p.gates.mu.Unlock()
	g.Register(p.metrics, use)
}

// logGates writes a line for each listener that closed or refused clients since its last
// line. These have no request whose line could say so.
func (p *Process) logGates() {
	p.gates.mu.Lock()
	defer p.gates.mu.Unlock()
	for _, w := range p.gates.all {
		now, was := w.gate.Counts(), w.logged
		evicted, refused := now.Evicted-was.Evicted, now.Refused-was.Refused
		long, noRoom := now.LongHeads-was.LongHeads, now.HeadsWithoutRoom-was.HeadsWithoutRoom
		if evicted+refused+long+noRoom == 0 {
			continue
		}
		w.logged = now
		p.log.WithFields(logrus.Fields{
			"Listener": w.use, "Evicted": evicted, "Refused": refused, "HeadsTooLong": long, "HeadsWithoutRoom": noRoom,
			"Open": now.Open, "Limit": now.Limit,
		}).Warn("clients were closed or refused before their requests were read")
	}
}
