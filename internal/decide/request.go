package decide

import (
	"github.com/catkinhead/catkinhead/internal/config"
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/spec"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// defaultDeadline bounds a live request on a route that names no deadline.
const defaultDeadline clock.Millis = 60 * clock.Second

// arrive checks a caller's request and admits it.
func (s *State) arrive(now clock.Millis, r op.Request, out *op.List) {
	route, why := s.route(r.Route)
	if why == "" {
		r.KeyID, r.Workspace, why = s.authorise(now, r.KeyHash, route)
	}
	if why == "" && s.Config.Index.Pools[route.Pool].Kind == spec.Plain != r.Plain {
		why = op.WrongKind
	}
	if why != "" {
		out.Add(op.Refuse{Request: r.ID, Reason: why, Outcome: unit.NotRun, RetryAfter: hint(why)})
		return
	}
	r.Pool = route.Pool
	r.Idempotent = !r.Plain || route.Idempotent
	if r.Deadline == 0 {
		r.Deadline = now + defaultDeadline
		if route.DeadlineMillis > 0 {
			r.Deadline = now + clock.Millis(route.DeadlineMillis)
		}
	}
	s.Admit.Submit(now, r, out)
}

func (s *State) route(name unit.Route) (spec.Route, op.Reason) {
	if s.Config.Index == nil || !s.Config.Started {
		return spec.Route{}, op.NoConfig
	}
	r, ok := s.Config.Index.Routes[name]
	if !ok {
		return r, op.NoRoute
	}
	return r, ""
}

// authorise finds the workspace that a request runs for. Routes open to all
// take requests without a key; a key that comes along must still be good.
func (s *State) authorise(now clock.Millis, hash string, route spec.Route) (unit.KeyID, unit.Workspace, op.Reason) {
	if hash == "" && route.Open {
		return "", "", ""
	}
	k, why := s.Config.LookupKey(hash, s.Fresh(now))
	if why != "" {
		return "", "", why
	}
	if !route.Allows(k.Workspace) {
		return "", "", op.NotAllowed
	}
	return k.ID, k.Workspace, ""
}

func hint(why op.Reason) clock.Millis {
	if why == op.NotFresh || why == op.NoConfig {
		return clock.Second
	}
	return 0
}

// Authorise tells whether a key may use a route now, and for which workspace.
func (s *State) Authorise(now clock.Millis, hash string, name unit.Route) (unit.Workspace, op.Reason) {
	route, why := s.route(name)
	if why != "" {
		return "", why
	}
	_, w, why := s.authorise(now, hash, route)
	return w, why
}

// Workspace returns the workspace of a key that may be acted on now.
func (s *State) Workspace(now clock.Millis, hash string) (unit.Workspace, op.Reason) {
	k, why := s.Config.LookupKey(hash, s.Fresh(now))
	return k.Workspace, why
}

func (s *State) callerGone(now clock.Millis, e op.CallerGone, out *op.List) {
	run := s.Admit.Cancel(now, e.Request, out)
	if run != nil && run.Workspace != "" {
		s.Usage.RecordPartialAnswer(run.Workspace, e.Passed, s.Wall(now))
	}
}

// finished takes the end of an attempt. A whole live answer is counted and its
// end released once the count is safe; a sample goes to its step.
func (s *State) finished(now clock.Millis, e op.Finished, out *op.List) {
	run := s.Admit.Finish(now, e, out)
	if e.Leaving || e.Crashed {
		s.Members.Push(out)
	}
	switch {
	case run == nil:
	case run.Step.Name != "":
		s.Steps.Done(now, run.Request, e, s.stepView(now), out)
	case run.Plain || run.Workspace == "" || e.Passed == 0:
		out.Add(op.Release{Request: run.ID})
	default:
		s.Usage.RecordAnswer(run.Workspace, e.Passed, s.Wall(now), run.ID, out)
	}
}

// configured takes a change of the operators' state in.
func (s *State) configured(now clock.Millis, ev op.Event, out *op.List) {
	c := s.Config.Reduce(now, ev, s.Members.IsRelay(), out)
	s.changed(now, c, out)
	s.checkFresh(now, out)
}

func (s *State) changed(now clock.Millis, c config.Change, out *op.List) {
	if c.Applied {
		s.applyConfig(now, out)
	}
	if len(c.Withdrawn) > 0 {
		keys := make(map[unit.KeyID]bool)
		for _, k := range c.Withdrawn {
			keys[k] = true
		}
		s.Admit.CutKeys(now, keys, op.Withdrawn, out)
		s.Steps.Pause(keys)
	}
	if c.ShouldPush() {
		s.Members.Push(out)
	}
}

// applyConfig puts pools, weights and versions in force.
func (s *State) applyConfig(now clock.Millis, out *op.List) {
	s.Members.Self.ConfigVersion = s.Config.State.ConfigVersion
	weights := make(map[unit.Workspace]int)
	for name, w := range s.Config.Index.Workspaces {
		weights[name] = w.Weight
	}
	s.Admit.Weights = weights
	s.setTargets(now, out)
	for p, v := range s.Config.State.Active {
		s.Admit.Active[p] = max(s.Admit.Active[p], v)
	}
	s.cutRemoved(now, out)
	s.Admit.TooOld(now, out)
}

// cutRemoved ends the requests of keys that the configuration no longer has.
func (s *State) cutRemoved(now clock.Millis, out *op.List) {
	have := make(map[unit.KeyID]bool)
	for _, k := range s.Config.Index.Keys {
		have[k.ID] = true
	}
	gone := make(map[unit.KeyID]bool)
	for _, run := range s.Admit.Runs {
		if run.KeyID != "" && !have[run.KeyID] {
			gone[run.KeyID] = true
		}
	}
	for _, st := range s.Steps.Steps {
		if !have[st.KeyID] {
			gone[st.KeyID] = true
		}
	}
	if len(gone) > 0 {
		s.Admit.CutKeys(now, gone, op.Withdrawn, out)
		s.Steps.Pause(gone)
	}
}
