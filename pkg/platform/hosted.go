package platform

import (
	"context"
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
	// Sockets is how many connections and other sockets the process may have open; 0 means
	// that it is not known.
	Sockets int
	Bounds  Bounds
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
	// WalkKind calls f with each object of a kind, without holding all of them at once.
	WalkKind(ctx context.Context, kind string, f func(Object)) error
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
