package heartbeat

import (
	"cmp"
	"slices"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// listMargin is how much longer than the heartbeat interval an instance waits
	// after its start for heartbeats of peers that know the jobs, before it lists the
	// jobs in the store.
	listMargin clock.Millis = 150
	// retryDelay is the minimum time between two attempts to take over a job, or
	// to list the jobs.
	retryDelay clock.Millis = 500
	// maxPredecessors is the maximum number of earlier jobs of a series whose owners
	// are asked for output that a new job can reuse.
	maxPredecessors = 3
	// uptimeMargin is how much longer than this instance a peer must have been
	// running to know all jobs that existed before this instance started.
	uptimeMargin clock.Millis = 2 * clock.Second
	// maxTakeovers is the most takeovers that begin in one tick.
	maxTakeovers = 32
)

// jobState is what this instance knows about a job of the fleet.
type jobState struct {
	// owner is empty if the job has no owner, or none that is known. A peer is the
	// owner only while its latest heartbeat lists the job.
	owner unit.Instance
	// epoch is the highest owner epoch that is known.
	epoch unit.Epoch
	// closed is set if the job has ended or all its results are stored. A closed
	// job needs no new owner.
	closed bool
	// nextTakeover is the earliest time of the next attempt to take the job over.
	nextTakeover clock.Millis
	series       unit.Series
	// number is higher for jobs that were added later.
	number int64
}

// Predecessor is an earlier job of a series. Address is that of its owner, empty
// if this instance owns it.
type Predecessor struct{ Job, Address string }

// Owner returns the live peer that owns a job. It returns false if the owner is
// this instance, dead or unknown.
func (s *State) Owner(now clock.Millis, job string) (*Peer, bool) {
	k := s.jobs[job]
	if k == nil || k.owner == s.Self || !s.Live(now, k.owner) {
		return nil, false
	}
	return s.Peers[k.owner], true
}

// Predecessors returns up to maxPredecessors jobs of a series that have a live
// owner, which may be this instance. The jobs that were added last come first. The
// job named excludedJob is left out.
func (s *State) Predecessors(now clock.Millis, series unit.Series, excludedJob string) []Predecessor {
	var ids []string
	for id, k := range s.jobs {
		if k.series == series && id != excludedJob && (k.owner == s.Self || k.owner != "" && s.Live(now, k.owner)) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int { return cmp.Compare(s.jobs[b].number, s.jobs[a].number) })
	var out []Predecessor
	for _, id := range ids[:min(len(ids), maxPredecessors)] {
		one := Predecessor{Job: id}
		if owner := s.jobs[id].owner; owner != s.Self {
			one.Address = s.Peers[owner].Address
		}
		out = append(out, one)
	}
	return out
}

// SeriesJobs returns the jobs of a series in the order in which this instance has
// learned of them, which need not be that of the steps. The caller must not change
// the slice.
func (s *State) SeriesJobs(series unit.Series) []string { return s.series[series] }

// UpdateJob adds or updates a job. The owner, which may be this instance, is
// ignored if a higher epoch is known already. An empty owner means that there
// is none.
func (s *State) UpdateJob(j op.JobStatus, owner unit.Instance) {
	if s.jobs == nil {
		s.jobs = make(map[string]*jobState)
		s.series = make(map[unit.Series][]string)
	}
	k := s.jobs[j.ID]
	if k == nil {
		s.jobCount++
		k = &jobState{number: s.jobCount}
		s.jobs[j.ID] = k
	}
	if j.Epoch >= k.epoch {
		k.owner, k.epoch = owner, j.Epoch
	}
	if j.Series != 0 && k.series == 0 {
		k.series = j.Series
		s.series[j.Series] = append(s.series[j.Series], j.ID)
	}
	k.closed = k.closed || j.Closed
}

// MarkClosed marks a job as closed, so that it is not taken over.
func (s *State) MarkClosed(id string) { s.UpdateJob(op.JobStatus{ID: id, Closed: true}, "") }

// Known reports whether a job is in the list of the fleet's jobs.
func (s *State) Known(job string) bool { return s.jobs[job] != nil }

// AheadOwner returns the live peer that runs a job ahead of its storage.
func (s *State) AheadOwner(now clock.Millis, job string) (unit.Instance, bool) {
	for _, p := range s.LivePeers(now) {
		if slices.Contains(p.Ahead, job) {
			return p.Instance, true
		}
	}
	return "", false
}

