package edge

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/catkinhead/catkinhead/internal/budget"
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
	// maxNameBytes is the longest name of a job or a model, in bytes.
	maxNameBytes = 128
	// maxOwnedJobs is the most jobs of an instance, since each stands in its heartbeats.
	maxOwnedJobs = 300
	// jobRetryAfter is the Retry-After hint if a submission or a call about a job
	// fails.
	jobRetryAfter clock.Millis = 400
)

// acceptJob decodes a submitted job, stores it and answers the caller. While there is no
// room for it in memory, it refuses the job.
func (cr *callerRequest) acceptJob(e op.AcceptJob) {
	release, err := cr.roomForJob(e.Workspace)
	if err != nil {
		cr.log("no room for a job", logrus.Fields{"Error": err.Error(), "Length": len(cr.body)})
		cr.respond(op.Respond{Status: http.StatusServiceUnavailable, Reason: op.Overloaded, Outcome: unit.NotRun, RetryAfter: jobRetryAfter})
		return
	}
	defer release()
	job, err := cr.p.deps.Ingress.Job(string(cr.headers.Attempt), cr.body)
	if err == nil {
		err = checkNames(job)
	}
	if err != nil {
		cr.log("submitted job could not be decoded", logrus.Fields{"Error": err.Error()})
		cr.respond(op.Respond{Status: http.StatusBadRequest, Reason: op.BadJob, Outcome: unit.NotRun})
		return
	}
	record := jobRecord{
		Workspace: e.Workspace, Route: e.Rule.Name, Host: cr.r.Host,
		SubmittedAt: int64(cr.p.clock.Wall()), Body: cr.body, Writer: cr.p.state.Self, Try: cr.id,
	}
	startedAt := cr.p.clock.Now()
	write, err := cr.p.newJobWrite(record, job)
	if err != nil {
		cr.log("submitted job could not be encoded", logrus.Fields{"Error": err.Error()})
		cr.respond(op.Respond{Status: http.StatusBadRequest, Reason: op.BadJob, Outcome: unit.NotRun})
		return
	}
	if most := cr.p.environment.Bounds.ValueBytes; most > 0 && len(write.value) > most {
		cr.log("job is too long for the store", logrus.Fields{"Length": len(write.value)})
		cr.respond(op.Respond{Status: http.StatusRequestEntityTooLarge, Reason: op.BadJob, Outcome: unit.NotRun})
		return
	}
	ctx := cr.r.Context()
	var stored <-chan struct{}
	if err = write.try(ctx); err != nil {
		if stored = cr.p.runAhead(ctx, write); stored != nil {
			err = cr.p.awaitStored(ctx, stored, startedAt+acceptTimeout)
		} else {
			err = write.retry(ctx, startedAt+acceptTimeout, err)
		}
	}
	ahead := stored != nil
	switch {
	case err == nil:
		quick := write.tries == 1 && cr.p.clock.Now()-startedAt < directOwnTimeout && !cr.p.stopping.Load()
		cr.answerAccepted(quick && write.created && !cr.p.runsAhead(job.ID), ahead, write)
	case notRun(err) && !ahead && !cr.p.runsAhead(job.ID):
		cr.log("job not stored", logrus.Fields{"Error": err.Error()})
		cr.respond(op.Respond{Status: http.StatusServiceUnavailable, Reason: op.NotStored, Outcome: unit.NotRun, RetryAfter: jobRetryAfter})
	default:
		// The write may still take effect, or items run ahead, so the outcome is
		// unknown.
		cr.log("unknown whether the job was stored", logrus.Fields{"Error": err.Error(), "Ahead": ahead})
		cr.respond(op.Respond{Status: http.StatusGatewayTimeout, Reason: op.NotStored, Outcome: unit.Unknown, RetryAfter: jobRetryAfter})
	}
}

// errBadName means that a job's name or that of a model cannot be used.
var errBadName = errors.New("name is empty, too long or has a slash")

// checkNames returns an error unless a job's names fit into heartbeats.
func checkNames(j platform.Job) error {
	if j.ID == "" || len(j.ID) > maxNameBytes || strings.Contains(j.ID, "/") {
		return fmt.Errorf("job %.40q: %w", j.ID, errBadName)
	}
	for _, it := range j.Items {
		if len(it.Model) > maxNameBytes {
			return fmt.Errorf("model %.40q: %w", it.Model, errBadName)
		}
	}
	return nil
}

// roomForJob waits for room for what a job takes beside its body while it is decoded and
// stored, and returns a function that gives it back.
func (cr *callerRequest) roomForJob(w unit.Workspace) (release func(), err error) {
	if cr.p.contents.full(w) {
		return nil, fmt.Errorf("%w: open jobs take too much memory", budget.ErrNoRoom)
	}
	hold := cr.p.work.Open("", nil)
	// Each item is an object of its own.
	items := int64(bytes.Count(cr.body, []byte("{")))
	if err := hold.Grow(cr.r.Context(), int64(len(cr.body))*(jobCopies-1)+items*jobItemBytes); err != nil {
		hold.Close()
		return nil, fmt.Errorf("decode job: %w", err)
	}
	// Others may have been accepted meanwhile.
	if cr.p.contents.full(w) {
		hold.Close()
		return nil, fmt.Errorf("%w: open jobs take too much memory by now", budget.ErrNoRoom)
	}
	return hold.Close, nil
}

// answerAccepted answers the submission of a job that is in the store. This
// instance becomes the job's owner if ownDirectly is set, which means that no
// other instance can know of the job yet. If its items run ahead, the instance
// that runs them claims the job. Else the live instance that ranks first for the
// job takes it over, unless the job has an owner (see package heartbeat).
func (cr *callerRequest) answerAccepted(ownDirectly, ahead bool, write *jobWrite) {
	job := write.job
	switch {
	case ahead:
	case ownDirectly:
		c := newJobContent(write.record, job)
		c.epoch, c.claimed = 1, true
		cr.p.ownNewJob(cr.r.Context(), c, false)
	default:
		cr.p.apply(op.StoredJobFound{Job: job.ID})
	}
	cr.w.Header().Set("Content-Length", "0")
	cr.writeStatus(http.StatusAccepted)
	cr.p.observeDuration("catkinhead_request_seconds", "outcome", "JobAccepted", cr.startedAt)
	cr.log("job accepted", logrus.Fields{
		"Job": job.ID, "Step": job.Step, "Model": job.Model, "MinVersion": job.MinVersion, "Items": len(job.Items),
		"WantGroups": job.WantGroups, "Repeated": !write.created, "Own": ownDirectly, "Ahead": ahead,
	})
}
