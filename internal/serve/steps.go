package serve

import (
	"sync"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/rpc"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// steps holds the prompts and texts of the steps at home here. The reducer
// decides on them by index only.
type steps struct {
	mu sync.Mutex
	// opening holds the samples of calls to open a step, by call.
	opening map[int64][]*rpc.SampleSpec
	byID    map[unit.StepID]*content
}

// content is the prompts and texts of one step.
type content struct {
	epoch   unit.Epoch
	samples []*rpc.SampleSpec
	texts   map[int32]kept
}

// kept is the text of a finished sample and the run that made it.
type kept struct {
	run  unit.Request
	text string
}

func newSteps() *steps {
	return &steps{opening: make(map[int64][]*rpc.SampleSpec), byID: make(map[unit.StepID]*content)}
}

func (s *steps) open(call int64, samples []*rpc.SampleSpec) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opening[call] = samples
}

// opened moves a step's samples from its call to its name.
func (s *steps) opened(e op.StepOpened) {
	s.mu.Lock()
	defer s.mu.Unlock()
	samples := s.opening[e.Call]
	delete(s.opening, e.Call)
	if e.Reason == "" {
		s.byID[e.Step] = &content{epoch: e.Epoch, samples: samples, texts: make(map[int32]kept)}
	}
}

func (s *steps) drop(e op.DropStep) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.byID[e.Step]; c != nil && c.epoch == e.Epoch {
		delete(s.byID, e.Step)
	}
}

func (s *steps) work(id unit.StepID, i int32) (work, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.byID[id]
	if c == nil || int(i) >= len(c.samples) {
		return work{}, false
	}
	x := c.samples[i]
	return work{prompt: x.Prompt, maxTokens: unit.Tokens(x.MaxTokens), seed: x.Seed}, true
}

func (s *steps) keep(id unit.StepID, i int32, run unit.Request, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.byID[id]; c != nil {
		c.texts[i] = kept{run: run, text: text}
	}
}

// forget drops the texts that the trainer holds.
func (s *steps) forget(id unit.StepID, epoch unit.Epoch, indexes []int32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.byID[id]
	if c == nil || c.epoch != epoch {
		return
	}
	for _, i := range indexes {
		delete(c.texts, i)
	}
}

// samples turns results into what the trainer gets. A text that is not the
// one decided on is left out; the next pull brings it.
func (s *steps) samples(d op.Deliver, receipt func(unit.StepID, int32, unit.Tokens) []byte) []*rpc.Sample {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.byID[d.Step]
	if c == nil || c.epoch != d.Epoch {
		return nil
	}
	var out []*rpc.Sample
	for _, r := range d.Samples {
		x := &rpc.Sample{
			Index: r.Index, Group: c.samples[r.Index].Group, Failed: string(r.Failed),
			Tokens: int64(r.Tokens), Versions: spansOut(r.Spans), Receipt: receipt(d.Step, r.Index, r.Tokens),
		}
		if r.Failed == "" {
			t, ok := c.texts[r.Index]
			if !ok || t.run != r.Run {
				continue
			}
			x.Text = t.text
		}
		out = append(out, x)
	}
	return out
}

func spansOut(spans []op.Span) []*rpc.VersionSpan {
	var out []*rpc.VersionSpan
	for _, s := range spans {
		out = append(out, &rpc.VersionSpan{Version: int64(s.Version), FirstToken: int64(s.First)})
	}
	return out
}
