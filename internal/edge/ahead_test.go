package edge

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/internal/taskgroup"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// oneEventBackends answers each item with a stream of one event, and counts the
// runs.
type oneEventBackends struct{ runs atomic.Int64 }

func (b *oneEventBackends) Do(context.Context, platform.TargetRequest) (*platform.Reply, error) {
	b.runs.Add(1)
	return &platform.Reply{Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}}, Stamp: "s", Length: -1, Body: io.NopCloser(strings.NewReader(""))}, nil
}

func (*oneEventBackends) Events(io.Reader) platform.Events { return &oneEvent{} }

// oneEvent is a stream of one event.
type oneEvent struct{ read bool }

func (e *oneEvent) Next() (platform.Event, error) {
	if e.read {
		return platform.Event{}, io.EOF
	}
	e.read = true
	return platform.Event{ID: 0, Data: []byte("text")}, nil
}

// errStoreAway is the error of a write that the store refuses during an outage.
var errStoreAway = &platform.Failure{Outcome: unit.NotRun, Err: errors.New("store is away")}

// aheadProcess returns a process with one target, and its store, which is away
// until the function that is returned is called.
func aheadProcess(t *testing.T) (p *Process, store *memoryStore, storeBack func()) {
	store = &memoryStore{}
	var back atomic.Bool
	store.beforePut = func(string) error {
		if back.Load() {
			return nil
		}
		return errStoreAway
	}
	p = testProcess(store)
	p.deps.Backends = &oneEventBackends{}
	p.metrics = metrics.NewSet()
	p.tasks = taskgroup.New(context.Background())
	t.Cleanup(p.tasks.Stop)
	p.state.Table = testTable()
	p.state.Roster.Upsert(0, platform.TargetEntry{Target: "t", Pool: "p", Address: "1.1.1.1:1", Slots: 4})
	return p, store, func() { back.Store(true) }
}

// aheadWrite returns the write of a job whose first attempt has failed.
func aheadWrite(t *testing.T, p *Process) *jobWrite {
	w, err := p.newJobWrite(jobRecord{Route: "r", Workspace: "w", Writer: "a#1", Body: json.RawMessage("{}")}, testItems(2))
	if err != nil {
		t.Fatal(err)
	}
	if err := w.try(context.Background()); err == nil {
		t.Fatal("stored although the store is away")
	}
	return w
}

// eventually waits up to two seconds until a condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(2 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within two seconds: %s", what)
		}
	}
}

// chunkAt returns a stored chunk of the test job.
func (m *memoryStore) chunkAt(n int) (chunk chunkRecord, ok bool) {
	o, err := m.Get(context.Background(), chunkKey(testJob, n))
	return chunk, err == nil && json.Unmarshal(o.Value, &chunk) == nil
}

// TestJobRunsWhileTheStoreIsAway plays an outage of the store that begins before a
// job is submitted: the trainer gets its results as soon as the store is back.
func TestJobRunsWhileTheStoreIsAway(t *testing.T) {
	p, store, storeBack := aheadProcess(t)
	w := aheadWrite(t, p)
	stored := p.runAhead(context.Background(), w)
	if stored == nil {
		t.Fatal("the job does not run ahead")
	}
	runs := &p.deps.Backends.(*oneEventBackends).runs
	eventually(t, "both items run", func() bool { return runs.Load() == 2 })
	if again := p.runAhead(context.Background(), w); again != nil {
		t.Error("a repeated submission runs the job again")
	}
	if _, ok := store.chunkAt(0); ok {
		t.Error("results were listed before the job was stored")
	}
	if a, _, _ := p.answerFromMemory("w", platform.JobRequest{Call: platform.ReadResults, Job: testJob}, &pageRoom{hold: p.bodies.Open("", nil)}); a.status != 0 {
		t.Errorf("a reader was answered with status %d before the job was stored", a.status)
	}
	storeBack()
	if err := p.awaitStored(context.Background(), stored, p.clock.Now()+2000); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the results are listed", func() bool {
		chunk, ok := store.chunkAt(1)
		return ok && len(chunk.Results) == 2 && chunk.Epoch == aheadEpoch
	})
	if claim, ok := store.chunkAt(0); !ok || claim.Epoch != aheadEpoch || len(claim.Results) > 0 {
		t.Errorf("claim is %+v", claim)
	}
	if n := runs.Load(); n != 2 {
		t.Errorf("%d runs of two items", n)
	}
}

