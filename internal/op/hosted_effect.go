package op

import (
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// PassOn sends a caller's request to a target.
type PassOn struct {
	Call      CallID
	Route     unit.Route
	Pool      unit.Pool
	Target    unit.Target
	Address   string
	Workspace unit.Workspace
	// Attempt counts from 1.
	Attempt int
	// Until is when the attempt is given up; Deadline when the caller gives up.
	Until, Deadline clock.Millis
	Streaming       bool
}

// TakeJob lets a submitted job be read and stored.
type TakeJob struct {
	Call      CallID
	Rule      platform.RouteRule
	Workspace unit.Workspace
}

// ServeBatch lets a call about a job go on, for the jobs of a workspace.
type ServeBatch struct {
	Call      CallID
	Workspace unit.Workspace
	// Open is set if no key was needed.
	Open bool
}

// Respond answers a caller with a status of our own.
type Respond struct {
	Call       CallID
	Status     int
	Reason     Reason
	Outcome    unit.Outcome
	RetryAfter clock.Millis
	// Route, Attempts and KnownFor tell what decided: the age of what is known
	// of the configuration.
	Route    unit.Route
	Attempts int
	KnownFor clock.Millis
}

// RunItem sends an item to a target. After is the last event that is kept, -1
// for none.
type RunItem struct {
	Job     string
	Item    int
	Run     int64
	Target  unit.Target
	Address string
	Model   unit.Model
	// MinVersion is the oldest version that may produce an event.
	MinVersion unit.Version
	// SingleVersion allows one version only.
	SingleVersion bool
	After         int64
	Until         clock.Millis
}

// MoveItem ends a run so that the item goes on at another target.
type MoveItem struct {
	Job  string
	Item int
	Run  int64
}

// StopItem breaks a run off.
type StopItem struct {
	Job  string
	Item int
	Run  int64
}

// AppendChunk writes the next chunk of a job's results.
type AppendChunk struct {
	Job   string
	Chunk int
	// Done are items with a whole output, GivenUp those without.
	Done, GivenUp []int
	Ended         bool
	Epoch         unit.Epoch
	// Save is set if the events of items that are not done are to be kept too,
	// however few they are.
	Save bool
}

// JobListed says that more results stand at their positions.
type JobListed struct {
	Job   string
	Chunk ChunkShape
	Total int
}

// JobClaimed says that this instance's claim stands in the chain, so that it
// knows all results up to there, and no former owner adds any.
type JobClaimed struct{ Job string }

// JobEnded answers EndAsked.
type JobEnded struct{ Call CallID }

// OrderVersion orders a target to take a version.
type OrderVersion struct{ Order platform.VersionOrder }

// DutiesChanged says that the lease of the duties was gained or lost. It comes
// with ticks only.
type DutiesChanged struct{ Held bool }

// SealCounts writes a window's counts once.
type SealCounts struct {
	Window unit.Window
	Counts map[unit.Workspace]int64
}

// SendCounts reports a sealed window.
type SendCounts struct{ Report platform.CountReport }

// OrderSize orders a number of targets.
type OrderSize struct{ Order platform.SizeOrder }

// SendBeats sends a heartbeat to peers.
type SendBeats struct {
	Beat      Beat
	Addresses []string
}

// TakeOver reads a job from the store to become its owner, under a higher epoch
// than the one that is known here and those in the job's chain.
type TakeOver struct {
	Job   string
	Epoch unit.Epoch
	From  unit.Instance
	// Force takes a job over that lists all results already, to end it.
	Force bool
}

// ListJobs reads which jobs stand in the store.
type ListJobs struct{}

// ForgetJob drops the content of a job that was owned under an epoch and now is
// another instance's.
type ForgetJob struct {
	Job   string
	Epoch unit.Epoch
}

func (PassOn) effect()        {}
func (TakeJob) effect()       {}
func (ServeBatch) effect()    {}
func (Respond) effect()       {}
func (RunItem) effect()       {}
func (StopItem) effect()      {}
func (AppendChunk) effect()   {}
func (JobListed) effect()     {}
func (JobEnded) effect()      {}
func (JobClaimed) effect()    {}
func (MoveItem) effect()      {}
func (DutiesChanged) effect() {}
func (OrderVersion) effect()  {}
func (SealCounts) effect()    {}
func (SendCounts) effect()    {}
func (OrderSize) effect()     {}
func (SendBeats) effect()     {}
func (TakeOver) effect()      {}
func (ListJobs) effect()      {}
func (ForgetJob) effect()     {}
