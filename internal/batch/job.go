package batch

import (
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// phase is the state of an item.
type phase int

const (
	// waiting items have no run in flight.
	waiting phase = iota
	// running items have a run in flight at a target.
	running
	// repeated items are run by a later job of the series, and no more for this one.
	repeated
	// unscored items have their complete output. Their reward call has no attempt
	// in flight.
	unscored
	// scoring items have an attempt of their reward call in flight.
	scoring
	// done items have their complete output, and its score if they have a reward
	// call, but are not yet in a stored chunk.
	done
	// givenUp items will not run again and have no result. They are not yet in a
	// stored chunk.
	givenUp
	// listed items are in a stored chunk, as done or as given up.
	listed
)

// Item is an item of a job and its scheduling state.
type Item struct {
	op.ItemShape
	Phase phase
	// Target is where the current or the last run of the item, or attempt of its
	// reward call, was sent.
	Target unit.Target
	// Run is the number of that run or attempt, unique within this instance. Moving
	// is set once the run was asked to stop so that the item can resume at another
	// target.
	Run    int64
	Moving bool
	// Barren counts the consecutive runs that broke. The count starts again with
	// each run that has produced an output event: it is 1 if that run broke, and 0
	// if it ended in another way.
	Barren int
	// Fails counts the runs that the target reported as failed (op.ItemFailed). The
	// item is given up when Fails reaches the route's attempt limit.
	Fails int
	// NotBefore is the earliest time of the next run, or of the next attempt of the
	// reward call.
	NotBefore clock.Millis
	// Call is the state of the reward call.
	Call rewardCall
	// Last is the ID of the last output event that this instance has, -1 if
	// there is none. The next run resumes after it.
	Last int64
}

// Job is a job that this instance owns.
type Job struct {
	op.JobShape
	// Epoch is the owner epoch under which this instance owns the job.
	Epoch unit.Epoch
	// Claimed is set once a chunk of this owner's epoch is stored, so that
	// earlier owners can append no more results, or once the job has ended. The
	// instance that created the job needs no claim, so there it is set from the
	// start.
	Claimed bool
	// Ahead is set while the job is not stored: its items run, but no chunk is
	// written.
	Ahead bool
	Items []Item
	// Order holds the indices of Items in the order in which they are started: the
	// one with the longest expected output first.
	Order []int
	// Chunks and Listed count the chunks in the store and the items in them.
	Chunks, Listed int
	// Writing is set while a chunk is being written. The next one is written
	// after AppendAt, or immediately if it completes what the trainer waits for;
	// none is written before RetryAt.
	Writing           bool
	AppendAt, RetryAt clock.Millis
	// SubmittedAt is when the job was first submitted.
	SubmittedAt clock.Millis
	// DueAt is when all results are due; jobs that are due earlier get free slots
	// first. GiveUpAt is when unfinished items are given up.
	DueAt, GiveUpAt clock.Millis
	// SaveWanted is set while partial output of unfinished items should be
	// written to the store, SaveAt is the earliest time to do so.
	SaveWanted bool
	SaveAt     clock.Millis
	// Leaving is set once this instance hands the job over: its runs are stopped,
	// their output is saved, and another instance resumes the job.
	Leaving bool
	// Ending is set once the end of the job was requested, Ended once the final
	// chunk is stored. EndCalls are the requests that wait for the final chunk.
	Ending, Ended bool
	EndCalls      []op.CallID
	// Compared counts the known jobs of the series that were compared with this one to
	// find items that a later job runs.
	Compared int
	// ClosedAt is when the job was first seen closed, 0 before.
	ClosedAt clock.Millis
	// rewardsDueAt is the earliest time at which a reward call may be sent.
	rewardsDueAt clock.Millis
	// incomplete is the number of ready results with which the groups for which the
	// trainer waits were last found incomplete, -1 if that is not known.
	incomplete int
}
