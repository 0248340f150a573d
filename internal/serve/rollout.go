package serve

import (
	"context"
	"crypto/hmac"
	"fmt"
	"regexp"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/catkinhead/catkinhead/internal/decide"
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/rpc"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// maxSamples bounds the samples of a step.
	maxSamples = 65_536
	// maxPullWait bounds how long a pull waits for samples.
	maxPullWait = 20 * time.Second
)

// stepNamePattern is the form of the name of a step.
var stepNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// rolloutServer serves the calls of trainers. A trainer opens a step, which is
// a batch of prompts, pulls the generated samples and closes the step.
type rolloutServer struct{ *Process }

// OpenStep makes this instance the owner of a step.
func (p rolloutServer) OpenStep(ctx context.Context, r *rpc.OpenStepRequest) (*rpc.OpenStepResponse, error) {
	w, reason := p.callerWorkspace(ctx)
	if reason != "" {
		return nil, rpcRefusal(reason, unit.NotRun)
	}
	if err := checkStep(r); err != nil {
		return nil, err
	}
	id := unit.StepID{Workspace: w, Name: r.Step}
	held, err := p.verifyHeldSamples(id, r)
	if err != nil {
		return nil, err
	}
	n, ch := p.replies.register()
	p.steps.addPending(n, r.Samples)
	p.loop.Post(op.OpenStep{
		Call: n, Step: id, Route: unit.Route(r.Route), KeyHash: keyHashFrom(ctx),
		Samples: sampleShapes(r), Held: held, Staleness: unit.Version(r.Staleness),
		TrainerAt: unit.Version(r.TrainerVersion), TrainerHas: unit.Epoch(r.Epoch),
	})
	e, err := awaitReply[op.StepOpened](ctx, ch)
	if err != nil {
		return nil, err
	}
	if e.Reason != "" {
		return nil, rpcRefusal(e.Reason, unit.NotRun)
	}
	return &rpc.OpenStepResponse{Epoch: int64(e.Epoch), Home: string(p.set.Instance)}, nil
}

// checkStep returns an error if a request to open a step is not valid.
func checkStep(r *rpc.OpenStepRequest) error {
	switch {
	case !stepNamePattern.MatchString(r.Step):
		return twirp.InvalidArgumentError("step", "is no name; use 1 to 128 of A-Z a-z 0-9 . _ -")
	case len(r.Samples) == 0 || len(r.Samples) > maxSamples:
		return twirp.InvalidArgumentError("samples", fmt.Sprintf("has %d entries; 1 to %d are allowed", len(r.Samples), maxSamples))
	case r.Staleness < 0:
		return twirp.InvalidArgumentError("staleness", "is negative")
	case r.Epoch < 0 || r.TrainerVersion < 0:
		return twirp.InvalidArgumentError("epoch", "or trainer_version is negative")
	}
	for i, s := range r.Samples {
		if s.GetPrompt() == "" || s.MaxTokens < 1 || s.MaxTokens > int64(maxTokensLimit) {
			return twirp.InvalidArgumentError("samples", fmt.Sprintf("entry %d needs a prompt and max_tokens from 1 to %d", i, maxTokensLimit))
		}
	}
	return nil
}

// verifyHeldSamples returns the samples that the trainer already holds. It
// fails unless each has a receipt that this fleet issued for this step.
func (p *Process) verifyHeldSamples(id unit.StepID, r *rpc.OpenStepRequest) ([]op.HeldSample, error) {
	var out []op.HeldSample
	for _, h := range r.Held {
		if h.GetIndex() < 0 || int(h.GetIndex()) >= len(r.Samples) {
			return nil, twirp.InvalidArgumentError("held", fmt.Sprintf("index %d is outside of the step", h.GetIndex()))
		}
		if !hmac.Equal(h.Receipt, p.receipt(id, h.Index, unit.Tokens(h.Tokens))) {
			return nil, rpcRefusal(op.BadReceipt, unit.NotRun)
		}
		out = append(out, op.HeldSample{Index: h.Index, Tokens: unit.Tokens(h.Tokens)})
	}
	return out, nil
}

// sampleShapes describes the samples to the reducer, without their prompts.
func sampleShapes(r *rpc.OpenStepRequest) []op.SampleShape {
	out := make([]op.SampleShape, len(r.Samples))
	for i, s := range r.Samples {
		out[i] = op.SampleShape{
			Group: s.Group, Cost: unit.Tokens(s.MaxTokens), Prefix: prefixHash(s.Prompt),
			Fingerprint: fingerprint(r.Route, s.Prompt),
		}
	}
	return out
}

