package op

import (
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// The reasons for refusals that only package edge uses.
const (
	// NoTarget means that no target can take the request now.
	NoTarget Reason = "NoTarget"
	// TimedOut means that too little time is left for another attempt.
	TimedOut Reason = "TimedOut"
	// BodyIncomplete means that the request's body did not arrive completely.
	BodyIncomplete Reason = "CallerGone"
	// NotStored means that the store did not confirm a write or read for a job.
	NotStored Reason = "NotStored"
	// BadJob means that a submitted job is invalid or a request too large.
	BadJob Reason = "BadJob"
)

// CallID identifies a caller's request within a process.
type CallID int64

// RequestReceived means that a caller has sent a request. ForwardRequest,
// AcceptJob, ServeJobCall or Respond with the same Call follows.
type RequestReceived struct {
	Call CallID
	Host string
	Path string
	Head platform.RequestHeaders
	// Batch is set if the method and path are those of a call about an existing
	// job.
	Batch bool
	// Fingerprint is a hash of the request and its key, so that a repeated
	// request is recognised.
	Fingerprint unit.Fingerprint
}

// AttemptEnded means that an attempt that ForwardRequest started has ended.
type AttemptEnded struct {
	Call   CallID
	Target unit.Target
	// Whole is set if the caller got the complete answer, Begun if it got a part
	// of it, after which no other target can be tried.
	Whole   bool
	Begun   bool
	Outcome unit.Outcome
	// Leaving is set if the target has said that it is going to stop.
	Leaving bool
	// Crashed is set if the connection broke before the answer was whole, and the target
	// takes no new one.
	Crashed bool
	// SentAt is when the attempt was sent.
	SentAt clock.Millis
}

// CallerDisconnected means that the caller of a request has disconnected.
type CallerDisconnected struct{ Call CallID }

// ConfigurationChanged means that a configuration was read from the store.
type ConfigurationChanged struct {
	Configuration platform.Configuration
	Revision      unit.Revision
}

// StoreAnswered means that the store answered a read of the configuration that
// was sent at AskedAt, so this instance's configuration is at least as recent, unless
// the one that was read could not be decoded.
type StoreAnswered struct {
	AskedAt   clock.Millis
	Undecoded bool
}

// StoreUnreachable means that reads from the store have begun to fail.
type StoreUnreachable struct{}

// TargetsListed means that the entries of all targets were read from the store.
type TargetsListed struct{ Entries []platform.TargetEntry }

// TargetChanged means that a target's entry in the store was written or removed.
type TargetChanged struct {
	Entry   platform.TargetEntry
	Removed bool
}

// VersionWanted means that the store holds the version that a trainer has named
// for a model.
type VersionWanted struct {
	Model   unit.Model
	Version unit.Version
}

// VersionReported means that a target answered with this model version.
type VersionReported struct {
	Target  unit.Target
	Model   unit.Model
	Version unit.Version
}

// EventTimes holds the mean time between output events at each target, in
// milliseconds, measured since the previous EventTimes. The runner raises it
// periodically.
type EventTimes struct{ Millis map[unit.Target]float64 }

// VersionOrdered is the result of OrderVersion. Conflict means that the target
// is busy with another order.
type VersionOrdered struct {
	Target  unit.Target
	Model   unit.Model
	Version unit.Version
	Result  Result
}

// SourceCounts holds the request counts of one incarnation of an instance.
type SourceCounts struct {
	_      struct{} `cbor:",toarray"`
	Source unit.Incarnation
	Counts []WindowCount
}

// CountsReceived means that a heartbeat contained counts.
type CountsReceived struct{ Counts []SourceCounts }

// WindowCount is the number of a workspace's requests in a window, as counted by
// one source.
type WindowCount struct {
	_         struct{} `cbor:",toarray"`
	Window    unit.Window
	Workspace unit.Workspace
	Count     int64
}

// CountsSealed is the result of SealCounts. Counts is what the store holds.
type CountsSealed struct {
	Window unit.Window
	Result Result
	Counts map[unit.Workspace]int64
}

// CountsSent is the result of SendCounts.
type CountsSent struct {
	Window unit.Window
	Result Result
}

// TargetsOrdered is the result of OrderTargets. Conflict means that the
// platform has no capacity for more targets.
type TargetsOrdered struct {
	Pool       unit.Pool
	DataCentre unit.DataCentre
	Result     Result
}

// HeartbeatReceived means that a peer's heartbeat has arrived.
type HeartbeatReceived struct{ Heartbeat Heartbeat }

// PeersListed means that the addresses of all instances were read from the
// store.
type PeersListed struct{ Peers map[unit.Instance]string }

// JobsListed is the result of ListJobs. Jobs are the recently submitted ones.
type JobsListed struct {
	Result Result
	Jobs   []string
}

// JobClosed means that TakeOverJob found a job that has ended or whose results
// are all listed, so that it needs no owner.
type JobClosed struct{ Job string }

// JobMissing means that TakeOverJob found no such job in the store.
type JobMissing struct{ Job string }

// StoredJobFound means that this instance has read or written a job in the
// store without becoming its owner. The job may have none.
type StoredJobFound struct{ Job string }

func (RequestReceived) event()      {}
func (AttemptEnded) event()         {}
func (CallerDisconnected) event()   {}
func (ConfigurationChanged) event() {}
func (StoreAnswered) event()        {}
func (StoreUnreachable) event()     {}
func (TargetsListed) event()        {}
func (TargetChanged) event()        {}
func (VersionWanted) event()        {}
func (VersionReported) event()      {}
func (JobOwnershipGained) event()   {}
func (JobOwnershipLost) event()     {}
func (JobStored) event()            {}
func (JobNotStored) event()         {}
func (JobOutputUnsaved) event()     {}
func (JobSurplus) event()           {}
func (ItemRunEnded) event()         {}
func (RewardCallEnded) event()      {}
func (ChunkAppended) event()        {}
func (EndRequested) event()         {}
func (ItemsRepeated) event()        {}
func (VersionOrdered) event()       {}
func (CountsReceived) event()       {}
func (CountsSealed) event()         {}
func (TargetsOrdered) event()       {}
func (CountsSent) event()           {}
func (HeartbeatReceived) event()    {}
func (PeersListed) event()          {}
func (JobsListed) event()           {}
func (StoredJobFound) event()       {}
func (JobClosed) event()            {}
func (JobMissing) event()           {}
func (EventTimes) event()           {}
