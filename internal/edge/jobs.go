package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// jobsKind holds a record for each job; chunksKind and the job's id name
	// the kind of its chunks.
	jobsKind   = "jobs"
	chunksKind = "results-"
	// chunkBytes bounds the texts of a chunk; the store's limit is a megabyte,
	// and JSON adds to the text.
	chunkBytes = 600 << 10
	// pageBytes bounds the texts of a page of results.
	pageBytes = 700 << 10
	// acceptWithin is how long a submission is tried before its caller is told
	// to ask again.
	acceptWithin = 2 * clock.Second
	// endWithin is how long a caller waits for the end of a job.
	endWithin = 3 * clock.Second
	// acceptPause is the pause between tries of a submission.
	acceptPause = 150 * time.Millisecond
	// recentJob is up to which age a job is worked on after a start of the whole
	// fleet although nobody asked for it. Others are taken up when they are
	// read.
	recentJob = 30 * clock.Second
	// retryJob hints when to submit a job again that was not taken.
	retryJob clock.Millis = 400
)

func chunkKey(job string, n int) string { return fmt.Sprintf("%s%s/%06d", chunksKind, job, n) }

// takeJob reads a submitted job, stores it and answers.
func (f *front) takeJob(e op.TakeJob) {
	job, err := f.p.out.Ingress.Job(string(f.head.Attempt), f.body)
	if err != nil || job.ID == "" || strings.Contains(job.ID, "/") {
		f.log("job is not readable", logrus.Fields{"Error": fmt.Sprint(err)})
		f.respond(op.Respond{Status: http.StatusBadRequest, Reason: op.BadJob, Outcome: unit.NotRun})
		return
	}
	record := jobRecord{
		Workspace: e.Workspace, Route: e.Rule.Name, Pool: e.Rule.Split[0].Pool, Host: f.r.Host,
		SubmittedAt: int64(f.p.clock.Wall()), Body: f.body, Writer: f.p.state.Self, Try: f.id,
	}
	switch created, err := f.p.storeJob(f.r.Context(), record, job); {
	case err == nil:
		f.accepted(created, record, job)
	case notRun(err):
		f.log("job not stored", logrus.Fields{"Error": err.Error()})
		f.respond(op.Respond{Status: http.StatusServiceUnavailable, Reason: op.NotStored, Outcome: unit.NotRun, RetryAfter: retryJob})
	default:
		// The write may still take effect, so nothing is promised.
		f.log("job perhaps stored", logrus.Fields{"Error": err.Error()})
		f.respond(op.Respond{Status: http.StatusGatewayTimeout, Reason: op.NotStored, Outcome: unit.Unknown, RetryAfter: retryJob})
	}
}

func (f *front) accepted(created bool, record jobRecord, job platform.Job) {
	if created {
		c := newJobContent(record, job)
		c.epoch, c.claimed = 1, true
		f.p.takeNew(f.r.Context(), c)
	} else {
		f.p.apply(op.JobSeen{Job: job.ID})
	}
	f.w.Header().Set("Content-Length", "0")
	f.w.WriteHeader(http.StatusAccepted)
	f.p.observe("catkinhead_request_seconds", "outcome", "JobAccepted", f.began)
	f.log("job accepted", logrus.Fields{
		"Job": job.ID, "Step": job.Step, "Model": job.Model, "MinVersion": job.MinVersion, "Items": len(job.Items),
		"WantGroups": job.WantGroups, "Repeated": !created,
	})
}

