package beat

import (
	"cmp"
	"slices"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// listAfter is how long after its start an instance waits for peers that
	// know the jobs, before it reads them from the store.
	listAfter clock.Millis = 700
	// retryTake is the pause after a job could not be taken over.
	retryTake clock.Millis = 500
	// predecessors is how many earlier jobs of a series may have kept items of a
	// new one.
	predecessors = 3
	// oldUptime is how much longer than this instance a peer must have run to
	// know the jobs of before.
	oldUptime clock.Millis = 2 * clock.Second
)

// known is a job of the fleet.
type known struct {
	owner unit.Instance
	epoch unit.Epoch
	// closed jobs need no owner that works on them.
	closed bool
	// takeAt is when this instance may try to take it over (again).
	takeAt clock.Millis
	// series is the job's, and turn rises with each job that was first heard of.
	series unit.Series
	turn   int64
}

// Predecessor is an earlier job of a series, and the address of its owner;
// empty is this instance.
type Predecessor struct{ Job, Address string }

// Owner returns the live peer that owns a job.
func (s *State) Owner(now clock.Millis, job string) (*Peer, bool) {
	k := s.jobs[job]
	if k == nil || k.owner == s.Self || !s.Live(now, k.owner) {
		return nil, false
	}
	return s.Peers[k.owner], true
}

// Predecessors returns the newest jobs of a series that have a live owner.
func (s *State) Predecessors(now clock.Millis, series unit.Series, except string) []Predecessor {
	var ids []string
	for id, k := range s.jobs {
		if k.series == series && id != except && (k.owner == s.Self || k.owner != "" && s.Live(now, k.owner)) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int { return cmp.Compare(s.jobs[b].turn, s.jobs[a].turn) })
	var out []Predecessor
	for _, id := range ids[:min(len(ids), predecessors)] {
		one := Predecessor{Job: id}
		if owner := s.jobs[id].owner; owner != s.Self {
			one.Address = s.Peers[owner].Address
		}
		out = append(out, one)
	}
	return out
}

// Note remembers a job; this instance may be its owner.
func (s *State) Note(j op.JobNote, owner unit.Instance) {
	if s.jobs == nil {
		s.jobs = make(map[string]*known)
	}
	k := s.jobs[j.ID]
	if k == nil {
		s.turn++
		k = &known{turn: s.turn}
		s.jobs[j.ID] = k
	}
	if j.Epoch >= k.epoch {
		k.owner, k.epoch = owner, j.Epoch
	}
	if j.Series != 0 {
		k.series = j.Series
	}
	k.closed = k.closed || j.Closed
}

// Closed notes that a job needs no owner.
func (s *State) Closed(id string) { s.Note(op.JobNote{ID: id, Closed: true}, "") }

// Seen remembers a job that stands in the store.
func (s *State) Seen(id string) {
	if s.jobs[id] == nil {
		s.Note(op.JobNote{ID: id}, "")
	}
}

// forgetOthers notes that a peer owns no job but those that it tells of.
func (s *State) forgetOthers(b op.Beat) {
	has := make(map[string]bool, len(b.Jobs))
	for _, j := range b.Jobs {
		has[j.ID] = true
	}
	for id, k := range s.jobs {
		if k.owner == b.Instance && !has[id] {
			k.owner = ""
		}
	}
}

// Epoch returns the highest epoch that is known of a job.
func (s *State) Epoch(job string) unit.Epoch {
	if k := s.jobs[job]; k != nil {
		return k.epoch
	}
	return 0
}

// Orphans returns jobs that are known to have no owner.
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

// Tick takes over jobs whose owners are gone, and reads the list of jobs after
// a start of the whole fleet.
func (s *State) Tick(now clock.Millis, leaving bool, out *op.List) {
	if !s.begun {
		s.begun, s.started = true, now
	}
	if leaving {
		return
	}
	s.list(now, out)
	var take []string
	for id, k := range s.jobs {
		if k.closed || k.owner == s.Self || now < k.takeAt || k.owner != "" && s.Live(now, k.owner) {
			continue
		}
		take = append(take, id)
	}
	slices.Sort(take)
	for _, id := range take {
		if !s.First(now, id) {
			continue
		}
		k := s.jobs[id]
		k.takeAt = now + retryTake
		out.Add(op.TakeOver{Job: id, Epoch: k.epoch, From: k.owner})
	}
}

func (s *State) list(now clock.Millis, out *op.List) {
	if s.listed || s.listBusy || now < s.started+listAfter || now < s.listAt {
		return
	}
	for _, p := range s.LivePeers(now) {
		if p.Uptime > now-s.started+oldUptime {
			s.listed = true
			return
		}
	}
	if !s.First(now, "jobs") {
		return
	}
	s.listBusy, s.listAt = true, now+retryTake
	out.Add(op.ListJobs{})
}

// Found takes the jobs that stand in the store.
func (s *State) Found(e op.JobsFound) {
	s.listBusy = false
	if e.Result != op.Done {
		return
	}
	s.listed = true
	for _, id := range e.Jobs {
		s.Seen(id)
	}
}
