package edge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// maxRewardBytes bounds the body of the answer to a reward call, in bytes. The
// body is not used.
const maxRewardBytes = 1 << 20

// sendRewardCall starts an attempt of a reward call.
func (p *Process) sendRewardCall(e op.SendRewardCall) {
	p.startRun(e.Run, func(ctx context.Context, _ func()) {
		startedAt := p.clock.Now()
		ctx, cancel := context.WithTimeout(ctx, (e.Until - startedAt).Duration())
		defer cancel()
		call, score, err := p.attemptRewardCall(ctx, e)
		ended := op.RewardCallEnded{Job: e.Job, Item: e.Item, Run: e.Run, Target: e.Target, End: op.RewardScored}
		if err != nil {
			ended.End, ended.Leaving = rewardEnd(err)
		}
		p.logRewardCall(call, e, ended, startedAt, err)
		if ended.End == op.RewardScored {
			p.contents.withJob(e.Job, func(c *jobContent) { c.setScore(e.Item, score) })
		}
		p.apply(ended)
	})
}

// statusError is the error for an answer with a status that is not a success.
type statusError int

// Error returns the text.
func (e statusError) Error() string { return fmt.Sprintf("target answered with status %d", int(e)) }

// attemptRewardCall sends the reward call of an item to a target. It returns the
// request and the score.
func (p *Process) attemptRewardCall(ctx context.Context, e op.SendRewardCall) (platform.TargetRequest, string, error) {
	o, ok := p.rewardRequest(e)
	if !ok {
		return o, "", errors.New("job content is no longer held")
	}
	reply, err := p.deps.Backends.Do(ctx, o)
	if err != nil {
		return o, "", fmt.Errorf("send reward call: %w", err)
	}
	defer reply.Body.Close()
	n, err := io.Copy(io.Discard, io.LimitReader(reply.Body, maxRewardBytes+1))
	switch {
	case err != nil:
		return o, "", fmt.Errorf("read answer: %w", err)
	case n > maxRewardBytes:
		return o, "", platform.ErrTooLong
	case reply.Status < http.StatusOK || reply.Status >= http.StatusMultipleChoices:
		return o, "", statusError(reply.Status)
	}
	return o, reply.Stamp, nil
}

// rewardRequest returns the request of a reward call. It returns false if the
// job's content is no longer held, or has no complete text of the item.
func (p *Process) rewardRequest(e op.SendRewardCall) (o platform.TargetRequest, ok bool) {
	now := p.clock.Now()
	p.contents.withJob(e.Job, func(c *jobContent) {
		r := c.job.Items[e.Item].Reward
		if r == nil || !c.texts[e.Item].whole {
			return
		}
		ok = true
		o = platform.TargetRequest{
			Attempt: r.ID, Target: e.Target, Address: e.Address, Method: http.MethodPost, Host: r.Host, URI: r.Path,
			Body: r.Body, Workspace: c.record.Workspace, Left: max(e.Until-now, 1), After: -1,
		}
	})
	return o, ok
}

// rewardEnd returns how an attempt ended that gave no score, and whether the
// target is going to stop.
func rewardEnd(err error) (end op.RewardEnd, leaving bool) {
	var status statusError
	var failure *platform.Failure
	switch {
	case errors.As(err, &status) && status == http.StatusInternalServerError:
		return op.RewardFailed, false
	case errors.As(err, &status) && status == http.StatusUnprocessableEntity:
		return op.RewardImpossible, false
	case errors.As(err, &failure) && failure.Outcome == unit.NotRun && !failure.Crashed:
		return op.RewardNotRun, failure.Leaving
	}
	return op.RewardBroken, false
}

// logRewardCall logs the end of an attempt and records its duration, and for a
// score the time since the output was complete.
func (p *Process) logRewardCall(call platform.TargetRequest, e op.SendRewardCall, ended op.RewardCallEnded, startedAt clock.Millis, err error) {
	fields := logrus.Fields{
		"Request": call.Attempt, "Job": e.Job, "Item": e.Item, "Route": e.Route, "Target": e.Target, "End": ended.End,
		"WaitedMillis": startedAt - e.Since, "TookMillis": p.clock.Now() - startedAt, "LimitMillis": e.Until - startedAt,
	}
	if err != nil {
		fields["Error"] = err.Error()
	}
	p.observeDuration("catkinhead_reward_attempt_seconds", "end", string(ended.End), startedAt)
	if ended.End == op.RewardScored {
		p.observeDuration("catkinhead_reward_seconds", "route", string(e.Route), e.Since)
	}
	p.log.WithFields(fields).Info("reward call ended")
}
