package member

import (
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// Roster caches what is derived from the members and read often. It is derived
// once per round and after the members have changed, so that the cost of other
// ticks does not grow with the fleet.
type Roster struct {
	// Live holds the live members sorted by incarnation, including this
	// instance unless it is shutting down. Hashes holds the hashes of their
	// names.
	Live   []op.MemberInfo
	Hashes []uint64 `json:"-"`
	// Names holds the names of all other members, sorted.
	Names []unit.Instance
	// Centres holds the data centres of all members and of this instance,
	// sorted.
	Centres []unit.DataCentre
}

// rebuildRoster derives the roster from the members.
func (s *State) rebuildRoster(now clock.Millis) {
	r := Roster{Names: slices.Sorted(maps.Keys(s.Members))}
	centres := map[unit.DataCentre]bool{s.Self.DataCentre: true}
	if !s.Self.Leaving {
		r.Live = append(r.Live, s.Self)
	}
	for _, name := range r.Names {
		m := s.Members[name]
		centres[m.DataCentre] = true
		if s.live(now, m) {
			r.Live = append(r.Live, m.MemberInfo)
		}
	}
	slices.SortFunc(r.Live, func(a, b op.MemberInfo) int {
		return strings.Compare(string(a.Incarnation), string(b.Incarnation))
	})
	for _, m := range r.Live {
		r.Hashes = append(r.Hashes, nameHash(m))
	}
	delete(centres, "")
	r.Centres = slices.Sorted(maps.Keys(centres))
	s.Roster, s.Stale = r, false
}

// majorityContactedAt returns the latest time since which this instance has
// itself contacted a majority of all known members, counting itself. It returns
// false if it has not contacted that many.
func (s *State) majorityContactedAt() (clock.Millis, bool) {
	// This instance counts as one of the majority, so one fewer is needed.
	need := (len(s.Members) + 1) / 2
	var contactedAt []clock.Millis
	for _, m := range s.Members {
		if m.Heard {
			contactedAt = append(contactedAt, m.HeardAt)
		}
	}
	if need == 0 || len(contactedAt) < need {
		return 0, need == 0
	}
	slices.Sort(contactedAt)
	return contactedAt[len(contactedAt)-need], true
}

// nameHash hashes the instance name, which stays the same across restarts.
func nameHash(m op.MemberInfo) uint64 { return xxhash.Sum64String(string(InstanceOf(m.Incarnation))) }

// combineHashes combines two hashes so that each key yields a different order
// of members.
func combineHashes(a, b uint64) uint64 {
	x := (a ^ b) * 0x9e3779b97f4a7c15
	x ^= x >> 32
	return x * 0xbf58476d1ce4e5b9
}
