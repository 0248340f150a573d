package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// jobWrite is the write of a job's record, which may take several attempts.
type jobWrite struct {
	p      *Process
	job    platform.Job
	record jobRecord
	value  []byte
	// tries counts the attempts. maybeWritten is set once one of them may have taken
	// effect although it failed. created is set if the record in the store is that
	// of this write, and not of another submission of the job.
	tries        int
	maybeWritten bool
	created      bool
}

// newJobWrite returns the write of a job's record.
func (p *Process) newJobWrite(record jobRecord, job platform.Job) (*jobWrite, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return nil, fmt.Errorf("encode job: %w", err)
	}
	return &jobWrite{p: p, job: job, record: record, value: value}, nil
}

// try makes an attempt. If it returns nil, the job is in the store. If notRun is
// false for the error, the record may have been stored.
func (w *jobWrite) try(ctx context.Context) error {
	w.tries++
	key := jobsKind + "/" + w.job.ID
	_, err := w.p.deps.Store.Put(ctx, key, w.value, 0)
	switch {
	case err == nil:
		w.created = true
		return nil
	case errors.Is(err, platform.ErrConflict) && !w.maybeWritten:
		return nil
	case errors.Is(err, platform.ErrConflict):
		if w.created, err = w.p.wroteRecord(ctx, key, w.record); err == nil {
			return nil
		}
	}
	w.maybeWritten = w.maybeWritten || !notRun(err)
	if w.maybeWritten && notRun(err) {
		return fmt.Errorf("an earlier write may have taken effect: %s", err)
	}
	return fmt.Errorf("store job: %w", err)
}

// retry makes further attempts until one succeeds, until a time has come or ctx
// ends.
func (w *jobWrite) retry(ctx context.Context, until clock.Millis, err error) error {
	for err != nil && w.p.clock.Now() < until && ctx.Err() == nil {
		select {
		case <-time.After(acceptRetryPause):
			err = w.try(ctx)
		case <-ctx.Done():
		}
	}
	return err
}

// wroteRecord reports whether the stored job record was written by this
// submission, which had a write without an answer. If it was not, another
// submission has created the job.
func (p *Process) wroteRecord(ctx context.Context, key string, own jobRecord) (bool, error) {
	o, err := p.deps.Store.Get(ctx, key)
	if err != nil {
		return false, fmt.Errorf("read stored job: %w", err)
	}
	var stored jobRecord
	if err := json.Unmarshal(o.Value, &stored); err != nil {
		return false, fmt.Errorf("decode job: %w", err)
	}
	return stored.Writer == own.Writer && stored.Try == own.Try, nil
}

// notRun reports whether a failed call certainly had no effect.
func notRun(err error) bool {
	var f *platform.Failure
	return errors.As(err, &f) && f.Outcome == unit.NotRun
}
