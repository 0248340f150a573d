package serve

import (
	"context"
	"errors"
	"time"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// probeTime bounds the look whether a target that broke off still lives.
const probeTime = 500 * time.Millisecond

// dispatch runs one attempt at a target.
func (p *Process) dispatch(d op.Dispatch) {
	ctx, cancel := context.WithCancel(context.Background())
	p.calls.begin(d.Run, cancel)
	p.tasks.Go(func(own context.Context) {
		stop := context.AfterFunc(own, cancel)
		defer stop()
		defer cancel()
		defer p.calls.finish(d.Run)
		p.loop.Post(p.attempt(ctx, d))
	})
}

// attempt runs to the end and says what became of it.
func (p *Process) attempt(ctx context.Context, d op.Dispatch) op.Finished {
	end := op.Finished{Request: d.Request, Run: d.Run, Target: d.Target}
	var err error
	switch {
	case d.Step.Name != "":
		err = p.runSample(ctx, d, &end)
	case d.Plain:
		err = p.runPlain(ctx, d)
	default:
		err = p.runLive(ctx, d, &end)
	}
	end.OK, end.Outcome = err == nil, unit.Ran
	if err == nil {
		return end
	}
	var f *platform.Failure
	if !errors.As(err, &f) {
		f = &platform.Failure{Outcome: unit.Unknown, Err: err}
	}
	end.Outcome, end.Leaving = f.Outcome, f.Leaving
	end.Crashed = f.Crashed && p.dead(d.Address)
	p.log.WithFields(map[string]any{
		"Request": d.Request, "Target": d.Target, "Outcome": f.Outcome.String(), "Crashed": end.Crashed,
	}).Warn("attempt failed: " + err.Error())
	return end
}

// dead tells whether a target that broke a connection answers no more. A
// connection that broke on the way is no crash.
func (p *Process) dead(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTime)
	defer cancel()
	_, err := p.engines.Load(ctx, address)
	return err != nil
}

func (p *Process) runSample(ctx context.Context, d op.Dispatch, end *op.Finished) error {
	w, ok := p.steps.work(d.Step, d.Index)
	if !ok {
		return &platform.Failure{Outcome: unit.NotRun, Err: errors.New("step is not at home here")}
	}
	var k collector
	err := p.engines.Generate(ctx, d.Address, w.asWork(d.Run), func(c platform.Chunk) error {
		k.add(c)
		return nil
	})
	if err != nil {
		return err
	}
	end.Passed, end.Spans = k.tokens, k.spans
	p.steps.keep(d.Step, d.Index, d.Run, k.text.String())
	return nil
}

func (p *Process) runLive(ctx context.Context, d op.Dispatch, end *op.Finished) error {
	c := p.calls.get(d.Request)
	if c == nil {
		return &platform.Failure{Outcome: unit.NotRun, Err: errors.New("caller is gone")}
	}
	var k collector
	var last string
	err := p.engines.Generate(ctx, d.Address, c.work.asWork(d.Run), func(x platform.Chunk) error {
		k.add(x)
		if !c.stream {
			return nil
		}
		if x.End {
			last = x.Text
			return nil
		}
		return c.pass(ctx, x)
	})
	if err != nil {
		end.Passed = c.taken()
		return err
	}
	a := answer{text: k.text.String(), tokens: k.tokens, spans: k.spans}
	if c.stream {
		a.text = last
	}
	c.set(a)
	end.Passed, end.Spans = k.tokens, k.spans
	return nil
}

func (p *Process) runPlain(ctx context.Context, d op.Dispatch) error {
	c := p.calls.get(d.Request)
	if c == nil {
		return &platform.Failure{Outcome: unit.NotRun, Err: errors.New("caller is gone")}
	}
	req := *c.plain
	req.Request = d.Run
	a, err := p.services.Call(ctx, d.Address, req)
	if err != nil {
		return err
	}
	c.set(answer{plain: a})
	return nil
}

func (w work) asWork(run unit.Request) platform.Work {
	return platform.Work{Request: run, Prompt: w.prompt, MaxTokens: w.maxTokens, Seed: w.seed}
}

// pass hands a chunk to the caller, waiting while it is slow.
func (c *call) pass(ctx context.Context, x platform.Chunk) error {
	select {
	case c.chunks <- x.Text:
	case <-ctx.Done():
		return ctx.Err()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.passed += x.Tokens
	return nil
}

func (c *call) taken() unit.Tokens {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.passed
}

func (c *call) set(a answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answer = a
}

func (c *call) get() answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answer
}
