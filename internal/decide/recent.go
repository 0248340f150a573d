package decide

import (
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// maxRecentDecisions is the number of decisions kept for dumps.
const maxRecentDecisions = 256

// Recent is a ring buffer of the latest decisions on requests, for dumps.
type Recent struct {
	Decisions []Decision
	// next is the index of the oldest decision, which is overwritten next.
	next int
}

// Decision records which target a request was sent to, or why it was refused
// and, in Outcome, whether it ran before that.
type Decision struct {
	At      clock.Millis
	Request unit.Request
	Target  unit.Target `json:",omitempty"`
	Refused op.Reason   `json:",omitempty"`
	Outcome string      `json:",omitempty"`
}

// record adds the decisions contained in a list of effects.
func (r *Recent) record(now clock.Millis, list op.List) {
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
	if len(r.Decisions) < maxRecentDecisions {
		r.Decisions = append(r.Decisions, d)
		return
	}
	r.Decisions[r.next] = d
	r.next = (r.next + 1) % maxRecentDecisions
}
