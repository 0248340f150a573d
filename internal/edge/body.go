package edge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/semaphore"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// defaultBodyLimit bounds request bodies until a configuration is known, in
	// bytes.
	defaultBodyLimit = 32 << 20
	// bodyReadTimeout bounds the time to read a request body. Callers that keep
	// to the configured limits send faster.
	bodyReadTimeout = 10 * time.Second
	// smallBody is the length up to which a body does not count towards the budget,
	// in bytes.
	smallBody = 64 << 10
	// bodyMemoryShare is the part of the process's memory that bodies may take at the
	// same time: one in bodyMemoryShare.
	bodyMemoryShare = 4
	// maxBodyWait is how long a request waits for room for its body.
	maxBodyWait = time.Second
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

// errNoRoom means that the bodies of other requests take the memory for bodies.
var errNoRoom = errors.New("no room for the request's body")

// bodyBudget bounds the memory that the bodies of callers' requests, and those of
// targets' replies that are held back, take at the same time. A request's body stays in memory until its request ends, since it may have to be sent to
// another target. The zero value has no bound.
type bodyBudget struct {
	room *semaphore.Weighted
	// size is the bound in bytes.
	size int64
}

// newBodyBudget returns the budget of a process with a memory limit in bytes, 0 for
// none.
func newBodyBudget(memory int64) bodyBudget {
	if memory <= 0 {
		return bodyBudget{}
	}
	size := memory / bodyMemoryShare
	return bodyBudget{room: semaphore.NewWeighted(size), size: size}
}

// acquire waits for room for a body of n bytes, in the order of the calls, and returns
// a function that gives it back. A body that is larger than the whole budget needs all
// of it. The error is errNoRoom if there is none in time.
func (b bodyBudget) acquire(ctx context.Context, n int64) (release func(), err error) {
	n = min(n, b.size)
	if b.room == nil || n <= smallBody {
		return func() {}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, maxBodyWait)
	defer cancel()
	if err := b.room.Acquire(ctx, n); err != nil {
		return nil, fmt.Errorf("%w of %d bytes: %w", errNoRoom, n, err)
	}
	return func() { b.room.Release(n) }, nil
}

// tryAcquire is acquire without waiting. It returns false if there is no room now.
func (b bodyBudget) tryAcquire(n int64) (release func(), ok bool) {
	n = min(n, b.size)
	if b.room == nil || n <= smallBody {
		return func() {}, true
	}
	if !b.room.TryAcquire(n) {
		return nil, false
	}
	return func() { b.room.Release(n) }, true
}

// readBody reads the body within the configured limit and the budget. If that fails,
// it answers the caller and returns false. release gives the room back.
func (cr *callerRequest) readBody() (release func(), ok bool) {
	limit, copies := cr.p.bodyLimit(), int64(1)
	if most, isJob := cr.jobLimit(); isJob {
		copies = jobCopies
		if most < limit && cr.r.ContentLength > most && cr.r.ContentLength <= limit {
			cr.refuseLongJob()
			return nil, false
		}
		limit = min(limit, most)
	}
	rc := http.NewResponseController(cr.w)
	if cr.r.ContentLength != 0 {
		// Where deadlines are not supported, the server's own timeout applies.
		_ = rc.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	}
	body, release, err := cr.p.bodies.read(cr.r.Context(), http.MaxBytesReader(cr.w, cr.r.Body, limit), bodySize{cr.r.ContentLength, limit, copies})
	if cr.r.ContentLength != 0 {
		_ = rc.SetReadDeadline(time.Time{})
	}
	if err != nil {
		cr.refuseBody(err)
		return nil, false
	}
	cr.body = body
	return release, true
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
	rc := http.NewResponseController(cr.w)
	_ = rc.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	_, err := io.Copy(io.Discard, cr.r.Body)
	_ = rc.SetReadDeadline(time.Time{})
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
	case errors.Is(err, errNoRoom):
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

// bodySize is what is known of the size of a body before it is read.
type bodySize struct {
	// length is that of the body, -1 if it is not known, limit the longest allowed, both
	// in bytes.
	length, limit int64
	// copies is how many times its length the request takes.
	copies int64
}

// read reads a body. One whose length is not known and that turns out not to be small
// needs room for two of the longest.
func (b bodyBudget) read(ctx context.Context, r io.Reader, size bodySize) (body []byte, release func(), err error) {
	if size.length < 0 {
		return b.readUnsized(ctx, r, size)
	}
	if size.length > size.limit {
		return nil, nil, &http.MaxBytesError{Limit: size.limit}
	}
	if release, err = b.acquire(ctx, size.length*size.copies); err != nil {
		return nil, nil, err
	}
	body = make([]byte, size.length)
	if _, err = io.ReadFull(r, body); err != nil {
		release()
		return nil, nil, fmt.Errorf("read body: %w", err)
	}
	return body, release, nil
}

// readUnsized reads a body whose length is not known.
func (b bodyBudget) readUnsized(ctx context.Context, r io.Reader, size bodySize) (body []byte, release func(), err error) {
	if body, err = io.ReadAll(io.LimitReader(r, smallBody)); err != nil {
		return nil, nil, fmt.Errorf("read body: %w", err)
	}
	if len(body) < smallBody {
		return body, func() {}, nil
	}
	// A buffer that grows is copied.
	if release, err = b.acquire(ctx, size.limit*max(size.copies, 2)); err != nil {
		return nil, nil, err
	}
	rest, err := io.ReadAll(r)
	if err != nil {
		release()
		return nil, nil, fmt.Errorf("read body: %w", err)
	}
	return append(body, rest...), release, nil
}
