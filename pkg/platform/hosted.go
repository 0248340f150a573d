package platform

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// ErrHistoryGone means that a watch asked for changes which the store no
// longer keeps. The objects must be listed again.
var ErrHistoryGone = errLiteral("history of the store is gone")

type errLiteral string

// Error returns the text.
func (e errLiteral) Error() string { return string(e) }

// Site is what a process learns of the machine and the platform it runs on.
type Site struct {
	// Instance names the process's machine.
	Instance   unit.Instance
	DataCentre unit.DataCentre
	// IP is the machine's address.
	IP string
	// Front takes callers, Ready answers the balancer; both are host:port and
	// empty on machines that callers do not reach.
	Front, Ready string
	// PeerPort is the port for traffic between instances.
	PeerPort int
	// Advertise is the host:port that peers use; empty means IP and PeerPort.
	Advertise string
	// Store and Cloud are the host:port of the platform's services.
	Store, Cloud string
	// Disk is the folder for data, empty without a disk.
	Disk string
	// Memory is the limit of the process in bytes.
	Memory int64
	Terms  Terms
}

// Terms are the bounds that the operator has set for the deployment.
type Terms struct {
	// RevokeWithin is how long a withdrawn key may still work.
	RevokeWithin time.Duration
	// StopWithin is the time between the stop signal and the kill.
	StopWithin time.Duration
	// LeaseApart is the least time between orders of alternating holders.
	LeaseApart time.Duration
	// Window is the length of a usage window.
	Window time.Duration
	// ReportWithin is how long after its end a window's report is due.
	ReportWithin time.Duration
	// ValueBytes is the largest object that the store takes.
	ValueBytes int
}

// Repeat says what may be repeated of a request.
type Repeat int

// The kinds of routes.
const (
	// Once allows one run for each attempt of the caller.
	Once Repeat = iota
	// Idempotent allows several runs.
	Idempotent
	// Batch routes take jobs of many items.
	Batch
)

// Share is a part of a route's traffic.
type Share struct {
	Pool   unit.Pool
	Weight int
}

// RouteRule is a route of the operator's configuration.
type RouteRule struct {
	Name       unit.Route
	Host       string
	PathPrefix string
	Repeat     Repeat
	// Streaming answers are series of events.
	Streaming bool
	// Resumable streams may go on at another target.
	Resumable bool
	// SingleVersion wants all events of a result from one version.
	SingleVersion bool
	// Public requests carry no key.
	Public bool
	// Timeout is the longest that a caller is kept waiting; 0 is no limit.
	Timeout clock.Millis
	// Goal is the latency aimed at.
	Goal clock.Millis
	// MaxAttempts is how many targets one attempt of a caller may reach.
	MaxAttempts int
	// DueAfter is when all results of a job are due, from its first submission.
	DueAfter clock.Millis
	// GiveUpAfter is when an item may be given up, from the submission.
	GiveUpAfter clock.Millis
	Split       []Share
}

// PoolRule is a service of the operator's configuration.
type PoolRule struct {
	Name unit.Pool
	// Slots is how many requests an engine batches; 0 for plain services.
	Slots int
	// KVTokens is an engine's memory in tokens; 0 for plain services.
	KVTokens int
	// MaxConnections bounds the connections to one target from all instances.
	MaxConnections int
	Models         []unit.Model
	// Scaling is set for pools whose size can be ordered.
	Scaling *Scaling
}

// Scaling bounds the number of targets in one data centre.
type Scaling struct {
	Min, Max  int
	BootAfter clock.Millis
	SpotPrice float64
	Prices    map[unit.DataCentre]float64
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes, BodyBytes int
	HeaderTimeout, Idle    clock.Millis
}

// Configuration is the operator's configuration in full.
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

// ModelState is a model that a target serves.
type ModelState struct {
	Model   unit.Model
	Version unit.Version
}

// TargetEntry is what a target says of itself in the store.
type TargetEntry struct {
	Target     unit.Target
	Pool       unit.Pool
	Address    string
	DataCentre unit.DataCentre
	Slots      int
	Leaving    bool
	Spot       bool
	// Born is the Unix time in milliseconds of the target's start.
	Born   int64
	Models []ModelState
}

// Change is one change of an object.
type Change struct {
	Object  Object
	Deleted bool
	// Marked is set on an object that waits for its removal.
	Marked bool
}

// Feed lists objects of a kind and follows their changes.
type Feed interface {
	// ListKind returns all objects of a kind and the store's revision.
	ListKind(ctx context.Context, kind string) ([]Object, unit.Revision, error)
	// ListStale is ListKind at a lower price; what it returns may be seconds old.
	ListStale(ctx context.Context, kind string) ([]Object, unit.Revision, error)
	// Follow waits up to wait for changes after a revision. It returns
	// ErrHistoryGone if they are no longer kept.
	Follow(ctx context.Context, kind string, after unit.Revision, wait time.Duration) ([]Change, unit.Revision, error)
}

