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
	// Every is the time between rounds of exchanges.
	Every clock.Millis = 500
	// fanOut is the number of peers asked a round.
	fanOut = 2
	// pushTo is the number of peers told at once of something new.
	pushTo = 3
	// sampleSize is the number of members told of in one exchange.
	sampleSize = 6
	// listEvery is the shortest time between reads of the platform's list.
	listEvery clock.Millis = 2 * clock.Second
	// listBudget is what reading the list may cost, in bytes a second, and
	// listEntry what an entry takes.
	listBudget = 5000
	listEntry  = 128
	// LiveFor is how long a member counts as live after its last beat.
	LiveFor clock.Millis = 5 * clock.Second
	// relays is the number of instances of a data centre that read the store.
	relays = 2
)

// State is what is known of the fleet. Self must be set.
type State struct {
	Self    op.MemberInfo
	Members map[unit.Instance]*Member
	// Turn counts the exchanges begun, for their order.
	Turn    int
	RoundAt clock.Millis
	ListAt  clock.Millis
	Listing bool
	// ListRead is set once the platform's list was read.
	ListRead bool
	// Roster is made from Members once a round, and when members change.
	Roster Roster
	// Stale is set while Roster lacks a change of members.
	Stale bool
	// QuorumAt is the time since which a majority was asked, kept up with each
	// change of Members; Quorum is set if there was one.
	QuorumAt clock.Millis
	Quorum   bool
}

// Member is one other instance.
type Member struct {
	op.MemberInfo
	// BeatAt is when the beat last rose, or the member was first listed.
	BeatAt clock.Millis
	// HeardAt is when the newest exchange that we began with it began.
	HeardAt clock.Millis
	// Heard is set once there was one.
	Heard bool
	// Listed is set while the platform lists it.
	Listed bool
	// Busy is set while an exchange is under way.
	Busy bool
}

// NameOf returns the instance of an incarnation.
func NameOf(i unit.Incarnation) unit.Instance {
	name, _, _ := strings.Cut(string(i), "#")
	return unit.Instance(name)
}

// Reduce handles rounds, lists and exchanges. The Exchange effects lack what
// is to be told, which the caller fills in.
func (s *State) Reduce(now clock.Millis, ev op.Event, out *op.List) {
	switch e := ev.(type) {
	case op.Tick:
		s.tick(now, out)
	case op.ListRead:
		s.Listing = false
		if e.Result == op.Done {
			s.ListRead = true
			s.ListAt = now + listPause(len(e.Targets)+len(e.Instances))
			s.list(now, e)
			s.QuorumAt, s.Quorum = s.quorum()
		}
	case op.PeerHeard:
		s.heard(now, e)
		s.QuorumAt, s.Quorum = s.quorum()
	case op.PeerSilent:
		if m := s.Members[e.Instance]; m != nil {
			m.Busy = false
		}
	}
}

func (s *State) tick(now clock.Millis, out *op.List) {
	if s.Stale || now >= s.RoundAt {
		s.muster(now)
	}
	if now >= s.ListAt && !s.Listing {
		s.ListAt = now + listEvery
		s.Listing = true
		out.Add(op.ReadList{})
	}
	if now < s.RoundAt {
		return
	}
	s.RoundAt = now + Every
	s.exchange(fanOut, out)
}

// listPause is the time until the next read of a list of a length. A list that
// is long is read less often; who leaves is heard of from peers before.
func listPause(entries int) clock.Millis {
	return max(listEvery, clock.Millis(entries)*listEntry*clock.Second/listBudget)
}

// Push tells a few peers at once.
func (s *State) Push(out *op.List) { s.exchange(pushTo, out) }

// exchange begins exchanges with the next n peers in turn. Each instance
// starts its turn at another place.
func (s *State) exchange(n int, out *op.List) {
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
		out.Add(op.Exchange{Instance: NameOf(m.Incarnation), Address: m.Address})
	}
}

