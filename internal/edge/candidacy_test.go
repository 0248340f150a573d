package edge

import (
	"testing"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// leaseFleet is a fleet whose instances see each other's heartbeats at once, and a
// store with the duties lease. restarted maps instances to when they started again.
type leaseFleet struct {
	now       clock.Millis
	states    []*State
	startedAt []clock.Millis
	record    op.LeaseRecord
	revision  unit.Revision
	// holders are the instances that held the lease, in turn, each with the time at
	// which it began and that of its last tick as the holder.
	holders []leaseTerm
	// idle is for how long nobody held the lease.
	idle clock.Millis
}

// leaseTerm is a time in which one instance held the lease.
type leaseTerm struct {
	holder      int
	fence       unit.Fence
	first, last clock.Millis
}

var testInstances = []unit.Instance{"a", "b", "c"}

func newLeaseFleet() *leaseFleet {
	f := &leaseFleet{states: make([]*State, len(testInstances)), startedAt: make([]clock.Millis, len(testInstances))}
	for i := range testInstances {
		f.start(i, "#1")
	}
	return f
}

// start starts an instance, again if it has run before.
func (f *leaseFleet) start(i int, process string) {
	environment := platform.Environment{Instance: testInstances[i], IP: "127.0.0.1", PeerPort: i + 1}
	f.states[i] = NewState(environment, unit.Incarnation(string(testInstances[i])+process), 0)
	f.startedAt[i] = f.now
}

// kill ends an instance.
func (f *leaseFleet) kill(i int) { f.states[i] = nil }

// run lets time pass.
func (f *leaseFleet) run(d clock.Millis) {
	for end := f.now + d; f.now < end; f.now += 50 {
		for i, s := range f.states {
			if s != nil {
				f.apply(i, op.Tick{Wall: f.now})
			}
		}
		f.recordHolder()
	}
}

// apply applies an event to an instance and carries out the effects.
func (f *leaseFleet) apply(i int, ev op.Event) {
	s := f.states[i]
	if s == nil {
		return
	}
	now := f.now - f.startedAt[i]
	for _, e := range s.Reduce(now, ev) {
		switch e := e.(type) {
		case op.ReadLease:
			f.apply(i, op.LeaseRead{Scope: e.Scope, Result: op.Done, Record: f.record, Revision: f.revision})
		case op.WriteLease:
			written := op.LeaseWritten{Scope: e.Scope, Result: op.Conflict, Record: e.Record, SentAt: now, Revision: f.revision}
			if e.IfRev == f.revision {
				f.record, f.revision = e.Record, f.revision+1
				written.Result, written.Revision = op.Done, f.revision
			}
			f.apply(i, written)
		case op.SendHeartbeats:
			for j := range f.states {
				if j != i {
					f.apply(j, op.HeartbeatReceived{Heartbeat: e.Heartbeat})
				}
			}
		}
	}
}

// recordHolder records which instance holds the lease.
func (f *leaseFleet) recordHolder() {
	f.idle += 50
	for i, s := range f.states {
		if s == nil {
			continue
		}
		fence, _, held := s.Leases.Held(dutiesScope, f.now-f.startedAt[i])
		if !held {
			continue
		}
		f.idle -= 50
		if n := len(f.holders); n > 0 && f.holders[n-1].holder == i && f.holders[n-1].fence == fence {
			f.holders[n-1].last = f.now
			continue
		}
		f.holders = append(f.holders, leaseTerm{holder: i, fence: fence, first: f.now, last: f.now})
	}
}

// holder returns the present holder.
func (f *leaseFleet) holder(t *testing.T) int {
	t.Helper()
	if n := len(f.holders); n > 0 && f.holders[n-1].last >= f.now-50 {
		return f.holders[n-1].holder
	}
	t.Fatalf("nobody holds the lease at %d: %+v", f.now, f.holders)
	return 0
}

// checkTurns fails the test if an instance held the lease, another one after it, and
// the first again, within the grace of the lease.
func (f *leaseFleet) checkTurns(t *testing.T) {
	t.Helper()
	grace := leaseTimes(platform.Bounds{}).Grace
	for i, first := range f.holders {
		for _, later := range f.holders[min(i+2, len(f.holders)):] {
			if later.holder == first.holder && later.first-first.last < grace {
				t.Errorf("an instance acted again after %d ms, with another in between: %+v", later.first-first.last, f.holders)
			}
		}
	}
}

// TestRestartedHolderHandsOver guards against a holder of the duties that keeps them
// however often it starts again: it goes on at first, and then hands over to a peer
// that has been running for longer.
func TestRestartedHolderHandsOver(t *testing.T) {
	f := newLeaseFleet()
	f.run(20 * clock.Second)
	holder := f.holder(t)
	f.kill(holder)
	f.run(500)
	f.start(holder, "#2")
	f.run(clock.Second)
	if f.holder(t) != holder {
		t.Errorf("the restarted holder does not go on: %+v", f.holders)
	}
	f.run(3 * clock.Second)
	if f.holder(t) == holder {
		t.Fatalf("the restarted holder keeps the lease: %+v", f.holders)
	}
	last := f.holders[len(f.holders)-2:]
	gap := last[1].first - last[0].last
	t.Logf("nobody held the lease for %d ms", gap)
	if gap > 600 {
		t.Errorf("nobody held the lease for %d ms, want at most 600", gap)
	}
	f.run(20 * clock.Second)
	f.checkTurns(t)
}

// TestRestartedHolderStaysWithoutASteadierPeer guards against a hand-over that helps
// nobody, after a loss of power of the whole fleet.
func TestRestartedHolderStaysWithoutASteadierPeer(t *testing.T) {
	f := newLeaseFleet()
	f.run(20 * clock.Second)
	holder := f.holder(t)
	for i := range f.states {
		f.kill(i)
	}
	f.run(500)
	for i := range f.states {
		f.start(i, "#2")
	}
	terms := len(f.holders)
	f.run(20 * clock.Second)
	if f.holder(t) != holder || len(f.holders) != terms {
		t.Errorf("the lease was handed over: %+v", f.holders)
	}
}

// TestHolderThatEndsAgainAndAgainLosesTheLease guards against a holder that never
// runs for long enough to hand over, and keeps the duties for ever.
func TestHolderThatEndsAgainAndAgainLosesTheLease(t *testing.T) {
	f := newLeaseFleet()
	f.run(20 * clock.Second)
	holder := f.holder(t)
	for _, process := range []string{"#2", "#3", "#4", "#5", "#6", "#7", "#8", "#9"} {
		f.kill(holder)
		f.run(500)
		f.start(holder, process)
		f.run(1500)
	}
	if f.holder(t) == holder {
		t.Errorf("the lease stays with an instance that ends every two seconds: %+v", f.holders)
	}
	f.run(20 * clock.Second)
	f.checkTurns(t)
}

// TestTimeWithoutHolder guards against disturbances of the holder that leave the duties
// undone for longer than the design says.
func TestTimeWithoutHolder(t *testing.T) {
	tests := map[string]struct {
		disturb func(f *leaseFleet, holder int)
		within  clock.Millis
	}{
		"planned stop": {func(f *leaseFleet, holder int) { f.apply(holder, op.Drain{}) }, clock.Second},
		"kill and restart": {func(f *leaseFleet, holder int) {
			f.kill(holder)
			f.run(500)
			f.start(holder, "#2")
		}, 500 + clock.Second},
		"death": {func(f *leaseFleet, holder int) { f.kill(holder) }, 7 * clock.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newLeaseFleet()
			f.run(20 * clock.Second)
			before := f.idle
			tt.disturb(f, f.holder(t))
			f.run(20 * clock.Second)
			t.Logf("%s: nobody held the lease for %d ms", name, f.idle-before)
			if f.idle-before > tt.within {
				t.Errorf("nobody held the lease for %d ms, want at most %d: %+v", f.idle-before, tt.within, f.holders)
			}
			f.checkTurns(t)
		})
	}
}
