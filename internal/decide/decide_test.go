package decide

import (
	"fmt"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/catkinhead/catkinhead/internal/config"
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/spec"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// testInstance is the instance under test. The test simulates its peers, the
// store, the platform and the callers.
type testInstance struct {
	s   *State
	now clock.Millis
	// withdrawnAt is when each withdrawn key was withdrawn in the store.
	withdrawnAt map[unit.KeyID]clock.Millis
	// leftAt is when this instance was told that a target is leaving.
	leftAt map[unit.Target]clock.Millis
	// keyOf is the key with which each request was made.
	keyOf map[unit.Request]unit.KeyID
	// revision and version are the highest revision and configuration version
	// that were in force.
	revision unit.Revision
	version  int64
	// running holds the attempts in flight.
	running map[unit.Request]op.Dispatch
	// violation describes a broken invariant, or is empty.
	violation string
}

// newTestInstance returns instance i1 in a fleet of five, with two targets and
// the first state read from the store.
func newTestInstance() *testInstance {
	ti := &testInstance{
		s:           New(op.MemberInfo{Incarnation: "i1#1", Address: "a", DataCentre: "north"}, 10_000),
		withdrawnAt: make(map[unit.KeyID]clock.Millis), leftAt: make(map[unit.Target]clock.Millis),
		keyOf: make(map[unit.Request]unit.KeyID), running: make(map[unit.Request]op.Dispatch),
	}
	ti.reduce(op.Tick{})
	ti.reduce(op.ListRead{Result: op.Done, Targets: []platform.TargetState{
		{Target: "t1", Pool: "p", Address: "a1"}, {Target: "t2", Pool: "p", Address: "a2"},
	}, Instances: []platform.InstanceState{
		{Instance: "i1"},
		{Instance: "i2", Address: "b", DataCentre: "north"},
		{Instance: "i3", Address: "c", DataCentre: "south"},
		{Instance: "i4", Address: "d", DataCentre: "south"},
		{Instance: "i5", Address: "e", DataCentre: "south"},
	}})
	ti.readStoreState(1, nil)
	return ti
}

// readStoreState delivers the result of a read of the store made now. The state
// is left out if the instance already has this revision.
func (ti *testInstance) readStoreState(rev unit.Revision, withdrawn []unit.KeyID) {
	st := &op.OperatorState{ConfigVersion: int64(rev), Withdrawn: withdrawn, Parsed: testConfig()}
	if rev <= ti.s.Config.Revision {
		st = nil
	}
	ti.reduce(op.StateRead{Result: op.Done, AskedAt: ti.now, Revision: rev, State: st})
}

// testConfig returns a configuration with one pool and the keys k0 to k2.
func testConfig() *spec.Config {
	c := &spec.Config{
		Workspaces: []spec.Workspace{{Name: "w"}},
		Routes:     []spec.Route{{Name: "r", Pool: "p"}},
		Pools:      []spec.Pool{{Name: "p", Kind: spec.Model}},
	}
	for i := range 3 {
		c.Keys = append(c.Keys, spec.Key{ID: unit.KeyID(fmt.Sprint("k", i)), Workspace: "w", Hash: fmt.Sprint("h", i)})
	}
	return c
}

// reduce applies an event, tracks the attempts in flight and checks that
// neither the revision nor the configuration version in force decreases.
func (ti *testInstance) reduce(ev op.Event) {
	for _, e := range ti.s.Reduce(ti.now, ev) {
		switch e := e.(type) {
		case op.Dispatch:
			ti.checkDispatch(e)
		case op.Cancel:
			delete(ti.running, e.Run)
		}
	}
	if ti.s.Config.Revision < ti.revision || ti.s.Config.State.ConfigVersion < ti.version {
		ti.violation = fmt.Sprintf("revision %d after %d", ti.s.Config.Revision, ti.revision)
	}
	ti.revision, ti.version = ti.s.Config.Revision, ti.s.Config.State.ConfigVersion
}

// maxWithdrawalDelay is the longest allowed time between the withdrawal of a key
// and the end of the last request that uses it.
const maxWithdrawalDelay = 5 * clock.Second

// checkDispatch checks that a dispatched request has no key withdrawn too long
// ago, and that its target was not known to be leaving.
func (ti *testInstance) checkDispatch(d op.Dispatch) {
	ti.running[d.Run] = d
	if at, ok := ti.withdrawnAt[ti.keyOf[d.Request]]; ok && ti.now-at > maxWithdrawalDelay {
		ti.violation = fmt.Sprintf("%s dispatched %d ms after its key was withdrawn", d.Request, ti.now-at)
	}
	if at, ok := ti.leftAt[d.Target]; ok && ti.now > at {
		ti.violation = fmt.Sprintf("%s was sent a request %d ms after it was known to be leaving", d.Target, ti.now-at)
	}
}

// checkRunning checks that no attempt in flight has a key that was withdrawn
// too long ago.
func (ti *testInstance) checkRunning() {
	for _, d := range ti.running {
		if at, ok := ti.withdrawnAt[ti.keyOf[d.Request]]; ok && ti.now-at > maxWithdrawalDelay {
			ti.violation = fmt.Sprintf("%s still running %d ms after its key was withdrawn", d.Request, ti.now-at)
		}
	}
}

// TestRandomEventInvariants applies random sequences of requests, withdrawals
// made elsewhere, knowledge from peers, reads of the store, and leaving targets.
// It checks that no request uses a withdrawn key for longer than
// maxWithdrawalDelay, that the revision and the configuration version in force
// never decrease, and that a target known to be leaving gets no more requests.
func TestRandomEventInvariants(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(7)
	p.MinSuccessfulTests = 200
	props := gopter.NewProperties(p)
	props.Property("keys, configurations and leaving targets", prop.ForAll(runRandomEvents, gen.SliceOfN(250, gen.UInt16())))
	props.TestingRun(t)
}

// runRandomEvents applies the events selected by choices. It returns a
// description of the first broken invariant, or an empty string.
func runRandomEvents(choices []uint16) string {
	ti := newTestInstance()
	made := 0
	var withdrawn []unit.KeyID
	rev := unit.Revision(1)
	for _, c := range choices {
		ti.now += 100
		ti.reduce(op.Tick{Wall: ti.now})
		switch c % 10 {
		case 0, 1, 2, 3:
			made++
			id := unit.Request(fmt.Sprint("r", made))
			ti.keyOf[id] = unit.KeyID(fmt.Sprint("k", c%3))
			ti.reduce(op.Arrive{Request: op.Request{ID: id, Route: "r", KeyHash: fmt.Sprint("h", c%3), Cost: 5}})
		case 4:
			// Another instance withdraws a key and the store holds it.
			k := unit.KeyID(fmt.Sprint("k", c%3))
			if _, ok := ti.withdrawnAt[k]; !ok && c%7 == 0 {
				withdrawn = append(withdrawn, k)
				rev++
				ti.withdrawnAt[k] = ti.now
			}
		case 5:
			ti.readStoreState(rev, append([]unit.KeyID(nil), withdrawn...))
		case 6:
			// A delayed response arrives that was read before the latest
			// change.
			ti.reduce(op.StateRead{Result: op.Done, AskedAt: ti.now - 3000, Revision: 1, State: &op.OperatorState{ConfigVersion: 1, Parsed: testConfig()}})
		case 7:
			ti.receivePeerKnowledge(c, rev, withdrawn)
		case 8:
			for run, d := range ti.running {
				delete(ti.running, run)
				ti.reduce(op.Finished{Request: d.Request, Run: run, Target: d.Target, OK: true, Outcome: unit.Ran})
				break
			}
		case 9:
			target := unit.Target(fmt.Sprint("t", c%2+1))
			ti.reduce(op.LoadRead{Target: target, Result: op.Done, Load: platform.Load{Slots: 4, Version: 1, Leaving: c%23 == 0}})
			if _, ok := ti.leftAt[target]; !ok && c%23 == 0 {
				ti.leftAt[target] = ti.now
			}
		}
		ti.checkRunning()
		if ti.violation != "" {
			return ti.violation
		}
	}
	return ""
}

// receivePeerKnowledge delivers an exchange with a peer. If the instance started
// the exchange, the peer has revision 1 without any withdrawal, and reports an
// age of this state that is no less than the time since the first withdrawal.
// Otherwise the peer knows everything that the store holds.
func (ti *testInstance) receivePeerKnowledge(c uint16, rev unit.Revision, withdrawn []unit.KeyID) {
	k := op.Knowledge{
		From:     op.MemberInfo{Incarnation: unit.Incarnation(fmt.Sprintf("i%d#1", c%2+2)), Address: "b", Beat: int64(ti.now)},
		Revision: rev, Withdrawn: withdrawn,
	}
	if c%3 == 0 {
		k.Revision, k.Withdrawn, k.AnchorAge = 1, nil, clock.Millis(c)
		for _, at := range ti.withdrawnAt {
			k.AnchorAge = max(k.AnchorAge, ti.now-at)
		}
	}
	ti.reduce(op.PeerHeard{Know: k, Asked: c%3 == 0, AskedAt: ti.now})
}

// TestKeyFreshness checks whether keys are accepted depending on the latest
// read of the store and on the exchanges with peers.
func TestKeyFreshness(t *testing.T) {
	tests := map[string]struct {
		setup func(*testInstance)
		want  bool
	}{
		"store read just now": {func(*testInstance) {}, true},
		// Within the limit, the store was not read and no peer was contacted.
		"silence": {func(ti *testInstance) { ti.now += config.FreshnessLimit }, false},
		"a peer read the store": {func(ti *testInstance) {
			ti.now += config.FreshnessLimit
			ti.receiveKnowledge("i2#1", 100, true)
		}, true},
		"a peer read the store too long ago": {func(ti *testInstance) {
			ti.now += config.FreshnessLimit
			ti.receiveKnowledge("i2#1", config.FreshnessLimit, true)
		}, false},
		"exchange started by a peer, age unknown": {func(ti *testInstance) {
			ti.now += config.FreshnessLimit
			ti.receiveKnowledge("i2#1", 0, false)
		}, false},
		"store down, majority contacted": {func(ti *testInstance) {
			ti.now += 2 * config.FreshnessLimit
			ti.receiveKnowledge("i2#1", -1, true)
			ti.receiveKnowledge("i5#1", -1, true)
		}, true},
		"store down, no majority contacted": {func(ti *testInstance) {
			ti.now += 2 * config.FreshnessLimit
			ti.receiveKnowledge("i2#1", -1, true)
		}, false},
		"store down, exchanges started by a majority of peers": {func(ti *testInstance) {
			ti.now += 2 * config.FreshnessLimit
			ti.receiveKnowledge("i2#1", -1, false)
			ti.receiveKnowledge("i3#1", -1, false)
			ti.receiveKnowledge("i4#1", -1, false)
		}, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			ti := newTestInstance()
			tc.setup(ti)
			if got := ti.s.KeysFresh(ti.now); got != tc.want {
				t.Fatalf("fresh is %v, want %v", got, tc.want)
			}
		})
	}
}

