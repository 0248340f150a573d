package member

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
	"github.com/cespare/xxhash/v2"
)

const (
	// ExchangeInterval is the time between rounds of exchanges.
	ExchangeInterval clock.Millis = 500
	// fanOut is the number of exchanges started per round.
	fanOut = 2
	// extraFanOut is the number of exchanges started at once when there is
	// something new to tell.
	extraFanOut = 3
	// sampleSize is the number of other members described in one exchange.
	sampleSize = 6
	// minListInterval is the shortest time between reads of the platform's
	// list.
	minListInterval clock.Millis = 2 * clock.Second
	// listBytesPerSecond limits the average traffic for reading the platform's
	// list, assuming that an entry takes listEntryBytes.
	listBytesPerSecond = 5000
	listEntryBytes     = 128
	// LivenessTimeout is how long a member counts as alive after its last
	// heartbeat.
	LivenessTimeout clock.Millis = 5 * clock.Second
	// relaysPerDataCentre is the number of instances of a data centre that read
	// the store regularly on behalf of the others.
	relaysPerDataCentre = 2
)

// State is this instance's view of the fleet. Self must be set.
type State struct {
	// Self describes this instance.
	Self op.MemberInfo
	// Members holds the other instances.
	Members map[unit.Instance]*Member
	// Turn counts the peers considered for an exchange; it selects the next one
	// in the rotation.
	Turn int
	// RoundAt is the time of the next round of exchanges.
	RoundAt clock.Millis
	// ListAt is the earliest time of the next read of the platform's list;
	// Listing is set while a read is in flight.
	ListAt  clock.Millis
	Listing bool
	// ListRead is set once the platform's list has been read.
	ListRead bool
	// Roster is derived from Members once per round and when members change.
	Roster Roster
	// Stale is set if members have changed since Roster was derived.
	Stale bool
	// QuorumAt is the latest time since which this instance has contacted a
	// majority of the fleet, valid if Quorum is set. Both are updated whenever
	// Members changes.
	QuorumAt clock.Millis
	Quorum   bool
}

// Member is another instance of the fleet.
type Member struct {
	op.MemberInfo
	// BeatAt is when the heartbeat counter last increased, or when the member
	// was first seen.
	BeatAt clock.Millis
	// HeardAt is the start time of the latest successful exchange that this
	// instance started with the member, valid if Heard is set.
	HeardAt clock.Millis
	// Heard is set after the first such exchange.
	Heard bool
	// Listed is set while the platform's list contains the member.
	Listed bool
	// Busy is set while an exchange started by this instance is in flight.
	Busy bool
}

// InstanceOf returns the instance part of an incarnation ("instance#start").
func InstanceOf(i unit.Incarnation) unit.Instance {
	name, _, _ := strings.Cut(string(i), "#")
	return unit.Instance(name)
}

// Reduce handles ticks, the platform's list and exchanges. The Know field of the
// Exchange effects that it adds is empty; the caller fills it in.
func (s *State) Reduce(now clock.Millis, ev op.Event, out *op.List) {
	switch e := ev.(type) {
	case op.Tick:
		s.tick(now, out)
	case op.ListRead:
		s.Listing = false
		if e.Result == op.Done {
			s.ListRead = true
			s.ListAt = now + listInterval(len(e.Targets)+len(e.Instances))
			s.mergeList(now, e)
			s.QuorumAt, s.Quorum = s.majorityContactedAt()
		}
	case op.PeerHeard:
		s.mergeKnowledge(now, e)
		s.QuorumAt, s.Quorum = s.majorityContactedAt()
	case op.PeerSilent:
		if m := s.Members[e.Instance]; m != nil {
			m.Busy = false
		}
	}
}

// tick updates the roster and starts the list read and the round of exchanges
// that are due.
func (s *State) tick(now clock.Millis, out *op.List) {
	if s.Stale || now >= s.RoundAt {
		s.rebuildRoster(now)
	}
	if now >= s.ListAt && !s.Listing {
		s.ListAt = now + minListInterval
		s.Listing = true
		out.Add(op.ReadList{})
	}
	if now < s.RoundAt {
		return
	}
	s.RoundAt = now + ExchangeInterval
	s.startExchanges(fanOut, out)
}