// storeJob writes a job's record. It returns false if it stood there already.
func (p *Process) storeJob(ctx context.Context, record jobRecord, job platform.Job) (bool, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return false, fmt.Errorf("encode job: %w", err)
	}
	key := jobsKind + "/" + job.ID
	until := p.clock.Now() + acceptWithin
	unknown := false
	for {
		_, err = p.out.Store.Put(ctx, key, value, 0)
		switch {
		case err == nil:
			return true, nil
		case errors.Is(err, platform.ErrConflict) && !unknown:
			return false, nil
		case errors.Is(err, platform.ErrConflict):
			var ours bool
			if ours, err = p.wrote(ctx, key, record); err == nil {
				return ours, nil
			}
		}
		unknown = unknown || !notRun(err)
		if p.clock.Now() >= until || ctx.Err() != nil {
			break
		}
		select {
		case <-time.After(acceptPause):
		case <-ctx.Done():
		}
	}
	if unknown && notRun(err) {
		return false, fmt.Errorf("an earlier write may have taken effect: %s", err)
	}
	return false, fmt.Errorf("store job: %w", err)
}

// wrote tells whether the job that stands in the store is the one of our write,
// whose answer was lost; else another instance took the job in.
func (p *Process) wrote(ctx context.Context, key string, ours jobRecord) (bool, error) {
	o, err := p.out.Store.Get(ctx, key)
	if err != nil {
		return false, fmt.Errorf("read back: %w", err)
	}
	var stands jobRecord
	if err := json.Unmarshal(o.Value, &stands); err != nil {
		return false, fmt.Errorf("decode job: %w", err)
	}
	return stands.Writer == ours.Writer && stands.Try == ours.Try, nil
}

// notRun tells whether a call certainly had no effect.
func notRun(err error) bool {
	var f *platform.Failure
	return errors.As(err, &f) && f.Outcome == unit.NotRun
}

// loadJob reads a job and its chunks from the store.
func (p *Process) loadJob(ctx context.Context, id string) (*jobContent, []op.ChunkShape, error) {
	o, err := p.out.Store.Get(ctx, jobsKind+"/"+id)
	if err != nil {
		return nil, nil, fmt.Errorf("read job: %w", err)
	}
	var record jobRecord
	if err := json.Unmarshal(o.Value, &record); err != nil {
		return nil, nil, fmt.Errorf("decode job: %w", err)
	}
	job, err := p.out.Ingress.Job(id, record.Body)
	if err != nil {
		return nil, nil, fmt.Errorf("decode stored job: %w", err)
	}
	objects, _, err := p.out.Store.ListKind(ctx, chunksKind+id)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return nil, nil, fmt.Errorf("list results: %w", err)
	}
	c := newJobContent(record, job)
	var shapes []op.ChunkShape
	for n, o := range objects {
		var chunk chunkRecord
		if err := json.Unmarshal(o.Value, &chunk); err != nil {
			return nil, nil, fmt.Errorf("decode results %s: %w", o.Key, err)
		}
		if o.Key != chunkKey(id, n) {
			return nil, nil, fmt.Errorf("results %s stand where chunk %d should", o.Key, n)
		}
		shape, _ := c.add(n, chunk)
		shapes = append(shapes, shape)
	}
	return c, shapes, nil
}

// takeOver makes this instance the owner of a job.
func (p *Process) takeOver(ctx context.Context, e op.TakeOver) {
	c, chunks, err := p.loadJob(ctx, e.Job)
	if err != nil {
		p.log.WithFields(logrus.Fields{"Job": e.Job, "From": e.From, "Error": err.Error()}).Warn("job not taken over")
		return
	}
	if c.ended || len(c.results) == len(c.job.Items) && !e.Force {
		p.apply(op.JobSettled{Job: e.Job})
		return
	}
	c.epoch = e.Epoch
	for _, chunk := range chunks {
		c.epoch = max(c.epoch, chunk.Epoch)
	}
	// The instance that took the job in has the first epoch.
	c.epoch = max(c.epoch, 1) + 1
	if !p.content.put(e.Job, c) {
		return
	}
	shape := c.shape()
	shape.Age = p.clock.Wall() - clock.Millis(c.record.SubmittedAt)
	p.log.WithFields(logrus.Fields{
		"Job": e.Job, "From": e.From, "Epoch": c.epoch, "Listed": len(c.results), "Items": len(shape.Items),
		"Kept": len(c.kept()), "AgeMillis": shape.Age,
	}).Info("job taken over")
	p.apply(op.JobTaken{Shape: shape, Epoch: c.epoch, Chunks: chunks, Saved: c.kept()})
}

