package edge

import (
	"github.com/catkinhead/catkinhead/internal/batch"
	"github.com/catkinhead/catkinhead/internal/build"
	"github.com/catkinhead/catkinhead/internal/heartbeat"
	"github.com/catkinhead/catkinhead/internal/lease"
	"github.com/catkinhead/catkinhead/internal/roster"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// Dump is the part of the state that is shown to operators. It holds no API keys.
type Dump struct {
	Build                build.Info
	Instance             unit.Instance
	ConfigurationVersion int64
	ConfirmedAt          clock.Millis
	Draining             bool
	Targets              map[unit.Target]*roster.Target
	Jobs                 map[string]*batch.Job
	Peers                map[unit.Instance]*heartbeat.Peer
	Versions             map[unit.Model]unit.Version
	Assigned             map[unit.Target]unit.Model
	Leases               map[unit.Scope]*lease.Lease
	// Memory is how the memory of the process is divided, in bytes.
	Memory MemoryPlan
}

// Dump returns the state to show to operators. Its maps are those of s, not
// copies, so it must not be used while events are applied.
func (s *State) Dump() Dump {
	d := Dump{
		Build: build.Current(), Memory: NewMemoryPlan(s.Environment.Memory),
		Instance: s.Environment.Instance, ConfirmedAt: s.ConfirmedAt, Draining: s.Draining, Targets: s.Roster.Targets,
		Jobs: s.Batch.Jobs, Peers: s.Heartbeats.Peers, Versions: s.ModelVersions.Wanted, Assigned: s.ModelVersions.Assigned, Leases: s.Leases.Leases,
	}
	if s.Table != nil {
		d.ConfigurationVersion = s.Table.Version
	}
	return d
}
