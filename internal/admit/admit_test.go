package admit

import (
	"fmt"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// bench is an admission with targets and what it asked of them.
type bench struct {
	s       *State
	now     clock.Millis
	running map[unit.Request]op.Dispatch
	refused map[unit.Request]op.Refuse
	sent    []op.Dispatch
}

func newBench(targets, slots int) *bench {
	b := &bench{s: New("i1"), running: make(map[unit.Request]op.Dispatch), refused: make(map[unit.Request]op.Refuse)}
	var list []platform.TargetState
	for i := range targets {
		list = append(list, platform.TargetState{
			Target: unit.Target(fmt.Sprintf("t%05d", i)), Pool: "p", Address: "a", DataCentre: "north",
		})
	}
	var out op.List
	b.s.SetTargets(0, list, &out)
	for _, t := range list {
		b.load(t.Target, platform.Load{Slots: slots, Version: 1})
	}
	return b
}

func (b *bench) load(t unit.Target, l platform.Load) {
	b.take(func(out *op.List) { b.s.Loaded(b.now, op.LoadRead{Target: t, Result: op.Done, Load: l}, out) })
}

// take runs a change and notes its effects.
func (b *bench) take(f func(*op.List)) {
	var out op.List
	f(&out)
	for _, e := range out {
		switch e := e.(type) {
		case op.Dispatch:
			b.running[e.Run] = e
			b.sent = append(b.sent, e)
		case op.Refuse:
			b.refused[e.Request] = e
		}
	}
}

func (b *bench) submit(r op.Request) {
	r.Pool = "p"
	b.take(func(out *op.List) { b.s.Submit(b.now, r, out) })
}

func (b *bench) finish(e op.Finished) {
	d := b.running[e.Run]
	delete(b.running, e.Run)
	e.Request, e.Target = d.Request, d.Target
	b.take(func(out *op.List) { b.s.Finish(b.now, e, out) })
}

func (b *bench) only(t *testing.T) op.Dispatch {
	t.Helper()
	if len(b.running) != 1 {
		t.Fatalf("%d runs, want 1", len(b.running))
	}
	for _, d := range b.running {
		return d
	}
	return op.Dispatch{}
}

func TestRetries(t *testing.T) {
	tests := map[string]struct {
		idempotent bool
		end        op.Finished
		again      bool
	}{
		"not run, not idempotent":  {false, op.Finished{Outcome: unit.NotRun}, true},
		"unknown, not idempotent":  {false, op.Finished{Outcome: unit.Unknown}, false},
		"unknown, idempotent":      {true, op.Finished{Outcome: unit.Unknown}, true},
		"tokens passed already":    {true, op.Finished{Outcome: unit.Unknown, Passed: 3}, false},
		"ran, idempotent, nothing": {true, op.Finished{Outcome: unit.Ran}, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBench(2, 4)
			b.submit(op.Request{ID: "r", Idempotent: tc.idempotent})
			tc.end.Run = b.only(t).Run
			b.finish(tc.end)
			if again := len(b.running) == 1; again != tc.again {
				t.Fatalf("ran again: %v, want %v", again, tc.again)
			}
			if r, ok := b.refused["r"]; !tc.again && (!ok || r.Outcome == unit.NotRun) {
				t.Fatalf("refusal %v must not say that it did not run", r)
			}
		})
	}
}

func TestLateEndOfCancelledAttempt(t *testing.T) {
	b := newBench(1, 4)
	b.submit(op.Request{ID: "r", Idempotent: true, Bounded: true})
	old := b.only(t)
	b.s.Active["p"] = 2
	b.take(func(out *op.List) { b.s.TooOld(b.now, out) })
	b.finish(op.Finished{Run: old.Run, Outcome: unit.Unknown})
	if n := b.s.pool("p").Waiting; n != 1 {
		t.Fatalf("%d entries wait, want 1", n)
	}
	b.load("t00000", platform.Load{Slots: 4, Version: 2})
	b.finish(op.Finished{Run: b.only(t).Run, OK: true, Outcome: unit.Ran})
	if x := b.s.Targets["t00000"].InFlight; x != 0 {
		t.Fatalf("%d in flight at the end", x)
	}
}

