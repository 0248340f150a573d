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

// State is the peers and the jobs of the fleet.
type State struct {
	Self  unit.Instance
	Peers map[unit.Instance]*Peer
	// order holds the names of Peers, sorted.
	order []unit.Instance
	jobs  map[string]*known
	// turn counts the jobs that were heard of.
	turn int64
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