// listInterval returns the time until the next read of a list with the given
// number of entries. Long lists are read less often to stay within
// listBytesPerSecond; instances that leave are meanwhile reported by peers.
func listInterval(entries int) clock.Millis {
	return max(minListInterval, clock.Millis(entries)*listEntryBytes*clock.Second/listBytesPerSecond)
}

// StartExtraExchanges starts exchanges with a few peers without waiting for the
// next round.
func (s *State) StartExtraExchanges(out *op.List) { s.startExchanges(extraFanOut, out) }

// startExchanges starts exchanges with the next n peers in the rotation, except
// those with an exchange in flight or without a known address. The starting
// point depends on the incarnation, so that instances do not all contact the
// same peers.
func (s *State) startExchanges(n int, out *op.List) {
	names := s.Roster.Names
	if len(names) == 0 {
		return
	}
	offset := int(xxhash.Sum64String(string(s.Self.Incarnation)) % uint64(len(names)))
	for range min(n, len(names)) {
		m := s.Members[names[(offset+s.Turn)%len(names)]]
		s.Turn++
		if m == nil || m.Busy || m.Address == "" {
			continue
		}
		m.Busy = true
		out.Add(op.Exchange{Instance: InstanceOf(m.Incarnation), Address: m.Address})
	}
}

// mergeList adds the instances of the platform's list, except those that are
// leaving, and removes members that are neither listed nor live.
func (s *State) mergeList(now clock.Millis, e op.ListRead) {
	for _, m := range s.Members {
		m.Listed = false
	}
	for _, x := range e.Instances {
		if x.Instance == InstanceOf(s.Self.Incarnation) || x.Leaving {
			continue
		}
		// The list names instances without their incarnations. The bare name
		// sorts before every incarnation of the instance, so it replaces none.
		m := s.mergeMember(now, op.MemberInfo{Incarnation: unit.Incarnation(x.Instance), Address: x.Address, DataCentre: x.DataCentre})
		m.Listed = true
	}
	for name, m := range s.Members {
		if !m.Listed && !s.live(now, m) {
			delete(s.Members, name)
			s.Stale = true
		}
	}
}

// mergeKnowledge merges what a peer reported in an exchange: the peer's own
// heartbeat and the members that it knows of. A report from an older
// incarnation of the peer than the known one is ignored.
func (s *State) mergeKnowledge(now clock.Millis, e op.PeerHeard) {
	name := InstanceOf(e.Know.From.Incarnation)
	if name == InstanceOf(s.Self.Incarnation) {
		return
	}
	m := s.mergeMember(now, e.Know.From)
	if e.Asked {
		m.Busy = false
	}
	if m.Incarnation != e.Know.From.Incarnation {
		return
	}
	if e.Asked {
		m.Heard, m.HeardAt = true, max(m.HeardAt, e.AskedAt)
	}
	for _, x := range e.Know.Members {
		if InstanceOf(x.Incarnation) != InstanceOf(s.Self.Incarnation) {
			s.mergeMember(now, x)
		}
	}
}

// mergeMember merges a report about a member and returns the member. A report
// about an older incarnation changes nothing.
func (s *State) mergeMember(now clock.Millis, x op.MemberInfo) *Member {
	if s.Members == nil {
		s.Members = make(map[unit.Instance]*Member)
	}
	name := InstanceOf(x.Incarnation)
	m := s.Members[name]
	if m == nil {
		m = &Member{MemberInfo: x, BeatAt: now}
		s.Members[name] = m
		s.Stale = true
		return m
	}
	switch {
	case x.Incarnation > m.Incarnation:
		busy, listed := m.Busy, m.Listed
		*m = Member{MemberInfo: x, BeatAt: now, Busy: busy, Listed: listed}
		s.Stale = true
	case x.Incarnation == m.Incarnation && x.Beat > m.Beat:
		x.ConfigVersion = max(x.ConfigVersion, m.ConfigVersion)
		s.Stale = s.Stale || x.Leaving && !m.Leaving
		x.Leaving = x.Leaving || m.Leaving
		m.MemberInfo, m.BeatAt = x, now
	}
	return m
}

