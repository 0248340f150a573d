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
	// jobsKind is the kind of the stored jobs. chunksKind and a job's ID form the
	// kind of the chunks of its results.
	jobsKind   = "jobs"
	chunksKind = "results-"
	// maxChunkBytes bounds the texts in a chunk. The store's limit for an object
	// is a megabyte, and JSON adds to the texts.
	maxChunkBytes = 600 << 10
	// recentJobAge is the age up to which a job gets an owner after a restart of
	// the whole fleet without waiting for a call about it. Older jobs get one
	// when a caller reads them.
	recentJobAge = 30 * clock.Second
)

const (
	// loadCopies is how many times the size of the largest object a job takes that is being
	// read from the store.
	loadCopies = 4
	// defaultLoads is how many jobs are read at once if no memory limit is known.
	defaultLoads = 16
)

// chunkKey returns the key of a chunk of a job's results.
func chunkKey(job string, n int) string { return fmt.Sprintf("%s%s/%06d", chunksKind, job, n) }

// loadJob reads a job and its chunks from the store. The error wraps
// platform.ErrNotFound if there is no such job.
func (p *Process) loadJob(ctx context.Context, id string) (*jobContent, []op.ChunkShape, error) {
	record, job, err := p.readJob(ctx, id)
	if err != nil {
		return nil, nil, err
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
			return nil, nil, fmt.Errorf("results object %s found where chunk %d was expected", o.Key, n)
		}
		shape, _ := c.addChunk(n, chunk)
		shapes = append(shapes, shape)
	}
	return c, shapes, nil
}

// takeOverJob makes this instance the owner of a stored job, under a higher
// epoch than any owner before. A job that has ended needs no owner; one whose
// results are complete needs one only if e.Force is set.
func (p *Process) takeOverJob(ctx context.Context, e op.TakeOverJob) {
	c, chunks, err := p.loadJob(ctx, e.Job)
	if errors.Is(err, platform.ErrNotFound) {
		p.apply(op.JobMissing{Job: e.Job})
	}
	if err != nil {
		p.log.WithFields(logrus.Fields{"Job": e.Job, "From": e.From, "Error": err.Error()}).Warn("job not taken over")
		return
	}
	if c.ended || len(c.results) == len(c.job.Items) && !e.Force {
		p.apply(op.JobClosed{Job: e.Job})
		return
	}
	c.epoch = e.Epoch
	for _, chunk := range chunks {
		c.epoch = max(c.epoch, chunk.Epoch)
	}
	// Epoch 1 is that of the instance that accepted the job.
	c.epoch = max(c.epoch, 1) + 1
	shape := c.shape()
	shape.Age = p.clock.Wall() - clock.Millis(c.record.SubmittedAt)
	gained := op.JobOwnershipGained{Shape: shape, Epoch: c.epoch, Chunks: chunks}
	p.markRepeated(ctx, c, &gained)
	if !p.contents.put(e.Job, c) {
		return
	}
	p.log.WithFields(logrus.Fields{
		"Job": e.Job, "From": e.From, "Epoch": c.epoch, "Listed": len(c.results), "Items": len(shape.Items),
		"Kept": len(c.lastKeptEvents()), "Repeated": len(gained.Repeated), "AgeMillis": shape.Age,
	}).Info("job taken over")
	gained.Saved = c.lastKeptEvents()
	gained.Whole, gained.Scored = c.wholeItems()
	p.apply(gained)
}

// listJobs lists the stored jobs that are recent. After a restart of the whole
// fleet it is possible that no instance knows them.
func (p *Process) listJobs(ctx context.Context) {
	found, jobs, now := op.JobsListed{Result: op.Done}, 0, p.clock.Wall()
	err := p.deps.Store.WalkKind(ctx, jobsKind, func(o platform.Object) {
		jobs++
		var record struct{ SubmittedAt int64 }
		if err := json.Unmarshal(o.Value, &record); err != nil {
			p.log.WithFields(logrus.Fields{"Object": o.Key, "Error": err.Error()}).Error("stored job could not be decoded")
			return
		}
		if now-clock.Millis(record.SubmittedAt) < recentJobAge {
			found.Jobs = append(found.Jobs, objectName(o))
		}
	})
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		p.log.WithField("Error", err.Error()).Warn("jobs not listed")
		p.apply(op.JobsListed{Result: op.Lost})
		return
	}
	p.log.WithFields(logrus.Fields{"Jobs": jobs, "Recent": len(found.Jobs)}).Info("jobs listed")
	p.apply(found)
}

// jobAnswer is the answer to a call about a job. Status 0 means that there is
// no answer; err is the reason for a status 503 of this instance.
type jobAnswer struct {
	status int
	body   []byte
	err    error
}
