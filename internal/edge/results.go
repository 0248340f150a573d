package edge

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/catkinhead/catkinhead/internal/budget"
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// maxPageBytes bounds the texts in a page of results, in bytes.
	maxPageBytes = 700 << 10
	// pageCopies is how many times the length of its texts a page takes at most.
	pageCopies = 2
	// endJobTimeout is how long a caller waits until the end of a job is stored.
	endJobTimeout = 3 * clock.Second
)

// serveJobCall answers a call about a job: from memory if this instance owns
// the job, else through its owner, else from the store.
func (cr *callerRequest) serveJobCall(e op.ServeJobCall, call platform.JobRequest) {
	p, room := cr.p, &pageRoom{hold: cr.hold}
	a, from := p.answerJobCall(cr.r.Context(), e.Workspace, call, cr.headers.Wait, room)
	if errors.Is(a.err, budget.ErrNoRoom) && room.await(cr.r.Context()) == nil {
		a, from = p.answerJobCall(cr.r.Context(), e.Workspace, call, cr.headers.Wait, room)
	}
	if cr.r.Context().Err() != nil {
		return
	}
	if a.status == http.StatusServiceUnavailable {
		cr.log("call about a job failed", logrus.Fields{"Job": call.Job, "Error": fmt.Sprint(a.err)})
		cr.respond(op.Respond{Status: a.status, Reason: op.NotStored, Outcome: unit.NotRun, RetryAfter: jobRetryAfter})
		return
	}
	h := cr.w.Header()
	if call.Call == platform.ReadResults {
		h.Set("Content-Type", "application/json")
	}
	h.Set("Content-Length", fmt.Sprint(len(a.body)))
	cr.writeStatus(a.status)
	if err := cr.write(a.body); err != nil {
		cr.log("answer not written", logrus.Fields{"Job": call.Job, "Error": err.Error()})
	}
	p.observeDuration("catkinhead_request_seconds", "outcome", "JobRead", cr.startedAt)
	if a.status != http.StatusOK || call.Call == platform.EndJob {
		cr.log("call about a job", logrus.Fields{"Job": call.Job, "Status": a.status, "From": from, "Ends": call.Call == platform.EndJob})
	}
}

// answerJobCall answers a call about a job, and says from where.
func (p *Process) answerJobCall(ctx context.Context, w unit.Workspace, call platform.JobRequest, wait clock.Millis, room *pageRoom) (a jobAnswer, from string) {
	a, from = p.answerLocally(ctx, w, call, wait, room), "Memory"
	if a.status == 0 {
		a, from = p.forwardToOwner(ctx, w, call, wait, room), "Owner"
	}
	if a.status == 0 {
		a, from = p.answerFromStore(ctx, w, call, room), "Store"
	}
	return a, from
}

// pageRoom is the room that the answer to one call about a job takes.
type pageRoom struct {
	hold *budget.Hold
	// taken is what the call has, wanted what it needed at its last try, both in bytes.
	taken, wanted int64
}

// take makes room for an answer of n bytes, and reports whether there is room now.
func (r *pageRoom) take(n int64) bool {
	r.wanted = n
	if n <= budget.Small || n <= r.taken {
		return true
	}
	if !r.hold.TryGrow(n - r.taken) {
		return false
	}
	r.taken = n
	return true
}

// await waits for the room that was wanted.
func (r *pageRoom) await(ctx context.Context) error {
	if err := r.hold.Grow(ctx, r.wanted-r.taken); err != nil {
		return fmt.Errorf("page of results: %w", err)
	}
	r.taken = r.wanted
	return nil
}

// answerLocally answers a call about a job from memory, or ends the job if the
// call asks for that. If the page that the caller asks for is empty, it waits
// until there is a result or the wait is over. The status is 0 if this instance
// cannot answer (see answerFromMemory).
func (p *Process) answerLocally(ctx context.Context, w unit.Workspace, call platform.JobRequest, wait clock.Millis, room *pageRoom) jobAnswer {
	until := p.clock.Now() + wait
	for {
		a, changed, canWait := p.answerFromMemory(w, call, room)
		if call.Call == platform.EndJob && a.status == http.StatusOK {
			return p.endOwnedJob(ctx, call.Job)
		}
		remaining := until - p.clock.Now()
		if !canWait || remaining <= 0 || ctx.Err() != nil {
			return a
		}
		select {
		case <-changed:
		case <-time.After(remaining.Duration()):
		case <-ctx.Done():
		}
	}
}

// answerFromMemory answers from the present content of the job. The status is 0
// if this instance does not hold the content, or if the job has not ended and
// this instance's claim is not stored yet. It also returns a channel that is
// closed at the next change of the job. canWait is set if the answer is an empty
// page that may still get results.
func (p *Process) answerFromMemory(w unit.Workspace, call platform.JobRequest, room *pageRoom) (a jobAnswer, changed <-chan struct{}, canWait bool) {
	p.contents.withJob(call.Job, func(c *jobContent) {
		if !c.claimed && !c.ended {
			return
		}
		a, changed = p.answerFromContent(c, w, call, room), c.changed
		canWait = a.status == http.StatusOK && awaitsResults(c, call)
	})
	return a, changed, canWait
}

