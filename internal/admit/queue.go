package admit

import (
	"container/heap"
	"slices"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// liveWeight is how much more a live request weighs than a sample.
const liveWeight = 16

// Pool is the queue of one pool and the targets known of it.
type Pool struct {
	Name unit.Pool
	// Used is the part of the pool's targets that this instance uses; 0 is
	// all.
	Used float64
	// Targets in order of name.
	Targets []*Target
	// InFlight counts the runs on them.
	InFlight int
	// Waiting counts the queued runs.
	Waiting int

	// now is the virtual time: the start of what was dispatched last.
	now float64
	// turn and arrivals are for the baselines.
	turn     int
	arrivals int
	flows    map[flowKey]*flow
	heap     flowHeap
}

type flowKey struct {
	workspace unit.Workspace
	class     op.Class
}

// flow is the waiting requests of one workspace and class, in order.
type flow struct {
	runs []*Run
	// finish is the virtual finish time of the newest.
	finish float64
	// index in the heap, -1 when empty.
	index int
}

func keyOf(run *Run) flowKey { return flowKey{run.Workspace, run.Class} }

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

// full tells whether the run's flow takes no more.
func (p *Pool) full(run *Run) bool {
	limit := maxLiveQueue
	if run.Class == op.Trainer {
		limit = maxTrainerQueue
	}
	return len(p.flow(run).runs) >= limit
}

// push queues a run behind the others of its flow.
func (p *Pool) push(run *Run, weight float64, by Sharing) {
	f := p.flow(run)
	run.start = by.start(p, f, run, weight)
	f.runs = append(f.runs, run)
	p.Waiting++
	p.settle(f)
}

// pushFront queues a run that has been dispatched before.
func (p *Pool) pushFront(run *Run) {
	f := p.flow(run)
	f.runs = slices.Insert(f.runs, 0, run)
	p.Waiting++
	p.settle(f)
}

// drop takes a run out of the queue. Its place goes once it comes to the
// front.
func (p *Pool) drop(run *Run) {
	run.gone = true
	p.Waiting--
	p.settle(p.flow(run))
}

// settle puts a flow in its place in the heap.
func (p *Pool) settle(f *flow) {
	for len(f.runs) > 0 && f.runs[0].gone {
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

// take removes the first run of a flow.
func (p *Pool) take(f *flow) *Run { return p.takeNear(f, 0) }

// takeNear removes the i-th run of a flow, ahead of those before it.
func (p *Pool) takeNear(f *flow, i int) *Run {
	head, run := f.runs[0], f.runs[i]
	if i == 0 {
		f.runs = f.runs[1:]
	} else {
		head.passed++
		f.runs = slices.Delete(f.runs, i, i+1)
	}
	p.Waiting--
	p.now = max(p.now, head.start)
	p.settle(f)
	return run
}

// flowHeap orders flows by the virtual start of their first run.
type flowHeap []*flow

func (h flowHeap) Len() int           { return len(h) }
func (h flowHeap) Less(i, j int) bool { return h[i].runs[0].start < h[j].runs[0].start }

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push is for container/heap.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop is for container/heap.
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	f.index = -1
	*h = old[:len(old)-1]
	return f
}
