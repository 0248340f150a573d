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

// node is one instance among peers, of which the test plays the others.
type node struct {
	s   *State
	now clock.Millis
	// withdrawnAt is when this instance's peers or store knew a key's end.
	withdrawnAt map[unit.KeyID]clock.Millis
	// leftAt is when this instance was told that a target leaves.
	leftAt   map[unit.Target]clock.Millis
	keyOf    map[unit.Request]unit.KeyID
	revision unit.Revision
	version  int64
	running  map[unit.Request]op.Dispatch
	bad      string
}

func newNode() *node {
	f := &node{
		s:           New(op.MemberInfo{Incarnation: "i1#1", Address: "a", DataCentre: "north"}, 10_000),
		withdrawnAt: make(map[unit.KeyID]clock.Millis), leftAt: make(map[unit.Target]clock.Millis),
		keyOf: make(map[unit.Request]unit.KeyID), running: make(map[unit.Request]op.Dispatch),
	}
	f.reduce(op.Tick{})
	f.reduce(op.ListRead{Result: op.Done, Targets: []platform.TargetState{
		{Target: "t1", Pool: "p", Address: "a1"}, {Target: "t2", Pool: "p", Address: "a2"},
	}, Instances: []platform.InstanceState{
		{Instance: "i1"},
		{Instance: "i2", Address: "b", DataCentre: "north"},
		{Instance: "i3", Address: "c", DataCentre: "south"},
		{Instance: "i4", Address: "d", DataCentre: "south"},
		{Instance: "i5", Address: "e", DataCentre: "south"},
	}})
	f.readState(1, nil)
	return f
}

// readState brings the store's state, read now.
func (f *node) readState(rev unit.Revision, withdrawn []unit.KeyID) {
	st := &op.OperatorState{ConfigVersion: int64(rev), Withdrawn: withdrawn, Parsed: testConfig()}
	if rev <= f.s.Config.Revision {
		st = nil
	}
	f.reduce(op.StateRead{Result: op.Done, AskedAt: f.now, Revision: rev, State: st})
}

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

func (f *node) reduce(ev op.Event) {
	for _, e := range f.s.Reduce(f.now, ev) {
		switch e := e.(type) {
		case op.Dispatch:
			f.dispatched(e)
		case op.Cancel:
			delete(f.running, e.Run)
		}
	}
	if f.s.Config.Revision < f.revision || f.s.Config.State.ConfigVersion < f.version {
		f.bad = fmt.Sprintf("revision %d after %d", f.s.Config.Revision, f.revision)
	}
	f.revision, f.version = f.s.Config.Revision, f.s.Config.State.ConfigVersion
}

// limit is what the users allow between a withdrawal and the last new work.
const limit = 5 * clock.Second

func (f *node) dispatched(d op.Dispatch) {
	f.running[d.Run] = d
	if at, ok := f.withdrawnAt[f.keyOf[d.Request]]; ok && f.now-at > limit {
		f.bad = fmt.Sprintf("%s runs %d ms after its key's end", d.Request, f.now-at)
	}
	if at, ok := f.leftAt[d.Target]; ok && f.now > at {
		f.bad = fmt.Sprintf("%s gets work %d ms after it was known to leave", d.Target, f.now-at)
	}
}

// stillRunning finds attempts that outlived their key.
func (f *node) stillRunning() {
	for _, d := range f.running {
		if at, ok := f.withdrawnAt[f.keyOf[d.Request]]; ok && f.now-at > limit {
			f.bad = fmt.Sprintf("%s still runs %d ms after its key's end", d.Request, f.now-at)
		}
	}
}

// TestPromises runs random orders of requests, withdrawals known elsewhere,
// news from peers and from the store, silences, and leaving targets.
func TestPromises(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(7)
	p.MinSuccessfulTests = 200
	props := gopter.NewProperties(p)
	props.Property("keys, configurations and leaving targets", prop.ForAll(playFleet, gen.SliceOfN(250, gen.UInt16())))
	props.TestingRun(t)
}

func playFleet(choices []uint16) string {
	f := newNode()
	made := 0
	var withdrawn []unit.KeyID
	rev := unit.Revision(1)
	for _, c := range choices {
		f.now += 100
		f.reduce(op.Tick{Wall: f.now})
		switch c % 10 {
		case 0, 1, 2, 3:
			made++
			id := unit.Request(fmt.Sprint("r", made))
			f.keyOf[id] = unit.KeyID(fmt.Sprint("k", c%3))
			f.reduce(op.Arrive{Request: op.Request{ID: id, Route: "r", KeyHash: fmt.Sprint("h", c%3), Cost: 5}})
		case 4:
			// A withdrawal is made somewhere and stands in the store.
			k := unit.KeyID(fmt.Sprint("k", c%3))
			if _, ok := f.withdrawnAt[k]; !ok && c%7 == 0 {
				withdrawn = append(withdrawn, k)
				rev++
				f.withdrawnAt[k] = f.now
			}
		case 5:
			f.readState(rev, append([]unit.KeyID(nil), withdrawn...))
		case 6:
			// An old answer comes late: it was read before the newest change.
			f.reduce(op.StateRead{Result: op.Done, AskedAt: f.now - 3000, Revision: 1, State: &op.OperatorState{ConfigVersion: 1, Parsed: testConfig()}})
		case 7:
			f.peer(c, rev, withdrawn)
		case 8:
			for run, d := range f.running {
				delete(f.running, run)
				f.reduce(op.Finished{Request: d.Request, Run: run, Target: d.Target, OK: true, Outcome: unit.Ran})
				break
			}
		case 9:
			target := unit.Target(fmt.Sprint("t", c%2+1))
			f.reduce(op.LoadRead{Target: target, Result: op.Done, Load: platform.Load{Slots: 4, Version: 1, Leaving: c%23 == 0}})
			if _, ok := f.leftAt[target]; !ok && c%23 == 0 {
				f.leftAt[target] = f.now
			}
		}
		f.stillRunning()
		if f.bad != "" {
			return f.bad
		}
	}
	return ""
}

