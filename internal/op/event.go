package op

import (
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// Event is something that happened.
type Event interface{ event() }

// Result says how a call to the store or a receiver ended.
type Result string

// The results of calls.
const (
	Done     Result = "Done"
	Conflict Result = "Conflict"
	// Lost means that the effect is unknown.
	Lost Result = "Lost"
	// Refused means that the receiver did nothing.
	Refused Result = "Refused"
)

// Tick passes time. Wall is in Unix milliseconds.
type Tick struct{ Wall clock.Millis }

// Arrive brings a caller's request.
type Arrive struct{ Request Request }

// CallerGone says that a caller no longer waits.
type CallerGone struct {
	Request unit.Request
	// Passed counts the tokens handed to the caller.
	Passed unit.Tokens
}

// Finished ends an attempt.
type Finished struct {
	Request unit.Request
	Run     unit.Request
	Target  unit.Target
	OK      bool
	Outcome unit.Outcome
	Crashed bool
	Leaving bool
	// Passed counts the tokens handed to the caller or kept as a sample.
	Passed unit.Tokens
	// Spans name the versions that produced a whole answer, in order.
	Spans []Span
}

// LeaseRead ends ReadLease.
type LeaseRead struct {
	Scope    unit.Scope
	Result   Result
	Record   LeaseRecord
	Revision unit.Revision
}

// LeaseWritten ends WriteLease. SentAt is when the call was made.
type LeaseWritten struct {
	Scope    unit.Scope
	Result   Result
	Record   LeaseRecord
	Revision unit.Revision
	SentAt   clock.Millis
}

// StateRead ends ReadState and FetchState. AskedAt is when the read was made.
// State is set only if it is newer than what was in force.
type StateRead struct {
	Result   Result
	FromPeer bool
	AskedAt  clock.Millis
	Revision unit.Revision
	State    *OperatorState
}

// StateChanged ends WatchState.
type StateChanged struct{ Result Result }

// PeerHeard brings a peer's knowledge from a direct exchange. Asked is set if
// this instance began it, at AskedAt; only then is the age of the knowledge
// known.
type PeerHeard struct {
	Know    Knowledge
	Asked   bool
	AskedAt clock.Millis
}

// PeerSilent ends a failed exchange.
type PeerSilent struct{ Instance unit.Instance }

// Withdraw is an operator's withdrawal.
type Withdraw struct{ Key unit.KeyID }

// WithdrawalsStored ends StoreWithdrawals.
type WithdrawalsStored struct {
	Result Result
	Keys   []unit.KeyID
}

// LoadRead ends ReadLoad.
type LoadRead struct {
	Target unit.Target
	Result Result
	Load   platform.Load
}

// ListRead ends ReadList.
type ListRead struct {
	Result    Result
	Targets   []platform.TargetState
	Instances []platform.InstanceState
}

// OpenStep is a trainer's call. Call answers it.
type OpenStep struct {
	Call       int64
	Step       unit.StepID
	Route      unit.Route
	KeyHash    string
	Samples    []SampleShape
	Held       []HeldSample
	Staleness  unit.Version
	TrainerAt  unit.Version
	TrainerHas unit.Epoch
}

// StepRead ends ReadStep.
type StepRead struct {
	Step     unit.StepID
	Result   Result
	Record   StepRecord
	Revision unit.Revision
}

// StepSaved ends SaveStep.
type StepSaved struct {
	Step     unit.StepID
	Result   Result
	Record   StepRecord
	Revision unit.Revision
}

// PullSamples is a trainer's call.
type PullSamples struct {
	Call         int64
	Step         unit.StepID
	Epoch        unit.Epoch
	KeyHash      string
	Acknowledged []int32
	Until        clock.Millis
	TrainerAt    unit.Version
	Max          int
}

// CloseStep is a trainer's call.
type CloseStep struct {
	Call         int64
	Step         unit.StepID
	Epoch        unit.Epoch
	KeyHash      string
	Acknowledged []int32
}

// UsageKept ends KeepUsage.
type UsageKept struct {
	Kept     bool
	Releases []unit.Request
}

// SealedRead ends ReadSealed.
type SealedRead struct {
	Result Result
	// Last is the newest sealed window, nil if there is none.
	Last *SealedWindow
	// Reported is the newest window known to be taken by the intake.
	Reported unit.Window
}

// Gathered ends Gather.
type Gathered struct {
	Window   unit.Window
	Result   Result
	Counters []Counters
}

// WindowSealed ends Seal.
type WindowSealed struct {
	Result Result
	Window unit.Window
}

// WindowReported ends Report.
type WindowReported struct {
	Window unit.Window
	Result Result
	// Different is set when the intake holds other figures.
	Different bool
}

// IntentsRead ends ReadIntents.
type IntentsRead struct {
	DataCentre unit.DataCentre
	Result     Result
	Intents    []Intent
	Revision   unit.Revision
}

// IntentsWritten ends WriteIntents.
type IntentsWritten struct {
	DataCentre unit.DataCentre
	Result     Result
}

// OrderSent ends SendOrder.
type OrderSent struct {
	DataCentre unit.DataCentre
	ID         string
	Result     Result
}

// SwapSent ends SendSwap.
type SwapSent struct {
	Target  unit.Target
	Version unit.Version
	Result  Result
}

// VersionsRead ends ReadVersions.
type VersionsRead struct {
	Pool     unit.Pool
	Result   Result
	Versions []unit.Version
}

// Drain starts the planned stop.
type Drain struct{}

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
