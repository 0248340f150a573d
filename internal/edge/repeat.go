package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
)

// A trainer may submit items of a job again, in a later job of the series, before the
// end of the earlier one has arrived. Only the later job runs them then. The owner of
// the earlier job learns of it from the instance that accepts the later one
// (localKeptTexts). If that does not reach it, or if the earlier job has got another
// owner, it compares the jobs of the series itself.

const (
	// comparePause is the pause between attempts to read a job that is to be compared.
	comparePause = 500 * time.Millisecond
	// maxCompareTries is how often such a job is read at most.
	maxCompareTries = 20
	// maxLaterJobs is how many jobs of a series are compared before a job that is taken
	// over starts: the newest ones. A series may have several trainers.
	maxLaterJobs = 16
)

// compareSeries asks to compare the open jobs of this instance with the jobs of their
// series that it has learned of since it last asked.
func (s *State) compareSeries(out *op.List) {
	for _, id := range slices.Sorted(maps.Keys(s.Batch.Jobs)) {
		j := s.Batch.Jobs[id]
		if j.Series == 0 || j.Ending || j.Closed() {
			continue
		}
		all := s.Heartbeats.SeriesJobs(j.Series)
		for _, other := range all[min(j.Compared, len(all)):] {
			if other != id {
				out.Add(op.CompareJobs{Job: id, Other: other})
			}
		}
		j.Compared = len(all)
	}
}

// compareJobs tells the reducer which items of a job are run by another job of its
// series. It tries again until the other job could be read, as long as this instance
// owns the job.
func (p *Process) compareJobs(ctx context.Context, e op.CompareJobs) {
	for range maxCompareTries {
		other, err := p.findJob(ctx, e.Other)
		if err == nil || errors.Is(err, platform.ErrNotFound) {
			p.applyRepeated(e.Job, other)
			return
		}
		p.log.WithFields(logrus.Fields{"Job": e.Job, "Other": e.Other, "Error": err.Error()}).Info("jobs of a series not compared")
		if !p.contents.withJob(e.Job, func(*jobContent) {}) {
			return
		}
		select {
		case <-time.After(comparePause):
		case <-ctx.Done():
			return
		}
	}
}

// applyRepeated tells the reducer which items of an owned job another job runs.
func (p *Process) applyRepeated(job string, other platform.Job) {
	repeated := op.ItemsRepeated{Job: job, Later: other.ID}
	p.contents.withJob(job, func(c *jobContent) { repeated.Items = c.repeatedBy(other) })
	if len(repeated.Items) > 0 {
		p.apply(repeated)
	}
}

// repeatedBy returns the positions of the items that another job of the series has
// too, if that job is of a later step.
func (j *jobContent) repeatedBy(other platform.Job) []int {
	if other.Step <= j.job.Step {
		return nil
	}
	ids := make([]string, len(other.Items))
	for i, it := range other.Items {
		ids[i] = it.ID
	}
	return j.positions(ids)
}

// findJob returns a job from memory, or from the store. The error wraps
// platform.ErrNotFound if there is no such job.
func (p *Process) findJob(ctx context.Context, id string) (platform.Job, error) {
	var job platform.Job
	if p.contents.withJob(id, func(c *jobContent) { job = c.job }) {
		return job, nil
	}
	_, job, err := p.readJob(ctx, id)
	return job, err
}

// readJob reads a job from the store, without its results. The error wraps
// platform.ErrNotFound if there is no such job.
func (p *Process) readJob(ctx context.Context, id string) (jobRecord, platform.Job, error) {
	var record jobRecord
	o, err := p.deps.Store.Get(ctx, jobsKind+"/"+id)
	if err != nil {
		return record, platform.Job{}, fmt.Errorf("read job: %w", err)
	}
	if err := json.Unmarshal(o.Value, &record); err != nil {
		return record, platform.Job{}, fmt.Errorf("decode job: %w", err)
	}
	job, err := p.deps.Ingress.Job(id, record.Body)
	if err != nil {
		return record, job, fmt.Errorf("decode stored job: %w", err)
	}
	return record, job, nil
}

// markRepeated adds to a job that is being taken over which of its items later jobs
// run, so that they are not started first. Jobs beyond maxLaterJobs, and those that
// cannot be read now, are compared once this instance owns the job.
func (p *Process) markRepeated(ctx context.Context, c *jobContent, gained *op.JobOwnershipGained) {
	var all []string
	p.withState(func(_ clock.Millis, s *State) { all = s.Heartbeats.SeriesJobs(c.series()) })
	gained.Compared = slices.Index(all, c.job.ID) + 1
	first := max(gained.Compared, len(all)-maxLaterJobs)
	if first == gained.Compared {
		gained.Compared = len(all)
	}
	for n, id := range all[first:] {
		other, err := p.findJob(ctx, id)
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			p.log.WithFields(logrus.Fields{"Job": c.job.ID, "Other": id, "Error": err.Error()}).Info("jobs of a series not compared")
			gained.Compared = min(gained.Compared, first+n)
			return
		}
		gained.Repeated = append(gained.Repeated, c.repeatedBy(other)...)
	}
}
