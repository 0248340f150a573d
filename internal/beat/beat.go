package beat

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// Every is the time between heartbeats to each peer.
	Every clock.Millis = 250
	// DeadAfter is the silence after which a peer is taken to be dead: four
	// heartbeats and the way.
	DeadAfter clock.Millis = 1200
	// leastWatchers and perWatcher tell how many instances watch the store for
	// the others.
	leastWatchers = 2
	perWatcher    = 12
	// listAfter is how long after its start an instance waits for peers that
	// know the jobs, before it reads them from the store.
	listAfter clock.Millis = 700
	// retryTake is the pause after a job could not be taken over.
	retryTake clock.Millis = 500
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

// known is a job of the fleet.
type known struct {
	owner unit.Instance
	epoch unit.Epoch
	// closed jobs need no owner that works on them.
	closed bool
	// takeAt is when this instance may try to take it over (again).
	takeAt clock.Millis
}

// State is the peers and the jobs of the fleet.
type State struct {
	Self  unit.Instance
	Peers map[unit.Instance]*Peer
	jobs  map[string]*known
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
	return p != nil && now < p.HeardAt+DeadAfter
}

// LivePeers returns the live peers by name.
func (s *State) LivePeers(now clock.Millis) []*Peer {
	var out []*Peer
	for _, id := range slices.Sorted(maps.Keys(s.Peers)) {
		if s.Live(now, id) {
			out = append(out, s.Peers[id])
		}
	}
	return out
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

// Note remembers a job; this instance may be its owner.
func (s *State) Note(id string, owner unit.Instance, epoch unit.Epoch, closed bool) {
	if s.jobs == nil {
		s.jobs = make(map[string]*known)
	}
	k := s.jobs[id]
	if k == nil {
		k = &known{}
		s.jobs[id] = k
	}
	if epoch >= k.epoch {
		k.owner, k.epoch = owner, epoch
	}
	k.closed = k.closed || closed
}

// Released notes that this instance has let a job go.
func (s *State) Released(id string) {
	if k := s.jobs[id]; k != nil && k.owner == s.Self {
		k.owner = ""
	}
}

// Closed notes that a job needs no owner.
func (s *State) Closed(id string) { s.Note(id, "", 0, true) }

// Seen remembers a job that stands in the store.
func (s *State) Seen(id string) {
	if s.jobs[id] == nil {
		s.Note(id, "", 0, false)
	}
}

// Heard takes a heartbeat at a Unix time. It returns the jobs that the peer owns under a
// higher claim than the given epochs of this instance.
func (s *State) Heard(now, wall clock.Millis, b op.Beat, own map[string]unit.Epoch) []string {
	if s.Peers == nil {
		s.Peers = make(map[unit.Instance]*Peer)
	}
	if old := s.Peers[b.Instance]; old != nil && old.Incarnation == b.Incarnation && b.Seq <= old.Seq {
		return nil
	}
	s.Peers[b.Instance] = &Peer{Beat: b, HeardAt: now, WallOffset: b.Wall - wall}
	var lost []string
	has := make(map[string]bool, len(b.Jobs))
	for _, j := range b.Jobs {
		has[j.ID] = true
		if epoch, mine := own[j.ID]; mine {
			if j.Epoch > epoch {
				lost = append(lost, j.ID)
			} else {
				continue
			}
		}
		s.Note(j.ID, b.Instance, j.Epoch, j.Closed)
	}
	for _, id := range b.Orphans {
		s.Seen(id)
	}
	for id, k := range s.jobs {
		if k.owner == b.Instance && !has[id] {
			k.owner = ""
		}
	}
	return lost
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
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		k := s.jobs[id]
		if k.closed || k.owner == s.Self || now < k.takeAt {
			continue
		}
		if k.owner != "" && s.Live(now, k.owner) {
			continue
		}
		if !s.First(now, id) {
			continue
		}
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