// receiveKnowledge delivers an exchange with a peer that has the same revision.
// asked says whether the instance started it.
func (ti *testInstance) receiveKnowledge(from unit.Incarnation, age clock.Millis, asked bool) {
	ti.reduce(op.PeerHeard{
		Know:  op.Knowledge{From: op.MemberInfo{Incarnation: from, Beat: int64(ti.now)}, AnchorAge: age, Revision: ti.s.Config.Revision},
		Asked: asked, AskedAt: ti.now,
	})
}

// BenchmarkArrive measures one request from arrival to its end.
func BenchmarkArrive(b *testing.B) {
	ti := newTestInstance()
	ti.reduce(op.LoadRead{Target: "t1", Result: op.Done, Load: platform.Load{Slots: 64, Version: 1}})
	ti.reduce(op.Tick{})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		id := unit.Request(fmt.Sprint(i))
		out := ti.s.Reduce(ti.now, op.Arrive{Request: op.Request{ID: id, Route: "r", KeyHash: "h1", Cost: 5}})
		d, ok := out[0].(op.Dispatch)
		if !ok {
			b.Fatalf("%T %v", out[0], out[0])
		}
		ti.s.Reduce(ti.now, op.Finished{Request: id, Run: d.Run, Target: d.Target, OK: true, Outcome: unit.Ran})
	}
}

