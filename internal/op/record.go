package op

import (
	"fmt"

	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/spec"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// Class is the priority class of a request.
type Class int

// The classes, most urgent first.
const (
	// Live is a request whose caller waits for the answer.
	Live Class = iota
	// Trainer is a sample of a training step.
	Trainer
)

// Request describes a request without its content.
type Request struct {
	ID    unit.Request
	Route unit.Route
	// Pool is the pool of the route. It is set by the reducer.
	Pool unit.Pool
	// Idempotent is set if the request may run twice. It is set by the reducer.
	Idempotent bool
	// KeyHash is the hash of the caller's API key, empty without one. A sample
	// of a step has KeyID and Workspace instead, which the reducer sets for
	// other requests.
	KeyHash   string
	KeyID     unit.KeyID
	Workspace unit.Workspace
	Class     Class
	// Cost is the expected number of tokens.
	Cost unit.Tokens
	// Prefix is a hash of the start of the prompt, 0 for none. Targets cache
	// prefixes.
	Prefix uint64
	// Fingerprint identifies the content, 0 for none.
	Fingerprint unit.Fingerprint
	// Plain is set for a request to a plain service rather than a model engine.
	Plain bool
	// Bounded is set if the model version of the answer may be at most Staleness
	// behind the pool's active one.
	Bounded   bool
	Staleness unit.Version
	// Deadline is when the request is cancelled and refused; 0 means the
	// route's default, or none for a sample.
	Deadline clock.Millis
	// Step and Index are set for a sample.
	Step  unit.StepID
	Index int32
}

// Span is a part of an answer that one model version produced. First is the
// position of its first token; it ends where the next span begins.
type Span struct {
	Version unit.Version
	First   unit.Tokens
}

// LeaseRecord is a lease as stored. Holder is empty once the lease was given
// back.
type LeaseRecord struct {
	Holder unit.Incarnation
	// Address is where other instances reach the holder, empty if it did not tell.
	Address string `json:",omitempty"`
	// Fence is the fencing token, which rises with each new holder.
	Fence unit.Fence
	// Beat rises with each write, so that renewals can be told apart.
	Beat int64
	// Restarts counts the restarts in a row after which the holder's instance went
	// on under the same fencing token.
	Restarts int `json:",omitempty"`
	// Settled is set if the lease was given back and no call that was sent under
	// it can arrive any more.
	Settled bool `json:",omitempty"`
}

// OperatorState is the state that operators control: the configuration, the
// withdrawn API keys and the active model versions. It is stored as one object.
type OperatorState struct {
	// ConfigVersion rises by one with each accepted configuration.
	ConfigVersion int64
	// ConfigKey is the key of the stored object with Document.
	ConfigKey string
	// Withdrawn lists the withdrawn API keys. Keys are never removed from it.
	Withdrawn []unit.KeyID
	// Active is the model version that each pool should serve. It never falls.
	Active map[unit.Pool]unit.Version
	// Document is the configuration as YAML.
	Document []byte `json:",omitempty"`
	// Parsed is set by Parse after Document was read.
	Parsed *spec.Config `json:"-"`
}

// Parse decodes Document into Parsed.
func (o *OperatorState) Parse() error {
	c, err := spec.Parse(o.Document)
	if err != nil {
		return fmt.Errorf("parse configuration %d: %w", o.ConfigVersion, err)
	}
	o.Parsed = &c
	return nil
}

// MemberInfo describes one instance of the fleet, as peers exchange it.
type MemberInfo struct {
	Incarnation unit.Incarnation
	Address     string
	DataCentre  unit.DataCentre
	// Beat counts the heartbeats of the incarnation; of two MemberInfo values
	// the one with the higher count is newer.
	Beat int64
	// Leaving is set once the instance is in a graceful shutdown.
	Leaving       bool
	ConfigVersion int64
}

// Knowledge is what two instances send each other in an exchange.
type Knowledge struct {
	From MemberInfo
	// Members are other instances that the sender knows.
	Members []MemberInfo
	// AnchorAge is the time since the sender's operators' state was last known
	// to be up to date with the store; -1 means never.
	AnchorAge clock.Millis
	// Revision is the revision of the sender's operators' state.
	Revision unit.Revision
	// Withdrawn lists withdrawn API keys that the store may not have yet.
	Withdrawn []unit.KeyID
	Suspects  []Suspect
	// Leaving lists targets that are going to stop.
	Leaving []unit.Target
}

// Suspect is the crash record of a request content that was in flight when
// targets crashed. Age is the time since the last crash.
type Suspect struct {
	Fingerprint unit.Fingerprint
	Crashes     int
	Age         clock.Millis
}

// SampleShape describes a sample without its content. Cost, Prefix and
// Fingerprint are as in Request.
type SampleShape struct {
	Group       int32
	Cost        unit.Tokens
	Prefix      uint64
	Fingerprint unit.Fingerprint
}

// HeldSample is a sample whose result the trainer has already. Its receipt has
// been verified.
type HeldSample struct {
	Index  int32
	Tokens unit.Tokens
}

// SampleResult is the result of a sample without its text, which the runner
// keeps.
type SampleResult struct {
	Index int32
	// Failed is the reason why the sample has no output and will not be run
	// again, empty if it has one.
	Failed Reason
	// Run is the attempt that produced the output.
	Run    unit.Request
	Tokens unit.Tokens
	Spans  []Span
}

// StepRecord is a step as stored.
type StepRecord struct {
	// Home is the owner of the step, under Epoch.
	Home  unit.Incarnation
	Epoch unit.Epoch
	// Count is the number of samples.
	Count int
	// Billed has one bit for each sample, set once it is billed. The lowest bit
	// of the first byte is sample 0.
	Billed []byte
	// Closed is set once the trainer has closed the step, which can't be opened
	// again then.
	Closed bool
	// Usage counts the tokens of the billed samples. Its source is unique to the
	// step.
	Usage Counters
}

// WindowTokens counts the tokens of one usage window.
type WindowTokens struct {
	Window unit.Window
	Tokens unit.Tokens
}

// WorkspaceTokens counts a workspace's tokens at one source. Windows has the
// part of Total that belongs to recent windows, oldest first.
type WorkspaceTokens struct {
	Workspace unit.Workspace
	Total     unit.Tokens
	Windows   []WindowTokens
}

// Counters are the cumulative usage counters of one source, which is either an
// incarnation of an instance or a step.
type Counters struct {
	Source     string
	Workspaces []WorkspaceTokens
}

// UsageLine is one line of a usage report. Earlier is set on a correction, which
// counts tokens that belong to windows sealed before.
type UsageLine struct {
	Workspace unit.Workspace
	Tokens    unit.Tokens
	Earlier   bool `json:",omitempty"`
}

// SealedWindow is the final report of a usage window, as stored. Sealed windows
// form a chain: Seq counts from 1, and Window rises by one with it.
type SealedWindow struct {
	Seq    int64
	Window unit.Window
	// Body is the encoded report. It is sent again as it is if the usage
	// endpoint has not confirmed it.
	Body []byte
	// Base holds the tokens reported up to and including this window, by source.
	Base map[string]BaseLine
}

// BaseLine holds the tokens reported for one source.
type BaseLine struct {
	ByWorkspace map[unit.Workspace]unit.Tokens
	// Since is the window in which the numbers last changed.
	Since unit.Window
}

// Sum returns the tokens of all workspaces.
func (b BaseLine) Sum() unit.Tokens {
	var n unit.Tokens
	for _, t := range b.ByWorkspace {
		n += t
	}
	return n
}

// Intent is a pending order to start or stop a target. It is stored before the
// order is sent, and kept until the platform's list shows the effect, so that a
// new holder of the lease can send the same order again.
type Intent struct {
	// ID is the ID of the order, by which the platform recognises a repetition.
	ID     string
	Kind   platform.OrderKind
	Target unit.Target
	Pool   unit.Pool
	// Taken is set once the platform has accepted the order.
	Taken bool
}