// peer answers an exchange that this instance began: with all that the store
// holds, or with what it held a while ago and said so.
func (f *node) peer(c uint16, rev unit.Revision, withdrawn []unit.KeyID) {
	k := op.Knowledge{
		From:     op.MemberInfo{Incarnation: unit.Incarnation(fmt.Sprintf("i%d#1", c%2+2)), Address: "b", Beat: int64(f.now)},
		Revision: rev, Withdrawn: withdrawn,
	}
	if c%3 == 0 {
		k.Revision, k.Withdrawn, k.AnchorAge = 1, nil, clock.Millis(c)
		for _, at := range f.withdrawnAt {
			k.AnchorAge = max(k.AnchorAge, f.now-at)
		}
	}
	f.reduce(op.PeerHeard{Know: k, Asked: c%3 == 0, AskedAt: f.now})
}

func TestFreshness(t *testing.T) {
	tests := map[string]struct {
		play func(*node)
		want bool
	}{
		"store read just now": {func(*node) {}, true},
		"silence":             {func(f *node) { f.now += config.FreshnessLimit }, false},
		"a peer read the store": {func(f *node) {
			f.now += config.FreshnessLimit
			f.hear("i2#1", 100, true)
		}, true},
		"a peer read it long ago": {func(f *node) {
			f.now += config.FreshnessLimit
			f.hear("i2#1", config.FreshnessLimit, true)
		}, false},
		"a peer called, of unknown age": {func(f *node) {
			f.now += config.FreshnessLimit
			f.hear("i2#1", 0, false)
		}, false},
		"store down, majority asked": {func(f *node) {
			f.now += 2 * config.FreshnessLimit
			f.hear("i2#1", -1, true)
			f.hear("i5#1", -1, true)
		}, true},
		"store down, no majority asked": {func(f *node) {
			f.now += 2 * config.FreshnessLimit
			f.hear("i2#1", -1, true)
		}, false},
		"store down, majority called us": {func(f *node) {
			f.now += 2 * config.FreshnessLimit
			f.hear("i2#1", -1, false)
			f.hear("i3#1", -1, false)
			f.hear("i4#1", -1, false)
		}, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := newNode()
			tc.play(f)
			if got := f.s.Fresh(f.now); got != tc.want {
				t.Fatalf("fresh is %v, want %v", got, tc.want)
			}
		})
	}
}

func (f *node) hear(from unit.Incarnation, age clock.Millis, asked bool) {
	f.reduce(op.PeerHeard{
		Know:  op.Knowledge{From: op.MemberInfo{Incarnation: from, Beat: int64(f.now)}, AnchorAge: age, Revision: f.s.Config.Revision},
		Asked: asked, AskedAt: f.now,
	})
}

func BenchmarkArrive(b *testing.B) {
	f := newNode()
	f.reduce(op.LoadRead{Target: "t1", Result: op.Done, Load: platform.Load{Slots: 64, Version: 1}})
	f.reduce(op.Tick{})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		id := unit.Request(fmt.Sprint(i))
		out := f.s.Reduce(f.now, op.Arrive{Request: op.Request{ID: id, Route: "r", KeyHash: "h1", Cost: 5}})
		d, ok := out[0].(op.Dispatch)
		if !ok {
			b.Fatalf("%T %v", out[0], out[0])
		}
		f.s.Reduce(f.now, op.Finished{Request: id, Run: d.Run, Target: d.Target, OK: true, Outcome: unit.Ran})
	}
}

// BenchmarkTick ticks an instance of a fleet with the data centres and pools
// of the size that is designed for.
func BenchmarkTick(b *testing.B) {
	for _, peers := range []int{8, 16, 32, 64, 128, 400, 1600} {
		b.Run(fmt.Sprint(peers), func(b *testing.B) {
			f := newNode()
			c := testConfig()
			for i := range 22 {
				c.Pools = append(c.Pools, spec.Pool{Name: unit.Pool(fmt.Sprint("p", i)), Kind: spec.Model})
			}
			f.reduce(op.StateRead{Result: op.Done, Revision: 9, State: &op.OperatorState{ConfigVersion: 9, Parsed: c}})
			var list []platform.InstanceState
			for i := range peers {
				list = append(list, platform.InstanceState{
					Instance: unit.Instance(fmt.Sprintf("i%04d", i)), Address: "x", DataCentre: unit.DataCentre(fmt.Sprint("dc", i%18)),
				})
			}
			f.reduce(op.ListRead{Result: op.Done, Instances: list})
			b.ReportAllocs()
			for b.Loop() {
				f.now += 100
				for _, m := range f.s.Members.Members {
					m.BeatAt = f.now
				}
				f.s.Reduce(f.now, op.Tick{Wall: f.now})
			}
		})
	}
}
