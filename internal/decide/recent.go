package decide

import (
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// keptDecisions is how many decisions a dump shows.
const keptDecisions = 256

// Recent is the newest decisions on requests, for dumps.
type Recent struct {
	Decisions []Decision
	next      int
}

// Decision is one decision on a request: where it went or why it did not.
type Decision struct {
	At      clock.Millis
	Request unit.Request
	Target  unit.Target `json:",omitempty"`
	Refused op.Reason   `json:",omitempty"`
	Outcome string      `json:",omitempty"`
}

func (r *Recent) note(now clock.Millis, list op.List) {
	for _, e := range list {
		switch e := e.(type) {
		case op.Dispatch:
			r.add(Decision{At: now, Request: e.Request, Target: e.Target})
		case op.Refuse:
			r.add(Decision{At: now, Request: e.Request, Refused: e.Reason, Outcome: e.Outcome.String()})
		}
	}
}

func (r *Recent) add(d Decision) {
	if len(r.Decisions) < keptDecisions {
		r.Decisions = append(r.Decisions, d)
		return
	}
	r.Decisions[r.next] = d
	r.next = (r.next + 1) % keptDecisions
}