// listJobs finds the jobs that no instance may know of.
func (p *Process) listJobs(ctx context.Context) {
	objects, _, err := p.out.Store.ListKind(ctx, jobsKind)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		p.log.WithField("Error", err.Error()).Warn("jobs not listed")
		p.apply(op.JobsFound{Result: op.Lost})
		return
	}
	found := op.JobsFound{Result: op.Done}
	now := p.clock.Wall()
	for _, o := range objects {
		var record jobRecord
		if err := json.Unmarshal(o.Value, &record); err != nil {
			p.log.WithFields(logrus.Fields{"Object": o.Key, "Error": err.Error()}).Error("job is not readable")
			continue
		}
		if now-clock.Millis(record.SubmittedAt) < recentJob {
			found.Jobs = append(found.Jobs, nameOf(o))
		}
	}
	p.log.WithFields(logrus.Fields{"Jobs": len(objects), "Recent": len(found.Jobs)}).Info("jobs listed")
	p.apply(found)
}

// appendChunk creates the next chunk of a job's results.
func (p *Process) appendChunk(ctx context.Context, e op.AppendChunk) {
	var chunk chunkRecord
	if !p.content.with(e.Job, func(c *jobContent) { chunk = c.chunk(e) }) {
		return
	}
	chunk = fit(chunk)
	chunk.Owner = p.site.Instance
	value, err := json.Marshal(chunk)
	if err != nil {
		p.log.WithFields(logrus.Fields{"Job": e.Job, "Error": err.Error()}).Error("results not encoded")
		return
	}
	_, err = p.out.Store.Put(ctx, chunkKey(e.Job, e.Chunk), value, 0)
	end := op.Appended{Job: e.Job, Chunk: e.Chunk, Result: op.Done}
	if errors.Is(err, platform.ErrConflict) {
		end.Result = op.Conflict
		chunk, err = p.readChunk(ctx, e.Job, e.Chunk)
	}
	if err != nil {
		p.log.WithFields(logrus.Fields{"Job": e.Job, "Chunk": e.Chunk, "Error": err.Error()}).Warn("results not stored")
		p.apply(op.Appended{Job: e.Job, Chunk: e.Chunk, Result: op.Lost})
		return
	}
	next := false
	p.content.with(e.Job, func(c *jobContent) {
		if end.Result == op.Done {
			// The parts are this instance's own texts.
			c.markSaved(chunk.Parts)
			chunk.Parts = nil
		}
		end.Other, next = c.add(e.Chunk, chunk)
	})
	if next {
		p.apply(end)
	}
}

func (p *Process) readChunk(ctx context.Context, job string, n int) (chunkRecord, error) {
	var chunk chunkRecord
	o, err := p.out.Store.Get(ctx, chunkKey(job, n))
	if err != nil {
		return chunk, fmt.Errorf("read results that another owner listed: %w", err)
	}
	if err := json.Unmarshal(o.Value, &chunk); err != nil {
		return chunk, fmt.Errorf("decode results: %w", err)
	}
	return chunk, nil
}

// fit shortens a chunk to what an object may hold. What is left over comes
// with the next one, or not at all if the job has ended.
func fit(c chunkRecord) chunkRecord {
	size := 0
	for i, part := range c.Parts {
		for _, ev := range part.Events {
			size += len(ev)
		}
		if size > chunkBytes/2 && i > 0 {
			c.Parts = c.Parts[:i]
			break
		}
	}
	for i, r := range c.Results {
		size += len(r.Text)
		if size > chunkBytes && i > 0 {
			c.Results = c.Results[:i]
			break
		}
	}
	return c
}

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

// batchAnswer is the answer to a call about a job; status 0 is none.
type batchAnswer struct {
	status int
	body   []byte
	err    error
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
