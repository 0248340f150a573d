package platform

import (
	"net/http"

	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// RequestHeaders holds the decoded headers of a caller's request.
type RequestHeaders struct {
	// Attempt is the caller's ID of this attempt.
	Attempt unit.Request
	// Left is the time until the caller's deadline; 0 if it set none.
	Left clock.Millis
	Key  string
	// Wait is how long a read of results may block while there are none to
	// return.
	Wait clock.Millis
	// After is the ID of the last event of a stream that the caller has received;
	// -1 if none.
	After int64
}

// JobCall is the kind of a call about an existing job.
type JobCall int

// The calls about existing jobs.
const (
	NoJobCall JobCall = iota
	ReadResults
	ReadItem
	EndJob
)

// JobRequest is a decoded call about an existing job.
type JobRequest struct {
	Call JobCall
	Job  string
	Item string
	// From is the position of the first result to return.
	From int
}

// Ingress decodes callers' requests and encodes the responses.
type Ingress interface {
	// ParseHeaders decodes the headers of a request.
	ParseHeaders(h http.Header) RequestHeaders
	// ParseJobCall decodes a call about an existing job. For any other request the
	// Call of the result is NoJobCall.
	ParseJobCall(r *http.Request) JobRequest
	// Job decodes the body of a submitted job, which gets the given ID.
	Job(id string, body []byte) (Job, error)
	// Results encodes the page of results that starts at position from; total is
	// the number of the job's items.
	Results(total, from int, rs []Result) ([]byte, error)
	// SetResponseHeaders sets the headers of a response that catkinhead produces
	// itself instead of a target.
	SetResponseHeaders(h http.Header, attempt unit.Request, retryAfter clock.Millis)
}
