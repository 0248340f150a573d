package edge

import (
	"strconv"

	"github.com/catkinhead/catkinhead/internal/batch"
	"github.com/catkinhead/catkinhead/internal/forward"
	"github.com/catkinhead/catkinhead/internal/heartbeat"
	"github.com/catkinhead/catkinhead/internal/lease"
	"github.com/catkinhead/catkinhead/internal/metering"
	"github.com/catkinhead/catkinhead/internal/modelversion"
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/internal/roster"
	"github.com/catkinhead/catkinhead/internal/route"
	"github.com/catkinhead/catkinhead/internal/scaling"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// dutiesScope is the scope of the lease for the duties that one instance
// performs for the whole fleet: it orders model versions and targets, and it seals
// usage counts, that is, stores the final ones, and reports them.
const dutiesScope unit.Scope = "duties"

const (
	// freshFraction is the fraction of Bounds.RevokeWithin for which a confirmed
	// configuration counts as fresh. The rest is a margin for a watch that stays
	// silent for a second although there are changes.
	freshFraction = 0.7
	// aggregateInterval is the longest time between two aggregations of what the
	// peers reported, even if no heartbeat arrives.
	aggregateInterval clock.Millis = 250
	// countsInterval is the shortest time between heartbeats that carry usage
	// counts, which are long. It is well within the time between the end of a usage
	// window and its sealing.
	countsInterval clock.Millis = 500
	// minLeaseGrace is the shortest time for which calls of a former holder of the
	// lease are waited for. It exceeds the time after which a call without an
	// answer ends.
	minLeaseGrace = 2 * clock.Second
)

// leaseTimes returns the times of the duties lease. Another instance takes it over
// within a few seconds, since trainers wait for versions, and the holder keeps it
// during a slow call to the store.
func leaseTimes(b platform.Bounds) lease.Times {
	return lease.Times{
		Duration: 3 * clock.Second, Grace: max(minLeaseGrace, clock.FromDuration(b.MinOrderGap)), RenewEvery: 900, PollEvery: 250,
	}
}

// State is everything that the decisions of one instance depend on. Its methods
// perform no I/O.
type State struct {
	Environment platform.Environment
	Self        unit.Incarnation
	// Roster holds the targets, Table the configuration, Forward the callers'
	// requests, Batch the jobs that this instance owns, ModelVersions the wanted
	// model versions, Scaling the wanted numbers of targets, Metering the usage
	// counts, and Heartbeats the peers and all jobs of the fleet.
	Roster        roster.State
	Table         *route.Table
	Forward       forward.State
	Batch         batch.State
	ModelVersions modelversion.State
	Scaling       scaling.State
	Metering      metering.State
	Leases        lease.State
	Heartbeats    heartbeat.State
	// ConfirmedAt is the latest time at which the configuration in force is known
	// to have been the newest one. It is valid once Confirmed is set.
	ConfirmedAt clock.Millis
	Confirmed   bool
	// StoreDownAt is when the store stopped answering, 0 while it answers.
	StoreDownAt clock.Millis
	// WallAt is the Unix time of the local clock at TickAt, the last tick.
	WallAt, TickAt clock.Millis
	// Draining is set during the graceful shutdown, which began at drainingSince.
	Draining      bool
	drainingSince clock.Millis
	// startedAt is when the instance started. heartbeatSeq is the number of the
	// last heartbeat, nextHeartbeatAt when the next one is due.
	startedAt       clock.Millis
	heartbeatSeq    int64
	nextHeartbeatAt clock.Millis
	// wasFresh and wasLeaseHolder are the results of KeysFresh and of the lease
	// check at the last tick. A change of wasFresh is logged, one of wasLeaseHolder
	// is reported to the process.
	wasFresh       bool
	wasLeaseHolder bool
	// wasYielding is the result of yieldsDuties at the last tick. A change is logged.
	wasYielding bool
	// sentWaiting is set if the last heartbeat reported items that wait for a
	// target. Once none waits any more, the next heartbeat is sent at once.
	sentWaiting bool
	// peersChanged is set if a heartbeat has arrived since the last aggregation.
	// Without one, aggregatePeers runs again at nextAggregateAt, because a peer
	// whose heartbeats stop causes no event.
	peersChanged    bool
	nextAggregateAt clock.Millis
	// crashes counts, by the fingerprint of the request, the targets that requests
	// seem to have crashed, as the live peers report them. wallOffset is how far
	// the median clock of the fleet is ahead of the local clock.
	crashes    map[unit.Fingerprint]int
	wallOffset clock.Millis
	// nextCountsAt is when a heartbeat carries usage counts again.
	nextCountsAt clock.Millis
}

// NewState returns the state of an instance that starts now.
func NewState(environment platform.Environment, self unit.Incarnation, now clock.Millis) *State {
	s := &State{
		Environment: environment, Self: self, startedAt: now,
		Roster:     roster.State{LocalDataCentre: environment.DataCentre},
		Metering:   metering.State{Self: self, Length: clock.FromDuration(environment.Bounds.Window)},
		Leases:     lease.State{Self: self, Times: leaseTimes(environment.Bounds)},
		Batch:      batch.State{Self: environment.Instance},
		Heartbeats: heartbeat.State{Self: environment.Instance},
	}
	s.Leases.Address = s.PeerAddress()
	s.Leases.Inspect(dutiesScope)
	return s
}

// Reduce applies an event and returns the effects that it leads to.
func (s *State) Reduce(now clock.Millis, ev op.Event) op.List {
	var out op.List
	s.endLeaseCall(now, ev)
	s.reduce(now, ev, &out)
	s.startLeaseCalls(out)
	return out
}

// reduce applies an event and adds the effects that it leads to.
func (s *State) reduce(now clock.Millis, ev op.Event, out *op.List) {
	switch e := ev.(type) {
	case op.Tick:
		s.tick(now, e, out)
	case op.RequestReceived, op.AttemptEnded, op.CallerDisconnected:
		s.Forward.Reduce(now, ev, s.forwardView(now), out)
	case op.ConfigurationChanged:
		s.configurationChanged(now, e, out)
	case op.StoreAnswered:
		s.storeAnswered(now, e)
	case op.StoreUnreachable:
		if s.StoreDownAt == 0 {
			s.StoreDownAt = now
		}
	case op.TargetsListed:
		s.Roster.ReplaceAll(now, e.Entries)
		s.advance(now, out)
	case op.TargetChanged:
		if e.Removed {
			s.Roster.Remove(now, e.Entry.Target)
		} else {
			s.Roster.Upsert(now, e.Entry)
		}
		s.advance(now, out)
	case op.VersionReported:
		s.Roster.RecordVersion(e.Target, e.Model, e.Version)
		s.Batch.Reduce(now, e, s.batchView(), out)
	case op.VersionWanted, op.VersionOrdered:
		s.ModelVersions.Reduce(now, ev, s.dutyView(now), out)
	case op.TargetsOrdered:
		s.Scaling.Reduce(now, ev, s.dutyView(now), out)
	case op.JobOwnershipGained:
		s.Batch.Reduce(now, ev, s.batchView(), out)
		s.recordOwnedJobs(now)
		s.sendHeartbeats(now, out)
	case op.JobOwnershipLost, op.JobStored, op.JobNotStored, op.JobOutputUnsaved, op.JobSurplus, op.ItemRunEnded, op.RewardCallEnded, op.ChunkAppended, op.EndRequested, op.ItemsRepeated:
		owned := len(s.Batch.Jobs)
		s.Batch.Reduce(now, ev, s.batchView(), out)
		if len(s.Batch.Jobs) < owned {
			s.recordOwnedJobs(now)
			// Tell the peers at once, so that one of them can take over a job that
			// was given up.
			s.sendHeartbeats(now, out)
		}
	case op.LeaseRead, op.LeaseWritten:
		s.Leases.Reduce(now, ev, out)
	case op.CountsReceived, op.CountsSealed, op.CountsSent:
		s.Metering.Reduce(now, ev, s.meteringView(now), out)
	case op.HeartbeatReceived:
		s.heartbeatReceived(now, e.Heartbeat, out)
	case op.PeersListed:
		if s.Heartbeats.AddPeers(e.Peers) {
			s.nextHeartbeatAt = now
		}
	case op.EventTimes:
		for _, id := range s.Roster.ApplyEventTimes(now, e.Millis) {
			out.Add(op.Note{Level: "info", Message: "target is slow", Fields: map[string]string{
				"Target": string(id), "EventMillis": strconv.FormatFloat(e.Millis[id], 'f', 1, 64),
			}})
		}
		s.Batch.Advance(now, s.batchView(), out)
	case op.JobClosed:
		s.Heartbeats.MarkClosed(e.Job)
	case op.JobMissing:
		s.Heartbeats.ForgetMissing(now, e.Job)
	case op.StoredJobFound:
		s.storedJobFound(now, e.Job)
	case op.JobsListed:
		s.Heartbeats.HandleJobsListed(e)
	case op.Drain:
		s.drain(now, out)
	}
}

// storedJobFound adds a stored job to the list of the fleet's jobs. If this instance
// or a peer runs its items ahead, that one is about to claim it.
func (s *State) storedJobFound(now clock.Millis, job string) {
	if s.Batch.Jobs[job] != nil {
		return
	}
	if owner, ok := s.Heartbeats.AheadOwner(now, job); ok {
		s.Heartbeats.UpdateJob(op.JobStatus{ID: job}, owner)
		return
	}
	s.Heartbeats.AddStoredJob(job)
}

// tick updates what depends on time: leases, takeovers of jobs, runs, orders,
// usage reports and heartbeats. It reports changes of the lease and of the
// configuration's freshness.
func (s *State) tick(now clock.Millis, e op.Tick, out *op.List) {
	s.WallAt, s.TickAt = e.Wall, now
	s.Roster.Tick(now)
	s.aggregatePeers(now)
	s.updateCandidacy(now)
	s.Leases.Reduce(now, e, out)
	s.recordOwnedJobs(now)
	s.compareSeries(out)
	s.Heartbeats.Tick(now, s.Draining, out)
	s.advance(now, out)
	s.Scaling.Advance(now, s.dutyView(now), out)
	s.Metering.Advance(now, s.meteringView(now), out)
	if now >= s.nextHeartbeatAt || s.sentWaiting && !anyWaiting(s.Batch.Demands()) {
		s.sendHeartbeats(now, out)
	}
	s.logYielding(now, out)
	s.reportLeaseChange(now, out)
	if fresh := s.KeysFresh(now); fresh != s.wasFresh {
		s.wasFresh = fresh
		out.Add(op.Note{Level: "info", Message: "freshness of the configuration changed", Fields: map[string]string{
			"Fresh": strconv.FormatBool(fresh), "AgeMillis": formatMillis(s.Age(now)),
		}})
	}
}

// reportLeaseChange tells the process and the peers whether this instance holds the
// lease, if that has changed. The peers are told at once, since the next holder waits
// for it.
func (s *State) reportLeaseChange(now clock.Millis, out *op.List) {
	_, _, held := s.Leases.Held(dutiesScope, now)
	if held == s.wasLeaseHolder {
		return
	}
	s.wasLeaseHolder = held
	out.Add(op.DutiesLeaseChanged{Held: held})
	s.sendHeartbeats(now, out)
}

// advance lets jobs and version orders proceed after a tick, or after a change of
// targets or of the configuration.
func (s *State) advance(now clock.Millis, out *op.List) {
	s.Batch.Advance(now, s.batchView(), out)
	s.ModelVersions.Advance(now, s.dutyView(now), out)
}

// configurationChanged replaces the configuration by a newer one.
func (s *State) configurationChanged(now clock.Millis, e op.ConfigurationChanged, out *op.List) {
	if s.Table != nil && e.Revision <= s.Table.Revision {
		return
	}
	s.Table = route.New(e.Configuration, e.Revision)
	out.Add(op.Note{Level: "info", Message: "configuration in force", Fields: map[string]string{
		"Version": strconv.FormatInt(e.Configuration.Version, 10), "Revision": strconv.FormatInt(int64(e.Revision), 10),
		"Routes": strconv.Itoa(len(e.Configuration.Routes)), "Keys": strconv.Itoa(len(e.Configuration.Keys)),
	}})
	s.advance(now, out)
}

// storeAnswered records that the store confirmed the configuration, or that it has one
// that cannot be decoded: that may withdraw keys, so the one in force is not confirmed.
func (s *State) storeAnswered(now clock.Millis, e op.StoreAnswered) {
	if s.StoreDownAt > 0 {
		s.StoreDownAt = 0
		s.Roster.StoreBackAt = now
	}
	if e.Undecoded {
		return
	}
	s.ConfirmedAt = max(s.ConfirmedAt, e.AskedAt)
	s.Confirmed = true
}

// Age returns the time since the configuration was last known to be the newest
// one.
func (s *State) Age(now clock.Millis) clock.Millis { return now - s.ConfirmedAt }

// KeysFresh reports whether the configuration is recent enough to accept keys:
// an older one may miss that a key was withdrawn. If no RevokeWithin is set, a
// configuration that was confirmed once stays fresh.
func (s *State) KeysFresh(now clock.Millis) bool {
	bound := clock.FromDuration(s.Environment.Bounds.RevokeWithin)
	if bound <= 0 {
		return s.Confirmed
	}
	return s.Confirmed && s.Age(now) < clock.Millis(float64(bound)*freshFraction)
}

// Ready reports whether callers should be sent to this instance.
func (s *State) Ready(now clock.Millis) bool {
	return !s.Draining && s.Table != nil && s.KeysFresh(now)
}

// Wall returns the Unix time at now, 0 before the first tick. It uses the
// median of the fleet's clocks, since single clocks may have jumped.
func (s *State) Wall(now clock.Millis) clock.Millis {
	if s.WallAt == 0 {
		return 0
	}
	return s.localWall(now) + s.wallOffset
}

// localWall returns the Unix time at now by the local clock alone.
func (s *State) localWall(now clock.Millis) clock.Millis { return s.WallAt + now - s.TickAt }

// drain starts the graceful shutdown: it begins to release the lease and to hand
// over the jobs, and tells the peers at once.
func (s *State) drain(now clock.Millis, out *op.List) {
	s.Draining, s.drainingSince = true, now
	s.updateCandidacy(now)
	s.Leases.Reduce(now, op.Tick{Wall: s.Wall(now)}, out)
	s.Batch.Advance(now, s.batchView(), out)
	s.recordOwnedJobs(now)
	s.sendHeartbeats(now, out)
}

func formatMillis(m clock.Millis) string { return strconv.FormatInt(int64(m), 10) }
