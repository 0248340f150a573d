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
	// acceptWithin is how long a submission is tried before its caller is told
	// to ask again.
	acceptWithin = 2 * clock.Second
	// ownWithin is how long the write of a job may take so that its writer owns
	// the job: a caller that hears nothing submits it again elsewhere after a
	// second, and another instance may then work on it.
	ownWithin clock.Millis = 500
	// acceptPause is the pause between tries of a submission.
	acceptPause = 150 * time.Millisecond
	// retryJob hints when to submit a job again that was not taken.
	retryJob clock.Millis = 400
)

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
	began := f.p.clock.Now()
	switch created, tries, err := f.p.storeJob(f.r.Context(), record, job); {
	case err == nil:
		own := created && tries == 1 && f.p.clock.Now()-began < ownWithin
		f.accepted(created, own, record, job)
	case notRun(err):
		f.log("job not stored", logrus.Fields{"Error": err.Error()})
		f.respond(op.Respond{Status: http.StatusServiceUnavailable, Reason: op.NotStored, Outcome: unit.NotRun, RetryAfter: retryJob})
	default:
		// The write may still take effect, so nothing is promised.
		f.log("job perhaps stored", logrus.Fields{"Error": err.Error()})
		f.respond(op.Respond{Status: http.StatusGatewayTimeout, Reason: op.NotStored, Outcome: unit.Unknown, RetryAfter: retryJob})
	}
}

// accepted answers a submission that stands in the store, and owns the job if
// no other instance can have heard of it yet. Else whoever ranks first claims it.
func (f *front) accepted(created, own bool, record jobRecord, job platform.Job) {
	if own {
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
	until := p.clock.Now() + acceptWithin
	unknown := false
	for {
		tries++
		_, err = p.out.Store.Put(ctx, key, value, 0)
		switch {
		case err == nil:
			return true, tries, nil
		case errors.Is(err, platform.ErrConflict) && !unknown:
			return false, tries, nil
		case errors.Is(err, platform.ErrConflict):
			var ours bool
			if ours, err = p.wrote(ctx, key, record); err == nil {
				return ours, tries, nil
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
		return false, tries, fmt.Errorf("an earlier write may have taken effect: %s", err)
	}
	return false, tries, fmt.Errorf("store job: %w", err)
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
