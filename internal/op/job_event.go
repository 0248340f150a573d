package op

import (
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// JobShape describes a job without the content of its items.
type JobShape struct {
	ID        string
	Workspace unit.Workspace
	// Route is the route that the job was submitted under. What it leads to and
	// allows is for the configuration in force to say.
	Route unit.Route
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
	// Repeated are the items that later jobs of the series run, see ItemsRepeated.
	Repeated []int
	// Compared is how many of the known jobs of the series need no CompareJobs.
	Compared int
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

// JobSurplus means that a job is to be forgotten if it is closed, since the contents of
// jobs take too much memory. It is read from the store then.
type JobSurplus struct{ Job string }

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
	// Unready are the items that AppendChunk asked for although their output is not
	// complete. They are not in the chunk.
	Unready []int
}

// ItemsRepeated means that a later job of the series repeats items of a job and runs
// them from now on.
type ItemsRepeated struct {
	Job string
	// Later is the later job, Job the earlier one.
	Later string
	// Items are their positions in the earlier job.
	Items []int
}

// EndRequested means that a caller has asked to end a job. JobEnded with the
// same Call answers it.
type EndRequested struct {
	Job  string
	Call CallID
}
