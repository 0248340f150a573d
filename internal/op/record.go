package op

import (
	"fmt"

	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/spec"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// Class orders requests of different urgency.
type Class int

// The classes, most urgent first.
const (
	Live Class = iota
	Trainer
)

// Request is what decisions need to know of a request.
type Request struct {
	ID    unit.Request
	Route unit.Route
	// Pool is the route's, filled in on admission.
	Pool unit.Pool
	// Idempotent allows a second run; filled in on admission.
	Idempotent bool
	// KeyHash is the hash of the caller's key, empty without one. A sample of
	// a step carries its KeyID and Workspace instead.
	KeyHash   string
	KeyID     unit.KeyID
	Workspace unit.Workspace
	Class     Class
	// Cost is the expected number of tokens.
	Cost        unit.Tokens
	Prefix      uint64
	Fingerprint unit.Fingerprint
	Plain       bool
	// Bounded is set if the answer may be at most Staleness versions behind
	// the pool's active one.
	Bounded   bool
	Staleness unit.Version
	// Deadline is when the caller gives up; 0 is the route's.
	Deadline clock.Millis
	// Step and Index are set for a sample.
	Step  unit.StepID
	Index int32
}

// Span says from which token on a version produced an answer.
type Span struct {
	Version unit.Version
	First   unit.Tokens
}

// LeaseRecord is a lease as stored. An empty Holder is a lease given back.
type LeaseRecord struct {
	Holder unit.Incarnation
	Fence  unit.Fence
	// Beat rises with each renewal.
	Beat int64
}

// OperatorState is all that operators decide, as one versioned value: the
// configuration, the withdrawn keys and the versions wanted on pools.
type OperatorState struct {
	// ConfigVersion rises by one with each accepted configuration.
	ConfigVersion int64
	// ConfigKey names the stored object that holds Document.
	ConfigKey string
	// Withdrawn only ever grows.
	Withdrawn []unit.KeyID
	// Active holds the versions wanted; they only ever rise.
	Active map[unit.Pool]unit.Version
	// Document is the YAML text.
	Document []byte `json:",omitempty"`
	// Parsed is made from Document by whoever read it.
	Parsed *spec.Config `json:"-"`
}

// Parse fills Parsed from Document.
func (o *OperatorState) Parse() error {
	c, err := spec.Parse(o.Document)
	if err != nil {
		return fmt.Errorf("parse configuration %d: %w", o.ConfigVersion, err)
	}
	o.Parsed = &c
	return nil
}

// MemberInfo is what is known of one instance.
type MemberInfo struct {
	Incarnation   unit.Incarnation
	Address       string
	DataCentre    unit.DataCentre
	Beat          int64
	Leaving       bool
	ConfigVersion int64
}

// Knowledge is what one instance tells another.
type Knowledge struct {
	From    MemberInfo
	Members []MemberInfo
	// AnchorAge is how old the store's state is that this includes; -1 is
	// never read.
	AnchorAge clock.Millis
	// Revision of the operators' state in force.
	Revision unit.Revision
	// Withdrawn lists withdrawals that the store does not hold yet.
	Withdrawn []unit.KeyID
	Suspects  []Suspect
	Leaving   []unit.Target
}

// Suspect is a content that was in flight in crashes. Age is the time since
// the newest one.
type Suspect struct {
	Fingerprint unit.Fingerprint
	Crashes     int
	Age         clock.Millis
}

// SampleShape is what decisions need to know of a sample.
type SampleShape struct {
	Group       int32
	Cost        unit.Tokens
	Prefix      uint64
	Fingerprint unit.Fingerprint
}

// HeldSample is a sample that the trainer has, with a checked receipt.
type HeldSample struct {
	Index  int32
	Tokens unit.Tokens
}

// SampleResult is a finished sample; its text stays with the runner. Failed
// is set on one that will not be run again.
type SampleResult struct {
	Index  int32
	Failed Reason
	Run    unit.Request
	Tokens unit.Tokens
	Spans  []Span
}

// StepRecord is a step as stored.
type StepRecord struct {
	Home  unit.Incarnation
	Epoch unit.Epoch
	// Count is the number of samples.
	Count int
	// Billed has a bit for each acknowledged sample, lowest first.
	Billed []byte
	Closed bool
	// Usage counts the acknowledged tokens. Its source is unique to the step.
	Usage Counters
}

// WindowTokens counts the tokens of one usage window.
type WindowTokens struct {
	Window unit.Window
	Tokens unit.Tokens
}

// WorkspaceTokens counts a workspace's tokens at one source. Windows splits
// the newest of Total, oldest first.
type WorkspaceTokens struct {
	Workspace unit.Workspace
	Total     unit.Tokens
	Windows   []WindowTokens
}

// Counters are the cumulative counters of one source, by workspace.
type Counters struct {
	Source     string
	Workspaces []WorkspaceTokens
}

// UsageLine is one line of a report. Earlier is set on a correction, which
// counts tokens of windows sealed before.
type UsageLine struct {
	Workspace unit.Workspace
	Tokens    unit.Tokens
	Earlier   bool `json:",omitempty"`
}

// SealedWindow is a window as stored. Body is the only report ever sent.
// Sealed windows form a chain: Seq counts from 1, and Window rises by one with
// it.
type SealedWindow struct {
	Seq    int64
	Window unit.Window
	Body   []byte
	// Base is what was reported so far, by source and workspace.
	Base map[string]BaseLine
}

// BaseLine is the tokens reported of one source.
type BaseLine struct {
	ByWorkspace map[unit.Workspace]unit.Tokens
	// Since is the window in which the line last changed.
	Since unit.Window
}

// Sum is all tokens of the line.
func (b BaseLine) Sum() unit.Tokens {
	var n unit.Tokens
	for _, t := range b.ByWorkspace {
		n += t
	}
	return n
}

// Intent is an order that is wanted. It stands in the store before the order
// is sent, and until its effect shows in the platform's list.
type Intent struct {
	ID     string
	Kind   platform.OrderKind
	Target unit.Target
	Pool   unit.Pool
	// Taken is set once the platform took the order.
	Taken bool
}
