package heartbeat

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// minInterval is the heartbeat interval in a small fleet.
	minInterval clock.Millis = 250
	// The heartbeat interval grows by minInterval for every peersPerStep peers, up
	// to maxIntervalSteps times minInterval: each instance sends its heartbeats to
	// all peers, so their number grows with the square of the fleet's size.
	peersPerStep     = 40
	maxIntervalSteps = 3
	// maxMissedBeats is the number of heartbeat intervals without a heartbeat, and
	// networkDelay the additional time, after which a peer is considered dead.
	maxMissedBeats              = 4
	networkDelay   clock.Millis = 200
	// minPeerTimeout is the time without a heartbeat after which a peer of a small
	// fleet is considered dead.
	minPeerTimeout = maxMissedBeats*minInterval + networkDelay
	// One in instancesPerWatcher instances, but at least minWatchers, watches the
	// store on behalf of the others.
	minWatchers         = 2
	instancesPerWatcher = 24
	// Heartbeats under names that are not registered may take maxUnlistedCost bytes, and
	// add jobs up to maxUnlistedJobs in all. heartbeatCost and entryCost are about what a
	// heartbeat, and an entry in it, take, in bytes.
	maxUnlistedCost = 2 << 20
	maxUnlistedJobs = 10_000
	heartbeatCost   = 512
	entryCost       = 64
)

// watchSubject is the subject that ranks instances for watching the store.
const watchSubject = "watch"

// Peer is another instance and its last heartbeat.
type Peer struct {
	op.Heartbeat
	// HeardAt is when the heartbeat was received.
	HeardAt clock.Millis
	// WallOffset is how far the peer's clock is ahead of this instance's.
	WallOffset clock.Millis
	// Listed is set if the instance is registered in the store.
	Listed bool
	// cost is about what the heartbeat takes, in bytes.
	cost int
}

// timeout returns after how long without a heartbeat the peer is considered dead.
func (p *Peer) timeout() clock.Millis { return max(maxMissedBeats*p.Next+networkDelay, minPeerTimeout) }

// State holds the peers of this instance and the jobs of the fleet. Self must be
// set.
type State struct {
	Self  unit.Instance
	Peers map[unit.Instance]*Peer
	// sortedPeers holds the keys of Peers in ascending order.
	sortedPeers []unit.Instance
	jobs        map[string]*jobState
	// series holds the jobs of each series in the order in which they were learned.
	series map[unit.Series][]string
	// jobCount counts all jobs that were ever added.
	jobCount int64
	// unlistedCost is what the heartbeats of peers take that are not registered.
	unlistedCost int
	// startedAt is the time of the first tick; startedSet is set from then on.
	startedAt  clock.Millis
	startedSet bool
	// jobsListed is set once the list of jobs in the store was read, or if that is
	// not needed because a peer knows the jobs. listing is set while it is being
	// read, and no read starts before listRetryAt.
	jobsListed  bool
	listing     bool
	listRetryAt clock.Millis
}

// Live reports whether an instance is a live peer. It is false for this instance.
func (s *State) Live(now clock.Millis, id unit.Instance) bool {
	p := s.Peers[id]
	return p != nil && p.live(now)
}

// live reports whether the last heartbeat is recent enough.
func (p *Peer) live(now clock.Millis) bool { return now < p.HeardAt+p.timeout() }

// HeartbeatInterval returns the heartbeat interval of this instance, which grows
// with the number of peers, dead ones included.
func (s *State) HeartbeatInterval() clock.Millis {
	return minInterval * clock.Millis(min(1+len(s.Peers)/peersPerStep, maxIntervalSteps))
}

// LivePeers returns the live peers, sorted by name.
func (s *State) LivePeers(now clock.Millis) []*Peer {
	out := make([]*Peer, 0, len(s.sortedPeers))
	for _, id := range s.sortedPeers {
		if p := s.Peers[id]; p.live(now) {
			out = append(out, p)
		}
	}
	return out
}

// setPeer adds or replaces a peer.
func (s *State) setPeer(p *Peer) {
	if s.Peers == nil {
		s.Peers = make(map[unit.Instance]*Peer)
	}
	if s.Peers[p.Instance] == nil {
		at, _ := slices.BinarySearch(s.sortedPeers, p.Instance)
		s.sortedPeers = slices.Insert(s.sortedPeers, at, p.Instance)
	}
	s.Peers[p.Instance] = p
}

// AddPeers adds the instances that are registered in the store as peers, so
// that heartbeats are sent to them too, and updates their addresses. It reports
// whether any of them was new. A new peer is not live before its first
// heartbeat.
func (s *State) AddPeers(addresses map[unit.Instance]string) bool {
	added := false
	for id, address := range addresses {
		if id == s.Self {
			continue
		}
		if p := s.Peers[id]; p != nil {
			p.Address = address
			s.markListed(p)
			continue
		}
		s.setPeer(&Peer{Heartbeat: op.Heartbeat{Instance: id, Address: address}, HeardAt: -minPeerTimeout, Listed: true})
		added = true
	}
	return added
}

// markListed notes that a peer is registered.
func (s *State) markListed(p *Peer) {
	if !p.Listed {
		p.Listed = true
		s.unlistedCost -= p.cost
	}
}

// admits reports whether there is room for a heartbeat that takes cost bytes. Datagrams
// may come from anywhere, so those under names that are not registered are bounded. A new
// instance is registered before it is heard, but its peers may learn of that later.
func (s *State) admits(old *Peer, cost int) bool {
	if old != nil && old.Listed {
		return true
	}
	if old != nil {
		cost -= old.cost
	}
	return s.unlistedCost+cost <= maxUnlistedCost
}

