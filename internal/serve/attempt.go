package serve

import (
	"context"
	"errors"
	"time"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// probeTimeout bounds the check whether a target is still alive after its
// connection broke.
const probeTimeout = 500 * time.Millisecond

// dispatch starts an attempt at a target in a new goroutine. The attempt ends
// early if the reducer cancels it or the process stops.
func (p *Process) dispatch(d op.Dispatch) {
	ctx, cancel := context.WithCancel(context.Background())
	p.calls.addAttempt(d.Run, cancel)
	p.tasks.Go(func(taskCtx context.Context) {
		stop := context.AfterFunc(taskCtx, cancel)
		defer stop()
		defer cancel()
		defer p.calls.removeAttempt(d.Run)
		p.loop.Post(p.runAttempt(ctx, d))
	})
}

// runAttempt runs an attempt to its end and returns the event that reports the
// result.
func (p *Process) runAttempt(ctx context.Context, d op.Dispatch) op.Finished {
	finished := op.Finished{Request: d.Request, Run: d.Run, Target: d.Target}
	var err error
	switch {
	case d.Step.Name != "":
		err = p.runSample(ctx, d, &finished)
	case d.Plain:
		err = p.runPlain(ctx, d)
	default:
		err = p.runLive(ctx, d, &finished)
	}
	finished.OK, finished.Outcome = err == nil, unit.Ran
	if err == nil {
		return finished
	}
	var f *platform.Failure
	if !errors.As(err, &f) {
		f = &platform.Failure{Outcome: unit.Unknown, Err: err}
	}
	finished.Outcome, finished.Leaving = f.Outcome, f.Leaving
	finished.Crashed = f.Crashed && p.unreachable(d.Address)
	p.log.WithFields(map[string]any{
		"Request": d.Request, "Target": d.Target, "Outcome": f.Outcome.String(), "Crashed": finished.Crashed,
	}).Warn("attempt failed: " + err.Error())
	return finished
}

// unreachable reports whether a target no longer answers requests for its load.
// It tells a crashed target from a connection that broke in the network.
func (p *Process) unreachable(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	_, err := p.engines.Load(ctx, address)
	return err != nil
}

// runSample generates a sample of a step and stores its text.
func (p *Process) runSample(ctx context.Context, d op.Dispatch, finished *op.Finished) error {
	req, ok := p.steps.sampleRequest(d.Step, d.Index)
	if !ok {
		return &platform.Failure{Outcome: unit.NotRun, Err: errors.New("this instance does not own the step")}
	}
	var k collector
	err := p.engines.Generate(ctx, d.Address, req.generateRequest(d.Run), func(c platform.Chunk) error {
		k.add(c)
		return nil
	})
	if err != nil {
		return err
	}
	finished.Passed, finished.Spans = k.tokens, k.spans
	p.steps.saveText(d.Step, d.Index, d.Run, k.text.String())
	return nil
}

// runLive generates a live answer. For a stream it hands each chunk to the
// caller as it arrives, except the last one, which it stores as the final
// answer.
func (p *Process) runLive(ctx context.Context, d op.Dispatch, finished *op.Finished) error {
	c := p.calls.get(d.Request)
	if c == nil {
		return &platform.Failure{Outcome: unit.NotRun, Err: errors.New("the caller has disconnected")}
	}
	var k collector
	var last string
	err := p.engines.Generate(ctx, d.Address, c.model.generateRequest(d.Run), func(x platform.Chunk) error {
		k.add(x)
		if !c.stream {
			return nil
		}
		if x.End {
			last = x.Text
			return nil
		}
		return c.deliver(ctx, x)
	})
	if err != nil {
		finished.Passed = c.deliveredTokens()
		return err
	}
	a := answer{text: k.text.String(), tokens: k.tokens, spans: k.spans}
	if c.stream {
		a.text = last
	}
	c.setAnswer(a)
	finished.Passed, finished.Spans = k.tokens, k.spans
	return nil
}

// runPlain sends a call to a plain service.
func (p *Process) runPlain(ctx context.Context, d op.Dispatch) error {
	c := p.calls.get(d.Request)
	if c == nil {
		return &platform.Failure{Outcome: unit.NotRun, Err: errors.New("the caller has disconnected")}
	}
	req := *c.plain
	req.Request = d.Run
	a, err := p.services.Call(ctx, d.Address, req)
	if err != nil {
		return err
	}
	c.setAnswer(answer{plain: a})
	return nil
}

// generateRequest returns the request as it is sent to an engine for one
// attempt.
func (r modelRequest) generateRequest(attempt unit.Request) platform.GenerateRequest {
	return platform.GenerateRequest{Request: attempt, Prompt: r.prompt, MaxTokens: r.maxTokens, Seed: r.seed}
}

// deliver hands a chunk to the caller, and waits while the caller is slow.
func (c *pendingCall) deliver(ctx context.Context, x platform.Chunk) error {
	select {
	case c.chunks <- x.Text:
	case <-ctx.Done():
		return ctx.Err()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delivered += x.Tokens
	return nil
}

func (c *pendingCall) deliveredTokens() unit.Tokens {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.delivered
}

func (c *pendingCall) setAnswer(a answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answer = a
}

func (c *pendingCall) finalAnswer() answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answer
}
