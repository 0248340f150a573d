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
	// acceptTimeout is how long a submission is tried before its caller is told
	// to ask again.
	acceptTimeout = 2 * clock.Second
	// directOwnTimeout is how long the write of a job may take so that its writer owns
	// the job: a caller that hears nothing submits it again elsewhere after a
	// second, and another instance may then work on it.
	directOwnTimeout clock.Millis = 500
	// acceptRetryPause is the pause between tries of a submission.
	acceptRetryPause = 150 * time.Millisecond
	// jobRetryAfter hints when to submit a job again that was not taken.
	jobRetryAfter clock.Millis = 400
)

// acceptJob reads a submitted job, stores it and answers.
func (cr *callerRequest) acceptJob(e op.TakeJob) {
	job, err := cr.p.deps.Ingress.Job(string(cr.head.Attempt), cr.body)
	if err != nil || job.ID == "" || strings.Contains(job.ID, "/") {
		cr.log("job is not readable", logrus.Fields{"Error": fmt.Sprint(err)})
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
		own := created && tries == 1 && cr.p.clock.Now()-startedAt < directOwnTimeout
		cr.answerAccepted(created, own, record, job)
	case notRun(err):
		cr.log("job not stored", logrus.Fields{"Error": err.Error()})
		cr.respond(op.Respond{Status: http.StatusServiceUnavailable, Reason: op.NotStored, Outcome: unit.NotRun, RetryAfter: jobRetryAfter})
	default:
		// The write may still take effect, so nothing is promised.
		cr.log("job perhaps stored", logrus.Fields{"Error": err.Error()})
		cr.respond(op.Respond{Status: http.StatusGatewayTimeout, Reason: op.NotStored, Outcome: unit.Unknown, RetryAfter: jobRetryAfter})
	}
}

// answerAccepted answers a submission that stands in the store, and owns the job if
// no other instance can have heard of it yet. Else whoever ranks first claims it.
func (cr *callerRequest) answerAccepted(created, own bool, record jobRecord, job platform.Job) {
	if own {
		c := newJobContent(record, job)
		c.epoch, c.claimed = 1, true
		cr.p.ownNewJob(cr.r.Context(), c)
	} else {
		cr.p.apply(op.JobSeen{Job: job.ID})
	}
	cr.w.Header().Set("Content-Length", "0")
	cr.w.WriteHeader(http.StatusAccepted)
	cr.p.observeDuration("catkinhead_request_seconds", "outcome", "JobAccepted", cr.startedAt)
	cr.log("job accepted", logrus.Fields{
		"Job": job.ID, "Step": job.Step, "Model": job.Model, "MinVersion": job.MinVersion, "Items": len(job.Items),
		"WantGroups": job.WantGroups, "Repeated": !created, "Own": own,
	})
}

// storeJob writes a job's record. It returns false if it stood there already,
// and how many tries that took.
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

// wroteRecord tells whether the job that stands in the store is the one of our write,
// whose answer was lost; else another instance took the job in.
func (p *Process) wroteRecord(ctx context.Context, key string, own jobRecord) (bool, error) {
	o, err := p.deps.Store.Get(ctx, key)
	if err != nil {
		return false, fmt.Errorf("read back: %w", err)
	}
	var stored jobRecord
	if err := json.Unmarshal(o.Value, &stored); err != nil {
		return false, fmt.Errorf("decode job: %w", err)
	}
	return stored.Writer == own.Writer && stored.Try == own.Try, nil
}

// notRun tells whether a call certainly had no effect.
func notRun(err error) bool {
	var f *platform.Failure
	return errors.As(err, &f) && f.Outcome == unit.NotRun
}