// BenchmarkTick measures a tick with the number of data centres and pools that
// the system is designed for, in fleets of several sizes.
func BenchmarkTick(b *testing.B) {
	for _, peers := range []int{8, 16, 32, 64, 128, 400, 1600} {
		b.Run(fmt.Sprint(peers), func(b *testing.B) {
			ti := newTestInstance()
			c := testConfig()
			for i := range 22 {
				c.Pools = append(c.Pools, spec.Pool{Name: unit.Pool(fmt.Sprint("p", i)), Kind: spec.Model})
			}
			ti.reduce(op.StateRead{Result: op.Done, Revision: 9, State: &op.OperatorState{ConfigVersion: 9, Parsed: c}})
			var list []platform.InstanceState
			for i := range peers {
				list = append(list, platform.InstanceState{
					Instance: unit.Instance(fmt.Sprintf("i%04d", i)), Address: "x", DataCentre: unit.DataCentre(fmt.Sprint("dc", i%18)),
				})
			}
			ti.reduce(op.ListRead{Result: op.Done, Instances: list})
			b.ReportAllocs()
			for b.Loop() {
				ti.now += 100
				for _, m := range ti.s.Members.Members {
					m.BeatAt = ti.now
				}
				ti.s.Reduce(ti.now, op.Tick{Wall: ti.now})
			}
		})
	}
}