// awaitsResults reports whether a call asks for a page that is empty and may
// still get results.
func awaitsResults(c *jobContent, call platform.JobRequest) bool {
	return call.Call == platform.ReadResults && call.From >= len(c.results) && !c.ended && len(c.results) < len(c.job.Items)
}

// answerFromContent answers a call from a job's content.
func (p *Process) answerFromContent(c *jobContent, w unit.Workspace, call platform.JobRequest, room *pageRoom) jobAnswer {
	if c.record.Workspace != w {
		return jobAnswer{status: http.StatusNotFound}
	}
	switch call.Call {
	case platform.ReadResults:
		return p.resultsPage(c, call.From, room)
	case platform.ReadItem:
		i, ok := c.index[call.Item]
		if !ok || c.ended {
			return jobAnswer{status: http.StatusNotFound}
		}
		return jobAnswer{status: http.StatusOK, body: c.job.Items[i].Body}
	}
	return jobAnswer{status: http.StatusOK}
}

// resultsPage returns the results from a position on, as many as a page may hold. The error
// is budget.ErrNoRoom if there is no room for the page now.
func (p *Process) resultsPage(c *jobContent, from int, room *pageRoom) jobAnswer {
	from = min(from, len(c.results))
	end, size := from, 0
	for end < len(c.results) && (end == from || size+len(c.results[end].Text) <= maxPageBytes) {
		size += len(c.results[end].Text)
		end++
	}
	if !room.take(int64(size) * pageCopies) {
		return jobAnswer{status: http.StatusServiceUnavailable, err: budget.ErrNoRoom}
	}
	body, err := p.deps.Ingress.Results(len(c.job.Items), from, c.results[from:end])
	if err != nil {
		return jobAnswer{status: http.StatusServiceUnavailable, err: err}
	}
	return jobAnswer{status: http.StatusOK, body: body}
}

// endOwnedJob ends a job that this instance owns and waits until the end is
// stored.
func (p *Process) endOwnedJob(ctx context.Context, job string) jobAnswer {
	id := op.CallID(p.nextID.Add(1))
	mailbox := make(chan op.Effect, mailboxSize)
	p.mailboxes.Store(id, mailbox)
	defer p.mailboxes.Delete(id)
	p.apply(op.EndRequested{Job: job, Call: id})
	select {
	case <-mailbox:
		return jobAnswer{status: http.StatusOK}
	case <-time.After(endJobTimeout.Duration()):
		return jobAnswer{status: http.StatusServiceUnavailable, err: errors.New("end of the job is not stored yet")}
	case <-ctx.Done():
		return jobAnswer{status: http.StatusServiceUnavailable, err: ctx.Err()}
	}
}

// answerFromStore answers a call from the store. Only an owner can end a job,
// so for that this instance takes the job over.
func (p *Process) answerFromStore(ctx context.Context, w unit.Workspace, call platform.JobRequest, room *pageRoom) jobAnswer {
	if call.Call == platform.EndJob {
		return p.endStoredJob(ctx, w, call)
	}
	c, release, err := p.loadForCaller(ctx, call.Job)
	defer release()
	if errors.Is(err, platform.ErrNotFound) {
		return jobAnswer{status: http.StatusNotFound}
	}
	if err != nil {
		return jobAnswer{status: http.StatusServiceUnavailable, err: err}
	}
	p.apply(op.StoredJobFound{Job: call.Job})
	return p.answerFromContent(c, w, call, room)
}

// loadForCaller is loadJob for a caller. Callers wait, so that not too many jobs are in
// memory at once; release must be called when the content is not needed any more.
func (p *Process) loadForCaller(ctx context.Context, job string) (c *jobContent, release func(), err error) {
	if err := p.loads.Acquire(ctx, 1); err != nil {
		return nil, func() {}, fmt.Errorf("wait to read job: %w", err)
	}
	c, _, err = p.loadJob(ctx, job)
	return c, func() { p.loads.Release(1) }, err
}

// endStoredJob takes a job over from the store and ends it.
func (p *Process) endStoredJob(ctx context.Context, w unit.Workspace, call platform.JobRequest) jobAnswer {
	c, release, err := p.loadForCaller(ctx, call.Job)
	missing := errors.Is(err, platform.ErrNotFound) || err == nil && c.record.Workspace != w
	ended := err == nil && c.ended
	// The takeover reads the job again.
	release()
	switch {
	case missing:
		return jobAnswer{status: http.StatusNotFound}
	case err != nil:
		return jobAnswer{status: http.StatusServiceUnavailable, err: err}
	case ended:
		return jobAnswer{status: http.StatusOK}
	}
	var epoch unit.Epoch
	p.withState(func(_ clock.Millis, s *State) { epoch = s.Heartbeats.Epoch(call.Job) })
	p.takeOverJob(ctx, op.TakeOverJob{Job: call.Job, Epoch: epoch, Force: true})
	return p.endOwnedJob(ctx, call.Job)
}