// TestJobThatRanAheadIsClaimedFromTheInstanceThatStoredIt plays a repeated
// submission that reaches another instance first when the store is back.
func TestJobThatRanAheadIsClaimedFromTheInstanceThatStoredIt(t *testing.T) {
	p, store, storeBack := aheadProcess(t)
	w := aheadWrite(t, p)
	stored := p.runAhead(context.Background(), w)
	storeBack()
	for key, value := range map[string]any{
		jobsKind + "/" + testJob: jobRecord{Writer: "b#1", Body: json.RawMessage("{}")},
		chunkKey(testJob, 0):     chunkRecord{Owner: "b", Epoch: 1, Results: []platform.Result{{ID: "i1", Text: "of b"}}},
	} {
		raw, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := store.Put(context.Background(), key, raw, 0); err != nil {
			t.Fatal(err)
		}
	}
	if err := p.awaitStored(context.Background(), stored, p.clock.Now()+2000); err != nil || w.created {
		t.Fatalf("%v, created %t", err, w.created)
	}
	eventually(t, "the other result is listed", func() bool {
		chunk, ok := store.chunkAt(2)
		return ok && len(chunk.Results) == 1 && chunk.Results[0].ID == "i0"
	})
}

func TestJobThatIsNeverStoredEnds(t *testing.T) {
	p, _, _ := aheadProcess(t)
	w := aheadWrite(t, p)
	if p.runAhead(context.Background(), w) == nil {
		t.Fatal("the job does not run ahead")
	}
	p.apply(op.JobNotStored{Job: testJob})
	if p.contents.withJob(testJob, func(*jobContent) {}) || p.runsAhead(testJob) {
		t.Error("the job is still held")
	}
}

func TestStoredJobDoesNotRunAhead(t *testing.T) {
	p, _, _ := aheadProcess(t)
	w := aheadWrite(t, p)
	p.apply(op.HeartbeatReceived{Heartbeat: op.Heartbeat{Instance: "b", Incarnation: "b#1", Seq: 1, Jobs: []op.JobStatus{{ID: testJob, Epoch: 1}}}})
	if p.runAhead(context.Background(), w) != nil {
		t.Error("a job that a peer owns runs ahead")
	}
}

func TestJobThatAPeerRunsAheadIsNotRunAgain(t *testing.T) {
	p, _, _ := aheadProcess(t)
	w := aheadWrite(t, p)
	p.apply(op.HeartbeatReceived{Heartbeat: op.Heartbeat{Instance: "b", Incarnation: "b#1", Seq: 1, Ahead: []string{testJob}}})
	if p.runAhead(context.Background(), w) != nil {
		t.Error("the job runs twice")
	}
	if !p.runsAhead(testJob) {
		t.Error("a caller would be told that the job has not run")
	}
	p.apply(op.StoredJobFound{Job: testJob})
	p.withState(func(now clock.Millis, s *State) {
		if owner, ok := s.Heartbeats.Owner(now, testJob); !ok || owner.Instance != "b" {
			t.Errorf("the owner is %+v, %t", owner, ok)
		}
	})
}

// TestJobThatRunsAheadHereIsNotAnnouncedWithoutOwner guards against a second owner: a
// caller reads a job at the instance that runs it ahead, before that has claimed it.
func TestJobThatRunsAheadHereIsNotAnnouncedWithoutOwner(t *testing.T) {
	p, _, _ := aheadProcess(t)
	if p.runAhead(context.Background(), aheadWrite(t, p)) == nil {
		t.Fatal("the job does not run ahead")
	}
	p.apply(op.StoredJobFound{Job: testJob})
	p.withState(func(_ clock.Millis, s *State) {
		if orphans := s.Heartbeats.Orphans(); len(orphans) > 0 {
			t.Errorf("announced as without an owner: %v", orphans)
		}
	})
}