// live reports whether a member is alive and not shutting down.
func (s *State) live(now clock.Millis, m *Member) bool {
	return !m.Leaving && now-m.BeatAt < LivenessTimeout
}

// IsLive reports whether the given incarnation of another instance is alive,
// which includes one that is shutting down.
func (s *State) IsLive(now clock.Millis, i unit.Incarnation) bool {
	m := s.Members[InstanceOf(i)]
	return m != nil && m.Incarnation == i && now-m.BeatAt < LivenessTimeout
}

// LiveMembers returns the live members sorted by incarnation, as of the last
// update of the roster. They include this instance unless it is shutting down.
func (s *State) LiveMembers() []op.MemberInfo { return s.Roster.Live }

// MajorityContactedSince reports whether this instance has itself contacted a
// majority of all known members since the given time, counting itself. It is
// false until the platform's list has been read, since the size of the fleet is
// unknown before.
func (s *State) MajorityContactedSince(since clock.Millis) bool {
	return s.ListRead && (len(s.Members) == 0 || s.Quorum && s.QuorumAt >= since)
}

// IsRelay reports whether this instance is one of those that read the store
// regularly on behalf of their data centre.
func (s *State) IsRelay() bool {
	return s.rank("relay", relaysPerDataCentre, func(m op.MemberInfo) bool { return m.DataCentre == s.Self.DataCentre }) < relaysPerDataCentre
}

// IsCandidate reports whether this instance ranks among the first n live
// members for a lease and should try to acquire it.
func (s *State) IsCandidate(scope unit.Scope, n int) bool {
	return s.rank(string(scope), n, func(op.MemberInfo) bool { return true }) < n
}

// rank returns this instance's position among the eligible live members in the
// order given by rendezvous hashing of key, so that the loss of a member moves
// only what was assigned to it. Counting stops at limit.
func (s *State) rank(key string, limit int, eligible func(op.MemberInfo) bool) int {
	if s.Self.Leaving {
		return limit
	}
	h := xxhash.Sum64String(key)
	mine, n := combineHashes(h, nameHash(s.Self)), 0
	for i, m := range s.Roster.Live {
		if m.Incarnation != s.Self.Incarnation && eligible(m) && combineHashes(h, s.Roster.Hashes[i]) > mine {
			if n++; n >= limit {
				return n
			}
		}
	}
	return n
}

// RankedPeers returns the first n of the other live members with a known
// address, or all if there are fewer, in the order given by rendezvous hashing
// of key.
func (s *State) RankedPeers(key string, n int) []op.MemberInfo {
	h := xxhash.Sum64String(key)
	var out []op.MemberInfo
	for _, m := range s.Roster.Live {
		if m.Incarnation != s.Self.Incarnation && m.Address != "" {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b op.MemberInfo) int {
		return cmp.Compare(combineHashes(h, nameHash(b)), combineHashes(h, nameHash(a)))
	})
	return out[:min(n, len(out))]
}

// SampleMembers returns the members to describe in an exchange: a limited
// number that changes as the rotation advances. Members known only from the
// list are left out.
func (s *State) SampleMembers() []op.MemberInfo {
	names := s.Roster.Names
	var out []op.MemberInfo
	for i := range min(sampleSize, len(names)) {
		m := s.Members[names[(s.Turn*sampleSize+i)%len(names)]]
		if m != nil && m.Beat > 0 {
			out = append(out, m.MemberInfo)
		}
	}
	return out
}

// InstancesNotKnownToHaveConfig returns the live members that are not known to
// have the given configuration version or a later one, and the listed instances
// that are not known as members yet. The result is sorted.
func (s *State) InstancesNotKnownToHaveConfig(now clock.Millis, version int64, listed []unit.Instance) []unit.Instance {
	set := make(map[unit.Instance]bool)
	for _, name := range listed {
		if s.Members[name] == nil && name != InstanceOf(s.Self.Incarnation) {
			set[name] = true
		}
	}
	for name, m := range s.Members {
		if s.live(now, m) && m.ConfigVersion < version {
			set[name] = true
		}
	}
	return slices.Sorted(maps.Keys(set))
}
