package serve

import (
	"sync"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/rpc"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// stepContents holds the prompts and generated texts of the steps that this
// instance owns. The reducer refers to samples by index and never sees their
// content.
type stepContents struct {
	mu sync.Mutex
	// pending holds the samples of calls to open a step that are not answered
	// yet, by call number.
	pending map[int64][]*rpc.SampleSpec
	byID    map[unit.StepID]*stepContent
}

// stepContent holds the prompts of one step, and the texts of its finished
// samples by index.
type stepContent struct {
	epoch   unit.Epoch
	samples []*rpc.SampleSpec
	texts   map[int32]sampleText
}

// sampleText is the text of a finished sample and the id of the attempt that
// generated it.
type sampleText struct {
	attempt unit.Request
	text    string
}

func newStepContents() *stepContents {
	return &stepContents{pending: make(map[int64][]*rpc.SampleSpec), byID: make(map[unit.StepID]*stepContent)}
}

// addPending stores the samples of a call to open a step until the reducer
// answers the call.
func (s *stepContents) addPending(call int64, samples []*rpc.SampleSpec) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending[call] = samples
}

// confirm stores the samples of a call under the id of the opened step, or
// drops them if the call was refused.
func (s *stepContents) confirm(e op.StepOpened) {
	s.mu.Lock()
	defer s.mu.Unlock()
	samples := s.pending[e.Call]
	delete(s.pending, e.Call)
	if e.Reason == "" {
		s.byID[e.Step] = &stepContent{epoch: e.Epoch, samples: samples, texts: make(map[int32]sampleText)}
	}
}

// drop removes the content of a step, unless the step was opened again under
// another epoch.
func (s *stepContents) drop(e op.DropStep) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.byID[e.Step]; c != nil && c.epoch == e.Epoch {
		delete(s.byID, e.Step)
	}
}

// sampleRequest returns the model request for sample i. It returns false if
// this instance does not own the step.
func (s *stepContents) sampleRequest(id unit.StepID, i int32) (modelRequest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.byID[id]
	if c == nil || int(i) >= len(c.samples) {
		return modelRequest{}, false
	}
	x := c.samples[i]
	return modelRequest{prompt: x.Prompt, maxTokens: unit.Tokens(x.MaxTokens), seed: x.Seed}, true
}

// saveText stores the text of sample i, replacing that of an earlier attempt.
func (s *stepContents) saveText(id unit.StepID, i int32, attempt unit.Request, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.byID[id]; c != nil {
		c.texts[i] = sampleText{attempt: attempt, text: text}
	}
}

// dropTexts removes the texts of samples that the trainer has acknowledged.
func (s *stepContents) dropTexts(id unit.StepID, epoch unit.Epoch, indexes []int32) {
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

// samplesToRPC converts results to the samples sent to the trainer. It leaves
// out a sample whose stored text is missing, or comes from another attempt than
// the one whose result the reducer accepted; the next pull delivers it.
func (s *stepContents) samplesToRPC(d op.Deliver, receipt func(unit.StepID, int32, unit.Tokens) []byte) []*rpc.Sample {
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
			Tokens: int64(r.Tokens), Versions: spansToRPC(r.Spans), Receipt: receipt(d.Step, r.Index, r.Tokens),
		}
		if r.Failed == "" {
			t, ok := c.texts[r.Index]
			if !ok || t.attempt != r.Run {
				continue
			}
			x.Text = t.text
		}
		out = append(out, x)
	}
	return out
}

func spansToRPC(spans []op.Span) []*rpc.VersionSpan {
	var out []*rpc.VersionSpan
	for _, s := range spans {
		out = append(out, &rpc.VersionSpan{Version: int64(s.Version), FirstToken: int64(s.First)})
	}
	return out
}
