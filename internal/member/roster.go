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

// Roster is what is asked of the members again and again, worked out once a
// round, so that a tick does not cost more in a larger fleet.
type Roster struct {
	// Live members in order of incarnation, and Hashes of their names.
	Live   []op.MemberInfo
	Hashes []uint64 `json:"-"`
	// Names of all other members, in order.
	Names []unit.Instance
	// Centres of all members, this one included, in order.
	Centres []unit.DataCentre
}

// muster makes the roster anew.
func (s *State) muster(now clock.Millis) {
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
		r.Hashes = append(r.Hashes, hashOf(m))
	}
	delete(centres, "")
	r.Centres = slices.Sorted(maps.Keys(centres))
	s.Roster, s.Stale = r, false
}

// quorum is the time since which this instance has itself asked a majority of
// all known members, counting itself.
func (s *State) quorum() (clock.Millis, bool) {
	// One less than a majority of all, since this instance is one of them.
	need := (len(s.Members) + 1) / 2
	var heard []clock.Millis
	for _, m := range s.Members {
		if m.Heard {
			heard = append(heard, m.HeardAt)
		}
	}
	if need == 0 || len(heard) < need {
		return 0, need == 0
	}
	slices.Sort(heard)
	return heard[len(heard)-need], true
}

func hashOf(m op.MemberInfo) uint64 { return xxhash.Sum64String(string(NameOf(m.Incarnation))) }

// mix joins two hashes so that each pair gives an order of its own.
func mix(a, b uint64) uint64 {
	x := (a ^ b) * 0x9e3779b97f4a7c15
	x ^= x >> 32
	return x * 0xbf58476d1ce4e5b9
}
