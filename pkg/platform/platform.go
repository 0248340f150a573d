package platform

import (
	"context"
	"errors"
	"fmt"

	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// Errors that adapters return, wrapped or bare.
var (
	// ErrConflict means that a conditional write found another revision.
	ErrConflict = errors.New("object has another revision")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrStaleFence means that the receiver has seen a higher fencing number.
	ErrStaleFence = errors.New("fencing number is stale")
	// ErrLeaseEnded means that the sender's lease ended before the order could
	// be written. Nothing was sent.
	ErrLeaseEnded = errors.New("lease ended before the order was sent")
	// ErrDifferent means that the intake holds other figures for the window.
	ErrDifferent = errors.New("window was reported with other figures")
)

// Failure is a call that did not end well.
type Failure struct {
	Outcome unit.Outcome
	// Leaving is set when the receiver said that it takes no new work.
	Leaving bool
	// Crashed is set when the connection broke after the request was sent.
	Crashed bool
	Err     error
}

// Error says what failed and what is known of its effect.
func (f *Failure) Error() string { return fmt.Sprintf("%v (%s)", f.Err, f.Outcome) }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Object is a stored value and its revision.
type Object struct {
	Key   string
	Value []byte
	// Status is what another party than the owner wrote, if the store keeps
	// that apart.
	Status   []byte
	Revision unit.Revision
}

// Store keeps objects of up to a megabyte. Every call counts against the
// platform's rates, a waiting watch as one.
type Store interface {
	// Get returns ErrNotFound for an absent object.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes if the object stands at revision if; 0 means absent. A
	// failure other than ErrConflict leaves the effect unknown.
	Put(ctx context.Context, key string, value []byte, ifRev unit.Revision) (unit.Revision, error)
	// Delete removes the object if it stands at revision if.
	Delete(ctx context.Context, key string, ifRev unit.Revision) error
	// List returns the objects whose keys start with prefix, in key order.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Watch waits until an object under prefix has a store revision above
	// after, or ctx ends; it returns the newest store revision.
	Watch(ctx context.Context, prefix string, after unit.Revision) (unit.Revision, error)
}

// OrderKind is what an order asks of the platform.
type OrderKind string

// The kinds of target orders.
const (
	Start OrderKind = "Start"
	Stop  OrderKind = "Stop"
)

// Order asks the platform for the state wanted of one target. It is
// idempotent by ID.
type Order struct {
	ID         string
	Kind       OrderKind
	Target     unit.Target
	Pool       unit.Pool
	DataCentre unit.DataCentre
	Fence      unit.Fence
	// SendBefore is the monotonic time after which the order must not be
	// written to the connection.
	SendBefore clock.Millis
}

// Orders starts and stops targets.
type Orders interface {
	Send(ctx context.Context, o Order) error
}

// TargetState is a target as the platform lists it.
type TargetState struct {
	Target     unit.Target
	Pool       unit.Pool
	DataCentre unit.DataCentre
	Address    string
	Leaving    bool
	// Plain is set for a plain service.
	Plain bool
}

// InstanceState is a catkinhead process as the platform lists it.
type InstanceState struct {
	Instance   unit.Instance
	DataCentre unit.DataCentre
	Address    string
	Leaving    bool
}

// Instances is the platform's lagging list.
type Instances interface {
	Targets(ctx context.Context) ([]TargetState, error)
	Instances(ctx context.Context) ([]InstanceState, error)
}

// Work is one generation to run.
type Work struct {
	Request   unit.Request
	Prompt    string
	MaxTokens unit.Tokens
	Seed      int64
}

// Chunk is a piece of an answer.
type Chunk struct {
	Request unit.Request
	// Index counts the tokens before this chunk; a gap is an error.
	Index unit.Tokens
	Text  string
	// Tokens is the number of tokens in Text.
	Tokens  unit.Tokens
	Version unit.Version
	// End is set on the last chunk of a whole answer.
	End bool
}

// Engine runs work on model engines.
type Engine interface {
	// Generate calls each chunk in order and returns nil only after one with
	// End. Any failure is a *Failure.
	Generate(ctx context.Context, address string, w Work, each func(Chunk) error) error
}

// Call is one call to a plain service. Header holds allowed headers only.
type Call struct {
	Request     unit.Request
	Path        string
	ContentType string
	Body        []byte
}

// Answer is what a plain service returned.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Service calls plain services.
type Service interface {
	Call(ctx context.Context, address string, c Call) (Answer, error)
}

// Load is a target's own report. It lags.
type Load struct {
	Running int
	Waiting int
	// Slots is how many requests the target batches at once.
	Slots   int
	Version unit.Version
	Staged  unit.Version
	Leaving bool
}

// Loads reads load reports.
type Loads interface {
	Load(ctx context.Context, address string) (Load, error)
}

// Swap orders an engine to stage or activate weights.
type Swap struct {
	ID         string
	Version    unit.Version
	Activate   bool
	Fence      unit.Fence
	SendBefore clock.Millis
}

// Swaps sends weight orders.
type Swaps interface {
	Swap(ctx context.Context, address string, s Swap) error
}

// Weights is the platform's rate-limited weight store.
type Weights interface {
	// Versions returns the versions published for a pool.
	Versions(ctx context.Context, pool unit.Pool) ([]unit.Version, error)
}

// Intake accepts usage reports.
type Intake interface {
	// Report hands over a window's bytes, and writes nothing after sendBefore
	// (monotonic). The same bytes again are accepted; others give
	// ErrDifferent.
	Report(ctx context.Context, w unit.Window, fence unit.Fence, body []byte, sendBefore clock.Millis) error
}
