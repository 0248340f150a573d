package edge

import (
	"fmt"

	"github.com/catkinhead/catkinhead/internal/budget"
	"github.com/catkinhead/catkinhead/pkg/platform"
)

// MemoryPlan divides the memory of a process. Whatever callers and peers send, each part
// keeps to its bytes, so that all of them may be full at once. The zero value bounds
// nothing.
type MemoryPlan struct {
	// Process is what the process takes without callers: program, runtime, state.
	Process int64
	// Connections are those of callers, and Peers those of peers, without their heads and
	// bodies. Heads are those of callers' requests in progress.
	Connections, Peers, Heads int64
	// Bodies are those of callers' requests, held replies of targets and pages of results.
	// PeerCalls are bodies and answers of the calls of peers.
	Bodies, PeerCalls int64
	// Work is what jobs take beside their bodies while they are accepted, Jobs what they
	// take afterwards, without Texts, which are the outputs of their items. Loads are jobs
	// that are read from the store for callers.
	Work, Jobs, Texts, Loads int64
}

// processBytes is MemoryPlan.Process, in bytes.
const processBytes = 32 << 20

// The parts of what is left beside MemoryPlan.Process, in percent.
const (
	connectionPercent = 14
	peerPercent       = 12
	headPercent       = 5
	bodyPercent       = 14
	peerCallPercent   = 5
	workPercent       = 16
	jobPercent        = 14
	textPercent       = 12
	loadPercent       = 8
)

// NewMemoryPlan returns the plan of a process with a memory limit in bytes, 0 for none.
func NewMemoryPlan(memory int64) MemoryPlan {
	if memory <= 0 {
		return MemoryPlan{}
	}
	// A limit so low that nothing would be left is for tests only.
	process := min(processBytes, memory/2)
	part := func(percent int64) int64 { return (memory - process) * percent / 100 }
	return MemoryPlan{
		Process: process, Connections: part(connectionPercent), Peers: part(peerPercent), Heads: part(headPercent),
		Bodies: part(bodyPercent), PeerCalls: part(peerCallPercent),
		Work: part(workPercent), Jobs: part(jobPercent), Texts: part(textPercent), Loads: part(loadPercent),
	}
}

// parts returns the parts by name.
func (m MemoryPlan) parts() map[string]int64 {
	return map[string]int64{
		"Process": m.Process, "Connections": m.Connections, "Peers": m.Peers, "Heads": m.Heads, "Bodies": m.Bodies,
		"PeerCalls": m.PeerCalls, "Work": m.Work, "Jobs": m.Jobs, "Texts": m.Texts, "Loads": m.Loads,
	}
}

// ownerPercent is the part of the room for bodies that one workspace may take, in percent.
const ownerPercent = 75

// rooms are the budgets of a process for what requests take.
type rooms struct {
	// bodies, work and peerCalls are those that MemoryPlan describes.
	bodies, work, peerCalls *budget.Budget
}

// newRooms returns the budgets of a plan.
func newRooms(m MemoryPlan) rooms {
	return rooms{
		bodies: budget.New(m.Bodies, m.Bodies*ownerPercent/100), work: budget.New(m.Work, m.Work), peerCalls: budget.New(m.PeerCalls, m.PeerCalls),
	}
}

// newLoadLimit returns how many jobs may be read from the store for callers at once.
func newLoadLimit(m MemoryPlan, bounds platform.Bounds) int64 {
	if m.Loads <= 0 || bounds.ValueBytes <= 0 {
		return defaultLoads
	}
	return max(m.Loads/int64(loadCopies*bounds.ValueBytes), 1)
}

// registerMemory adds the plan, and what the rooms hold, to the metrics.
func (p *Process) registerMemory() {
	for name, bytes := range p.plan.parts() {
		p.metrics.NewGauge(fmt.Sprintf("catkinhead_memory_plan_bytes{part=%q}", name), func() float64 { return float64(bytes) })
	}
	for name, b := range map[string]*budget.Budget{"Bodies": p.bodies, "Work": p.work, "PeerCalls": p.peerCalls} {
		for metric, value := range map[string]func(budget.Usage) int64{
			"memory_used_bytes": func(u budget.Usage) int64 { return u.Used },
			"memory_waiting":    func(u budget.Usage) int64 { return u.Waiting },
			"memory_evicted":    func(u budget.Usage) int64 { return u.Evicted },
			"memory_refused":    func(u budget.Usage) int64 { return u.Refused },
		} {
			p.metrics.NewGauge(fmt.Sprintf("catkinhead_%s{part=%q}", metric, name), func() float64 { return float64(value(b.Usage())) })
		}
	}
	for name, used := range map[string]func() int64{"Jobs": func() int64 { return p.contents.usage().jobs }, "Texts": func() int64 { return p.contents.usage().texts }} {
		p.metrics.NewGauge(fmt.Sprintf("catkinhead_memory_used_bytes{part=%q}", name), func() float64 { return float64(used()) })
	}
}
