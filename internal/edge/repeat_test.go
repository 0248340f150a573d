package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// silentBackends counts runs and answers none of them.
type silentBackends struct {
	platform.Backends
	runs atomic.Int64
}

func (b *silentBackends) Do(ctx context.Context, _ platform.TargetRequest) (*platform.Reply, error) {
	b.runs.Add(1)
	<-ctx.Done()
	return nil, ctx.Err()
}

// stepIngress decodes a job whose body is the number of its step.
type stepIngress struct{ platform.Ingress }

func (stepIngress) Job(id string, body []byte) (platform.Job, error) {
	job := testItems(2)
	job.ID, job.Model = id, "m"
	return job, json.Unmarshal(body, &job.Step)
}

// repeatProcess returns a process that owns a job of step 5, of which both items run,
// and the store's reads of jobs.
func repeatProcess(t *testing.T) (p *Process, reads *atomic.Int64) {
	p, store, storeBack := aheadProcess(t)
	storeBack()
	reads = new(atomic.Int64)
	store.beforeGet = func(key string) {
		if strings.HasPrefix(key, jobsKind+"/") {
			reads.Add(1)
		}
	}
	p.deps.Backends = &silentBackends{}
	p.deps.Ingress = stepIngress{}
	storeStep(t, p, "earlier", 5)
	p.takeOverJob(context.Background(), op.TakeOverJob{Job: "earlier"})
	return p, reads
}

// storeStep stores a job of a step.
func storeStep(t *testing.T, p *Process, id string, step int64) {
	t.Helper()
	body, err := json.Marshal(step)
	if err != nil {
		t.Fatal(err)
	}
	value, err := json.Marshal(jobRecord{Workspace: "w", Route: "r", Body: body})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := p.deps.Store.Put(context.Background(), jobsKind+"/"+id, value, 0); err != nil {
		t.Fatal(err)
	}
}

// announce applies the heartbeat of a peer that owns some jobs of the same series.
func announce(p *Process, seq int64, jobs ...string) {
	var series unit.Series
	p.contents.withJob("earlier", func(c *jobContent) { series = c.series() })
	h := op.Heartbeat{Instance: "b", Incarnation: "b#1", Seq: seq}
	for _, id := range jobs {
		h.Jobs = append(h.Jobs, op.JobStatus{ID: id, Epoch: 1, Series: series})
	}
	p.apply(op.HeartbeatReceived{Heartbeat: h})
	p.apply(op.Tick{})
}

// running returns how many items this instance runs.
func running(p *Process) int {
	n := 0
	p.withState(func(_ clock.Millis, s *State) {
		for _, attempts := range s.Roster.LocalAttempts() {
			n += attempts
		}
	})
	return n
}

// TestOwnerLearnsOfLaterStepFromHeartbeats guards against two targets that work on one
// item (TWICE): the instance that accepts the next step could not ask the owner of the
// earlier one, or did not know it.
func TestOwnerLearnsOfLaterStepFromHeartbeats(t *testing.T) {
	tests := map[string]struct {
		step        int64
		wantRunning int
	}{
		"later step": {6, 0}, "earlier step": {4, 2}, "same step": {5, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p, reads := repeatProcess(t)
			eventually(t, "both items run", func() bool { return running(p) == 2 })
			before := reads.Load()
			storeStep(t, p, "other", tt.step)
			announce(p, 1, "other")
			announce(p, 2, "other")
			eventually(t, "the other job is read", func() bool { return reads.Load() > before })
			eventually(t, "the right items run", func() bool { return running(p) == tt.wantRunning })
			p.apply(op.Tick{})
			if n := reads.Load() - before; n != 1 || running(p) != tt.wantRunning {
				t.Errorf("%d reads, want 1; %d items run, want %d", n, running(p), tt.wantRunning)
			}
		})
	}
}

// TestTakeoverStartsNoItemsOfLaterStep guards against the same at a new owner, which
// would start the items before it has compared the steps, and against comparing only
// some of the jobs: other trainers may have submitted newer ones to the series.
func TestTakeoverStartsNoItemsOfLaterStep(t *testing.T) {
	tests := map[string]struct {
		// others is the number of newer jobs of other trainers.
		others int
		// wantStarted is how many runs may start before all jobs are compared.
		wantStarted int64
	}{
		"newest job of the series": {0, 0}, "some newer ones": {5, 0}, "many newer ones": {maxLaterJobs + 1, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p, _ := repeatProcess(t)
			storeStep(t, p, "later", 6)
			announce(p, 1, "later")
			eventually(t, "no item runs", func() bool { return running(p) == 0 })
			known := []string{"later"}
			for n := range tt.others {
				known = append(known, fmt.Sprint("other", n))
				storeStep(t, p, known[n+1], 1)
				announce(p, int64(2+n), known...)
			}
			p.apply(op.JobOwnershipLost{Job: "earlier"})
			p.contents.forgetJob("earlier", 1<<30)
			runs := &p.deps.Backends.(*silentBackends).runs
			before := runs.Load()
			p.takeOverJob(context.Background(), op.TakeOverJob{Job: "earlier", Epoch: 7})
			p.apply(op.Tick{})
			eventually(t, "no item runs", func() bool { return running(p) == 0 })
			if n := runs.Load() - before; n > tt.wantStarted {
				t.Errorf("%d runs started", n)
			}
		})
	}
}
