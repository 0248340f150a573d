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
	// acceptTimeout bounds the attempts to store a submitted job. After that the
	// caller is told to submit the job again.
	acceptTimeout = 2 * clock.Second
	// directOwnTimeout bounds the time that storing a job may take if this
	// instance is to become its owner without a claim (see jobContent). A caller
	// that has no answer after a second submits the job to another instance, which
	// may then run it.
	directOwnTimeout clock.Millis = 500
	// acceptRetryPause is the pause between attempts to store a job.
	acceptRetryPause = 150 * time.Millisecond
	// jobRetryAfter is the Retry-After hint if a submission or a call about a job
	// fails.
	jobRetryAfter clock.Millis = 400
)

// acceptJob decodes a submitted job, stores it and answers the caller.
func (cr *callerRequest) acceptJob(e op.AcceptJob) {
	job, err := cr.p.deps.Ingress.Job(string(cr.headers.Attempt), cr.body)
	if err != nil || job.ID == "" || strings.Contains(job.ID, "/") {
		cr.log("submitted job could not be decoded", logrus.Fields{"Error": fmt.Sprint(err)})
		cr.respond(op.Respond{Status: http.StatusBadRequest, Reason: op.BadJob, Outcome: unit.NotRun})
		return
	}
	record := jobRecord{
		Workspace: e.Workspace, Route: e.Rule.Name, Pool: e.Rule.Split[0].Pool, Host: cr.r.Host,
		SubmittedAt: int64(cr.p.clock.Wall()), Body: cr.body, Writer: cr.p.state.Self, Try: cr.id,
	}
	startedAt := cr.p.clock.Now()
	switch created, tries, err := cr.p.storeJob(cr.r.Context(), record, job); {
	case err == nil:
		ownDirectly := created && tries == 1 && cr.p.clock.Now()-startedAt < directOwnTimeout
		cr.answerAccepted(created, ownDirectly, record, job)
	case notRun(err):
		cr.log("job not stored", logrus.Fields{"Error": err.Error()})
		cr.respond(op.Respond{Status: http.StatusServiceUnavailable, Reason: op.NotStored, Outcome: unit.NotRun, RetryAfter: jobRetryAfter})
	default:
		// The write may still take effect, so the outcome is unknown.
		cr.log("unknown whether the job was stored", logrus.Fields{"Error": err.Error()})
		cr.respond(op.Respond{Status: http.StatusGatewayTimeout, Reason: op.NotStored, Outcome: unit.Unknown, RetryAfter: jobRetryAfter})
	}
}

// answerAccepted answers the submission of a job that is in the store. This
// instance becomes the job's owner if ownDirectly is set, which means that no
// other instance can know of the job yet. Else the live instance that ranks first
// for the job takes it over, unless the job has an owner (see package heartbeat).
func (cr *callerRequest) answerAccepted(created, ownDirectly bool, record jobRecord, job platform.Job) {
	if ownDirectly {
		c := newJobContent(record, job)
		c.epoch, c.claimed = 1, true
		cr.p.ownNewJob(cr.r.Context(), c)
	} else {
		cr.p.apply(op.StoredJobFound{Job: job.ID})
	}
	cr.w.Header().Set("Content-Length", "0")
	cr.w.WriteHeader(http.StatusAccepted)
	cr.p.observeDuration("catkinhead_request_seconds", "outcome", "JobAccepted", cr.startedAt)
	cr.log("job accepted", logrus.Fields{
		"Job": job.ID, "Step": job.Step, "Model": job.Model, "MinVersion": job.MinVersion, "Items": len(job.Items),
		"WantGroups": job.WantGroups, "Repeated": !created, "Own": ownDirectly,
	})
}

// storeJob writes a job's record, with retries. It returns whether this call
// created the record, which is false if another submission has, and the number
// of attempts. If notRun is false for the error, the record may have been stored.
func (p *Process) storeJob(ctx context.Context, record jobRecord, job platform.Job) (created bool, tries int, err error) {
	value, err := json.Marshal(record)
	if err != nil {
		return false, 0, fmt.Errorf("encode job: %w", err)
	}
	key := jobsKind + "/" + job.ID
	giveUpAt := p.clock.Now() + acceptTimeout
	maybeWritten := false
	for {
		tries++
		_, err = p.deps.Store.Put(ctx, key, value, 0)
		switch {
		case err == nil:
			return true, tries, nil
		case errors.Is(err, platform.ErrConflict) && !maybeWritten:
			return false, tries, nil
		case errors.Is(err, platform.ErrConflict):
			var ours bool
			if ours, err = p.wroteRecord(ctx, key, record); err == nil {
				return ours, tries, nil
			}
		}
		maybeWritten = maybeWritten || !notRun(err)
		if p.clock.Now() >= giveUpAt || ctx.Err() != nil {
			break
		}
		select {
		case <-time.After(acceptRetryPause):
		case <-ctx.Done():
		}
	}
	if maybeWritten && notRun(err) {
		return false, tries, fmt.Errorf("an earlier write may have taken effect: %s", err)
	}
	return false, tries, fmt.Errorf("store job: %w", err)
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
