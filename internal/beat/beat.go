package beat

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// shortestPace is the time between heartbeats to each peer in a small fleet.
	shortestPace clock.Millis = 250
	// peersPerPace is for how many peers more the time between heartbeats grows
	// by the shortest pace, up to longestPaces of it: each heartbeat goes to each
	// peer, so their number grows with the square of the fleet.
	peersPerPace = 40
	longestPaces = 3
	// missedBeats is how many heartbeats may be missed before a peer is taken to
	// be dead, and beatWay the time on the way.
	missedBeats              = 4
	beatWay     clock.Millis = 200
	// DeadAfter is the silence after which a peer of a small fleet is dead.
	DeadAfter = missedBeats*shortestPace + beatWay
	// leastWatchers and perWatcher tell how many instances watch the store for
	// the others.
	leastWatchers = 2
	perWatcher    = 24
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

// watchSubject ranks instances for watching the store.
const watchSubject = "watch"

// Peer is another instance as it was last heard.
type Peer struct {
	op.Beat
	HeardAt clock.Millis
	// WallOffset is how far the peer's clock is ahead of this instance's.
	WallOffset clock.Millis
}

// silence is after which silence the peer is taken to be dead.
func (p *Peer) silence() clock.Millis { return max(missedBeats*p.Next+beatWay, DeadAfter) }

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

// State is the peers and the jobs of the fleet.
type State struct {
	Self  unit.Instance
	Peers map[unit.Instance]*Peer
	// order holds the names of Peers, sorted.
	order []unit.Instance
	jobs  map[string]*known
	turn  int64
	// started is when this instance started; listed is set once the jobs that
	// nobody may know of were read from the store.
	started  clock.Millis
	begun    bool
	listed   bool
	listBusy bool
	listAt   clock.Millis
}

// Live tells whether an instance other than this one was heard lately.
func (s *State) Live(now clock.Millis, id unit.Instance) bool {
	p := s.Peers[id]
	return p != nil && p.live(now)
}

func (p *Peer) live(now clock.Millis) bool { return now < p.HeardAt+p.silence() }

// Pace returns the time between heartbeats to each peer.
func (s *State) Pace() clock.Millis {
	return shortestPace * clock.Millis(min(1+len(s.Peers)/peersPerPace, longestPaces))
}

// LivePeers returns the live peers by name.
func (s *State) LivePeers(now clock.Millis) []*Peer {
	out := make([]*Peer, 0, len(s.order))
	for _, id := range s.order {
		if p := s.Peers[id]; p.live(now) {
			out = append(out, p)
		}
	}
	return out
}

// put keeps a peer.
func (s *State) put(p *Peer) {
	if s.Peers == nil {
		s.Peers = make(map[unit.Instance]*Peer)
	}
	if s.Peers[p.Instance] == nil {
		at, _ := slices.BinarySearch(s.order, p.Instance)
		s.order = slices.Insert(s.order, at, p.Instance)
	}
	s.Peers[p.Instance] = p
}

// Listed takes the addresses of instances, so that those that were not heard
// yet are sent heartbeats. It returns whether there are such.
func (s *State) Listed(addresses map[unit.Instance]string) bool {
	added := false
	for id, address := range addresses {
		if id == s.Self {
			continue
		}
		if p := s.Peers[id]; p != nil {
			p.Address = address
			continue
		}
		s.put(&Peer{Beat: op.Beat{Instance: id, Address: address}, HeardAt: -DeadAfter})
		added = true
	}
	return added
}

// Owner returns the live peer that owns a job.
func (s *State) Owner(now clock.Millis, job string) (*Peer, bool) {
	k := s.jobs[job]
	if k == nil || k.owner == s.Self || !s.Live(now, k.owner) {
		return nil, false
	}
	return s.Peers[k.owner], true
}

// First tells whether this instance ranks first among the live ones for a
// subject.
func (s *State) First(now clock.Millis, subject string) bool {
	own := rank(subject, s.Self)
	for _, p := range s.LivePeers(now) {
		if !p.Leaving && rank(subject, p.Instance) > own {
			return false
		}
	}
	return true
}

func rank(subject string, id unit.Instance) uint64 {
	return xxhash.Sum64String(subject + "\x00" + string(id))
}

// Watcher returns the address of the instance whose watches of the store this
// one shares; empty if it watches itself. A few instances watch: those that rank
// first. Each of the others asks the one that ranks first for it.
func (s *State) Watcher(now clock.Millis) string {
	live := s.LivePeers(now)
	most := max(leastWatchers, (len(live)+1)/perWatcher)
	if len(live) < most {
		return ""
	}
	own := rank(watchSubject, s.Self)
	ahead := make([]*Peer, 0, len(live))
	for _, p := range live {
		if !p.Leaving && rank(watchSubject, p.Instance) > own {
			ahead = append(ahead, p)
		}
	}
	if len(ahead) < most {
		return ""
	}
	slices.SortFunc(ahead, func(a, b *Peer) int {
		return cmp.Compare(rank(watchSubject, b.Instance), rank(watchSubject, a.Instance))
	})
	best := ahead[0]
	for _, p := range ahead[1:most] {
		if rank(string(s.Self), p.Instance) > rank(string(s.Self), best.Instance) {
			best = p
		}
	}
	return best.Address
}

// Predecessor is an earlier job of a series, and the address of its owner;
// empty is this instance.
type Predecessor struct{ Job, Address string }

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

// Released notes that this instance has let a job go.
func (s *State) Released(id string) {
	if k := s.jobs[id]; k != nil && k.owner == s.Self {
		k.owner = ""
	}
}

// Closed notes that a job needs no owner.
func (s *State) Closed(id string) { s.Note(op.JobNote{ID: id, Closed: true}, "") }

// Seen remembers a job that stands in the store.
func (s *State) Seen(id string) {
	if s.jobs[id] == nil {
		s.Note(op.JobNote{ID: id}, "")
	}
}

// Heard takes a heartbeat at a Unix time. It returns the jobs that the peer owns
// under a higher claim than this instance has; own returns the epoch of a job
// that this instance owns.
func (s *State) Heard(now, wall clock.Millis, b op.Beat, own func(job string) (unit.Epoch, bool)) []string {
	old := s.Peers[b.Instance]
	if old != nil && old.Incarnation == b.Incarnation && b.Seq <= old.Seq {
		return nil
	}
	s.put(&Peer{Beat: b, HeardAt: now, WallOffset: b.Wall - wall})
	var lost []string
	for _, j := range b.Jobs {
		if epoch, mine := own(j.ID); mine {
			if j.Epoch > epoch {
				lost = append(lost, j.ID)
			} else {
				continue
			}
		}
		s.Note(j, b.Instance)
	}
	for _, id := range b.Orphans {
		s.Seen(id)
	}
	if old == nil || !slices.Equal(old.Jobs, b.Jobs) {
		s.forgetOthers(b)
	}
	return lost
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
