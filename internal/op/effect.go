package op

import (
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// Effect is an action that a reducer asks the runner to execute.
type Effect interface{ effect() }

// List holds the effects of one event, in the order of execution.
type List []Effect

// Add appends an effect.
func (l *List) Add(e Effect) { *l = append(*l, e) }

// Reason says why a request or a call about a step was refused.
type Reason string

// The reasons for refusals.
const (
	// NoKey means that the request needs an API key and has none.
	NoKey Reason = "NoKey"
	// BadKey means that the API key is unknown or, in package edge, missing.
	BadKey Reason = "BadKey"
	// Withdrawn means that an operator has withdrawn the API key.
	Withdrawn Reason = "KeyWithdrawn"
	// NotFresh means that this instance's configuration is too old to rely on
	// or, in package edge, missing, so that it can't tell whether the API key was
	// withdrawn.
	NotFresh Reason = "NotFresh"
	// NoRoute means that the route does not exist.
	NoRoute Reason = "NoRoute"
	// NotAllowed means that the workspace may not use the route.
	NotAllowed Reason = "NotAllowed"
	// WrongKind means that the request does not fit the kind of the route's
	// pool, such as a completion request to a plain service.
	WrongKind Reason = "WrongKind"
	// Overloaded means that the queue is full.
	Overloaded Reason = "Overloaded"
	// Draining means that this instance is in a graceful shutdown.
	Draining Reason = "Draining"
	// CrashSuspect means that targets have crashed while they processed the
	// content of the request.
	CrashSuspect Reason = "CrashSuspect"
	// Deadline means that the request was not finished in time.
	Deadline Reason = "DeadlineExceeded"
	// TargetFailed means that an attempt failed and another is not allowed.
	TargetFailed Reason = "TargetFailed"
	// NoConfig means that this instance has not read a configuration yet.
	NoConfig Reason = "NoConfig"
	// NoStep means that the step is not open on this instance.
	NoStep Reason = "NoStep"
	// StaleEpoch means that the step was opened again under a higher epoch.
	StaleEpoch Reason = "StaleEpoch"
	// StepClosed means that the trainer has closed the step.
	StepClosed Reason = "StepClosed"
	// BadReceipt means that the receipt of a sample, which a trainer presents
	// when it opens a step, does not match the sample.
	BadReceipt Reason = "BadReceipt"
)

// Dispatch sends a request to a target. Finished reports the end.
type Dispatch struct {
	Request unit.Request
	// Run identifies this attempt; it is the request ID that the target gets.
	Run     unit.Request
	Target  unit.Target
	Address string
	// Plain is set if the target is a plain service rather than a model engine.
	Plain bool
	// Step and Index are set for a sample.
	Step  unit.StepID
	Index int32
}

// Cancel aborts an attempt that is in flight.
type Cancel struct {
	Request unit.Request
	Run     unit.Request
	Target  unit.Target
}

// Refuse ends a request with an error. The runner answers the caller; the
// refusal of a sample goes to its step instead and does not reach the runner.
type Refuse struct {
	Request unit.Request
	Reason  Reason
	Outcome unit.Outcome
	// RetryAfter is the suggested delay before the caller retries; 0 means no
	// hint.
	RetryAfter clock.Millis
	// Step and Index are set for a sample.
	Step  unit.StepID
	Index int32
}

// Release completes a request: the runner sends the last part of the answer to
// the caller. If the tokens of the answer are counted, that part is held back
// until the counters have been copied to a peer, or the copy has failed.
type Release struct{ Request unit.Request }

// ReadLease reads a lease from the store. LeaseRead reports the result.
type ReadLease struct{ Scope unit.Scope }

// WriteLease writes a lease to the store if its revision is still IfRev, to
// acquire, renew or give it back. LeaseWritten reports the result.
type WriteLease struct {
	Scope  unit.Scope
	Record LeaseRecord
	IfRev  unit.Revision
}

// ReadState reads the operators' state from the store. Have is the revision
// that this instance has, so that an unchanged document is not read again.
// StateRead reports the result.
type ReadState struct{ Have unit.Revision }

// WatchState waits until the revision of the operators' state in the store is
// above After. StateChanged reports the end of the wait.
type WatchState struct{ After unit.Revision }

// Exchange sends this instance's Knowledge to a peer and gets the peer's in the
// answer. PeerHeard reports success and PeerSilent failure.
type Exchange struct {
	Instance unit.Instance
	Address  string
	// Know is what is sent to the peer.
	Know Knowledge
}

// FetchState reads the operators' state from a peer. StateRead reports the
// result; there is none if the call fails.
type FetchState struct {
	Instance unit.Instance
	Address  string
}

// StoreWithdrawals adds withdrawn API keys to the operators' state in the
// store. WithdrawalsStored reports the result.
type StoreWithdrawals struct{ Keys []unit.KeyID }

// ReadLoad reads a target's load report. LoadRead reports the result.
type ReadLoad struct {
	Target  unit.Target
	Address string
}

// ReadList reads the platform's lists of targets and instances. ListRead
// reports the result.
type ReadList struct{}

// SaveStep writes a step's record to the store if its revision is still IfRev.
// StepSaved reports the result.
type SaveStep struct {
	Step   unit.StepID
	Record StepRecord
	IfRev  unit.Revision
	// Claim is set on the write that makes this instance the step's owner.
	Claim bool
}

// ReadStep reads a step's record from the store. StepRead reports the result.
type ReadStep struct{ Step unit.StepID }

// StepOpened answers the call OpenStep, with an epoch, or with a reason if it
// is refused.
type StepOpened struct {
	Call   int64
	Step   unit.StepID
	Epoch  unit.Epoch
	Reason Reason
}

// Deliver answers the call PullSamples, with samples, or with a reason if it is
// refused.
type Deliver struct {
	Call    int64
	Step    unit.StepID
	Epoch   unit.Epoch
	Samples []SampleResult
	// Done is set once the trainer has acknowledged all samples.
	Done   bool
	Reason Reason
}

// StepEnded answers the call CloseStep, with a reason if it is refused.
type StepEnded struct {
	Call int64
	Step unit.StepID
	// Recorded is set if the store has the final record.
	Recorded bool
	Reason   Reason
}

// DropStep discards the content of a step that this instance no longer owns. It
// also cancels the step's requests.
type DropStep struct {
	Step  unit.StepID
	Epoch unit.Epoch
}

// RunSample submits a sample of a step to admission. It is processed within the
// reducer and does not reach the runner.
type RunSample struct {
	Request Request
	Step    unit.StepID
	Index   int32
}

// KeepUsage copies usage counters to a peer. UsageKept reports the end.
type KeepUsage struct {
	Counters Counters
	// Releases are the requests to complete afterwards, whose tokens are in
	// Counters.
	Releases []unit.Request
}

// ReadSealed reads the newest sealed usage window from the store. SealedRead
// reports the result.
type ReadSealed struct{}

// Gather collects the usage counters of all instances and steps. Gathered
// reports the result.
type Gather struct{ Window unit.Window }

// Seal stores a sealed usage window, unless there is one with its sequence
// number. WindowSealed reports the result.
type Seal struct{ Sealed SealedWindow }

// Report sends a sealed usage window to the usage endpoint. WindowReported
// reports the result.
type Report struct {
	Window unit.Window
	Body   []byte
	// Fence is the fencing token of the lease under which the report is sent,
	// and SendBefore the time after which it must not be sent.
	Fence      unit.Fence
	SendBefore clock.Millis
}

// MarkReported stores which sealed window the usage endpoint accepted last, and
// deletes records that are no longer needed.
type MarkReported struct {
	Seq    int64
	Window unit.Window
}

// ReadIntents reads the pending orders of a data centre from the store.
// IntentsRead reports the result.
type ReadIntents struct{ DataCentre unit.DataCentre }

// WriteIntents writes the pending orders of a data centre to the store if their
// revision is still IfRev. IntentsWritten reports the result.
type WriteIntents struct {
	DataCentre unit.DataCentre
	Intents    []Intent
	IfRev      unit.Revision
}

// SendOrder sends an order to start or stop a target to the platform.
// OrderSent reports the result.
type SendOrder struct{ Order platform.Order }

// SendSwap orders a target to stage or activate a version of its weights.
// SwapSent reports the result.
type SendSwap struct {
	Pool    unit.Pool
	Target  unit.Target
	Address string
	Swap    platform.Swap
}

// ReadVersions reads from the weight store which versions are published for a
// pool. VersionsRead reports the result.
type ReadVersions struct{ Pool unit.Pool }

// CacheState writes the operators' state to the local disk, if one is
// configured, from where it is read at the next start.
type CacheState struct {
	Revision unit.Revision
	State    OperatorState
}

// Note writes a log line.
type Note struct {
	Level   string
	Message string
	Fields  map[string]string
}

func (Dispatch) effect()         {}
func (Cancel) effect()           {}
func (Refuse) effect()           {}
func (Release) effect()          {}
func (ReadLease) effect()        {}
func (WriteLease) effect()       {}
func (ReadState) effect()        {}
func (WatchState) effect()       {}
func (Exchange) effect()         {}
func (FetchState) effect()       {}
func (StoreWithdrawals) effect() {}
func (ReadLoad) effect()         {}
func (ReadList) effect()         {}
func (SaveStep) effect()         {}
func (ReadStep) effect()         {}
func (StepOpened) effect()       {}
func (Deliver) effect()          {}
func (StepEnded) effect()        {}
func (DropStep) effect()         {}
func (RunSample) effect()        {}
func (KeepUsage) effect()        {}
func (ReadSealed) effect()       {}
func (Gather) effect()           {}
func (Seal) effect()             {}
func (Report) effect()           {}
func (MarkReported) effect()     {}
func (ReadIntents) effect()      {}
func (WriteIntents) effect()     {}
func (SendOrder) effect()        {}
func (SendSwap) effect()         {}
func (ReadVersions) effect()     {}
func (CacheState) effect()       {}
func (Note) effect()             {}