// Source reads what operators, trainers and targets write to the store.
type Source interface {
	Configuration(o Object) (Configuration, error)
	Target(o Object) (TargetEntry, error)
	// Wanted returns the version that a trainer has named for a model.
	Wanted(o Object) (unit.Model, unit.Version, error)
}

// Head is what a caller's request says besides its method, path and body.
type Head struct {
	// Attempt is the caller's id of this attempt.
	Attempt unit.Request
	// Left is how long the caller will wait; 0 if it does not say.
	Left clock.Millis
	Key  string
	// Wait is how long an empty page of results may be held back.
	Wait clock.Millis
	// After is the last event that the caller has of a stream, -1 for none.
	After int64
}

// Outgoing is a request to a target.
type Outgoing struct {
	Attempt   unit.Request
	Target    unit.Target
	Address   string
	Method    string
	Host      string
	URI       string
	Header    http.Header
	Body      []byte
	Workspace unit.Workspace
	// Left is how long the target may work on it; 0 is no limit.
	Left clock.Millis
	// Version is the version that the target must have; 0 for any.
	Version unit.Version
	// After is the event after which the answer goes on, -1 for all.
	After int64
}

// Reply is a target's answer. The body must be closed.
type Reply struct {
	Status int
	Header http.Header
	// Length is the length of the body, -1 if unknown.
	Length int64
	// Version is the version that answers; 0 if the target did not say.
	Version unit.Version
	Body    io.ReadCloser
}

// Event is one event of a stream.
type Event struct {
	ID   int64
	Data []byte
	// Version is set on an event at which the version changes.
	Version unit.Version
}

// Events reads events. Next returns io.EOF at a whole end of the stream.
type Events interface {
	Next() (Event, error)
}

// Backends passes requests on to targets.
type Backends interface {
	// Do returns a *Failure if there is no answer, or one that says that the
	// target did not run the request.
	Do(ctx context.Context, o Outgoing) (*Reply, error)
	// Events reads the body of a reply as a stream of events.
	Events(r io.Reader) Events
}

// VersionOrder asks a target to take a version of a model.
type VersionOrder struct {
	Target     unit.Target
	Address    string
	Model      unit.Model
	Version    unit.Version
	Holder     unit.Instance
	Fence      unit.Fence
	SendBefore clock.Millis
}

// VersionOrders sends orders for versions. ErrConflict means that the target
// is busy with another order.
type VersionOrders interface {
	SendVersion(ctx context.Context, o VersionOrder) error
}

// CountReport is the use of a window.
type CountReport struct {
	Window     unit.Window
	Counts     map[unit.Workspace]int64
	Holder     unit.Instance
	Fence      unit.Fence
	SendBefore clock.Millis
}

// CountIntake takes reports of use.
type CountIntake interface {
	SendCounts(ctx context.Context, r CountReport) error
}

// SizeOrder asks for a number of targets of a pool in a data centre.
type SizeOrder struct {
	Pool       unit.Pool
	DataCentre unit.DataCentre
	Count      int
	Spot       bool
	Holder     unit.Instance
	Fence      unit.Fence
	SendBefore clock.Millis
}

// SizeOrders orders targets. ErrConflict means that none are to be had.
type SizeOrders interface {
	SendSize(ctx context.Context, o SizeOrder) error
}

// Item is one request of a job.
type Item struct {
	ID      string
	Path    string
	Headers map[string]string
	Body    []byte
	// Tokens is the prompt and the longest output.
	Tokens int
	Group  string
	// Expected is the caller's estimate of the output's tokens; 0 if none.
	Expected int
	Model    unit.Model
}

// Job is many requests that are submitted at once.
type Job struct {
	ID         string
	Model      unit.Model
	Step       int64
	MinVersion unit.Version
	// WantGroups is how many whole groups the trainer waits for.
	WantGroups int
	Items      []Item
}

// Result is what became of an item.
type Result struct {
	ID string
	// GivenUp is set if the item was given up; it has no text then.
	GivenUp  bool
	Text     string
	Versions []unit.Version
}

// BatchCall is a call about a job.
type BatchCall int

// The calls about jobs.
const (
	NoBatchCall BatchCall = iota
	ReadResults
	ReadItem
	EndJob
)

// BatchRequest is a decoded call about a job.
type BatchRequest struct {
	Call BatchCall
	Job  string
	Item string
	From int
}

// Ingress decodes what callers send and encodes what they get.
type Ingress interface {
	Head(h http.Header) Head
	Batch(r *http.Request) BatchRequest
	Job(id string, body []byte) (Job, error)
	// Results encodes a page that starts at a position.
	Results(total, from int, rs []Result) ([]byte, error)
	// Refuse sets the headers of an answer of our own.
	Refuse(h http.Header, attempt unit.Request, retryAfter clock.Millis)
}
