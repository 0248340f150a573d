package edge

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// leaseOrdersDivisor is how many fewer orders of leases than of owners are played:
	// each takes that much longer.
	leaseOrdersDivisor = 40
	// leaseStepTime is how long a step of an order lasts.
	leaseStepTime = 300 * clock.Millis(1)
	// quickCall and slowCall are how long a call under the lease is on its way. One
	// without an answer is given up after callTime.
	quickCall clock.Millis = 20
	slowCall  clock.Millis = 2500
	callTime               = clock.Second
	// plannedStopTime is when a process that was asked to stop is killed.
	plannedStopTime = 8 * clock.Second
)

// leaseExplorer plays an order of disturbances of a fleet whose instances act under the
// duties lease as long as they hold it.
type leaseExplorer struct {
	leaseFleet
	starts int
	// storeCut, answersLost, silent and frozen are the disturbances of each instance.
	storeCut, answersLost, silent, frozen [3]bool
	// stopAt is when an instance that was asked to stop is killed, 0 if it was not.
	stopAt    [3]clock.Millis
	slowCalls bool
	calls     []leaseCallOnItsWay
	arrived   []leaseArrival
}

// leaseCallOnItsWay is a call that has not arrived or not ended yet.
type leaseCallOnItsWay struct {
	holder            int
	state             *State
	fence             unit.Fence
	arrivesAt, endsAt clock.Millis
}

// leaseArrival is a call as its receiver gets it.
type leaseArrival struct {
	holder int
	fence  unit.Fence
	at     clock.Millis
}

func newLeaseExplorer() *leaseExplorer {
	x := &leaseExplorer{leaseFleet: *newLeaseFleet(), starts: 1}
	x.pass(2 * clock.Second)
	return x
}

// leaseSteps describes the steps by number. All but the last three concern an instance.
var leaseSteps = []string{
	"kill", "start", "planned stop", "cut from the store", "answers of the store lost", "cut from peers", "freeze",
	"all is well", "calls are slow or quick", "time passes", "time passes",
}

// step takes a step, which names an instance too, and lets time pass.
func (x *leaseExplorer) step(n int) {
	i := n / len(leaseSteps) % 3
	switch leaseSteps[n%len(leaseSteps)] {
	case "kill":
		x.kill(i)
	case "start":
		x.restart(i)
	case "planned stop":
		if x.states[i] != nil && x.stopAt[i] == 0 && !x.frozen[i] {
			x.stopAt[i] = x.now + plannedStopTime
			x.apply(i, op.Drain{})
		}
	case "cut from the store":
		x.storeCut[i] = !x.storeCut[i]
	case "answers of the store lost":
		x.answersLost[i] = !x.answersLost[i]
	case "cut from peers":
		x.silent[i] = !x.silent[i]
	case "freeze":
		x.frozen[i] = !x.frozen[i]
	case "all is well":
		x.storeCut, x.answersLost, x.silent, x.frozen, x.slowCalls = [3]bool{}, [3]bool{}, [3]bool{}, [3]bool{}, false
	case "calls are slow or quick":
		x.slowCalls = !x.slowCalls
	default:
		x.pass(3 * leaseStepTime)
	}
	x.pass(leaseStepTime)
}

// restart starts an instance that is not running.
func (x *leaseExplorer) restart(i int) {
	if x.states[i] != nil {
		return
	}
	x.starts++
	x.start(i, fmt.Sprintf("#%d", x.starts))
	x.stopAt[i], x.frozen[i] = 0, false
}

// pass lets time pass.
func (x *leaseExplorer) pass(d clock.Millis) {
	for end := x.now + d; x.now < end; x.now += 50 {
		for i, s := range x.states {
			if s == nil || x.frozen[i] {
				continue
			}
			if x.stopAt[i] > 0 && x.now >= x.stopAt[i] {
				x.kill(i)
				continue
			}
			x.apply(i, op.Tick{Wall: x.now})
			x.act(i)
		}
		x.deliverCalls()
	}
}

// apply applies an event to an instance and carries out the effects as far as the
// disturbances permit.
func (x *leaseExplorer) apply(i int, ev op.Event) {
	s := x.states[i]
	if s == nil || x.frozen[i] {
		return
	}
	now := x.now - x.startedAt[i]
	for _, e := range s.Reduce(now, ev) {
		switch e := e.(type) {
		case op.ReadLease:
			read := op.LeaseRead{Scope: e.Scope, Result: op.Done, Record: x.record, Revision: x.revision}
			if x.storeCut[i] || x.answersLost[i] {
				read = op.LeaseRead{Scope: e.Scope, Result: op.Lost}
			}
			x.apply(i, read)
		case op.WriteLease:
			x.apply(i, x.writeLease(i, now, e))
		case op.SendHeartbeats:
			for j := range x.states {
				if j != i && !x.silent[i] && !x.silent[j] {
					x.apply(j, op.HeartbeatReceived{Heartbeat: e.Heartbeat})
				}
			}
		}
	}
}

