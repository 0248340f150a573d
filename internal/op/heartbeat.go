package op

import (
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

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
	// Yields is set while the sender leaves that lease to its peers, since it has
	// restarted as its holder.
	Yields bool `json:",omitempty"`
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
