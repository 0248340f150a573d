package op

import (
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// ForwardRequest forwards a caller's request to a target and the answer to the
// caller. AttemptEnded reports the end of the attempt.
type ForwardRequest struct {
	Call      CallID
	Route     unit.Route
	Pool      unit.Pool
	Target    unit.Target
	Address   string
	Workspace unit.Workspace
	// Attempt counts from 1.
	Attempt int
	// Until is when the attempt times out, Deadline when the whole request does.
	Until, Deadline clock.Millis
	// Streaming is set if the answer is to be forwarded as it arrives.
	Streaming bool
	// Once is set if the request may run at most once.
	Once bool
}

// AcceptJob means that a request to submit a job is allowed: the runner decodes
// the job, stores it and answers the caller. JobOwnershipGained or
// StoredJobFound follows.
type AcceptJob struct {
	Call      CallID
	Rule      platform.RouteRule
	Workspace unit.Workspace
}

// ServeJobCall means that a call about an existing job is allowed, provided
// that the job belongs to the workspace: the runner checks that, executes the
// call and answers the caller.
type ServeJobCall struct {
	Call      CallID
	Workspace unit.Workspace
}

// Respond answers a caller with a status of this instance, not of a target.
type Respond struct {
	Call       CallID
	Status     int
	Reason     Reason
	Outcome    unit.Outcome
	RetryAfter clock.Millis
	// Route, Attempts and KnownFor are for the log. KnownFor is the age of the
	// configuration that the decision was made with.
	Route    unit.Route
	Attempts int
	KnownFor clock.Millis
}

// RunItem sends an item of a job to a target. ItemRunEnded reports the end of
// the run.
type RunItem struct {
	Job  string
	Item int
	// Run is the number of the run, unique within this process.
	Run     int64
	Target  unit.Target
	Address string
	Model   unit.Model
	// MinVersion is the oldest model version that may produce an event.
	MinVersion unit.Version
	// SingleVersion is set if one model version must produce the whole output.
	SingleVersion bool
	// After is the ID (platform.Event.ID) of the last output event that is known to
	// the reducer, -1 for none. The run resumes after the last one that this
	// instance holds.
	After int64
	// Until is when the run times out at the latest.
	Until clock.Millis
}

// SendRewardCall sends the reward call of an item whose output is complete.
// RewardCallEnded reports the end of the attempt, unless StopItem aborts it.
type SendRewardCall struct {
	Job  string
	Item int
	// Run is the number of the attempt, unique among runs of items and attempts of
	// reward calls within this process.
	Run     int64
	Route   unit.Route
	Target  unit.Target
	Address string
	// Until is when the attempt times out. Since is when the output was complete.
	Until, Since clock.Millis
}

// MoveItem aborts a run so that the item can be resumed on another target.
// ItemRunEnded reports the end.
type MoveItem struct {
	Job  string
	Item int
	Run  int64
}

// StopItem aborts a run or an attempt of a reward call.
type StopItem struct {
	Job  string
	Item int
	Run  int64
}

// CompareJobs finds out whether another job of the series, of a later step, runs items
// of a job that this instance owns. ItemsRepeated follows if it does.
type CompareJobs struct{ Job, Other string }

// AppendChunk stores the next chunk of a job's results, unless there is one
// with its number. ChunkAppended reports the result.
type AppendChunk struct {
	Job string
	// Chunk is the number of the chunk, which counts from 0 in each job.
	Chunk int
	// Done are the items with a complete output, GivenUp those that failed for
	// good.
	Done, GivenUp []int
	// Ended is set if the chunk ends the job.
	Ended bool
	Epoch unit.Epoch
	// Save is set if the chunk must include all output events of unfinished
	// items that are not stored yet. Otherwise items with few such events are left
	// out.
	Save bool
}

// ResultsListed means that a chunk of results has been stored, which gives its
// items their final positions in the job's list. Total is the length of the
// list. The runner logs it.
type ResultsListed struct {
	Job   string
	Chunk ChunkShape
	Total int
}

// JobClaimed means that no former owner can add results any more: this instance
// has stored a chunk to claim the job, and so knows all earlier chunks, or the
// job has ended. The runner may answer calls about the job from now on.
type JobClaimed struct{ Job string }

// JobEnded answers EndRequested once the end of the job is stored.
type JobEnded struct{ Call CallID }

// OrderVersion orders a target to load a version of a model. VersionOrdered
// reports the result.
type OrderVersion struct{ Order platform.VersionOrder }

// DutiesLeaseChanged means that this instance has acquired or lost the lease of
// the fleet's single-instance duties, such as ordering versions. The runner
// starts or stops watching the versions that trainers name. It is only an
// effect of Tick, so two are never executed at the same time.
type DutiesLeaseChanged struct{ Held bool }

// SealCounts stores the request counts of a window, unless they are stored
// already. CountsSealed reports what is stored.
type SealCounts struct {
	Window unit.Window
	Counts map[unit.Workspace]int64
}

// SendCounts reports the counts of a sealed window to the platform. CountsSent
// reports the result.
type SendCounts struct{ Report platform.CountReport }

// OrderTargets asks the platform for a total number of targets of a pool in a
// data centre. TargetsOrdered reports the result.
type OrderTargets struct{ Order platform.SizeOrder }

// SendHeartbeats sends this instance's heartbeat to peers.
type SendHeartbeats struct {
	Heartbeat Heartbeat
	Addresses []string
}

// TakeOverJob reads a job from the store to become its owner. The new epoch is
// higher than Epoch and those of the job's chunks. JobOwnershipGained or
// JobClosed follows if the job can be read.
type TakeOverJob struct {
	Job string
	// Epoch is the highest epoch of the job that this instance knows.
	Epoch unit.Epoch
	// From is the former owner, empty if there is none.
	From unit.Instance
	// Force takes over a job even if all its results are listed, to end it.
	Force bool
}

// ListJobs lists the recent jobs in the store, after a start of the whole fleet.
// JobsListed reports the result.
type ListJobs struct{}

// ForgetJob discards the content of a job that this instance owned under an
// epoch and owns no longer.
type ForgetJob struct {
	Job   string
	Epoch unit.Epoch
}

func (ForwardRequest) effect()     {}
func (AcceptJob) effect()          {}
func (ServeJobCall) effect()       {}
func (Respond) effect()            {}
func (RunItem) effect()            {}
func (SendRewardCall) effect()     {}
func (StopItem) effect()           {}
func (AppendChunk) effect()        {}
func (ResultsListed) effect()      {}
func (JobEnded) effect()           {}
func (JobClaimed) effect()         {}
func (MoveItem) effect()           {}
func (DutiesLeaseChanged) effect() {}
func (OrderVersion) effect()       {}
func (SealCounts) effect()         {}
func (SendCounts) effect()         {}
func (OrderTargets) effect()       {}
func (SendHeartbeats) effect()     {}
func (CompareJobs) effect()        {}
func (TakeOverJob) effect()        {}
func (ListJobs) effect()           {}
func (ForgetJob) effect()          {}