// writeLease carries out a write and returns its result as the instance sees it.
func (x *leaseExplorer) writeLease(i int, now clock.Millis, e op.WriteLease) op.LeaseWritten {
	written := op.LeaseWritten{Scope: e.Scope, Result: op.Conflict, Record: e.Record, SentAt: now, Revision: x.revision}
	if x.storeCut[i] {
		written.Result = op.Lost
		return written
	}
	if e.IfRev == x.revision {
		x.record, x.revision = e.Record, x.revision+1
		written.Result, written.Revision = op.Done, x.revision
	}
	if x.answersLost[i] {
		written.Result = op.Lost
	}
	return written
}

// act lets an instance send a call if it holds the lease and has none in flight.
func (x *leaseExplorer) act(i int) {
	s := x.states[i]
	fence, _, held := s.Leases.Held(dutiesScope, x.now-x.startedAt[i])
	if !held || slices.ContainsFunc(x.calls, func(c leaseCallOnItsWay) bool { return c.state == s && c.endsAt > 0 }) {
		return
	}
	takes := quickCall
	if x.slowCalls {
		takes = slowCall
	}
	s.Leases.StartCall(dutiesScope)
	x.calls = append(x.calls, leaseCallOnItsWay{holder: i, state: s, fence: fence, arrivesAt: x.now + takes, endsAt: x.now + min(takes, callTime)})
}

// deliverCalls lets calls arrive and end that are due.
func (x *leaseExplorer) deliverCalls() {
	for k := range x.calls {
		c := &x.calls[k]
		if c.arrivesAt > 0 && x.now >= c.arrivesAt {
			x.arrived = append(x.arrived, leaseArrival{c.holder, c.fence, c.arrivesAt})
		}
		if c.endsAt > 0 && x.now >= c.endsAt {
			result := op.Done
			if c.arrivesAt > c.endsAt {
				result = op.Lost
			}
			if x.states[c.holder] == c.state {
				c.state.Leases.EndCall(x.now-x.startedAt[c.holder], dutiesScope, result)
			}
			c.endsAt = 0
		}
		if x.now >= c.arrivesAt {
			c.arrivesAt = 0
		}
	}
	x.calls = slices.DeleteFunc(x.calls, func(c leaseCallOnItsWay) bool { return c.arrivesAt == 0 && c.endsAt == 0 })
}

// violation returns how the calls that arrived break the rule of one holder, empty if
// they do not.
func (x *leaseExplorer) violation() string {
	turns := leaseTimes(platform.Bounds{}).Grace
	highest := leaseArrival{holder: -1}
	lastOf := map[int]clock.Millis{}
	changedAt := map[int]clock.Millis{}
	for _, a := range x.arrived {
		switch {
		case a.fence < highest.fence:
			return fmt.Sprintf("ONE: fencing token %d after %d", a.fence, highest.fence)
		case a.fence == highest.fence && a.holder != highest.holder && highest.holder >= 0:
			return fmt.Sprintf("ONE: two holders with fencing token %d", a.fence)
		}
		if last, ok := lastOf[a.holder]; ok && changedAt[a.holder] > last && a.at-last < turns {
			return fmt.Sprintf("ONE: a holder acts again after %d ms, with another one in between", a.at-last)
		}
		for other := range 3 {
			if other != a.holder {
				changedAt[other] = a.at + 1
			}
		}
		lastOf[a.holder], highest = a.at, a
	}
	return ""
}

// playLeaseOrder plays an order of steps and returns what is wrong after it, empty if
// nothing is.
func playLeaseOrder(order []int) string {
	x := newLeaseExplorer()
	for _, n := range order {
		x.step(n)
	}
	if wrong := x.violation(); wrong != "" {
		return wrong
	}
	x.step(slices.Index(leaseSteps, "all is well"))
	for i := range x.states {
		if x.stopAt[i] > 0 {
			x.kill(i)
		}
		x.restart(i)
	}
	before := len(x.arrived)
	x.pass(20 * clock.Second)
	if wrong := x.violation(); wrong != "" {
		return wrong
	}
	if len(x.arrived) == before {
		return "LOST: nobody acts although all is well"
	}
	return ""
}

// TestRandomOrdersOfHolders plays random orders of kills, starts, planned stops, cuts,
// freezes, lost answers and slow calls, and checks the rule of one holder (ONE) on the
// calls as their receiver gets them. Afterwards somebody must hold the lease.
func TestRandomOrdersOfHolders(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(*exploreSeed)
	parameters.MinSuccessfulTests, parameters.MaxSize = *exploreOrders/leaseOrdersDivisor, maxOrderLength
	properties := gopter.NewProperties(parameters)
	steps := gen.SliceOf(gen.IntRange(0, len(leaseSteps)*3-1))
	properties.Property("there is one holder", prop.ForAll(func(order []int) string {
		wrong := playLeaseOrder(order)
		if wrong == "" {
			return ""
		}
		var names []string
		for _, n := range order {
			names = append(names, fmt.Sprintf("%s: %s", testInstances[n/len(leaseSteps)%3], leaseSteps[n%len(leaseSteps)]))
		}
		return wrong + " after " + strings.Join(names, "; ")
	}, steps))
	properties.TestingRun(t)
}
