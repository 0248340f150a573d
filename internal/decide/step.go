package decide

import (
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/spec"
)

// openStep checks the route and key of a trainer's call and opens the step.
func (s *State) openStep(now clock.Millis, e op.OpenStep, out *op.List) {
	route, why := s.lookupRoute(e.Route)
	var key spec.Key
	if why == "" {
		key, why = s.Config.LookupKey(e.KeyHash, s.KeysFresh(now))
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

// pullSamples checks the key of a trainer's call for finished samples, makes it
// the step's key, so that its withdrawal pauses the step, and passes the call to
// the step.
func (s *State) pullSamples(now clock.Millis, e op.PullSamples, out *op.List) {
	key, why := s.Config.LookupKey(e.KeyHash, s.KeysFresh(now))
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

// closeStep checks the key of a trainer's call and closes the step.
func (s *State) closeStep(now clock.Millis, e op.CloseStep, out *op.List) {
	key, why := s.Config.LookupKey(e.KeyHash, s.KeysFresh(now))
	if why != "" {
		out.Add(op.StepEnded{Call: e.Call, Step: e.Step, Reason: why})
		return
	}
	e.Step.Workspace = key.Workspace
	s.Steps.Reduce(now, e, s.stepView(now), out)
}
