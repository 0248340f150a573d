package batch

import (
	"github.com/catkinhead/catkinhead/internal/roster"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// workload is the work of the targets, in tokens of output. The longer the outputs
// that a target generates at the same time, the slower it generates each.
type workload struct {
	// own is the expected output of the items that this instance runs.
	own map[unit.Target]int
	// mean is the mean expected output of an item. It is assumed for the runs of
	// other instances.
	mean int
}

// workloadFor returns the work of the targets, with the mean of a job's items.
func (s *State) workloadFor(j *Job) workload {
	load := workload{own: make(map[unit.Target]int), mean: 1}
	for _, other := range s.Jobs {
		for i := range other.Items {
			if it := &other.Items[i]; it.Phase == running {
				load.own[it.Target] += it.work()
			}
		}
	}
	sum := 0
	for i := range j.Items {
		sum += j.Items[i].work()
	}
	load.mean = max(sum/max(len(j.Items), 1), 1)
	return load
}

// work returns the expected output of an item in tokens, at least 1.
func (it *Item) work() int { return max(it.Expected, 1) }

// of returns the work of a target for each of its slots.
func (l workload) of(t *roster.Target) float64 {
	return float64(l.own[t.Target]+t.Elsewhere*l.mean) / float64(max(t.Slots, 1))
}