func TestSuspects(t *testing.T) {
	b := newBench(4, 8)
	crash := func() {
		d := b.only(t)
		b.finish(op.Finished{Run: d.Run, Outcome: unit.Unknown, Crashed: true})
	}
	b.submit(op.Request{ID: "r", Idempotent: true, Fingerprint: 7})
	crash()
	if len(b.running) != 0 {
		t.Fatal("a suspect runs before the crash has settled")
	}
	b.now += holdOff
	b.take(func(out *op.List) { b.s.Expire(b.now, out) })
	crash()
	if b.refused["r"].Reason != op.CrashSuspect {
		t.Fatalf("got %v", b.refused["r"])
	}
	b.submit(op.Request{ID: "again", Idempotent: true, Fingerprint: 7})
	if r := b.refused["again"]; r.Reason != op.CrashSuspect || r.Outcome != unit.NotRun {
		t.Fatalf("got %v", r)
	}
	peer := New("i2")
	peer.HeardSuspects(b.now, b.s.TellSuspects(b.now))
	var out op.List
	peer.Submit(b.now, op.Request{ID: "there", Fingerprint: 7, Pool: "p"}, &out)
	if r, ok := out[0].(op.Refuse); !ok || r.Reason != op.CrashSuspect {
		t.Fatalf("peer let it in: %v", out)
	}
}

func TestSuspicionEnds(t *testing.T) {
	a, b := New("a"), New("b")
	a.Suspects[7] = &Suspect{Crashes: 2}
	for now := clock.Millis(0); now < 3*suspectFor; now += 10 * clock.Second {
		b.HeardSuspects(now, a.TellSuspects(now))
		a.HeardSuspects(now, b.TellSuspects(now))
		a.ForgetSuspects(now)
		b.ForgetSuspects(now)
	}
	if len(a.Suspects)+len(b.Suspects) > 0 {
		t.Fatal("peers keep a suspicion alive between them")
	}
}

func TestFairShare(t *testing.T) {
	b := newBench(1, 4)
	b.s.Weights = map[unit.Workspace]int{"big": 1, "small": 1}
	for i := range 400 {
		b.submit(op.Request{ID: unit.Request(fmt.Sprint("b", i)), Workspace: "big", Class: op.Trainer, Cost: 10})
	}
	for i := range 20 {
		b.submit(op.Request{ID: unit.Request(fmt.Sprint("s", i)), Workspace: "small", Class: op.Trainer, Cost: 10})
	}
	b.submit(op.Request{ID: "live", Workspace: "big", Class: op.Live, Cost: 10})
	b.sent = nil
	for range 60 {
		for run := range b.running {
			b.finish(op.Finished{Run: run, OK: true, Outcome: unit.Ran})
			break
		}
	}
	small, liveAt := 0, -1
	for i, d := range b.sent {
		if d.Request[0] == 's' {
			small++
		}
		if d.Request == "live" {
			liveAt = i
		}
	}
	if small < 15 {
		t.Errorf("the small workspace got %d of the first 60 turns, want about half until its 20 are through", small)
	}
	if liveAt < 0 || liveAt > 2 {
		t.Errorf("the live request came as number %d", liveAt)
	}
}

func TestLeavingTargetGetsNothing(t *testing.T) {
	b := newBench(2, 4)
	b.s.Leave(b.now, "t00000")
	for i := range 10 {
		b.submit(op.Request{ID: unit.Request(fmt.Sprint(i)), Prefix: uint64(i + 1)})
	}
	b.load("t00000", platform.Load{Slots: 4, Version: 1})
	for _, d := range b.sent {
		if d.Target == "t00000" {
			t.Fatal("new work on a leaving target")
		}
	}
}

