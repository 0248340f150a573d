package lease

import (
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// Calls are the calls to receivers that this instance sends under a lease, such
// as orders to targets. A receiver may get a call without an answer at any time
// after it was written.
type Calls struct {
	// InFlight is the number of calls that have not ended.
	InFlight int
	// Unanswered is the number of calls under the present fencing token that ended
	// without an answer although they may have been written. None of them is
	// expected to arrive from SettledAt on.
	Unanswered int
	SettledAt  clock.Millis
}

// settled reports whether none of the calls can arrive any more.
func (c Calls) settled(now clock.Millis) bool { return c.InFlight == 0 && now >= c.SettledAt }

// StartCall records that a call under the lease of a scope is about to be sent.
func (s *State) StartCall(scope unit.Scope) { s.lease(scope).Calls.InFlight++ }

// EndCall records the end of a call under the lease of a scope. Only a call with
// the result Lost may still arrive at its receiver.
func (s *State) EndCall(now clock.Millis, scope unit.Scope, result op.Result) {
	c := &s.lease(scope).Calls
	c.InFlight = max(c.InFlight-1, 0)
	if result == op.Lost {
		c.Unanswered++
		c.SettledAt = now + s.Times.orDefault().Grace
	}
}
