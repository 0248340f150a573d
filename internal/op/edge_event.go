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
	// Crashed is set if the connection broke before any answer.
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
// was sent at AskedAt, so this instance's configuration is at least as recent.
type StoreAnswered struct{ AskedAt clock.Millis }

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

// JobShape describes a job without the content of its items.
type JobShape struct {
	ID        string
	Workspace unit.Workspace
	Route     unit.Route
	Pool      unit.Pool
	// MinVersion is the oldest model version that may produce results.
	MinVersion unit.Version
	// WantGroups is the number of complete groups that the trainer waits for; 0
	// means all.
	WantGroups int
	// Series identifies the job's series: the jobs that a trainer submits step
	// after step.
	Series unit.Series
	Items  []ItemShape
	// Age is how long ago the job was submitted.
	Age clock.Millis
}

// ItemShape describes an item without its content.
type ItemShape struct {
	// Group names the group of items that this one belongs to. A group is
	// complete once each of its items has a result or is given up.
	Group string
	Model unit.Model
	// Tokens is the length of the prompt plus the maximum output; Expected is
	// the caller's estimate of the output, 0 for none.
	Tokens, Expected int
	// Reward says where the item's reward call goes. Its Path is empty if the item
	// has none.
	Reward RewardShape
}

// RewardShape describes a reward call without its content.
type RewardShape struct{ Host, Path string }

// JobOwnershipGained means that this instance has become the owner of a job,
// because it stored the job or took it over.
type JobOwnershipGained struct {
	Shape JobShape
	Epoch unit.Epoch
	// Chunks are the stored chunks of the job's results.
	Chunks []ChunkShape
	// Saved maps items, by their position in the job, to the ID of the last
	// output event that this instance has.
	Saved map[int]int64
	// Whole are the items whose complete output this instance has. Scored are
	// those of them whose reward call needs no repetition, since its score is
	// known.
	Whole, Scored []int
	// Ahead is set if the job is not stored yet: its items run, but nothing is
	// listed before JobStored.
	Ahead bool
}

// JobStored means that a job whose items ran ahead is in the store now.
type JobStored struct{ Job string }

// JobNotStored means that this instance has given up storing a job whose items run
// ahead.
type JobNotStored struct{ Job string }

// JobOwnershipLost means that a heartbeat has shown another owner of the job
// with a higher epoch, so that this instance is no longer the owner.
type JobOwnershipLost struct{ Job string }

// ChunkShape describes a stored chunk of a job's results without the texts.
type ChunkShape struct {
	Items []int
	// Ended is set if the chunk ends the job.
	Ended bool
	// Owner is the instance that wrote the chunk, under Epoch.
	Owner unit.Instance
	Epoch unit.Epoch
}

// ItemEnd says how a run of an item ended.
type ItemEnd string

// The ends of runs.
const (
	// ItemComplete means that the output is complete.
	ItemComplete ItemEnd = "Whole"
	// ItemBroken means that the run ended early for a reason other than those
	// below, such as a broken connection or an unusable event. The item can be
	// resumed on another target.
	ItemBroken ItemEnd = "Broken"
	// ItemMoved means that MoveItem aborted the run.
	ItemMoved ItemEnd = "Moved"
	// ItemNotRun means that the target did not accept the item.
	ItemNotRun ItemEnd = "NotRun"
	// ItemFailed means that the target reported a failure, which counts towards
	// the item's maximum attempts.
	ItemFailed ItemEnd = "Failed"
	// ItemImpossible means that the target rejected the item for good.
	ItemImpossible ItemEnd = "Impossible"
	// ItemOldVersion means that the target's model version is too old.
	ItemOldVersion ItemEnd = "OldVersion"
)

// ItemRunEnded means that a run of an item has ended. Last is the ID of the last
// output event that this instance has, -1 for none.
type ItemRunEnded struct {
	Job    string
	Item   int
	Run    int64
	Target unit.Target
	End    ItemEnd
	Last   int64
}

// RewardEnd says how an attempt of a reward call ended.
type RewardEnd string