// AddStoredJob adds a job that exists in the store, without an owner, if it is
// unknown.
func (s *State) AddStoredJob(id string) {
	if s.jobs[id] == nil {
		s.UpdateJob(op.JobStatus{ID: id}, "")
	}
}

// releaseUnlisted removes a peer as the owner of all jobs that its heartbeat does
// not list.
func (s *State) releaseUnlisted(h op.Heartbeat) {
	listed := make(map[string]bool, len(h.Jobs))
	for _, j := range h.Jobs {
		listed[j.ID] = true
	}
	for _, id := range h.Ahead {
		listed[id] = true
	}
	for id, k := range s.jobs {
		if k.owner == h.Instance && !listed[id] {
			k.owner = ""
		}
	}
}

// ReleaseUnowned removes this instance as the owner of the jobs that it does not
// own any more, as owned reports. A later owner has retryDelay to show itself in
// a heartbeat before this instance takes such a job over.
func (s *State) ReleaseUnowned(now clock.Millis, owned func(job string) bool) {
	for id, k := range s.jobs {
		if k.owner == s.Self && !owned(id) {
			k.owner, k.nextTakeover = "", now+retryDelay
		}
	}
}

// Epoch returns the highest owner epoch that is known for a job, 0 if there is
// none.
func (s *State) Epoch(job string) unit.Epoch {
	if k := s.jobs[job]; k != nil {
		return k.epoch
	}
	return 0
}

// Orphans returns the jobs that have no known owner and are not closed, sorted.
func (s *State) Orphans() []string {
	var out []string
	for id, k := range s.jobs {
		if k.owner == "" && !k.closed {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Tick takes over jobs that have no live owner and for which this instance ranks
// first. After a restart of the whole fleet it lists the jobs in the store first.
// An instance that is draining does neither.
func (s *State) Tick(now clock.Millis, draining bool, out *op.List) {
	if !s.startedSet {
		s.startedSet, s.startedAt = true, now
	}
	if draining {
		return
	}
	s.listJobs(now, out)
	var take []string
	for id, k := range s.jobs {
		if k.closed || k.owner == s.Self || now < k.nextTakeover || k.owner != "" && s.Live(now, k.owner) {
			continue
		}
		take = append(take, id)
	}
	slices.Sort(take)
	started := 0
	for _, id := range take {
		if started == maxTakeovers {
			return
		}
		if !s.RanksFirst(now, id) {
			continue
		}
		started++
		k := s.jobs[id]
		k.nextTakeover = now + retryDelay
		out.Add(op.TakeOverJob{Job: id, Epoch: k.epoch, From: k.owner})
	}
}

// ForgetMissing removes a job that has no live owner and that the store does not have. A
// later heartbeat may add it again.
func (s *State) ForgetMissing(now clock.Millis, id string) {
	k := s.jobs[id]
	if k == nil || k.owner == s.Self || s.Live(now, k.owner) {
		return
	}
	delete(s.jobs, id)
	if k.series != 0 {
		s.series[k.series] = slices.DeleteFunc(s.series[k.series], func(other string) bool { return other == id })
	}
}

// listJobs lists the jobs in the store once after the start of this instance,
// unless a peer has been running for long enough to know them. Only the instance
// that ranks first does so; the others learn of the jobs from its heartbeats.
func (s *State) listJobs(now clock.Millis, out *op.List) {
	if s.jobsListed || s.listing || now < s.startedAt+s.HeartbeatInterval()+listMargin || now < s.listRetryAt {
		return
	}
	for _, p := range s.LivePeers(now) {
		if p.Uptime > now-s.startedAt+uptimeMargin {
			s.jobsListed = true
			return
		}
	}
	if !s.RanksFirst(now, "jobs") {
		return
	}
	s.listing, s.listRetryAt = true, now+retryDelay
	out.Add(op.ListJobs{})
}

// HandleJobsListed adds the jobs that were listed in the store. If listing failed,
// a later tick tries again.
func (s *State) HandleJobsListed(e op.JobsListed) {
	s.listing = false
	if e.Result != op.Done {
		return
	}
	s.jobsListed = true
	for _, id := range e.Jobs {
		s.AddStoredJob(id)
	}
}
