package decide

import (
	"maps"
	"slices"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/spec"
)

// Know is what this instance tells its peers.
func (s *State) Know(now clock.Millis) op.Knowledge {
	return op.Knowledge{
		From:      s.Members.Self,
		Members:   s.Members.SampleMembers(),
		AnchorAge: s.Config.Age(now),
		Revision:  s.Config.Revision,
		Withdrawn: s.Config.PendingKeys(),
		Suspects:  s.Admit.TellSuspects(now),
		Leaving:   s.Admit.LeavingTargets(now),
	}
}

func (s *State) peerHeard(now clock.Millis, e op.PeerHeard, out *op.List) {
	s.Members.Reduce(now, e, out)
	c := s.Config.Reduce(now, e, false, out)
	s.changed(now, c, out)
	news := s.Admit.HeardSuspects(now, e.Know.Suspects)
	for _, t := range e.Know.Leaving {
		news = s.Admit.Leave(now, t) || news
	}
	if news {
		s.Members.Push(out)
	}
}

func (s *State) listRead(now clock.Millis, e op.ListRead, out *op.List) {
	s.Members.Reduce(now, e, out)
	if e.Result == op.Done {
		s.Listed = e.Targets
		s.setTargets(now, out)
	}
}

// setTargets joins the targets of the configuration and of the list.
func (s *State) setTargets(now clock.Millis, out *op.List) {
	var all []platform.TargetState
	if s.Config.Index != nil {
		for _, name := range slices.Sorted(maps.Keys(s.Config.Index.Pools)) {
			all = append(all, configured(s.Config.Index.Pools[name])...)
		}
	}
	all = append(all, s.Listed...)
	s.Admit.SetTargets(now, all, out)
}

func configured(p spec.Pool) []platform.TargetState {
	var out []platform.TargetState
	for _, t := range p.Targets {
		out = append(out, platform.TargetState{
			Target: t.Name, Pool: p.Name, DataCentre: t.DataCentre,
			Address: t.Address, Plain: p.Kind == spec.Plain,
		})
	}
	return out
}
