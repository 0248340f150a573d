package op

import (
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// The reasons of answers to callers of routes.
const (
	NoTarget  Reason = "NoTarget"
	TimedOut  Reason = "TimedOut"
	AskedAway Reason = "CallerGone"
	NotStored Reason = "NotStored"
	BadJob    Reason = "BadJob"
)

// CallID names a caller's request within a process.
type CallID int64

// Asked brings a caller's request for a route.
type Asked struct {
	Call CallID
	Host string
	Path string
	Head platform.Head
	// Batch is set for a call about a job that exists.
	Batch bool
	// Fingerprint identifies the content, whoever sends it again.
	Fingerprint unit.Fingerprint
}

// Passed ends an attempt at a target. Whole is set if the answer went to the
// caller; Begun if a part of it did.
type Passed struct {
	Call    CallID
	Target  unit.Target
	Whole   bool
	Begun   bool
	Outcome unit.Outcome
	Leaving bool
	// Crashed is set if the connection broke before any answer.
	Crashed bool
	// SentAt is when the attempt was sent.
	SentAt clock.Millis
}

// Left says that the caller of a request is gone.
type Left struct{ Call CallID }

// TableChanged brings a configuration.
type TableChanged struct {
	Configuration platform.Configuration
	Revision      unit.Revision
}

// StoreHeard says that the store answered a call made at AskedAt, so that what
// is known of the configuration is at least as new.
type StoreHeard struct{ AskedAt clock.Millis }

// StoreSilent says that the store did not answer.
type StoreSilent struct{}

// TargetsListed brings all entries of targets.
type TargetsListed struct{ Entries []platform.TargetEntry }

// TargetChanged brings one entry, or its removal.
type TargetChanged struct {
	Entry   platform.TargetEntry
	Removed bool
}

// VersionWanted brings the version that a trainer named.
type VersionWanted struct {
	Model   unit.Model
	Version unit.Version
}

// VersionSeen says which version a target answered with.
type VersionSeen struct {
	Target  unit.Target
	Model   unit.Model
	Version unit.Version
}

// Paces brings the mean time between events at each target, in milliseconds,
// over the time since the last such event.
type Paces struct{ Millis map[unit.Target]float64 }

// JobShape is a job without its content.
type JobShape struct {
	ID         string
	Workspace  unit.Workspace
	Route      unit.Route
	Pool       unit.Pool
	MinVersion unit.Version
	WantGroups int
	Series     unit.Series
	Items      []ItemShape
	// Age is how long ago the job was submitted.
	Age clock.Millis
}

// ItemShape is what decisions need of an item.
type ItemShape struct {
	Group string
	Model unit.Model
	// Tokens is the prompt and the longest output; Expected the caller's
	// estimate of the output, 0 for none.
	Tokens, Expected int
}

// JobTaken makes this instance the owner of a job. Chunks are the chunks that
// its list has already.
type JobTaken struct {
	Shape  JobShape
	Epoch  unit.Epoch
	Chunks []ChunkShape
	// Saved holds the last kept event of items that are not listed.
	Saved map[int]int64
	// Whole are the items whose whole output an earlier job had.
	Whole []int
}

// JobDropped says that another instance owns the job under a higher epoch.
type JobDropped struct{ Job string }

// ChunkShape is a chunk of a job's list of results without the texts.
type ChunkShape struct {
	Items []int
	// Ended is set on the last chunk.
	Ended bool
	// Owner wrote the chunk under an epoch.
	Owner unit.Instance
	Epoch unit.Epoch
}

// ItemEnd says how a run of an item ended.
type ItemEnd string

// The ends of runs.
const (
	// ItemWhole means that the whole output is there.
	ItemWhole ItemEnd = "Whole"
	// ItemBroken means that the stream broke; it may go on elsewhere.
	ItemBroken ItemEnd = "Broken"
	// ItemMoved means that the run was ended by MoveItem.
	ItemMoved ItemEnd = "Moved"
	// ItemNotRun means that the target did not take the item.
	ItemNotRun ItemEnd = "NotRun"
	// ItemFailed is a failure that counts as an attempt.
	ItemFailed ItemEnd = "Failed"
	// ItemImpossible means that the item can never be done.
	ItemImpossible ItemEnd = "Impossible"
	// ItemOldVersion means that the target has too old a version.
	ItemOldVersion ItemEnd = "OldVersion"
)

// ItemEnded ends a run of an item. Last is the last event that is kept.
type ItemEnded struct {
	Job    string
	Item   int
	Run    int64
	Target unit.Target
	End    ItemEnd
	Last   int64
}

// JobProgress says that items of a job have events which only this instance
// has, and which are worth a write.
type JobProgress struct{ Job string }

// Appended ends AppendChunk. Other is the chunk that stands there in case of a
// conflict.
type Appended struct {
	Job    string
	Chunk  int
	Result Result
	Other  ChunkShape
}

// EndAsked asks for the end of a job. Call is answered by JobEnded.
type EndAsked struct {
	Job  string
	Call CallID
}

// OrderEnded ends OrderVersion.
type OrderEnded struct {
	Target  unit.Target
	Model   unit.Model
	Version unit.Version
	Result  Result
}

// SourceCounts are the counts of one incarnation.
type SourceCounts struct {
	_      struct{} `cbor:",toarray"`
	Source unit.Incarnation
	Counts []WindowCount
}

// CountsHeard brings counts that other instances told of.
type CountsHeard struct{ Counts []SourceCounts }

// WindowCount is the use of a workspace in a window as one source counted it.
type WindowCount struct {
	_         struct{} `cbor:",toarray"`
	Window    unit.Window
	Workspace unit.Workspace
	Count     int64
}

// CountsSealed ends SealCounts. Counts is what stands in the store.
type CountsSealed struct {
	Window unit.Window
	Result Result
	Counts map[unit.Workspace]int64
}

// CountsSent ends SendCounts.
type CountsSent struct {
	Window unit.Window
	Result Result
}

// SizeOrdered ends OrderSize. Conflict means that none are to be had.
type SizeOrdered struct {
	Pool       unit.Pool
	DataCentre unit.DataCentre
	Result     Result
}

// Beat is what an instance tells its peers.
type Beat struct {
	Instance    unit.Instance
	Incarnation unit.Incarnation
	// Seq rises with each heartbeat of an incarnation.
	Seq        int64
	Address    string
	DataCentre unit.DataCentre
	Uptime     clock.Millis
	// Next is within what time the next heartbeat follows.
	Next clock.Millis `json:",omitempty"`
	// Wall is the instance's Unix time.
	Wall    clock.Millis
	Leaving bool
	// Holder is set while the instance holds the lease of the duties.
	Holder  bool
	Jobs    []JobNote `json:",omitempty"`
	Orphans []string  `json:",omitempty"`
	// Counts are the instance's own and those of sources that have ended.
	Counts []SourceCounts `json:",omitempty"`
	// Lease is the revision of the lease that the holder renewed last.
	Lease unit.Revision `json:",omitempty"`
	// Crashes counts the targets that each content seems to have crashed.
	Crashes map[unit.Fingerprint]int `json:",omitempty"`
	// Demands are what the instance's jobs wait for.
	Demands []Demand `json:",omitempty"`
	// Running are the attempts that the instance has at each target.
	Running map[unit.Target]int `json:",omitempty"`
}

// Demand is what the open jobs of a model wait for at one instance.
type Demand struct {
	_     struct{} `cbor:",toarray"`
	Model unit.Model
	// Newest is the oldest version that the newest job takes.
	Newest unit.Version
	// Waiting counts the items that wait for a target, MinWaiting is the
	// highest version that one of them needs.
	Waiting    int
	MinWaiting unit.Version
	// Open counts the items that have no result yet.
	Open int
}

// JobNote is a job that an instance owns.
type JobNote struct {
	_      struct{} `cbor:",toarray"`
	ID     string
	Epoch  unit.Epoch
	Closed bool
	Series unit.Series
}

// BeatHeard brings a peer's heartbeat.
type BeatHeard struct{ Beat Beat }

// PeersListed brings the addresses of instances from the store.
type PeersListed struct{ Peers map[unit.Instance]string }

// JobsFound ends ListJobs.
type JobsFound struct {
	Result Result
	Jobs   []string
}

// JobSettled says that a job in the store has ended, or lists all results.
type JobSettled struct{ Job string }

// JobSeen says that a job stands in the store; it may have no owner.
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
