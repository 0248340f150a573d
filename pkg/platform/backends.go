package platform

import (
	"context"
	"io"
	"net/http"

	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// TargetRequest is a request to forward to a target.
type TargetRequest struct {
	Attempt   unit.Request
	Target    unit.Target
	Address   string
	Method    string
	Host      string
	URI       string
	Header    http.Header
	Body      []byte
	Workspace unit.Workspace
	// Once is set if the request may run at most once.
	Once bool
	// Left is the time until the target's deadline; 0 is no limit.
	Left clock.Millis
	// Version is the model version that the target must have; 0 for any.
	Version unit.Version
	// After is the ID of the event after which the target resumes the stream; -1
	// for the whole stream.
	After int64
}

// Reply is a target's response. The body must be closed.
type Reply struct {
	Status int
	Header http.Header
	// Length is the length of the body, -1 if unknown.
	Length int64
	// Version is the model version that produced the response; 0 if the target
	// did not state it.
	Version unit.Version
	// Stamp identifies this run of the request at the target.
	Stamp string
	Body  io.ReadCloser
}

// Event is one event of a stream.
type Event struct {
	ID   int64
	Data []byte
	// Version is the new model version on the first event produced by it, and 0
	// on events without a change of version.
	Version unit.Version
}

// Events reads the events of a stream. Next returns io.EOF after the last event
// of a complete stream, and an error that wraps ErrTooLong for an event that is
// longer than any valid one.
type Events interface {
	Next() (Event, error)
}

// Backends forwards requests to targets.
type Backends interface {
	// Do returns a *Failure if there is no valid response, or if the response
	// states that the target did not run the request.
	Do(ctx context.Context, o TargetRequest) (*Reply, error)
	// Events reads the body of a reply as a stream of events.
	Events(r io.Reader) Events
}
