package decide

import (
	"github.com/catkinhead/catkinhead/internal/config"
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/spec"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// defaultDeadline is the time after which a caller's request is refused if
// neither the request nor its route sets a deadline.
const defaultDeadline clock.Millis = 60 * clock.Second

// retryAfterDraining is the Retry-After hint of a stopping instance: another one can
// serve the request at once.
const retryAfterDraining clock.Millis = 100

// admitRequest checks a caller's request against its route and key, then
// submits it for admission or refuses it.
func (s *State) admitRequest(now clock.Millis, r op.Request, out *op.List) {
	route, why := s.lookupRoute(r.Route)
	if why == "" {
		r.KeyID, r.Workspace, why = s.authoriseForRoute(now, r.KeyHash, route)
	}
	if why == "" && s.Config.Index.Pools[route.Pool].Kind == spec.Plain != r.Plain {
		why = op.WrongKind
	}
	if why != "" {
		out.Add(op.Refuse{Request: r.ID, Reason: why, Outcome: unit.NotRun, RetryAfter: retryAfter(why)})
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
	if s.endsTooLate(now, r.Deadline) {
		out.Add(op.Refuse{Request: r.ID, Reason: op.Draining, Outcome: unit.NotRun, RetryAfter: retryAfter(op.Draining)})
		return
	}
	s.Admit.Submit(now, r, out)
}

// endsTooLate reports whether a request with a deadline may be cut off by the graceful
// shutdown, although the load balancer sends new ones to other instances already.
func (s *State) endsTooLate(now, deadline clock.Millis) bool {
	return s.CutAt > 0 && now >= s.RefuseAt && deadline > s.CutAt
}

// lookupRoute returns a route, or the reason why it cannot be used. The reason
// is empty if it can.
func (s *State) lookupRoute(name unit.Route) (spec.Route, op.Reason) {
	if s.Config.Index == nil || !s.Config.Started {
		return spec.Route{}, op.NoConfig
	}
	r, ok := s.Config.Index.Routes[name]
	if !ok {
		return r, op.NoRoute
	}
	return r, ""
}

// authoriseForRoute returns the key ID and workspace under which a request runs.
// Open routes accept requests without a key, but a key that is sent must still be
// valid.
func (s *State) authoriseForRoute(now clock.Millis, hash string, route spec.Route) (unit.KeyID, unit.Workspace, op.Reason) {
	if hash == "" && route.Open {
		return "", "", ""
	}
	k, why := s.Config.LookupKey(hash, s.KeysFresh(now))
	if why != "" {
		return "", "", why
	}
	if !route.Allows(k.Workspace) {
		return "", "", op.NotAllowed
	}
	return k.ID, k.Workspace, ""
}

// retryAfter returns the delay suggested to a refused caller, or 0 if retrying
// will not help.
func retryAfter(why op.Reason) clock.Millis {
	switch why {
	case op.NotFresh, op.NoConfig:
		return clock.Second
	case op.Draining:
		return retryAfterDraining
	}
	return 0
}

// WorkspaceForRoute returns the workspace under which a key may use a route, or
// the reason for refusing it, which is empty if it may. On an open route a call
// without a key is accepted with an empty workspace.
func (s *State) WorkspaceForRoute(now clock.Millis, hash string, name unit.Route) (unit.Workspace, op.Reason) {
	route, why := s.lookupRoute(name)
	if why != "" {
		return "", why
	}
	_, w, why := s.authoriseForRoute(now, hash, route)
	return w, why
}

// WorkspaceOfKey returns the workspace of a key, or the reason for refusing the
// key, which is empty if it is accepted.
func (s *State) WorkspaceOfKey(now clock.Millis, hash string) (unit.Workspace, op.Reason) {
	k, why := s.Config.LookupKey(hash, s.KeysFresh(now))
	return k.Workspace, why
}

// cancelRequest cancels the request of a caller that disconnected, and counts
// the tokens that the caller received.
func (s *State) cancelRequest(now clock.Millis, e op.CallerGone, out *op.List) {
	run := s.Admit.Cancel(now, e.Request, out)
	if run != nil && run.Workspace != "" {
		s.Usage.RecordPartialAnswer(run.Workspace, e.Passed, s.Wall(now))
	}
}

// finishAttempt handles the end of an attempt to run a request. The tokens of a
// complete live answer are counted, and the end of the answer is released to
// the caller once the count has been copied to a peer, or at once if there is
// nothing to count. A finished sample is passed to its step.
func (s *State) finishAttempt(now clock.Millis, e op.Finished, out *op.List) {
	run := s.Admit.Finish(now, e, out)
	if e.Leaving || e.Crashed {
		s.Members.StartExtraExchanges(out)
	}
	switch {
	case run == nil:
	case run.Step.Name != "":
		s.Steps.HandleFinished(now, run.Request, e, s.stepView(now), out)
	case run.Plain || run.Workspace == "" || e.Passed == 0:
		out.Add(op.Release{Request: run.ID})
	default:
		s.Usage.RecordAnswer(run.Workspace, e.Passed, s.Wall(now), run.ID, out)
	}
}

// updateOperatorState applies an event that can change the operators' state.
func (s *State) updateOperatorState(now clock.Millis, ev op.Event, out *op.List) {
	c := s.Config.Reduce(now, ev, s.Members.IsRelay(), out)
	s.applyChange(now, c, out)
	s.updateFreshness(now, out)
}

// applyChange applies a change of the operators' state to requests, steps and
// targets, and tells peers about it.
func (s *State) applyChange(now clock.Millis, c config.Change, out *op.List) {
	if c.Applied {
		s.applyConfig(now, out)
	}
	if len(c.Withdrawn) > 0 {
		keys := make(map[unit.KeyID]bool)
		for _, k := range c.Withdrawn {
			keys[k] = true
		}
		s.Admit.RefuseKeys(now, keys, op.Withdrawn, out)
		s.Steps.Pause(keys)
	}
	if c.ShouldTellPeers() {
		s.Members.StartExtraExchanges(out)
	}
}

// applyConfig applies a new configuration: workspace weights, targets, and the
// model version that each pool should serve. It refuses requests whose key was
// removed, and requeues running ones whose model version is now too old.
func (s *State) applyConfig(now clock.Millis, out *op.List) {
	s.Members.Self.ConfigVersion = s.Config.State.ConfigVersion
	weights := make(map[unit.Workspace]int)
	for name, w := range s.Config.Index.Workspaces {
		weights[name] = w.Weight
	}
	s.Admit.Weights = weights
	s.updateTargets(now, out)
	for p, v := range s.Config.State.Active {
		s.Admit.Active[p] = max(s.Admit.Active[p], v)
	}
	s.refuseRemovedKeys(now, out)
	s.Admit.RequeueStale(now, out)
}

// refuseRemovedKeys refuses the requests, and pauses the steps, of keys that are
// no longer in the configuration.
func (s *State) refuseRemovedKeys(now clock.Millis, out *op.List) {
	configured := make(map[unit.KeyID]bool)
	for _, k := range s.Config.Index.Keys {
		configured[k.ID] = true
	}
	removed := make(map[unit.KeyID]bool)
	for _, run := range s.Admit.Runs {
		if run.KeyID != "" && !configured[run.KeyID] {
			removed[run.KeyID] = true
		}
	}
	for _, st := range s.Steps.Steps {
		if !configured[st.KeyID] {
			removed[st.KeyID] = true
		}
	}
	if len(removed) > 0 {
		s.Admit.RefuseKeys(now, removed, op.Withdrawn, out)
		s.Steps.Pause(removed)
	}
}
