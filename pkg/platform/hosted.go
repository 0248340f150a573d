package platform

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// ErrHistoryDiscarded means that a watch asked for changes that the store has
// already discarded. The caller must list the objects again.
var ErrHistoryDiscarded = constError("store has discarded the requested changes")

// ErrTooLong means that a target or the store sent more bytes than any valid
// answer has.
var ErrTooLong = constError("answer is too long")

// constError is an error that consists of a constant text.
type constError string

// Error returns the text.
func (e constError) Error() string { return string(e) }

// Environment describes the machine, the addresses and the deployment of a
// process, as read from the platform's settings.
type Environment struct {
	// Instance is the name of this process's instance.
	Instance   unit.Instance
	DataCentre unit.DataCentre
	// IP is the machine's address.
	IP string
	// Front is the host:port that serves callers, Ready the one that answers the
	// load balancer's readiness checks. Both are empty on machines that callers
	// cannot reach.
	Front, Ready string
	// PeerPort is the port for traffic between instances.
	PeerPort int
	// Advertise is the host:port at which other instances reach this one; empty
	// means IP and PeerPort.
	Advertise string
	// Store and Cloud are the host:port of the platform's object store and of its
	// cloud service.
	Store, Cloud string
	// Disk is the data directory; empty on a machine without a disk.
	Disk string
	// Memory is the memory limit of the process in bytes.
	Memory int64
	Bounds Bounds
}

// Bounds are the time and size limits that the operator sets for the deployment.
type Bounds struct {
	// RevokeWithin is how long a withdrawn key may still be accepted.
	RevokeWithin time.Duration
	// StopWithin is the time between the stop signal and the kill.
	StopWithin time.Duration
	// MinOrderGap is the minimum time between orders of two successive lease
	// holders.
	MinOrderGap time.Duration
	// Window is the length of a usage window.
	Window time.Duration
	// ReportWithin is how long after the end of a window its report is due.
	ReportWithin time.Duration
	// ValueBytes is the size of the largest object that the store accepts.
	ValueBytes int
}

// RetryPolicy says whether a route's requests may be executed more than once.
type RetryPolicy int

// The values of RetryPolicy.
const (
	// Once allows one execution per attempt of the caller.
	Once RetryPolicy = iota
	// Idempotent allows several executions.
	Idempotent
	// Batch marks a route that accepts jobs of many items.
	Batch
)

// WeightedPool is a pool and its weight, the relative part of a route's traffic
// that goes to the pool.
type WeightedPool struct {
	Pool   unit.Pool
	Weight int
}

// RouteRule is one route of the operator's configuration.
type RouteRule struct {
	Name unit.Route
	// Host and PathPrefix select the requests of the route. Of several routes
	// that match, the one with the longest prefix is used.
	Host       string
	PathPrefix string
	Repeat     RetryPolicy
	// Streaming is set if responses are event streams.
	Streaming bool
	// Resumable is set if a broken stream may be resumed at another target.
	Resumable bool
	// SingleVersion is set if one model version must produce all events of a
	// result.
	SingleVersion bool
	// Public is set if requests need no key.
	Public bool
	// Timeout is the longest time until a caller gets its response; 0 is no
	// limit.
	Timeout clock.Millis
	// Goal is the latency that the operator wants for the route.
	Goal clock.Millis
	// MaxAttempts is how many targets may be tried for one attempt of a caller. On
	// a route that accepts jobs, it is the number of failures after which an item
	// is given up.
	MaxAttempts int
	// DueAfter is the time from the first submission of a job until all its
	// results are due.
	DueAfter clock.Millis
	// GiveUpAfter is the time from the first submission of a job after which its
	// unfinished items are given up; 0 is no limit.
	GiveUpAfter clock.Millis
	Split       []WeightedPool
}

// PoolRule is one pool of the operator's configuration.
type PoolRule struct {
	Name unit.Pool
	// Slots is how many requests an engine runs as one batch; 0 for plain
	// services.
	Slots int
	// KVTokens is the capacity of an engine's KV cache in tokens; 0 for plain
	// services.
	KVTokens int
	// MaxConnections limits the connections from all instances together to one
	// target.
	MaxConnections int
	Models         []unit.Model
	// Scaling is nil if the number of the pool's targets is fixed.
	Scaling *Scaling
}

// Scaling bounds the number of a pool's targets in one data centre and gives
// their prices.
type Scaling struct {
	Min, Max int
	// BootAfter is how long a new target takes to start.
	BootAfter clock.Millis
	SpotPrice float64
	Prices    map[unit.DataCentre]float64
}

// Limits are the limits on callers' requests and connections.
type Limits struct {
	HeaderBytes, BodyBytes int
	HeaderTimeout, Idle    clock.Millis
}

// Configuration is the operator's complete configuration.
type Configuration struct {
	Version int64
	Routes  []RouteRule
	Pools   map[unit.Pool]PoolRule
	Limits  Limits
	// Keyed is set if requests need a key.
	Keyed bool
	// Keys maps each key to its workspace.
	Keys map[string]unit.Workspace
}