func (s *State) list(now clock.Millis, e op.ListRead) {
	for _, m := range s.Members {
		m.Listed = false
	}
	for _, x := range e.Instances {
		if x.Instance == NameOf(s.Self.Incarnation) || x.Leaving {
			continue
		}
		m := s.member(now, op.MemberInfo{Incarnation: unit.Incarnation(x.Instance), Address: x.Address, DataCentre: x.DataCentre})
		m.Listed = true
	}
	for name, m := range s.Members {
		if !m.Listed && !s.live(now, m) {
			delete(s.Members, name)
			s.Stale = true
		}
	}
}

func (s *State) heard(now clock.Millis, e op.PeerHeard) {
	name := NameOf(e.Know.From.Incarnation)
	if name == NameOf(s.Self.Incarnation) {
		return
	}
	m := s.member(now, e.Know.From)
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
		if NameOf(x.Incarnation) != NameOf(s.Self.Incarnation) {
			s.member(now, x)
		}
	}
}

// member merges news of a member. News of an older incarnation changes
// nothing.
func (s *State) member(now clock.Millis, x op.MemberInfo) *Member {
	if s.Members == nil {
		s.Members = make(map[unit.Instance]*Member)
	}
	name := NameOf(x.Incarnation)
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

func (s *State) live(now clock.Millis, m *Member) bool {
	return !m.Leaving && now-m.BeatAt < LiveFor
}

// IsLive tells whether an incarnation of another instance lives.
func (s *State) IsLive(now clock.Millis, i unit.Incarnation) bool {
	m := s.Members[NameOf(i)]
	return m != nil && m.Incarnation == i && now-m.BeatAt < LiveFor
}

// Live returns the live members in order of name, this one included unless it
// leaves, as of the last round.
func (s *State) Live() []op.MemberInfo { return s.Roster.Live }

// Majority tells whether this instance has itself asked a majority of all
// known members since a time, counting itself. An instance that never read
// the platform's list does not know of whom it would need a majority.
func (s *State) Majority(since clock.Millis) bool {
	return s.ListRead && (len(s.Members) == 0 || s.Quorum && s.QuorumAt >= since)
}

// Relay tells whether this instance reads the store for its data centre.
func (s *State) Relay() bool {
	return s.rank("relay", relays, func(m op.MemberInfo) bool { return m.DataCentre == s.Self.DataCentre }) < relays
}

// Candidate tells whether this instance is among the first n for a scope.
func (s *State) Candidate(scope unit.Scope, n int) bool {
	return s.rank(string(scope), n, func(op.MemberInfo) bool { return true }) < n
}

// rank is the number of members that go before this instance by rendezvous
// hashing, so that the loss of one moves only what it had. It counts no
// further than limit.
func (s *State) rank(what string, limit int, among func(op.MemberInfo) bool) int {
	if s.Self.Leaving {
		return limit
	}
	h := xxhash.Sum64String(what)
	mine, n := mix(h, hashOf(s.Self)), 0
	for i, m := range s.Roster.Live {
		if m.Incarnation != s.Self.Incarnation && among(m) && mix(h, s.Roster.Hashes[i]) > mine {
			if n++; n >= limit {
				return n
			}
		}
	}
	return n
}

// Nearest returns up to n other live members for something, by rendezvous
// hashing.
func (s *State) Nearest(what string, n int) []op.MemberInfo {
	h := xxhash.Sum64String(what)
	var out []op.MemberInfo
	for _, m := range s.Roster.Live {
		if m.Incarnation != s.Self.Incarnation && m.Address != "" {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b op.MemberInfo) int {
		return cmp.Compare(mix(h, hashOf(b)), mix(h, hashOf(a)))
	})
	return out[:min(n, len(out))]
}

// Sample returns a bounded, changing choice of members to tell of.
func (s *State) Sample() []op.MemberInfo {
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

// Lagging returns the live members not known to have a configuration, and
// those listed that are not known at all yet.
func (s *State) Lagging(now clock.Millis, version int64, listed []unit.Instance) []unit.Instance {
	set := make(map[unit.Instance]bool)
	for _, name := range listed {
		if s.Members[name] == nil && name != NameOf(s.Self.Incarnation) {
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
