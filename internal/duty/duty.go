package duty

import (
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/internal/roster"
	"github.com/catkinhead/catkinhead/internal/route"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// SendTimeout is how long an order or a report may take to be sent. None is sent
// if the lease ends within this time.
const SendTimeout clock.Millis = 500

// Holder is this instance as the holder of the duties' lease.
type Holder struct {
	Self unit.Instance
	// Fence is the fencing token of the lease, 0 if this instance does not hold
	// it. The lease ends at Until.
	Fence unit.Fence
	Until clock.Millis
}

// CanSend reports whether an order or a report may be sent now.
func (h Holder) CanSend(now clock.Millis) bool { return h.Fence != 0 && now+SendTimeout < h.Until }

// SendBefore returns the time from which on an order or a report that is sent now
// must not be written.
func (h Holder) SendBefore(now clock.Millis) clock.Millis { return min(h.Until, now+SendTimeout) }

// View is the state of other packages that decisions on orders depend on.
type View struct {
	Holder
	Roster *roster.State
	// Table is nil before the first configuration.
	Table *route.Table
	// Demands is the demand of the jobs of all instances.
	Demands []op.Demand
}
