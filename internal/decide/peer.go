package decide

import (
	"maps"
	"slices"

	"github.com/catkinhead/catkinhead/internal/fleet"
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/internal/steer"
	"github.com/catkinhead/catkinhead/internal/step"
	"github.com/catkinhead/catkinhead/internal/usage"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/spec"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// Know is what this instance tells its peers.
func (s *State) Know(now clock.Millis) op.Knowledge {
	return op.Knowledge{
		From:      s.Members.Self,
		Members:   s.Members.Sample(),
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

// handOver carries out the effects by which one concern asks another, until
// only effects for the runner are left.
func (s *State) handOver(now clock.Millis, list op.List) op.List {
	var final op.List
	for len(list) > 0 {
		e := list[0]
		list = list[1:]
		var more op.List
		switch e := e.(type) {
		case op.RunSample:
			s.Admit.Submit(now, e.Request, &more)
		case op.Refuse:
			if e.Step.Name == "" {
				final.Add(e)
				break
			}
			s.Steps.Refused(now, e, s.stepView(now), &more)
		case op.DropStep:
			s.Admit.CancelStep(now, e.Step, &more)
			final.Add(e)
		case op.SendOrder:
			if e.Order.Kind == platform.Stop && s.Admit.Leave(now, e.Order.Target) {
				s.Members.Push(&more)
			}
			final.Add(e)
		case op.Exchange:
			e.Know = s.Know(now)
			final.Add(e)
		default:
			final.Add(e)
		}
		list = append(more, list...)
	}
	return final
}

func (s *State) openStep(now clock.Millis, e op.OpenStep, out *op.List) {
	route, why := s.route(e.Route)
	var key spec.Key
	if why == "" {
		key, why = s.Config.Key(e.KeyHash, s.Fresh(now))
	}
	switch {
	case why != "":
	case !route.Allows(key.Workspace):
		why = op.NotAllowed
	case s.Config.Index.Pools[route.Pool].Kind != spec.Model:
		why = op.WrongKind
	}
	if why != "" {
		out.Add(op.StepOpened{Call: e.Call, Step: e.Step, Reason: why})
		return
	}
	e.Step.Workspace = key.Workspace
	s.Steps.Open(now, e, key.ID, route, out)
}

func (s *State) pullSamples(now clock.Millis, e op.PullSamples, out *op.List) {
	key, why := s.Config.Key(e.KeyHash, s.Fresh(now))
	if why != "" {
		out.Add(op.Deliver{Call: e.Call, Step: e.Step, Reason: why})
		return
	}
	e.Step.Workspace = key.Workspace
	if st := s.Steps.Steps[e.Step]; st != nil {
		st.KeyID = key.ID
	}
	s.Steps.Reduce(now, e, s.stepView(now), out)
}

func (s *State) closeStep(now clock.Millis, e op.CloseStep, out *op.List) {
	key, why := s.Config.Key(e.KeyHash, s.Fresh(now))
	if why != "" {
		out.Add(op.StepEnded{Call: e.Call, Step: e.Step, Reason: why})
		return
	}
	e.Step.Workspace = key.Workspace
	s.Steps.Reduce(now, e, s.stepView(now), out)
}

func (s *State) stepView(now clock.Millis) step.View {
	return step.View{Active: s.Admit.Active, Window: s.Usage.Window(s.Wall(now))}
}

func (s *State) reporter(now clock.Millis) usage.Lease {
	fence, until, held := s.Leases.Holds(usage.Scope, now)
	return usage.Lease{Held: held, Fence: fence, Until: until}
}

func (s *State) fleetView(now clock.Millis) fleet.View {
	v := fleet.View{Listed: s.Listed}
	if s.Config.Index != nil {
		v.Pools = s.Config.Index.Pools
	}
	for _, dc := range s.centres() {
		if fence, until, ok := s.Leases.Holds(fleet.Scope(dc), now); ok {
			v.Grants = append(v.Grants, fleet.Grant{DataCentre: dc, Fence: fence, Until: until})
		}
	}
	return v
}

func (s *State) steerView(now clock.Millis) steer.View {
	v := steer.View{Active: s.Admit.Active}
	for _, p := range s.modelPools() {
		if fence, until, ok := s.Leases.Holds(steer.Scope(p), now); ok {
			v.Grants = append(v.Grants, steer.Grant{Pool: p, Fence: fence, Until: until})
		}
	}
	if len(v.Grants) == 0 {
		return v
	}
	for _, name := range slices.Sorted(maps.Keys(s.Admit.Targets)) {
		t := s.Admit.Targets[name]
		if t.Reported && !t.Leaving {
			v.Targets = append(v.Targets, steer.Seen{
				Target: name, Pool: t.Pool, Address: t.Address,
				Version: t.Load.Version, Staged: t.Load.Staged,
			})
		}
	}
	return v
}

func (s *State) modelPools() []unit.Pool {
	if s.Config.Index == nil {
		return nil
	}
	var out []unit.Pool
	for name, p := range s.Config.Index.Pools {
		if p.Kind == spec.Model {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}
