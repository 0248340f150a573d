package member

import (
	"testing"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// newState returns the state of instance i1 after it has read a list that also
// contains i2 and i3.
func newState() *State {
	s := &State{Self: op.MemberInfo{Incarnation: "i1#1", DataCentre: "north"}}
	var out op.List
	s.Reduce(0, op.ListRead{Result: op.Done, Instances: []platform.InstanceState{
		{Instance: "i1"}, {Instance: "i2", Address: "b", DataCentre: "north"}, {Instance: "i3", Address: "c", DataCentre: "south"},
	}}, &out)
	s.Reduce(0, op.Tick{}, &out)
	return s
}

// knowledgeFrom returns the event of an exchange with an incarnation. asked
// says whether this instance started it.
func knowledgeFrom(from unit.Incarnation, asked bool) op.PeerHeard {
	return op.PeerHeard{Know: op.Knowledge{From: op.MemberInfo{Incarnation: from, Address: "b", Beat: 1}}, Asked: asked}
}

// TestLateResponseFromReplacedIncarnation delivers the response of a replaced
// incarnation after its successor has been seen. The response must not count
// for the successor, and the peer must be contacted again.
func TestLateResponseFromReplacedIncarnation(t *testing.T) {
	s := newState()
	var out op.List
	s.Members["i2"].Busy = true
	s.Reduce(1, knowledgeFrom("i2#2", false), &out)
	s.Reduce(2, knowledgeFrom("i2#1", true), &out)
	m := s.Members["i2"]
	if m.Incarnation != "i2#2" {
		t.Fatalf("the replaced incarnation %s displaced its successor", m.Incarnation)
	}
	if m.Heard {
		t.Error("the response of the replaced incarnation counts for its successor")
	}
	if m.Busy {
		t.Error("the exchange still counts as in flight, so the peer is never contacted again")
	}
}

// TestExchangeCostAndCoverage checks, for fleets of several sizes, that an
// instance starts at most fanOut exchanges per round and still contacts every
// peer.
func TestExchangeCostAndCoverage(t *testing.T) {
	for _, n := range []int{8, 100, 1600} {
		s := &State{Self: op.MemberInfo{Incarnation: "self#1"}}
		list := op.ListRead{Result: op.Done}
		for i := range n {
			name := unit.Instance([]byte{'a' + byte(i/676), 'a' + byte(i/26%26), 'a' + byte(i%26)})
			list.Instances = append(list.Instances, platform.InstanceState{Instance: name, Address: "x"})
		}
		asked := make(map[unit.Instance]int)
		var out op.List
		s.Reduce(0, list, &out)
		total := 0
		rounds := n/fanOut + 1
		for r := range rounds {
			now := clock.Millis(r) * ExchangeInterval
			out = nil
			s.Reduce(now, op.Tick{}, &out)
			for _, e := range out {
				if x, ok := e.(op.Exchange); ok {
					asked[x.Instance]++
					total++
					s.Reduce(now, op.PeerSilent{Instance: x.Instance}, &out)
				}
			}
		}
		if len(asked) != n || total > rounds*fanOut {
			t.Errorf("%d of %d peers contacted in %d rounds with %d exchanges", len(asked), n, rounds, total)
		}
	}
}
