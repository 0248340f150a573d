package edge

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// pageBytes bounds the texts of a page of results.
	pageBytes = 700 << 10
	// endWithin is how long a caller waits for the end of a job.
	endWithin = 3 * clock.Second
)

// serveBatch answers a call about a job: from memory if this instance owns it,
// else through its owner, else from the store.
func (f *front) serveBatch(e op.ServeBatch, call platform.BatchRequest) {
	p := f.p
	a := p.localBatch(f.r.Context(), e.Workspace, call, f.head.Wait)
	from := "Memory"
	if a.status == 0 {
		a, from = p.askOwner(f.r.Context(), e.Workspace, call, f.head.Wait), "Owner"
	}
	if a.status == 0 {
		a, from = p.storedBatch(f.r.Context(), e.Workspace, call), "Store"
	}
	if f.r.Context().Err() != nil {
		return
	}
	if a.status == http.StatusServiceUnavailable {
		f.log("call about a job failed", logrus.Fields{"Job": call.Job, "Error": fmt.Sprint(a.err)})
		f.respond(op.Respond{Status: a.status, Reason: op.NotStored, Outcome: unit.NotRun, RetryAfter: retryJob})
		return
	}
	h := f.w.Header()
	if call.Call == platform.ReadResults {
		h.Set("Content-Type", "application/json")
	}
	h.Set("Content-Length", fmt.Sprint(len(a.body)))
	f.w.WriteHeader(a.status)
	if _, err := f.w.Write(a.body); err != nil {
		f.log("answer not written", logrus.Fields{"Job": call.Job, "Error": err.Error()})
	}
	p.observe("catkinhead_request_seconds", "outcome", "JobRead", f.began)
	if a.status != http.StatusOK || call.Call == platform.EndJob {
		f.log("call about a job", logrus.Fields{"Job": call.Job, "Status": a.status, "From": from, "Ends": call.Call == platform.EndJob})
	}
}

// localBatch answers from memory. An empty page is held back until there is a
// result, or the wait is over.
func (p *Process) localBatch(ctx context.Context, w unit.Workspace, call platform.BatchRequest, wait clock.Millis) batchAnswer {
	until := p.clock.Now() + wait
	for {
		a, changed, hold := p.fromMemory(w, call)
		if call.Call == platform.EndJob && a.status == http.StatusOK {
			return p.endLocal(ctx, call.Job)
		}
		left := until - p.clock.Now()
		if !hold || left <= 0 || ctx.Err() != nil {
			return a
		}
		select {
		case <-changed:
		case <-time.After(left.Duration()):
		case <-ctx.Done():
		}
	}
}

// fromMemory answers from memory as it is now; status 0 is no answer. It also
// returns a channel that is closed at the next change of the job, and whether
// the answer is worth waiting for that.
func (p *Process) fromMemory(w unit.Workspace, call platform.BatchRequest) (a batchAnswer, changed <-chan struct{}, hold bool) {
	p.content.with(call.Job, func(c *jobContent) {
		if !c.claimed && !c.ended {
			return
		}
		a, changed = p.answer(c, w, call), c.changed
		hold = a.status == http.StatusOK && mayFill(c, call)
	})
	return a, changed, hold
}

// mayFill tells whether a page is empty now and may still be filled.
func mayFill(c *jobContent, call platform.BatchRequest) bool {
	return call.Call == platform.ReadResults && call.From >= len(c.results) && !c.ended && len(c.results) < len(c.job.Items)
}

// answer answers a call from a job's content.
func (p *Process) answer(c *jobContent, w unit.Workspace, call platform.BatchRequest) batchAnswer {
	if c.record.Workspace != w {
		return batchAnswer{status: http.StatusNotFound}
	}
	switch call.Call {
	case platform.ReadResults:
		return p.page(c, call.From)
	case platform.ReadItem:
		i, ok := c.index[call.Item]
		if !ok || c.ended {
			return batchAnswer{status: http.StatusNotFound}
		}
		return batchAnswer{status: http.StatusOK, body: c.job.Items[i].Body}
	}
	return batchAnswer{status: http.StatusOK}
}

func (p *Process) page(c *jobContent, from int) batchAnswer {
	from = min(from, len(c.results))
	end, size := from, 0
	for end < len(c.results) && (end == from || size+len(c.results[end].Text) <= pageBytes) {
		size += len(c.results[end].Text)
		end++
	}
	body, err := p.out.Ingress.Results(len(c.job.Items), from, c.results[from:end])
	if err != nil {
		return batchAnswer{status: http.StatusServiceUnavailable, err: err}
	}
	return batchAnswer{status: http.StatusOK, body: body}
}

// endLocal ends a job that this instance owns.
func (p *Process) endLocal(ctx context.Context, job string) batchAnswer {
	id := op.CallID(p.nextID.Add(1))
	box := make(chan op.Effect, mailbox)
	p.calls.Store(id, box)
	defer p.calls.Delete(id)
	p.apply(op.EndAsked{Job: job, Call: id})
	select {
	case <-box:
		return batchAnswer{status: http.StatusOK}
	case <-time.After(endWithin.Duration()):
		return batchAnswer{status: http.StatusServiceUnavailable, err: errors.New("the end is not stored yet")}
	case <-ctx.Done():
		return batchAnswer{status: http.StatusServiceUnavailable, err: ctx.Err()}
	}
}

// storedBatch answers from the store. The end of a job needs an owner, so this
// instance takes the job over.
func (p *Process) storedBatch(ctx context.Context, w unit.Workspace, call platform.BatchRequest) batchAnswer {
	if call.Call == platform.EndJob {
		return p.endStored(ctx, w, call)
	}
	c, _, err := p.loadJob(ctx, call.Job)
	if errors.Is(err, platform.ErrNotFound) {
		return batchAnswer{status: http.StatusNotFound}
	}
	if err != nil {
		return batchAnswer{status: http.StatusServiceUnavailable, err: err}
	}
	p.apply(op.JobSeen{Job: call.Job})
	return p.answer(c, w, call)
}

func (p *Process) endStored(ctx context.Context, w unit.Workspace, call platform.BatchRequest) batchAnswer {
	c, _, err := p.loadJob(ctx, call.Job)
	switch {
	case errors.Is(err, platform.ErrNotFound) || err == nil && c.record.Workspace != w:
		return batchAnswer{status: http.StatusNotFound}
	case err != nil:
		return batchAnswer{status: http.StatusServiceUnavailable, err: err}
	case c.ended:
		return batchAnswer{status: http.StatusOK}
	}
	var epoch unit.Epoch
	p.ask(func(_ clock.Millis, s *State) { epoch = s.Beats.Epoch(call.Job) })
	p.takeOver(ctx, op.TakeOver{Job: call.Job, Epoch: epoch, Force: true})
	return p.endLocal(ctx, call.Job)
}
