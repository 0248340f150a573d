package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/sirupsen/logrus"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
)

const (
	// jobsKind holds a record for each job; chunksKind and the job's id name
	// the kind of its chunks.
	jobsKind   = "jobs"
	chunksKind = "results-"
	// chunkBytes bounds the texts of a chunk; the store's limit is a megabyte,
	// and JSON adds to the text.
	chunkBytes = 600 << 10
	// recentJobAge is up to which age a job is worked on after a start of the whole
	// fleet although nobody asked for it. Others are taken up when they are
	// read.
	recentJobAge = 30 * clock.Second
)

func chunkKey(job string, n int) string { return fmt.Sprintf("%s%s/%06d", chunksKind, job, n) }

// loadJob reads a job and its chunks from the store.
func (p *Process) loadJob(ctx context.Context, id string) (*jobContent, []op.ChunkShape, error) {
	o, err := p.deps.Store.Get(ctx, jobsKind+"/"+id)
	if err != nil {
		return nil, nil, fmt.Errorf("read job: %w", err)
	}
	var record jobRecord
	if err := json.Unmarshal(o.Value, &record); err != nil {
		return nil, nil, fmt.Errorf("decode job: %w", err)
	}
	job, err := p.deps.Ingress.Job(id, record.Body)
	if err != nil {
		return nil, nil, fmt.Errorf("decode stored job: %w", err)
	}
	objects, _, err := p.deps.Store.ListKind(ctx, chunksKind+id)
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
		shape, _ := c.addChunk(n, chunk)
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
	if !p.contents.put(e.Job, c) {
		return
	}
	shape := c.shape()
	shape.Age = p.clock.Wall() - clock.Millis(c.record.SubmittedAt)
	p.log.WithFields(logrus.Fields{
		"Job": e.Job, "From": e.From, "Epoch": c.epoch, "Listed": len(c.results), "Items": len(shape.Items),
		"Kept": len(c.lastKeptEvents()), "AgeMillis": shape.Age,
	}).Info("job taken over")
	p.apply(op.JobTaken{Shape: shape, Epoch: c.epoch, Chunks: chunks, Saved: c.lastKeptEvents()})
}

// listJobs finds the jobs that no instance may know of.
func (p *Process) listJobs(ctx context.Context) {
	objects, _, err := p.deps.Store.ListKind(ctx, jobsKind)
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
		if now-clock.Millis(record.SubmittedAt) < recentJobAge {
			found.Jobs = append(found.Jobs, objectName(o))
		}
	}
	p.log.WithFields(logrus.Fields{"Jobs": len(objects), "Recent": len(found.Jobs)}).Info("jobs listed")
	p.apply(found)
}

// appendChunk creates the next chunk of a job's results.
func (p *Process) appendChunk(ctx context.Context, e op.AppendChunk) {
	var chunk chunkRecord
	if !p.contents.withJob(e.Job, func(c *jobContent) { chunk = c.buildChunk(e) }) {
		return
	}
	chunk = fitChunk(chunk)
	chunk.Owner = p.site.Instance
	value, err := json.Marshal(chunk)
	if err != nil {
		p.log.WithFields(logrus.Fields{"Job": e.Job, "Error": err.Error()}).Error("results not encoded")
		return
	}
	_, err = p.deps.Store.Put(ctx, chunkKey(e.Job, e.Chunk), value, 0)
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
	p.contents.withJob(e.Job, func(c *jobContent) {
		if end.Result == op.Done {
			// The parts are this instance's own texts.
			c.markSaved(chunk.Parts)
			chunk.Parts = nil
		}
		end.Other, next = c.addChunk(e.Chunk, chunk)
	})
	if next {
		p.apply(end)
	}
}

func (p *Process) readChunk(ctx context.Context, job string, n int) (chunkRecord, error) {
	var chunk chunkRecord
	o, err := p.deps.Store.Get(ctx, chunkKey(job, n))
	if err != nil {
		return chunk, fmt.Errorf("read results that another owner listed: %w", err)
	}
	if err := json.Unmarshal(o.Value, &chunk); err != nil {
		return chunk, fmt.Errorf("decode results: %w", err)
	}
	return chunk, nil
}

// fitChunk shortens a chunk to what an object may hold. What is left over comes
// with the next one, or not at all if the job has ended.
func fitChunk(c chunkRecord) chunkRecord {
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

// jobAnswer is the answer to a call about a job; status 0 is none.
type jobAnswer struct {
	status int
	body   []byte
	err    error
}
