package platform

import (
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// Item is one request of a job.
type Item struct {
	ID      string
	Path    string
	Headers map[string]string
	Body    []byte
	// Tokens is the length of the prompt plus the maximum length of the output.
	Tokens int
	// Group names the group of items that the item belongs to. A group is
	// complete once all its items are finished or given up.
	Group string
	// Expected is the caller's estimate of the output's tokens; 0 if none.
	Expected int
	Model    unit.Model
	// Reward is nil if the item's result has no score.
	Reward *RewardCall
}

// RewardCall is a request that scores the complete output of an item. It is
// idempotent, and is sent only after the last event of the output.
type RewardCall struct {
	ID   unit.Request
	Host string
	Path string
	Body []byte
}

// Job is a set of requests that are submitted together.
type Job struct {
	ID    string
	Model unit.Model
	// Step is the trainer's number of the step that the job belongs to.
	Step int64
	// MinVersion is the oldest model version that may produce results.
	MinVersion unit.Version
	// WantGroups is how many complete groups the trainer waits for; 0 if it did not
	// state a number.
	WantGroups int
	Items      []Item
}

// Result is the final result of an item.
type Result struct {
	ID string
	// GivenUp is set if the item was given up; it has no text then.
	GivenUp bool
	Text    string
	// Versions are the model versions that produced the text.
	Versions []unit.Version
	// Score is the stamp of a successful answer to the item's reward call, empty
	// if the item has none.
	Score string `json:",omitempty"`
}
