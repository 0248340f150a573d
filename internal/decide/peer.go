package decide

import (
	"maps"
	"slices"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/spec"
)

// Knowledge returns the knowledge that this instance sends to its peers.
func (s *State) Knowledge(now clock.Millis) op.Knowledge {
	return op.Knowledge{
		From:      s.Members.Self,
		Members:   s.Members.SampleMembers(),
		AnchorAge: s.Config.Age(now),
		Revision:  s.Config.Revision,
		Withdrawn: s.Config.PendingKeys(),
		Suspects:  s.Admit.SuspectsForPeers(now),
		Leaving:   s.Admit.LeavingTargets(now),
	}
}

// mergePeerKnowledge merges the knowledge received from a peer. If it contains
// new crash suspects or leaving targets, they are passed on to other peers at
// once.
func (s *State) mergePeerKnowledge(now clock.Millis, e op.PeerHeard, out *op.List) {
	s.Members.Reduce(now, e, out)
	c := s.Config.Reduce(now, e, false, out)
	s.applyChange(now, c, out)
	changed := s.Admit.MergeSuspects(now, e.Know.Suspects)
	for _, t := range e.Know.Leaving {
		changed = s.Admit.MarkTargetLeaving(now, t) || changed
	}
	if changed {
		s.Members.StartExtraExchanges(out)
	}
}

// updatePlatformList applies the platform's list of instances and targets.
func (s *State) updatePlatformList(now clock.Millis, e op.ListRead, out *op.List) {
	s.Members.Reduce(now, e, out)
	if e.Result == op.Done {
		s.Listed = e.Targets
		s.updateTargets(now, out)
	}
}

// updateTargets sets the known targets to those of the configuration and those
// of the platform's list.
func (s *State) updateTargets(now clock.Millis, out *op.List) {
	var all []platform.TargetState
	if s.Config.Index != nil {
		for _, name := range slices.Sorted(maps.Keys(s.Config.Index.Pools)) {
			all = append(all, configuredTargets(s.Config.Index.Pools[name])...)
		}
	}
	all = append(all, s.Listed...)
	s.Admit.SetTargets(now, all, out)
}

// configuredTargets returns the targets that the configuration of a pool names.
func configuredTargets(p spec.Pool) []platform.TargetState {
	var out []platform.TargetState
	for _, t := range p.Targets {
		out = append(out, platform.TargetState{
			Target: t.Name, Pool: p.Name, DataCentre: t.DataCentre,
			Address: t.Address, Plain: p.Kind == spec.Plain,
		})
	}
	return out
}
