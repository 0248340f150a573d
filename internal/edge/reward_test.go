package edge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// fixedBackends answers each request in the same way. It records the last one.
type fixedBackends struct {
	status int
	body   io.Reader
	err    error
	last   platform.TargetRequest
}

func (b *fixedBackends) Do(_ context.Context, o platform.TargetRequest) (*platform.Reply, error) {
	b.last = o
	if b.err != nil {
		return nil, b.err
	}
	return &platform.Reply{Status: b.status, Stamp: "stamp", Length: -1, Body: io.NopCloser(b.body)}, nil
}

func (*fixedBackends) Events(io.Reader) platform.Events { return nil }

// endless is a body without an end.
type endless struct{ read int }

func (e *endless) Read(b []byte) (int, error) {
	e.read += len(b)
	return len(b), nil
}

// brokenBody breaks off after a few bytes.
func brokenBody() io.Reader { return io.MultiReader(strings.NewReader("some"), failingReader{}) }

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// rewardProcess returns a process that holds a job with the reward call s0,
// whose item has a complete output.
func rewardProcess(backends platform.Backends) *Process {
	p := &Process{clock: clock.System{}, contents: newContentStore(0, 0), log: logrus.NewEntry(logrus.New())}
	p.deps.Backends = backends
	job := testItems(1)
	job.Items[0].Reward = &platform.RewardCall{ID: "s0", Host: "h", Path: "/score/x", Body: []byte("b")}
	c := newJobContent(jobRecord{Workspace: "w"}, job)
	c.texts[0].whole = true
	p.contents.put(testJob, c)
	return p
}

func TestRewardCall(t *testing.T) {
	refused := &platform.Failure{Outcome: unit.NotRun, Leaving: true, Err: errors.New("refused")}
	tests := map[string]struct {
		backends fixedBackends
		end      op.RewardEnd
		leaving  bool
	}{
		"score":             {fixedBackends{status: http.StatusOK, body: strings.NewReader("page")}, op.RewardScored, false},
		"failure":           {fixedBackends{status: http.StatusInternalServerError, body: strings.NewReader("")}, op.RewardFailed, false},
		"impossible":        {fixedBackends{status: http.StatusUnprocessableEntity, body: strings.NewReader("")}, op.RewardImpossible, false},
		"other status":      {fixedBackends{status: http.StatusNotFound, body: strings.NewReader("")}, op.RewardBroken, false},
		"broken body":       {fixedBackends{status: http.StatusOK, body: brokenBody()}, op.RewardBroken, false},
		"body without end":  {fixedBackends{status: http.StatusOK, body: &endless{}}, op.RewardBroken, false},
		"refused":           {fixedBackends{err: refused}, op.RewardNotRun, true},
		"crash":             {fixedBackends{err: &platform.Failure{Crashed: true, Err: io.EOF}}, op.RewardBroken, false},
		"answer of another": {fixedBackends{err: &platform.Failure{Err: errors.New("answer belongs to request x")}}, op.RewardBroken, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := rewardProcess(&tt.backends)
			_, score, err := p.attemptRewardCall(context.Background(), op.SendRewardCall{Job: testJob, Target: "t", Until: p.clock.Now() + 300})
			end, leaving := op.RewardScored, false
			if err != nil {
				end, leaving = rewardEnd(err)
			}
			if end != tt.end || leaving != tt.leaving || (score == "stamp") != (end == op.RewardScored) {
				t.Errorf("got %s, leaving %t, score %q: %v", end, leaving, score, err)
			}
			if e, ok := tt.backends.body.(*endless); ok && e.read > 2*maxRewardBytes {
				t.Errorf("%d bytes were read", e.read)
			}
		})
	}
}

func TestRewardRequest(t *testing.T) {
	b := &fixedBackends{status: http.StatusOK, body: strings.NewReader("")}
	p := rewardProcess(b)
	e := op.SendRewardCall{Job: testJob, Target: "t", Address: "1.1.1.1:1", Until: p.clock.Now() + 300}
	if _, _, err := p.attemptRewardCall(context.Background(), e); err != nil {
		t.Fatal(err)
	}
	got := fmt.Sprint(b.last.Attempt, b.last.Method, b.last.Host, b.last.URI, string(b.last.Body), b.last.Workspace, b.last.Target, b.last.After)
	if want := fmt.Sprint("s0", "POST", "h", "/score/x", "b", "w", "t", -1); got != want {
		t.Errorf("sent %s, want %s", got, want)
	}
	if b.last.Left < 1 || b.last.Left > 300 {
		t.Errorf("the target has %d ms", b.last.Left)
	}
	p.contents.withJob(testJob, func(c *jobContent) { c.texts[0].whole = false })
	b.last = platform.TargetRequest{}
	if _, _, err := p.attemptRewardCall(context.Background(), e); err == nil || b.last.Attempt != "" {
		t.Error("sent before the output is complete")
	}
}

// scoredJob returns a content whose items have reward calls with the given IDs.
func scoredJob(rewards ...unit.Request) *jobContent {
	job := testItems(len(rewards))
	for i, id := range rewards {
		job.Items[i].Reward = &platform.RewardCall{ID: id, Host: "h", Path: "/score/x"}
	}
	return newJobContent(jobRecord{Route: "r"}, job)
}

func TestScoresAreReusedWithTheirRewardCall(t *testing.T) {
	earlier := scoredJob("s0", "s1", "s2")
	earlier.addChunk(0, chunkRecord{Results: []platform.Result{
		{ID: "i0", Text: "a", Score: "x"}, {ID: "i1", Text: "b", Score: "y"},
	}})
	addTestEvents(earlier, 2, "a/1", "c")
	earlier.texts[2].whole = true
	later := scoredJob("s0", "other", "s2")
	later.reuseTexts(earlier.keptTexts([]string{"i0", "i1", "i2"}, 0))
	whole, scored := later.wholeItems()
	if fmt.Sprint(whole, scored) != "[0 1 2] [0]" {
		t.Errorf("complete %v, scored %v", whole, scored)
	}
	if r := builtChunk(later, op.AppendChunk{Done: []int{0}}).Results[0]; r.Score != "x" {
		t.Errorf("listed as %+v", r)
	}
}

func TestCompleteOutputSurvivesAHandOver(t *testing.T) {
	first := scoredJob("s0")
	addTestEvents(first, 0, "a/1", "one", "two")
	first.texts[0].whole = true
	chunk := builtChunk(first, op.AppendChunk{Save: true})
	second := scoredJob("s0")
	second.addChunk(0, chunk)
	whole, scored := second.wholeItems()
	if len(whole) != 1 || len(scored) != 0 {
		t.Errorf("complete %v, scored %v after %+v", whole, scored, chunk)
	}
}

func TestTextWithoutEnd(t *testing.T) {
	tests := map[string][]byte{"long events": make([]byte, 4096), "empty events": nil}
	for name, data := range tests {
		t.Run(name, func(t *testing.T) {
			p := rewardProcess(nil)
			p.state = NewState(platform.Environment{Instance: "a"}, "a#1", 0)
			p.metrics = metrics.NewSet()
			p.contents.withJob(testJob, func(c *jobContent) { c.texts[0] = itemText{run: 1, lastEvent: -1} })
			r := &run{p: p, e: op.RunItem{Job: testJob, Run: 1}, lastEvent: -1}
			var err error
			n := int64(0)
			for ; err == nil && n < maxTextBytes; n++ {
				err = r.keepEvent(platform.Event{ID: n, Data: data})
			}
			if !errors.Is(err, platform.ErrTooLong) {
				t.Errorf("after %d events: %v", n, err)
			}
		})
	}
}
