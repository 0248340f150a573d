package edge

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// Jobs that run ahead: while the store does not take a submitted job, its items
// run already. Once the job is in the store, whoever wrote it, the instance that
// ran ahead claims it and lists what is complete. A caller is told that a job is
// accepted only when it is stored, and until then never that it has not run.

const (
	// aheadEpoch is the owner epoch under which an instance claims a job that it ran
	// ahead. It is higher than those of the instance that stored the job and of a
	// first takeover, which have fewer texts.
	aheadEpoch unit.Epoch = 3
	// maxAheadTime is how long a job runs ahead at most. Trainers submit a job again
	// for about that long, with attempts of a second or two each.
	maxAheadTime = 12 * clock.Second
	// maxAheadJobs is how many jobs an instance runs ahead at the same time. Their
	// contents are kept in memory.
	maxAheadJobs = 8
)

// errNotStored means that the attempts to store a job have not succeeded yet.
var errNotStored = errors.New("job is not stored yet")

// runAhead starts the items of a job that could not be stored at the first
// attempt, and goes on storing it for maxAheadTime. The channel is closed once the
// job is stored. It is nil if the job is known to be stored, if this instance or a
// peer runs it already, if this instance is stopping, or if too many jobs run ahead.
func (p *Process) runAhead(ctx context.Context, w *jobWrite) <-chan struct{} {
	known := false
	p.withState(func(_ clock.Millis, s *State) { known = s.Heartbeats.Known(w.job.ID) })
	if known || p.stopping.Load() || p.runsAhead(w.job.ID) || p.contents.countUnclaimed(aheadEpoch) >= maxAheadJobs {
		return nil
	}
	c := newJobContent(w.record, w.job)
	c.epoch = aheadEpoch
	if !p.ownNewJob(ctx, c, true) {
		return nil
	}
	until := p.clock.Now() + maxAheadTime
	p.log.WithFields(logrus.Fields{"Job": w.job.ID, "Items": len(w.job.Items)}).Info("job runs ahead: the store has not taken it")
	stored := make(chan struct{})
	p.tasks.Go(func(ctx context.Context) {
		if err := w.retry(ctx, until, errNotStored); err != nil {
			p.log.WithFields(logrus.Fields{"Job": w.job.ID, "Tries": w.tries, "Error": err.Error()}).Warn("job that ran ahead was not stored")
			p.apply(op.JobNotStored{Job: w.job.ID})
			return
		}
		p.log.WithFields(logrus.Fields{"Job": w.job.ID, "Tries": w.tries, "Created": w.created}).Info("job that ran ahead is stored")
		p.apply(op.JobStored{Job: w.job.ID})
		close(stored)
	})
	return stored
}

// runsAhead reports whether this instance or a live peer runs a job ahead of its
// storage.
func (p *Process) runsAhead(job string) bool {
	ahead := false
	p.withState(func(now clock.Millis, s *State) {
		if j := s.Batch.Jobs[job]; j != nil && j.Ahead {
			ahead = true
			return
		}
		_, ahead = s.Heartbeats.AheadOwner(now, job)
	})
	return ahead
}

// awaitStored waits until a job that runs ahead is stored, until a time has come
// or ctx ends.
func (p *Process) awaitStored(ctx context.Context, stored <-chan struct{}, until clock.Millis) error {
	timer := time.NewTimer((until - p.clock.Now()).Duration())
	defer timer.Stop()
	select {
	case <-stored:
		return nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return errNotStored
}
