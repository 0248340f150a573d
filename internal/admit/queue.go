package admit

import (
	"container/heap"
	"slices"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// liveWeight is the weight of a workspace's live flow relative to its sample
// flow.
const liveWeight = 16

// Pool is the queue of one pool and its targets.
type Pool struct {
	Name unit.Pool
	// Used is the fraction of the pool's targets that this instance uses; 0
	// means all.
	Used float64
	// Targets is sorted by name.
	Targets []*Target
	// InFlight counts this instance's running requests in the pool.
	InFlight int
	// Waiting counts the queued runs.
	Waiting int

	// virtualTime is the virtual time of fair queueing: the highest virtual
	// start dispatched so far.
	virtualTime float64
	// roundRobinIndex is the position of RoundRobin, arrivals the counter of
	// FirstCome.
	roundRobinIndex int
	arrivals        int
	flows           map[flowKey]*flow
	// heap holds the flows that have queued runs.
	heap flowHeap
}

// flowKey identifies a flow of a pool.
type flowKey struct {
	workspace unit.Workspace
	class     op.Class
}

// flow is the queue of one workspace and class, in order of arrival.
type flow struct {
	runs []*Run
	// finish is the virtual finish time of the newest run.
	finish float64
	// index is the position in the heap, -1 if the flow is empty.
	index int
}

// keyOf returns the key of the flow that a run belongs to.
func keyOf(run *Run) flowKey { return flowKey{run.Workspace, run.Class} }

// flow returns the flow of a run, which it creates if needed.
func (p *Pool) flow(run *Run) *flow {
	if p.flows == nil {
		p.flows = make(map[flowKey]*flow)
	}
	f := p.flows[keyOf(run)]
	if f == nil {
		f = &flow{index: -1}
		p.flows[keyOf(run)] = f
	}
	return f
}

// isFull reports whether the run's flow has reached its length limit.
func (p *Pool) isFull(run *Run) bool {
	limit := maxLiveQueue
	if run.Class == op.Trainer {
		limit = maxTrainerQueue
	}
	return len(p.flow(run).runs) >= limit
}

// push appends a new run to its flow.
func (p *Pool) push(run *Run, weight float64, by Sharing) {
	f := p.flow(run)
	run.virtualStart = by.virtualStart(p, f, run, weight)
	f.runs = append(f.runs, run)
	p.Waiting++
	p.fixFlow(f)
}

// pushFront requeues a run, which keeps its virtual start, at the head of its
// flow.
func (p *Pool) pushFront(run *Run) {
	f := p.flow(run)
	f.runs = slices.Insert(f.runs, 0, run)
	p.Waiting++
	p.fixFlow(f)
}

// remove takes a run out of the queue. It is only marked here, and discarded
// when it reaches the head of its flow.
func (p *Pool) remove(run *Run) {
	run.removed = true
	p.Waiting--
	p.fixFlow(p.flow(run))
}

// fixFlow discards removed runs at the head of a flow and updates the flow's
// position in the heap.
func (p *Pool) fixFlow(f *flow) {
	for len(f.runs) > 0 && f.runs[0].removed {
		f.runs = f.runs[1:]
	}
	switch {
	case len(f.runs) == 0 && f.index >= 0:
		heap.Remove(&p.heap, f.index)
	case len(f.runs) > 0 && f.index < 0:
		heap.Push(&p.heap, f)
	case f.index >= 0:
		heap.Fix(&p.heap, f.index)
	}
}

// popFirst removes and returns the first run of a flow.
func (p *Pool) popFirst(f *flow) *Run { return p.popAt(f, 0) }

// popAt removes and returns the i-th run of a flow. If i is not 0, the first
// run was overtaken.
func (p *Pool) popAt(f *flow, i int) *Run {
	head, run := f.runs[0], f.runs[i]
	if i == 0 {
		f.runs = f.runs[1:]
	} else {
		head.overtaken++
		f.runs = slices.Delete(f.runs, i, i+1)
	}
	p.Waiting--
	p.virtualTime = max(p.virtualTime, head.virtualStart)
	p.fixFlow(f)
	return run
}

// flowHeap is a heap of flows by the virtual start of their first run.
type flowHeap []*flow

func (h flowHeap) Len() int           { return len(h) }
func (h flowHeap) Less(i, j int) bool { return h[i].runs[0].virtualStart < h[j].runs[0].virtualStart }

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	f.index = -1
	*h = old[:len(old)-1]
	return f
}