// The ends of attempts of reward calls.
const (
	// RewardScored means that the call has given a score.
	RewardScored RewardEnd = "Scored"
	// RewardFailed means that the target reported a failure, which counts towards
	// the maximum attempts.
	RewardFailed RewardEnd = "Failed"
	// RewardImpossible means that the target rejected the call for good.
	RewardImpossible RewardEnd = "Impossible"
	// RewardNotRun means that the target did not accept the call.
	RewardNotRun RewardEnd = "NotRun"
	// RewardBroken means that there was no valid answer for another reason.
	RewardBroken RewardEnd = "Broken"
)

// RewardCallEnded means that an attempt of a reward call has ended. Leaving is
// set if the target has said that it is going to stop.
type RewardCallEnded struct {
	Job     string
	Item    int
	Run     int64
	Target  unit.Target
	End     RewardEnd
	Leaving bool
}

// JobOutputUnsaved means that items of a job have enough output events that are
// not stored yet to be worth a write.
type JobOutputUnsaved struct{ Job string }

// ChunkAppended is the result of AppendChunk. Unless the result is Lost, Other
// is the stored chunk with that number, whichever instance wrote it.
type ChunkAppended struct {
	Job    string
	Chunk  int
	Result Result
	Other  ChunkShape
	// Shortened is set if the chunk did not have room for all that AppendChunk asked
	// for. The rest is still to be written.
	Shortened bool
}

// EndRequested means that a caller has asked to end a job. JobEnded with the
// same Call answers it.
type EndRequested struct {
	Job  string
	Call CallID
}

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

// Heartbeat is what each instance regularly sends to all peers.
type Heartbeat struct {
	Instance    unit.Instance
	Incarnation unit.Incarnation
	// Seq numbers the heartbeats of an incarnation.
	Seq        int64
	Address    string
	DataCentre unit.DataCentre
	Uptime     clock.Millis
	// Next is the time until the next heartbeat.
	Next clock.Millis `json:",omitempty"`
	// Wall is the sender's wall clock in Unix milliseconds.
	Wall clock.Millis
	// Leaving is set once the sender is in a graceful shutdown.
	Leaving bool
	// Holder is set while the sender holds the lease of the fleet's
	// single-instance duties.
	Holder bool
	// Jobs are the jobs that the sender owns and has claimed.
	Jobs []JobStatus `json:",omitempty"`
	// Ahead are the jobs that the sender runs although they are not stored yet.
	Ahead []string `json:",omitempty"`
	// Orphans are the jobs that have no owner as far as the sender knows.
	Orphans []string `json:",omitempty"`
	// Counts are the sender's own counts and those of incarnations that have
	// ended. Only some heartbeats contain them.
	Counts []SourceCounts `json:",omitempty"`
	// Lease is the store's revision of the lease that Holder refers to. Only its
	// holder sets it.
	Lease unit.Revision `json:",omitempty"`
	// Crashes counts, for each request content, the targets that have crashed
	// while they processed it for the sender.
	Crashes map[unit.Fingerprint]int `json:",omitempty"`
	// Demands says, for each model, what the sender's jobs need.
	Demands []Demand `json:",omitempty"`
	// Running counts the sender's attempts in flight at each target.
	Running map[unit.Target]int `json:",omitempty"`
	// Slow are the targets whose output events the sender has found slow.
	Slow []unit.Target `json:",omitempty"`
}

// Demand says what the open jobs of an instance need of a model.
type Demand struct {
	_     struct{} `cbor:",toarray"`
	Model unit.Model
	// Newest is the highest minimum version of these jobs.
	Newest unit.Version
	// Waiting counts the items that wait for a target, and MinWaiting is the
	// highest minimum version among them.
	Waiting    int
	MinWaiting unit.Version
	// Open counts the items that wait or run.
	Open int
}

// JobStatus describes a job in the heartbeat of its owner.
type JobStatus struct {
	_     struct{} `cbor:",toarray"`
	ID    string
	Epoch unit.Epoch
	// Closed is set once nothing is left to do for the job.
	Closed bool
	Series unit.Series
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
func (ItemRunEnded) event()         {}
func (RewardCallEnded) event()      {}
func (ChunkAppended) event()        {}
func (EndRequested) event()         {}
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
func (EventTimes) event()           {}
