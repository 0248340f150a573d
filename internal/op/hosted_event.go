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
	// AskedAway means that the request's body did not arrive completely.
	AskedAway Reason = "CallerGone"
	// NotStored means that the store did not confirm a write or read for a job.
	NotStored Reason = "NotStored"
	// BadJob means that a submitted job is invalid or a request too large.
	BadJob Reason = "BadJob"
)

// CallID identifies a caller's request within a process.
type CallID int64

// Asked means that a caller has sent a request. PassOn, TakeJob, ServeBatch or
// Respond with the same Call follows.
type Asked struct {
	Call CallID
	Host string
	Path string
	Head platform.Head
	// Batch is set for a call about an existing job.
	Batch bool
	// Fingerprint is a hash of the request and its key, so that a repeated
	// request is recognised.
	Fingerprint unit.Fingerprint
}

// Passed means that an attempt has ended that PassOn started.
type Passed struct {
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

// Left means that the caller of a request has disconnected.
type Left struct{ Call CallID }

// TableChanged means that a configuration was read from the store.
type TableChanged struct {
	Configuration platform.Configuration
	Revision      unit.Revision
}

// StoreHeard means that the store answered a read of the configuration that was
// sent at AskedAt, so this instance's configuration is at least as recent.
type StoreHeard struct{ AskedAt clock.Millis }

// StoreSilent means that reads from the store have begun to fail.
type StoreSilent struct{}

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

// VersionSeen means that a target answered with this model version.
type VersionSeen struct {
	Target  unit.Target
	Model   unit.Model
	Version unit.Version
}

// Paces holds the mean time between output events at each target, in
// milliseconds, measured since the previous Paces. The runner raises it
// periodically.
type Paces struct{ Millis map[unit.Target]float64 }

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
	Group string
	Model unit.Model
	// Tokens is the length of the prompt plus the maximum output; Expected is
	// the caller's estimate of the output, 0 for none.
	Tokens, Expected int
}

// JobTaken means that this instance has become the owner of a job, because it
// stored the job or took it over.
type JobTaken struct {
	Shape JobShape
	Epoch unit.Epoch
	// Chunks are the stored chunks of the job's results.
	Chunks []ChunkShape
	// Saved maps items that have no result yet to the number of the last output
	// event that this instance has.
	Saved map[int]int64
	// Whole are the items whose complete output was copied from an earlier job
	// of the series.
	Whole []int
}

// JobDropped means that a heartbeat has shown another owner of the job with a
// higher epoch, so that this instance is no longer the owner.
type JobDropped struct{ Job string }

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
	// ItemWhole means that the output is complete.
	ItemWhole ItemEnd = "Whole"
	// ItemBroken means that the stream broke. The item can be resumed on another
	// target.
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

// ItemEnded means that a run of an item has ended. Last is the number of the
// last output event that this instance has, -1 for none.
type ItemEnded struct {
	Job    string
	Item   int
	Run    int64
	Target unit.Target
	End    ItemEnd
	Last   int64
}

// JobProgress means that items of a job have enough output events that are not
// stored yet to be worth a write.
type JobProgress struct{ Job string }

// Appended is the result of AppendChunk. Unless the result is Lost, Other is the
// stored chunk with that number, whichever instance wrote it.
type Appended struct {
	Job    string
	Chunk  int
	Result Result
	Other  ChunkShape
}

// EndAsked means that a caller has asked to end a job. JobEnded with the same
// Call answers it.
type EndAsked struct {
	Job  string
	Call CallID
}

// OrderEnded is the result of OrderVersion. Conflict means that the target is
// busy with another order.
type OrderEnded struct {
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

// CountsHeard means that a heartbeat contained counts.
type CountsHeard struct{ Counts []SourceCounts }

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

// SizeOrdered is the result of OrderSize. Conflict means that the platform has
// no capacity for more targets.
type SizeOrdered struct {
	Pool       unit.Pool
	DataCentre unit.DataCentre
	Result     Result
}

// Beat is a heartbeat, which each instance sends to all peers.
type Beat struct {
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
	// Leaving is set once the sender is in its planned stop.
	Leaving bool
	// Holder is set while the sender holds the lease of the fleet's
	// single-instance duties.
	Holder bool
	// Jobs are the jobs that the sender owns and has claimed.
	Jobs []JobNote `json:",omitempty"`
	// Orphans are the jobs that have no owner as far as the sender knows.
	Orphans []string `json:",omitempty"`
	// Counts are the sender's own counts and those of incarnations that have
	// ended. Only some heartbeats contain them.
	Counts []SourceCounts `json:",omitempty"`
	// Lease is the revision of the lease of the duties, set by its holder.
	Lease unit.Revision `json:",omitempty"`
	// Crashes counts, for each request content, the targets that have crashed
	// while they processed it for the sender.
	Crashes map[unit.Fingerprint]int `json:",omitempty"`
	// Demands says what the sender's jobs wait for.
	Demands []Demand `json:",omitempty"`
	// Running counts the sender's attempts in flight at each target.
	Running map[unit.Target]int `json:",omitempty"`
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

// JobNote describes a job in the heartbeat of its owner.
type JobNote struct {
	_     struct{} `cbor:",toarray"`
	ID    string
	Epoch unit.Epoch
	// Closed is set once nothing is left to do for the job.
	Closed bool
	Series unit.Series
}

// BeatHeard means that a peer's heartbeat has arrived.
type BeatHeard struct{ Beat Beat }

// PeersListed means that the addresses of all instances were read from the
// store.
type PeersListed struct{ Peers map[unit.Instance]string }

// JobsFound is the result of ListJobs. Jobs are the recently submitted ones.
type JobsFound struct {
	Result Result
	Jobs   []string
}

// JobSettled means that TakeOver found a job that has ended or whose results
// are all listed, so that it needs no owner.
type JobSettled struct{ Job string }

// JobSeen means that this instance has read or written a job in the store
// without becoming its owner. The job may have none.
type JobSeen struct{ Job string }

func (Asked) event()         {}
func (Passed) event()        {}
func (Left) event()          {}
func (TableChanged) event()  {}
func (StoreHeard) event()    {}
func (StoreSilent) event()   {}
func (TargetsListed) event() {}
func (TargetChanged) event() {}
func (VersionWanted) event() {}
func (VersionSeen) event()   {}
func (JobTaken) event()      {}
func (JobDropped) event()    {}
func (JobProgress) event()   {}
func (ItemEnded) event()     {}
func (Appended) event()      {}
func (EndAsked) event()      {}
func (OrderEnded) event()    {}
func (CountsHeard) event()   {}
func (CountsSealed) event()  {}
func (SizeOrdered) event()   {}
func (CountsSent) event()    {}
func (BeatHeard) event()     {}
func (PeersListed) event()   {}
func (JobsFound) event()     {}
func (JobSeen) event()       {}
func (JobSettled) event()    {}
func (Paces) event()         {}
