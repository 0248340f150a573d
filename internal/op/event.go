package op

import (
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// Event is something that happened and that a reducer processes.
type Event interface{ event() }

// Result says how a call to the store or another service ended.
type Result string

// The results of calls.
const (
	// Done means that the call took effect.
	Done Result = "Done"
	// Conflict means that a conditional write did nothing, since the object has
	// another revision. For orders see VersionOrdered and TargetsOrdered.
	Conflict Result = "Conflict"
	// Lost means that a read failed, or that it is unknown whether a write took
	// effect, such as after a timeout.
	Lost Result = "Lost"
	// Refused means that the call certainly had no effect: the receiver rejected
	// it, or it was not sent.
	Refused Result = "Refused"
)

// Tick comes at a fixed interval from the runner. Wall is the wall clock in Unix
// milliseconds.
type Tick struct{ Wall clock.Millis }

// Arrive means that a caller has sent a request.
type Arrive struct{ Request Request }

// CallerGone means that the caller of a request has disconnected before the end
// of the answer.
type CallerGone struct {
	Request unit.Request
	// Passed counts the tokens that the caller got.
	Passed unit.Tokens
}

// Finished means that an attempt that Dispatch started has ended.
type Finished struct {
	Request unit.Request
	Run     unit.Request
	Target  unit.Target
	// OK is set if the answer is complete.
	OK      bool
	Outcome unit.Outcome
	// Crashed is set if the target broke the connection and does not answer any
	// more.
	Crashed bool
	// Leaving is set if the target has said that it is going to stop.
	Leaving bool
	// Passed counts the tokens that the caller got, or those of a sample's
	// answer.
	Passed unit.Tokens
	// Spans are the model versions that produced the answer, in order. They are
	// set only if it is complete.
	Spans []Span
}

// LeaseRead is the result of ReadLease.
type LeaseRead struct {
	Scope    unit.Scope
	Result   Result
	Record   LeaseRecord
	Revision unit.Revision
}

// LeaseWritten is the result of WriteLease. SentAt is the time before the write
// was sent, from which the duration of the lease counts.
type LeaseWritten struct {
	Scope    unit.Scope
	Result   Result
	Record   LeaseRecord
	Revision unit.Revision
	SentAt   clock.Millis
}

// StateRead is the result of ReadState or FetchState. The runner also raises it
// for the state cached on the local disk, and after an operator has changed the
// state on this instance.
type StateRead struct {
	Result Result
	// FromPeer is set unless it is the result of ReadState.
	FromPeer bool
	// AskedAt is when the read was sent; it is not set with FromPeer.
	AskedAt  clock.Millis
	Revision unit.Revision
	// State is the state that was read, nil if the read failed or, after
	// ReadState, if the stored one is not newer than Have.
	State *OperatorState
}

// StateChanged is the result of WatchState.
type StateChanged struct{ Result Result }

// PeerHeard means that a peer's Knowledge has arrived, as the request or as the
// answer of an exchange.
type PeerHeard struct {
	Know Knowledge
	// Asked is set if this instance sent the request, at AskedAt. Only then can
	// the age of the knowledge be bounded.
	Asked   bool
	AskedAt clock.Millis
}

// PeerSilent means that an exchange with a peer failed, or that another
// instance answered at its address.
type PeerSilent struct{ Instance unit.Instance }

// Withdraw means that an operator has withdrawn an API key on this instance.
type Withdraw struct{ Key unit.KeyID }

// WithdrawalsStored is the result of StoreWithdrawals.
type WithdrawalsStored struct {
	Result Result
	Keys   []unit.KeyID
}

// LoadRead is the result of ReadLoad.
type LoadRead struct {
	Target unit.Target
	Result Result
	Load   platform.Load
}

// ListRead is the result of ReadList.
type ListRead struct {
	Result    Result
	Targets   []platform.TargetState
	Instances []platform.InstanceState
}

// OpenStep means that a trainer has called this instance to open a step, which
// is a batch of samples. StepOpened with the same Call answers it.
type OpenStep struct {
	Call    int64
	Step    unit.StepID
	Route   unit.Route
	KeyHash string
	Samples []SampleShape
	// Held are the samples whose results the trainer has already.
	Held []HeldSample
	// Staleness is how many versions a sample may be behind the pool's active
	// version or TrainerAt, whichever is higher.
	Staleness unit.Version
	// TrainerAt is the model version that the trainer has reached.
	TrainerAt unit.Version
	// TrainerHas is the highest epoch of the step that the trainer knows.
	TrainerHas unit.Epoch
}

// StepRead is the result of ReadStep.
type StepRead struct {
	Step     unit.StepID
	Result   Result
	Record   StepRecord
	Revision unit.Revision
}

// StepSaved is the result of SaveStep.
type StepSaved struct {
	Step     unit.StepID
	Result   Result
	Record   StepRecord
	Revision unit.Revision
}

// PullSamples means that a trainer has called this instance for samples of a
// step. Deliver with the same Call answers it.
type PullSamples struct {
	Call    int64
	Step    unit.StepID
	Epoch   unit.Epoch
	KeyHash string
	// Acknowledged are the indexes of samples that the trainer has received.
	Acknowledged []int32
	// Until is when the call is answered even without samples.
	Until clock.Millis
	// TrainerAt is the model version that the trainer has reached.
	TrainerAt unit.Version
	// Max is the maximum number of samples in the answer; 0 means the default.
	Max int
}

// CloseStep means that a trainer has called this instance to close a step.
// StepEnded with the same Call answers it.
type CloseStep struct {
	Call    int64
	Step    unit.StepID
	Epoch   unit.Epoch
	KeyHash string
	// Acknowledged are the indexes of samples that the trainer has received.
	Acknowledged []int32
}

// UsageKept is the result of KeepUsage. Kept is set if a peer has the copy;
// Releases are the requests to complete in either case.
type UsageKept struct {
	Kept     bool
	Releases []unit.Request
}

// SealedRead is the result of ReadSealed.
type SealedRead struct {
	Result Result
	// Last is the newest sealed window, nil if there is none.
	Last *SealedWindow
	// Reported is the newest window that the usage endpoint is known to have
	// accepted.
	Reported unit.Window
}

// Gathered is the result of Gather.
type Gathered struct {
	Window   unit.Window
	Result   Result
	Counters []Counters
}

// WindowSealed is the result of Seal.
type WindowSealed struct {
	Result Result
	Window unit.Window
}

// WindowReported is the result of Report.
type WindowReported struct {
	Window unit.Window
	Result Result
	// Different is set if the usage endpoint has other figures for the window.
	Different bool
}

// IntentsRead is the result of ReadIntents.
type IntentsRead struct {
	DataCentre unit.DataCentre
	Result     Result
	Intents    []Intent
	Revision   unit.Revision
}

// IntentsWritten is the result of WriteIntents.
type IntentsWritten struct {
	DataCentre unit.DataCentre
	Result     Result
}

// OrderSent is the result of SendOrder.
type OrderSent struct {
	DataCentre unit.DataCentre
	ID         string
	Result     Result
}

// SwapSent is the result of SendSwap.
type SwapSent struct {
	Pool    unit.Pool
	Target  unit.Target
	Version unit.Version
	Result  Result
}

// VersionsRead is the result of ReadVersions.
type VersionsRead struct {
	Pool     unit.Pool
	Result   Result
	Versions []unit.Version
}

// Drain means that the graceful shutdown of this instance begins.
type Drain struct {
	// From RefuseAfter on, counted from now, requests are refused that may not end
	// before CutAfter. Without a CutAfter, none is refused for that.
	RefuseAfter, CutAfter clock.Millis `json:",omitempty"`
}

func (Tick) event()              {}
func (Arrive) event()            {}
func (CallerGone) event()        {}
func (Finished) event()          {}
func (LeaseRead) event()         {}
func (LeaseWritten) event()      {}
func (StateRead) event()         {}
func (StateChanged) event()      {}
func (PeerHeard) event()         {}
func (PeerSilent) event()        {}
func (Withdraw) event()          {}
func (WithdrawalsStored) event() {}
func (LoadRead) event()          {}
func (ListRead) event()          {}
func (OpenStep) event()          {}
func (StepRead) event()          {}
func (StepSaved) event()         {}
func (PullSamples) event()       {}
func (CloseStep) event()         {}
func (UsageKept) event()         {}
func (SealedRead) event()        {}
func (Gathered) event()          {}
func (WindowSealed) event()      {}
func (WindowReported) event()    {}
func (IntentsRead) event()       {}
func (IntentsWritten) event()    {}
func (OrderSent) event()         {}
func (SwapSent) event()          {}
func (VersionsRead) event()      {}
func (Drain) event()             {}