// TestAccounts runs random interleavings and checks what must always hold.
func TestAccounts(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(42)
	p.MinSuccessfulTests = 300
	props := gopter.NewProperties(p)
	props.Property("every request ends once and no count leaks", prop.ForAll(runSteps, gen.SliceOfN(200, gen.UInt16())))
	props.TestingRun(t)
}

// runSteps draws what happens from choices and returns what is wrong.
func runSteps(choices []uint16) string {
	b := newBench(3, 2)
	made := 0
	for _, c := range choices {
		b.now += clock.Millis(c % 700)
		switch (c >> 8) % 8 {
		case 0, 1, 2:
			made++
			b.submit(op.Request{
				ID: unit.Request(fmt.Sprint("r", made)), Workspace: unit.Workspace(fmt.Sprint(c % 3)),
				Class: op.Class(c % 2), Cost: unit.Tokens(c%50 + 1), Prefix: uint64(c % 5), KeyID: unit.KeyID(fmt.Sprint(c % 2)),
				Idempotent: c%3 > 0, Fingerprint: unit.Fingerprint(c % 40), Bounded: c%2 == 0,
			})
		case 3, 4:
			for run := range b.running {
				b.finish(op.Finished{Run: run, OK: c%3 > 0, Outcome: unit.Outcome(c % 3), Crashed: c%5 == 0, Leaving: c%97 == 0})
				break
			}
		case 5:
			id := unit.Request(fmt.Sprint("r", int(c)%(made+1)))
			b.take(func(out *op.List) { b.s.Cancel(b.now, id, out) })
		case 6:
			b.s.Active["p"] = unit.Version(c%2 + 1)
			b.take(func(out *op.List) { b.s.TooOld(b.now, out) })
			b.load("t00001", platform.Load{Slots: 2, Version: unit.Version(c % 3)})
		case 7:
			b.take(func(out *op.List) {
				b.s.CutKeys(b.now, map[unit.KeyID]bool{unit.KeyID(fmt.Sprint(c % 2)): true}, op.Withdrawn, out)
			})
		}
		if wrong := b.wrong(); wrong != "" {
			return wrong
		}
	}
	return ""
}

// wrong compares the counts with the runs they count.
func (b *bench) wrong() string {
	inFlight := make(map[unit.Target]int)
	waiting := 0
	for _, r := range b.s.Runs {
		if r.Target != "" {
			inFlight[r.Target]++
		} else {
			waiting++
		}
	}
	p := b.s.pool("p")
	if p.Waiting != waiting {
		return fmt.Sprintf("%d wait and %d are counted", waiting, p.Waiting)
	}
	sum, suspects := 0, 0
	for name, t := range b.s.Targets {
		if t.InFlight != inFlight[name] || t.InFlight < 0 || t.Suspects < 0 {
			return fmt.Sprintf("%s: %d in flight and %d are counted", name, inFlight[name], t.InFlight)
		}
		sum += t.InFlight
		suspects = max(suspects, t.Suspects)
	}
	if sum != p.InFlight {
		return fmt.Sprintf("%d in flight and the pool counts %d", sum, p.InFlight)
	}
	if suspects > 1 {
		return "two suspects share a target"
	}
	return ""
}

func BenchmarkDecision(b *testing.B) {
	for _, targets := range []int{10, 100, 1000, 10_000} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			x := newBench(targets, 8)
			var out op.List
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				out = out[:0]
				id := unit.Request(fmt.Sprint(i))
				x.s.Submit(x.now, op.Request{ID: id, Pool: "p", Workspace: "w", Cost: 32, Prefix: uint64(i) * 7919}, &out)
				d := out[0].(op.Dispatch)
				x.s.Finish(x.now, op.Finished{Request: id, Run: d.Run, Target: d.Target, OK: true, Outcome: unit.Ran}, &out)
			}
		})
	}
}
