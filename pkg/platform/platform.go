package platform

import (
	"context"
	"errors"
	"fmt"

	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// Errors that adapters return, possibly wrapped.
var (
	// ErrConflict means that the object has another revision than a conditional
	// write requires. VersionOrders and SizeOrders return it with the meanings
	// that they document.
	ErrConflict = errors.New("object has another revision")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrStaleFence means that the receiver has seen a higher fencing token.
	ErrStaleFence = errors.New("fencing token is stale")
	// ErrLeaseEnded means that the sender's lease ended before the order could
	// be written. Nothing was sent.
	ErrLeaseEnded = errors.New("lease ended before the order was sent")
	// ErrReportConflict means that the usage endpoint already has a report with
	// different figures for the window.
	ErrReportConflict = errors.New("window was already reported with different figures")
)

// Failure is the error of a failed call. Outcome says whether the call may have
// taken effect.
type Failure struct {
	Outcome unit.Outcome
	// Leaving is set if the receiver said that it accepts no new work.
	Leaving bool
	// Crashed is set if the connection of a request to a target broke after a part
	// of the request was sent. It may also be set if the caller cancelled the
	// request.
	Crashed bool
	Err     error
}

// Error returns the cause and the outcome.
func (f *Failure) Error() string { return fmt.Sprintf("%v (%s)", f.Err, f.Outcome) }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Object is a stored value with its key and revision.
type Object struct {
	Key   string
	Value []byte
	// Status is the part of the object that a writer other than its owner
	// maintains, if the store keeps that part separately.
	Status   []byte
	Revision unit.Revision
}

// Store is the platform's object store, for objects of up to a megabyte. Every
// call counts against the platform's rate limits; a waiting watch is one call.
type Store interface {
	// Get returns ErrNotFound for an absent object.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes the object if its revision is ifRev; 0 means that it must not
	// exist. After an error other than ErrConflict, the write may have taken
	// effect unless a *Failure says otherwise.
	Put(ctx context.Context, key string, value []byte, ifRev unit.Revision) (unit.Revision, error)
	// Delete removes the object if its revision is ifRev.
	Delete(ctx context.Context, key string, ifRev unit.Revision) error
	// List returns the objects whose keys start with prefix, in key order.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Watch waits until an object whose key starts with prefix has a revision
	// above after, until a time limit of the implementation, if any, or until ctx
	// ends. It returns the store's latest revision.
	Watch(ctx context.Context, prefix string, after unit.Revision) (unit.Revision, error)
}

// OrderKind says whether an order starts or stops a target.
type OrderKind string

// The kinds of orders.
const (
	Start OrderKind = "Start"
	Stop  OrderKind = "Stop"
)

// Order asks the platform to start or stop one target. Orders with the same ID
// are executed once.
type Order struct {
	ID         string
	Kind       OrderKind
	Target     unit.Target
	Pool       unit.Pool
	DataCentre unit.DataCentre
	Fence      unit.Fence
	// SendBefore is the monotonic time from which on the order must not be
	// written to the connection.
	SendBefore clock.Millis
}

// Orders sends orders that start and stop targets.
type Orders interface {
	Send(ctx context.Context, o Order) error
}

// TargetState is an entry of the platform's list of targets.
type TargetState struct {
	Target     unit.Target
	Pool       unit.Pool
	DataCentre unit.DataCentre
	Address    string
	// Leaving is set while the target is draining.
	Leaving bool
	// Plain is set for a plain service, which runs no model.
	Plain bool
}

// InstanceState is an entry of the platform's list of catkinhead instances.
type InstanceState struct {
	Instance   unit.Instance
	DataCentre unit.DataCentre
	Address    string
	// Leaving is set while the instance is draining.
	Leaving bool
}

// Instances reads the platform's lists of targets and instances, which lag
// behind the actual state.
type Instances interface {
	Targets(ctx context.Context) ([]TargetState, error)
	Instances(ctx context.Context) ([]InstanceState, error)
}

// GenerateRequest is one request to generate text.
type GenerateRequest struct {
	Request   unit.Request
	Prompt    string
	MaxTokens unit.Tokens
	Seed      int64
}

// Chunk is a part of the generated text.
type Chunk struct {
	Request unit.Request
	// Index is the number of tokens before this chunk; a gap is an error.
	Index unit.Tokens
	Text  string
	// Tokens is the number of tokens in Text.
	Tokens  unit.Tokens
	Version unit.Version
	// End is set on the last chunk of a complete response.
	End bool
}

// Engine generates text on model engines.
type Engine interface {
	// Generate calls each with the chunks in order and returns nil only after a
	// chunk with End. An error is a *Failure, or one of the errors declared above
	// if the status of the response maps to it.
	Generate(ctx context.Context, address string, req GenerateRequest, each func(Chunk) error) error
}

// Call is a request to a plain service. Of the caller's headers, only the
// content type is forwarded.
type Call struct {
	Request     unit.Request
	Path        string
	ContentType string
	Body        []byte
}

// Answer is the response of a plain service.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Service sends requests to plain services.
type Service interface {
	Call(ctx context.Context, address string, c Call) (Answer, error)
}

// Load is a target's report of its own load, which lags behind the actual load.
type Load struct {
	Running int
	Waiting int
	// Slots is how many requests the target runs as one batch.
	Slots   int
	Version unit.Version
	// Staged is the version that is loaded but not yet activated.
	Staged unit.Version
	// Leaving is set while the target is draining.
	Leaving bool
}

// Loads reads load reports.
type Loads interface {
	Load(ctx context.Context, address string) (Load, error)
}

// Swap orders an engine to stage or to activate a version of its weights.
type Swap struct {
	ID      string
	Version unit.Version
	// Activate is set to activate the version, and not set to stage it.
	Activate bool
	Fence    unit.Fence
	// SendBefore is the monotonic time from which on the order must not be
	// written to the connection.
	SendBefore clock.Millis
}

// Swaps sends orders to stage and activate weights.
type Swaps interface {
	Swap(ctx context.Context, address string, s Swap) error
}

// Weights is the platform's store of model weights, which limits the rate of
// calls.
type Weights interface {
	// Versions returns the versions published for a pool.
	Versions(ctx context.Context, pool unit.Pool) ([]unit.Version, error)
}

// UsageReporter sends usage reports to the platform.
type UsageReporter interface {
	// Report sends the report of a window, and writes nothing to the connection
	// from the monotonic time sendBefore on. Repeating the same bytes is allowed;
	// a different report for the same window returns ErrReportConflict.
	Report(ctx context.Context, w unit.Window, fence unit.Fence, body []byte, sendBefore clock.Millis) error
}
