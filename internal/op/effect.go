package op

import (
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// Effect is something that a decision asks a runner to do.
type Effect interface{ effect() }

// List is the effects of one event, in order.
type List []Effect

// Add appends an effect.
func (l *List) Add(e Effect) { *l = append(*l, e) }

// Reason says why a request or step was refused or ended.
type Reason string

// The reasons of refusals.
const (
	NoKey        Reason = "NoKey"
	BadKey       Reason = "BadKey"
	Withdrawn    Reason = "KeyWithdrawn"
	NotFresh     Reason = "NotFresh"
	NoRoute      Reason = "NoRoute"
	NotAllowed   Reason = "NotAllowed"
	WrongKind    Reason = "WrongKind"
	Overloaded   Reason = "Overloaded"
	Draining     Reason = "Draining"
	CrashSuspect Reason = "CrashSuspect"
	Deadline     Reason = "DeadlineExceeded"
	TargetFailed Reason = "TargetFailed"
	NoConfig     Reason = "NoConfig"
	NoStep       Reason = "NoStep"
	StaleEpoch   Reason = "StaleEpoch"
	StepClosed   Reason = "StepClosed"
	BadReceipt   Reason = "BadReceipt"
)

// Dispatch sends a request to a target.
type Dispatch struct {
	Request unit.Request
	// Run is unique to this attempt; the target sees it as the request id.
	Run     unit.Request
	Target  unit.Target
	Address string
	Plain   bool
	// Step and Index are set for a sample.
	Step  unit.StepID
	Index int32
}

// Cancel breaks off a running attempt.
type Cancel struct {
	Request unit.Request
	Run     unit.Request
	Target  unit.Target
}

// Refuse ends a request without an answer.
type Refuse struct {
	Request unit.Request
	Reason  Reason
	Outcome unit.Outcome
	// RetryAfter hints when to try again; 0 is no hint.
	RetryAfter clock.Millis
	// Step and Index are set for a sample.
	Step  unit.StepID
	Index int32
}

// Release lets the end of a whole answer go to its caller.
type Release struct{ Request unit.Request }

// ReadLease reads a lease object.
type ReadLease struct{ Scope unit.Scope }

// WriteLease writes a lease object conditionally.
type WriteLease struct {
	Scope  unit.Scope
	Record LeaseRecord
	IfRev  unit.Revision
}

// ReadState reads the operators' state from the store. Have is the revision in
// force, so that an unchanged document is not read again.
type ReadState struct{ Have unit.Revision }

// WatchState waits until the operators' state has a revision above After.
type WatchState struct{ After unit.Revision }

// Exchange swaps knowledge with a peer.
type Exchange struct {
	Instance unit.Instance
	Address  string
	Know     Knowledge
}

// FetchState reads the operators' state from a peer.
type FetchState struct {
	Instance unit.Instance
	Address  string
}

// StoreWithdrawals adds withdrawals to the store.
type StoreWithdrawals struct{ Keys []unit.KeyID }

// ReadLoad reads a target's load report.
type ReadLoad struct {
	Target  unit.Target
	Address string
}

// ReadList reads the platform's lists.
type ReadList struct{}

// SaveStep writes a step's record conditionally.
type SaveStep struct {
	Step   unit.StepID
	Record StepRecord
	IfRev  unit.Revision
	// Claim is set on the write that makes this instance the home.
	Claim bool
}

// ReadStep reads a step's record.
type ReadStep struct{ Step unit.StepID }

// StepOpened answers a call to open a step.
type StepOpened struct {
	Call   int64
	Step   unit.StepID
	Epoch  unit.Epoch
	Reason Reason
}

// Deliver answers a pull with samples.
type Deliver struct {
	Call    int64
	Step    unit.StepID
	Epoch   unit.Epoch
	Samples []SampleResult
	Done    bool
	Reason  Reason
}

// StepEnded answers a call to close a step.
type StepEnded struct {
	Call     int64
	Step     unit.StepID
	Recorded bool
	Reason   Reason
}

// DropStep forgets the content of a step that is no longer at home here.
type DropStep struct {
	Step  unit.StepID
	Epoch unit.Epoch
}

// RunSample submits a sample of a step as a request.
type RunSample struct {
	Request Request
	Step    unit.StepID
	Index   int32
}

// KeepUsage copies counters to a peer and then releases the requests.
type KeepUsage struct {
	Counters Counters
	Releases []unit.Request
}

// ReadSealed reads what was sealed last.
type ReadSealed struct{}

// Gather collects counters from all instances and steps.
type Gather struct{ Window unit.Window }

// Seal creates the object of a link of the chain if it is absent.
type Seal struct{ Sealed SealedWindow }

// Report sends a sealed window to the intake.
type Report struct {
	Window     unit.Window
	Body       []byte
	Fence      unit.Fence
	SendBefore clock.Millis
}

// MarkReported notes in the store how far reports were taken.
type MarkReported struct {
	Seq    int64
	Window unit.Window
}

// ReadIntents reads the orders wanted in a data centre.
type ReadIntents struct{ DataCentre unit.DataCentre }

// WriteIntents writes them conditionally.
type WriteIntents struct {
	DataCentre unit.DataCentre
	Intents    []Intent
	IfRev      unit.Revision
}

// SendOrder sends an order to the platform.
type SendOrder struct{ Order platform.Order }

// SendSwap sends a weight order to a target.
type SendSwap struct {
	Target  unit.Target
	Address string
	Swap    platform.Swap
}

// ReadVersions reads the versions published for a pool.
type ReadVersions struct{ Pool unit.Pool }

// CacheState writes the operators' state to the local disk, if there is one.
type CacheState struct {
	Revision unit.Revision
	State    OperatorState
}

// Note is a decision worth a log line.
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