// ModelState is a model that a target serves, and its version.
type ModelState struct {
	Model   unit.Model
	Version unit.Version
}

// TargetEntry is what a target publishes about itself in the store.
type TargetEntry struct {
	Target     unit.Target
	Pool       unit.Pool
	Address    string
	DataCentre unit.DataCentre
	Slots      int
	// Leaving is set while the target is draining and accepts no new work.
	Leaving bool
	// Spot is set for a target on spot capacity.
	Spot bool
	// Born is the Unix time in milliseconds at which the target started.
	Born   int64
	Models []ModelState
}

// Change is one change of an object, as reported by a watch.
type Change struct {
	Object  Object
	Deleted bool
	// Marked is set on an object that is marked for deletion but still exists.
	Marked bool
}

// Feed lists the objects of a kind and watches them for changes.
type Feed interface {
	// ListKind returns all objects of a kind and the store's revision.
	ListKind(ctx context.Context, kind string) ([]Object, unit.Revision, error)
	// ListStale is a cheaper ListKind whose result may be seconds old.
	ListStale(ctx context.Context, kind string) ([]Object, unit.Revision, error)
	// Follow waits up to wait for changes after a revision. It returns the
	// changes and the store's revision, or ErrHistoryDiscarded if the store has
	// discarded changes after that revision.
	Follow(ctx context.Context, kind string, after unit.Revision, wait time.Duration) ([]Change, unit.Revision, error)
}

// Decoder decodes the objects that operators, trainers and targets write to the
// store.
type Decoder interface {
	Configuration(o Object) (Configuration, error)
	Target(o Object) (TargetEntry, error)
	// RequestedVersion decodes the version of a model that a trainer has
	// requested.
	RequestedVersion(o Object) (unit.Model, unit.Version, error)
}

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

// VersionOrder asks a target to load a version of a model.
type VersionOrder struct {
	Target  unit.Target
	Address string
	Model   unit.Model
	Version unit.Version
	// Holder is the holder of the lease under which the order is sent, Fence the
	// fencing token of that lease.
	Holder unit.Instance
	Fence  unit.Fence
	// SendBefore is the monotonic time from which on the order must not be
	// written to the connection.
	SendBefore clock.Millis
}

// VersionOrders sends orders to load versions. ErrConflict means that the
// target is busy with another order.
type VersionOrders interface {
	SendVersion(ctx context.Context, o VersionOrder) error
}

// CountReport is the usage of each workspace in one window.
type CountReport struct {
	Window unit.Window
	// Counts holds the number of requests that ran, or may have run, at a target.
	Counts map[unit.Workspace]int64
	// Holder is the holder of the lease under which the report is sent, Fence the
	// fencing token of that lease.
	Holder unit.Instance
	Fence  unit.Fence
	// SendBefore is the monotonic time from which on the report must not be
	// written to the connection.
	SendBefore clock.Millis
}

// CountReporter sends usage reports to the platform's cloud service.
type CountReporter interface {
	SendCounts(ctx context.Context, r CountReport) error
}

// SizeOrder asks for a total number of targets of a pool in a data centre.
type SizeOrder struct {
	Pool       unit.Pool
	DataCentre unit.DataCentre
	Count      int
	Spot       bool
	// Holder is the holder of the lease under which the order is sent, Fence the
	// fencing token of that lease.
	Holder unit.Instance
	Fence  unit.Fence
	// SendBefore is the monotonic time from which on the order must not be
	// written to the connection.
	SendBefore clock.Millis
}

// SizeOrders orders targets. ErrConflict means that no capacity is available.
type SizeOrders interface {
	SendSize(ctx context.Context, o SizeOrder) error
}

// Item is one request of a job.
type Item struct {
	ID      string
	Path    string
	Headers map[string]string
	Body    []byte
	// Tokens is the length of the prompt plus the maximum length of the output.
	Tokens int
	// Group names the group of items that the item belongs to. A group is
	// complete once all its items are finished or given up.
	Group string
	// Expected is the caller's estimate of the output's tokens; 0 if none.
	Expected int
	Model    unit.Model
	// Reward is nil if the item's result has no score.
	Reward *RewardCall
}

// RewardCall is a request that scores the complete output of an item. It is
// idempotent, and is sent only after the last event of the output.
type RewardCall struct {
	ID   unit.Request
	Host string
	Path string
	Body []byte
}

// Job is a set of requests that are submitted together.
type Job struct {
	ID    string
	Model unit.Model
	// Step is the trainer's number of the step that the job belongs to.
	Step int64
	// MinVersion is the oldest model version that may produce results.
	MinVersion unit.Version
	// WantGroups is how many complete groups the trainer waits for; 0 if it did not
	// state a number.
	WantGroups int
	Items      []Item
}

// Result is the final result of an item.
type Result struct {
	ID string
	// GivenUp is set if the item was given up; it has no text then.
	GivenUp bool
	Text    string
	// Versions are the model versions that produced the text.
	Versions []unit.Version
	// Score is the stamp of a successful answer to the item's reward call, empty
	// if the item has none.
	Score string `json:",omitempty"`
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
