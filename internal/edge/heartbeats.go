package edge

import (
	"maps"
	"net"
	"slices"
	"strconv"

	"github.com/catkinhead/catkinhead/internal/batch"
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// recordOwnedJobs brings the list of the fleet's jobs in Heartbeats in line with
// the jobs that this instance owns.
func (s *State) recordOwnedJobs(now clock.Millis) {
	s.Heartbeats.ReleaseUnowned(now, func(job string) bool { return s.Batch.Jobs[job] != nil })
	for _, j := range s.Batch.Jobs {
		if !j.Ahead {
			s.Heartbeats.UpdateJob(jobStatusOf(j), s.Environment.Instance)
		}
	}
}

// jobStatusOf returns a job's entry for the heartbeats that are sent and for
// State.Heartbeats.
func jobStatusOf(j *batch.Job) op.JobStatus {
	return op.JobStatus{ID: j.ID, Epoch: j.Epoch, Closed: j.Closed(), Series: j.Series}
}

// heartbeatReceived applies a peer's heartbeat. It drops the jobs that the peer
// owns under a higher epoch.
func (s *State) heartbeatReceived(now clock.Millis, h op.Heartbeat, out *op.List) {
	s.Leases.ObserveHeartbeat(now, h.Incarnation, h.Address)
	if h.Lease > 0 {
		s.Leases.ObserveRenewal(now, dutiesScope, h.Lease)
	}
	for _, id := range s.Heartbeats.ApplyHeartbeat(now, s.localWall(now), h, s.ownedEpoch) {
		out.Add(op.Note{Level: "info", Message: "job dropped: a peer owns it under a higher epoch", Fields: map[string]string{
			"Job": id, "Owner": string(h.Instance),
		}})
		epoch, _ := s.ownedEpoch(id)
		s.Batch.Reduce(now, op.JobOwnershipLost{Job: id}, s.batchView(), out)
		out.Add(op.ForgetJob{Job: id, Epoch: epoch})
	}
	s.peersChanged = true
	if len(h.Counts) > 0 {
		s.Metering.Reduce(now, op.CountsReceived{Counts: h.Counts}, s.meteringView(now), out)
	}
}

// ownedEpoch returns the epoch under which this instance owns a job, and false
// if it does not own it.
func (s *State) ownedEpoch(job string) (unit.Epoch, bool) {
	j := s.Batch.Jobs[job]
	if j == nil || j.Ahead {
		return 0, false
	}
	return j.Epoch, true
}

// aggregatePeers sums up the attempts at targets and the crashes that the live
// peers reported, and computes wallOffset. It is called once per tick rather than
// for each heartbeat, since it visits every peer.
func (s *State) aggregatePeers(now clock.Millis) {
	if !s.peersChanged && now < s.nextAggregateAt {
		return
	}
	s.peersChanged, s.nextAggregateAt = false, now+aggregateInterval
	live := s.Heartbeats.LivePeers(now)
	running := make(map[unit.Target]int)
	slow := make(map[unit.Target]bool)
	s.crashes = make(map[unit.Fingerprint]int)
	offsets := make([]clock.Millis, 1, len(live)+1)
	for _, p := range live {
		for id, n := range p.Running {
			running[id] += n
		}
		for _, id := range p.Slow {
			slow[id] = true
		}
		for f, n := range p.Crashes {
			s.crashes[f] += n
		}
		offsets = append(offsets, p.WallOffset)
	}
	s.Forward.ObserveCrashes(now, s.crashes)
	s.Roster.SetRemoteAttempts(running)
	s.Roster.SetRemoteSlow(slow)
	slices.Sort(offsets)
	s.wallOffset = offsets[(len(offsets)-1)/2]
}

// liveIncarnations returns the incarnations of the live peers, which report
// their own usage counts.
func (s *State) liveIncarnations(now clock.Millis) map[unit.Incarnation]bool {
	live := make(map[unit.Incarnation]bool)
	for _, p := range s.Heartbeats.LivePeers(now) {
		live[p.Incarnation] = true
	}
	return live
}

// sendHeartbeats sends a heartbeat to each peer and schedules the next one.
func (s *State) sendHeartbeats(now clock.Millis, out *op.List) {
	interval := s.Heartbeats.HeartbeatInterval()
	s.nextHeartbeatAt = now + interval
	s.heartbeatSeq++
	_, _, held := s.Leases.Held(dutiesScope, now)
	h := op.Heartbeat{
		Instance: s.Environment.Instance, Incarnation: s.Self, Seq: s.heartbeatSeq, Address: s.PeerAddress(),
		DataCentre: s.Environment.DataCentre, Uptime: now - s.startedAt, Next: interval, Wall: s.localWall(now), Leaving: s.Draining, Holder: held, Yields: s.yieldsDuties(now),
		Orphans: s.Heartbeats.Orphans(), Running: s.Roster.LocalAttempts(), Demands: s.Batch.Demands(), Crashes: s.Forward.Crashes(now),
		Slow: s.Roster.LocalSlow(now),
	}
	if l := s.Leases.Leases[dutiesScope]; held && l != nil {
		h.Lease = l.Revision
	}
	if now >= s.nextCountsAt {
		s.nextCountsAt = now + countsInterval
		h.Counts = s.Metering.CountsToSend(s.liveIncarnations(now))
	}
	for _, id := range slices.Sorted(maps.Keys(s.Batch.Jobs)) {
		switch j := s.Batch.Jobs[id]; {
		case j.Claimed:
			h.Jobs = append(h.Jobs, jobStatusOf(j))
		case j.Epoch == aheadEpoch:
			h.Ahead = append(h.Ahead, id)
		}
	}
	e := op.SendHeartbeats{Heartbeat: h}
	for _, p := range s.Heartbeats.Peers {
		e.Addresses = append(e.Addresses, p.Address)
	}
	out.Add(e)
	s.sentWaiting = anyWaiting(h.Demands)
}

// anyWaiting reports whether any item waits for a target.
func anyWaiting(ds []op.Demand) bool {
	return slices.ContainsFunc(ds, func(d op.Demand) bool { return d.Waiting > 0 })
}

// PeerAddress returns the address at which peers reach this instance.
func (s *State) PeerAddress() string {
	if s.Environment.Advertise != "" {
		return s.Environment.Advertise
	}
	return net.JoinHostPort(s.Environment.IP, strconv.Itoa(s.Environment.PeerPort))
}