// RanksFirst reports whether this instance ranks first among itself and the live
// peers that are not draining. The subject is what the ranking is for, such as
// the ID of a job. Instances with the same view of the fleet agree on which one
// ranks first.
func (s *State) RanksFirst(now clock.Millis, subject string) bool {
	return s.ranksFirst(now, subject, func(p *Peer) bool { return !p.Leaving })
}

// RanksFirstForDuties is RanksFirst among the instances that do not leave the
// duties to their peers. The subject is the scope of the lease.
func (s *State) RanksFirstForDuties(now clock.Millis, subject string) bool {
	return s.ranksFirst(now, subject, func(p *Peer) bool { return !p.Leaving && !p.Yields })
}

// ranksFirst reports whether this instance ranks first among itself and the live
// peers that are eligible.
func (s *State) ranksFirst(now clock.Millis, subject string, eligible func(*Peer) bool) bool {
	own := rank(subject, s.Self)
	for _, p := range s.LivePeers(now) {
		if eligible(p) && rank(subject, p.Instance) > own {
			return false
		}
	}
	return true
}

// HasSteadierPeer reports whether a live peer that is not draining has been running
// for clearly longer than uptime.
func (s *State) HasSteadierPeer(now, uptime clock.Millis) bool {
	return slices.ContainsFunc(s.LivePeers(now), func(p *Peer) bool {
		return !p.Leaving && p.Uptime > uptime+uptimeMargin
	})
}

// rank returns the weight of an instance for a subject in rendezvous hashing.
func rank(subject string, id unit.Instance) uint64 {
	return xxhash.Sum64String(subject + "\x00" + string(id))
}

// WatcherAddress returns the address of the peer that watches the store on
// behalf of this instance, empty if this instance is to watch the store itself.
// The instances that rank highest for watchSubject watch the store. Every other
// instance uses the watcher that ranks first for the name of that instance, so
// that the load is spread over the watchers.
func (s *State) WatcherAddress(now clock.Millis) string {
	live := s.LivePeers(now)
	watchers := max(minWatchers, (len(live)+1)/instancesPerWatcher)
	if len(live) < watchers {
		return ""
	}
	own := rank(watchSubject, s.Self)
	ahead := make([]*Peer, 0, len(live))
	for _, p := range live {
		if !p.Leaving && rank(watchSubject, p.Instance) > own {
			ahead = append(ahead, p)
		}
	}
	if len(ahead) < watchers {
		return ""
	}
	slices.SortFunc(ahead, func(a, b *Peer) int {
		return cmp.Compare(rank(watchSubject, b.Instance), rank(watchSubject, a.Instance))
	})
	best := ahead[0]
	for _, p := range ahead[1:watchers] {
		if rank(string(s.Self), p.Instance) > rank(string(s.Self), best.Instance) {
			best = p
		}
	}
	return best.Address
}

// ApplyHeartbeat applies a heartbeat that was received now, which is the Unix time
// wall by the local clock. It ignores a heartbeat that is not newer than the last
// one of the same incarnation, or for which there is no room. It returns the jobs that this instance owned but the
// peer owns under a higher epoch; ownedEpoch returns the epoch under which this
// instance owns a job, and false if it does not own it.
func (s *State) ApplyHeartbeat(now, wall clock.Millis, h op.Heartbeat, ownedEpoch func(job string) (unit.Epoch, bool)) []string {
	old := s.Peers[h.Instance]
	if old != nil && old.Incarnation == h.Incarnation && h.Seq <= old.Seq {
		return nil
	}
	cost := costOf(h)
	if !s.admits(old, cost) {
		return nil
	}
	p := &Peer{Heartbeat: h, HeardAt: now, WallOffset: h.Wall - wall, cost: cost}
	switch {
	case old == nil:
		s.unlistedCost += cost
	case old.Listed:
		p.Listed = true
	default:
		s.unlistedCost += cost - old.cost
	}
	s.setPeer(p)
	if !p.Listed && len(s.jobs)+len(h.Jobs)+len(h.Orphans) > maxUnlistedJobs {
		return nil
	}
	var lost []string
	for _, j := range h.Jobs {
		if epoch, owned := ownedEpoch(j.ID); owned {
			if j.Epoch > epoch {
				lost = append(lost, j.ID)
			} else {
				continue
			}
		}
		s.UpdateJob(j, h.Instance)
	}
	for _, id := range h.Orphans {
		s.AddStoredJob(id)
	}
	if old == nil || !old.listsSameJobs(h) {
		s.releaseUnlisted(h)
	}
	return lost
}

// costOf returns about what a heartbeat takes, in bytes.
func costOf(h op.Heartbeat) int {
	n := heartbeatCost
	for _, j := range h.Jobs {
		n += entryCost + len(j.ID)
	}
	for _, ids := range [][]string{h.Ahead, h.Orphans} {
		for _, id := range ids {
			n += entryCost + len(id)
		}
	}
	return n + entryCost*(len(h.Counts)+len(h.Crashes)+len(h.Demands)+len(h.Running)+len(h.Slow))
}

// listsSameJobs reports whether a newer heartbeat comes from the same process and
// lists the same jobs, so that none of them has lost its owner.
func (p *Peer) listsSameJobs(h op.Heartbeat) bool {
	return p.Incarnation == h.Incarnation && slices.Equal(p.Jobs, h.Jobs) && slices.Equal(p.Ahead, h.Ahead)
}
