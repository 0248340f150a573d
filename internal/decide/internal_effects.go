package decide

import (
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
)

// resolveInternalEffects applies the effects by which one package requests
// something from another, and the effects that these cause in turn. It returns
// the effects that are left for the caller to carry out, with this instance's
// knowledge filled into each Exchange. The target of a stop order is marked as
// leaving before the order is returned.
func (s *State) resolveInternalEffects(now clock.Millis, list op.List) op.List {
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
			s.Steps.HandleRefused(now, e)
		case op.DropStep:
			s.Admit.CancelStep(now, e.Step, &more)
			final.Add(e)
		case op.SendOrder:
			if e.Order.Kind == platform.Stop && s.Admit.MarkTargetLeaving(now, e.Order.Target) {
				s.Members.StartExtraExchanges(&more)
			}
			final.Add(e)
		case op.Exchange:
			e.Know = s.Knowledge(now)
			final.Add(e)
		default:
			final.Add(e)
		}
		list = append(more, list...)
	}
	return final
}