// PullSamples acknowledges samples and waits for more.
func (p rolloutServer) PullSamples(ctx context.Context, r *rpc.PullSamplesRequest) (*rpc.PullSamplesResponse, error) {
	w, reason := p.callerWorkspace(ctx)
	if reason != "" {
		return nil, rpcRefusal(reason, unit.NotRun)
	}
	id := unit.StepID{Workspace: w, Name: r.Step}
	wait := min(max(time.Duration(r.Wait)*time.Millisecond, 0), maxPullWait)
	n, ch := p.replies.register()
	p.loop.Post(op.PullSamples{
		Call: n, Step: id, Epoch: unit.Epoch(r.Epoch), KeyHash: keyHashFrom(ctx), Acknowledged: r.Acknowledged,
		Until: p.clock.Now() + clock.FromDuration(wait), TrainerAt: unit.Version(r.TrainerVersion),
		Max: int(r.Max),
	})
	e, err := awaitReply[op.Deliver](ctx, ch)
	if err != nil {
		return nil, err
	}
	if e.Reason != "" {
		return nil, rpcRefusal(e.Reason, unit.NotRun)
	}
	p.steps.dropTexts(id, e.Epoch, r.Acknowledged)
	return &rpc.PullSamplesResponse{Epoch: int64(e.Epoch), Done: e.Done, Samples: p.steps.samplesToRPC(e, p.receipt)}, nil
}

// CloseStep acknowledges the last samples and closes the step. The response says
// whether the store has the step's final record.
func (p rolloutServer) CloseStep(ctx context.Context, r *rpc.CloseStepRequest) (*rpc.CloseStepResponse, error) {
	w, reason := p.callerWorkspace(ctx)
	if reason != "" {
		return nil, rpcRefusal(reason, unit.NotRun)
	}
	n, ch := p.replies.register()
	p.loop.Post(op.CloseStep{
		Call: n, Step: unit.StepID{Workspace: w, Name: r.Step}, Epoch: unit.Epoch(r.Epoch),
		KeyHash: keyHashFrom(ctx), Acknowledged: r.Acknowledged,
	})
	e, err := awaitReply[op.StepEnded](ctx, ch)
	if err != nil {
		return nil, err
	}
	if e.Reason != "" {
		return nil, rpcRefusal(e.Reason, unit.NotRun)
	}
	return &rpc.CloseStepResponse{Recorded: e.Recorded}, nil
}

// NewTicket issues a ticket for the caller's workspace.
func (p rolloutServer) NewTicket(ctx context.Context, _ *rpc.NewTicketRequest) (*rpc.NewTicketResponse, error) {
	w, reason := p.callerWorkspace(ctx)
	if reason != "" {
		return nil, rpcRefusal(reason, unit.NotRun)
	}
	t, err := p.tickets.Issue(w)
	if err != nil {
		return nil, twirp.NewError(twirp.ResourceExhausted, err.Error())
	}
	return &rpc.NewTicketResponse{Ticket: t}, nil
}

// callerWorkspace returns the workspace of the key that came with the call, or
// the reason to refuse the call.
func (p *Process) callerWorkspace(ctx context.Context) (unit.Workspace, op.Reason) {
	var w unit.Workspace
	reason := op.Draining
	p.loop.Query(func(now clock.Millis, s *decide.State) { w, reason = s.WorkspaceOfKey(now, keyHashFrom(ctx)) })
	return w, reason
}

// awaitReply waits for the effect that answers a call.
func awaitReply[E op.Effect](ctx context.Context, ch <-chan op.Effect) (E, error) {
	var none E
	select {
	case e := <-ch:
		x, ok := e.(E)
		if !ok {
			return none, twirp.InternalError(fmt.Sprintf("answered by %T", e))
		}
		return x, nil
	case <-ctx.Done():
		return none, twirp.NewError(twirp.Canceled, "the caller left")
	}
}

// rpcRefusal converts a reason to a Twirp error, with the reason and the
// outcome as metadata.
func rpcRefusal(reason op.Reason, o unit.Outcome) error {
	code := twirp.Unavailable
	switch reason {
	case op.NoKey, op.BadKey, op.Withdrawn:
		code = twirp.Unauthenticated
	case op.NotAllowed:
		code = twirp.PermissionDenied
	case op.NoRoute, op.NoStep:
		code = twirp.NotFound
	case op.WrongKind, op.BadReceipt:
		code = twirp.InvalidArgument
	case op.StaleEpoch, op.StepClosed:
		code = twirp.FailedPrecondition
	}
	return twirp.NewError(code, reasonText[reason]).WithMeta("reason", string(reason)).WithMeta("outcome", o.String())
}
