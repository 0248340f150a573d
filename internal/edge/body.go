package edge

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/catkinhead/catkinhead/internal/budget"
	"github.com/catkinhead/catkinhead/internal/listen"
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// defaultBodyLimit bounds request bodies until a configuration is known, in
	// bytes.
	defaultBodyLimit = 32 << 20
	// jobCopies is how many times the length of its body the submission of a job takes
	// at most: the body, what it decodes to, and the record as it is encoded and sent.
	jobCopies = 8
	// jobItemBytes is what an item takes beside its text, in bytes.
	jobItemBytes = 1 << 10
	// maxBlanks is how many times longer a job may be than its record: the blanks between
	// its fields are not stored.
	maxBlanks = 2
	// bodyRetryAfter is the Retry-After hint if there is no room.
	bodyRetryAfter clock.Millis = 400
)

// openHold returns the hold of the request's workspace on the room for bodies.
func (cr *callerRequest) openHold() *budget.Hold {
	var w unit.Workspace
	cr.p.withState(func(_ clock.Millis, s *State) {
		if s.Table != nil {
			w, _ = s.Table.Workspace(cr.headers.Key)
		}
	})
	ctx := cr.r.Context()
	return cr.p.bodies.Open(w, func() { listen.CloseConnection(ctx) })
}

// readBody reads the body within the configured limit and the room for bodies. If that
// fails, it answers the caller and returns false.
func (cr *callerRequest) readBody() bool {
	limit := cr.p.bodyLimit()
	if most, isJob := cr.jobLimit(); isJob {
		if most < limit && cr.r.ContentLength > most && cr.r.ContentLength <= limit {
			cr.refuseLongJob()
			return false
		}
		limit = min(limit, most)
	}
	body, err := cr.hold.ReadBody(cr.r.Context(), http.MaxBytesReader(cr.w, cr.r.Body, limit), cr.r.ContentLength, limit)
	if err != nil {
		cr.refuseBody(err)
		return false
	}
	cr.body = body
	return true
}

// jobLimit returns the longest job that can be stored, in bytes, and whether the request
// submits one.
func (cr *callerRequest) jobLimit() (most int64, isJob bool) {
	most = math.MaxInt64
	cr.p.withState(func(_ clock.Millis, s *State) {
		if s.Table == nil {
			return
		}
		rule, ok := s.Table.Match(cr.r.Host, cr.r.URL.Path)
		isJob = ok && rule.Repeat == platform.Batch
		if v := int64(s.Environment.Bounds.ValueBytes); v > 0 {
			most = maxBlanks * v
		}
	})
	return most, isJob
}

// refuseLongJob answers the submission of a job that the store cannot take. It reads past
// the body first: a caller that is still writing would lose the answer.
func (cr *callerRequest) refuseLongJob() {
	_, err := io.Copy(io.Discard, cr.r.Body)
	cr.log("job is too long for the store", logrus.Fields{"Length": cr.r.ContentLength, "Error": fmt.Sprint(err)})
	cr.respond(op.Respond{Status: http.StatusRequestEntityTooLarge, Reason: op.BadJob, Outcome: unit.NotRun})
}

// refuseBody answers a request whose body could not be read.
func (cr *callerRequest) refuseBody(err error) {
	cr.log("body not read", logrus.Fields{"Error": err.Error(), "Length": cr.r.ContentLength})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		cr.respond(op.Respond{Status: http.StatusRequestEntityTooLarge, Reason: op.BadJob, Outcome: unit.NotRun})
	case errors.Is(err, budget.ErrNoRoom):
		cr.w.Header().Set("Connection", "close")
		cr.respond(op.Respond{Status: http.StatusServiceUnavailable, Reason: op.Overloaded, Outcome: unit.NotRun, RetryAfter: bodyRetryAfter})
	default:
		cr.w.Header().Set("Connection", "close")
		cr.respond(op.Respond{Status: http.StatusRequestTimeout, Reason: op.BodyIncomplete, Outcome: unit.NotRun})
	}
}

// bodyLimit returns the longest body that is accepted, in bytes.
func (p *Process) bodyLimit() int64 {
	limit := int64(defaultBodyLimit)
	p.withState(func(_ clock.Millis, s *State) {
		if s.Table != nil && s.Table.Limits.BodyBytes > 0 {
			limit = int64(s.Table.Limits.BodyBytes)
		}
	})
	return limit
}
