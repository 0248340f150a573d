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

// fixture is an admission state with targets that have reported their load. It
// records the effects.
type fixture struct {
	s       *State
	now     clock.Millis
	running map[unit.Request]op.Dispatch
	refused map[unit.Request]op.Refuse
	sent    []op.Dispatch
}

func newFixture(targets, slots int) *fixture {
	b := &fixture{s: New("i1"), running: make(map[unit.Request]op.Dispatch), refused: make(map[unit.Request]op.Refuse)}
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

// load delivers a load report of a target.
func (b *fixture) load(t unit.Target, l platform.Load) {
	b.apply(func(out *op.List) { b.s.HandleLoadRead(b.now, op.LoadRead{Target: t, Result: op.Done, Load: l}, out) })
}

// apply calls f and records the effects that it adds.
func (b *fixture) apply(f func(*op.List)) {
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

// submit submits a request to the fixture's only pool.
func (b *fixture) submit(r op.Request) {
	r.Pool = "p"
	b.apply(func(out *op.List) { b.s.Submit(b.now, r, out) })
}

// finish ends the attempt e.Run.
func (b *fixture) finish(e op.Finished) {
	d := b.running[e.Run]
	delete(b.running, e.Run)
	e.Request, e.Target = d.Request, d.Target
	b.apply(func(out *op.List) { b.s.Finish(b.now, e, out) })
}

// onlyRunning returns the dispatch of the one running attempt.
func (b *fixture) onlyRunning(t *testing.T) op.Dispatch {
	t.Helper()
	if len(b.running) != 1 {
		t.Fatalf("%d runs, want 1", len(b.running))
	}
	for _, d := range b.running {
		return d
	}
	return op.Dispatch{}
}

// A request is retried only if it did not run, or is idempotent and no token
// has reached the caller.
func TestRetries(t *testing.T) {
	tests := map[string]struct {
		idempotent bool
		end        op.Finished
		again      bool
	}{
		"not run, not idempotent":           {false, op.Finished{Outcome: unit.NotRun}, true},
		"unknown, not idempotent":           {false, op.Finished{Outcome: unit.Unknown}, false},
		"unknown, idempotent":               {true, op.Finished{Outcome: unit.Unknown}, true},
		"tokens passed already":             {true, op.Finished{Outcome: unit.Unknown, Passed: 3}, false},
		"ran, idempotent, no tokens passed": {true, op.Finished{Outcome: unit.Ran}, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b := newFixture(2, 4)
			b.submit(op.Request{ID: "r", Idempotent: tc.idempotent})
			tc.end.Run = b.onlyRunning(t).Run
			b.finish(tc.end)
			if again := len(b.running) == 1; again != tc.again {
				t.Fatalf("retried: %v, want %v", again, tc.again)
			}
			if r, ok := b.refused["r"]; !tc.again && (!ok || r.Outcome == unit.NotRun) {
				t.Fatalf("refusal %v, want one whose outcome is not NotRun", r)
			}
		})
	}
}

// RequeueStale cancels an attempt and requeues the request. The end of the
// cancelled attempt arrives later and must neither queue the request twice nor
// change the counts.
func TestLateEndOfCancelledAttemptIsIgnored(t *testing.T) {
	b := newFixture(1, 4)
	b.submit(op.Request{ID: "r", Idempotent: true, Bounded: true})
	old := b.onlyRunning(t)
	b.s.Active["p"] = 2
	b.apply(func(out *op.List) { b.s.RequeueStale(b.now, out) })
	b.finish(op.Finished{Run: old.Run, Outcome: unit.Unknown})
	if n := b.s.pool("p").Waiting; n != 1 {
		t.Fatalf("%d runs queued, want 1", n)
	}
	b.load("t00000", platform.Load{Slots: 4, Version: 2})
	b.finish(op.Finished{Run: b.onlyRunning(t).Run, OK: true, Outcome: unit.Ran})
	if x := b.s.Targets["t00000"].InFlight; x != 0 {
		t.Fatalf("%d in flight at the end, want 0", x)
	}
}

// Content that was in flight in two crashes is refused, also by peers that have
// received the crash record.
func TestCrashSuspectIsRefused(t *testing.T) {
	b := newFixture(4, 8)
	crash := func() {
		d := b.onlyRunning(t)
		b.finish(op.Finished{Run: d.Run, Outcome: unit.Unknown, Crashed: true})
	}
	b.submit(op.Request{ID: "r", Idempotent: true, Fingerprint: 7})
	crash()
	if len(b.running) != 0 {
		t.Fatal("suspect was dispatched before the delay after its crash ended")
	}
	b.now += suspectDelay
	b.apply(func(out *op.List) { b.s.Expire(b.now, out) })
	crash()
	if b.refused["r"].Reason != op.CrashSuspect {
		t.Fatalf("refusal %v, want reason CrashSuspect", b.refused["r"])
	}
	b.submit(op.Request{ID: "again", Idempotent: true, Fingerprint: 7})
	if r := b.refused["again"]; r.Reason != op.CrashSuspect || r.Outcome != unit.NotRun {
		t.Fatalf("refusal %v, want CrashSuspect and NotRun", r)
	}
	peer := New("i2")
	peer.MergeSuspects(b.now, b.s.SuspectsForPeers(b.now))
	var out op.List
	peer.Submit(b.now, op.Request{ID: "there", Fingerprint: 7, Pool: "p"}, &out)
	if r, ok := out[0].(op.Refuse); !ok || r.Reason != op.CrashSuspect {
		t.Fatalf("peer did not refuse the content: %v", out)
	}
}

// A sample under which targets crashed is owed: it is dispatched again after each
// crash, however many there were, and never refused as a suspect.
func TestSampleUnderWhichTargetsCrashedIsDispatchedAgain(t *testing.T) {
	b := newFixture(4, 8)
	step := unit.StepID{Workspace: "w", Name: "s"}
	b.submit(op.Request{ID: "r", Idempotent: true, Fingerprint: 7, Step: step})
	for n := range 3 * crashLimit {
		b.finish(op.Finished{Run: b.onlyRunning(t).Run, Outcome: unit.Unknown, Crashed: true})
		if r, ok := b.refused["r"]; ok {
			if r.Reason == op.CrashSuspect {
				t.Fatalf("sample is refused as a suspect after %d crashes", n+1)
			}
			delete(b.refused, "r")
			b.submit(op.Request{ID: "r", Idempotent: true, Fingerprint: 7, Step: step})
		}
		b.now += maxSuspectDelay
		b.apply(func(out *op.List) { b.s.Expire(b.now, out) })
	}
	b.onlyRunning(t)
}

// Two peers exchange a crash record until it expires. The exchange must not
// renew it: records carry their age.
func TestSuspectExpiresOnPeers(t *testing.T) {
	a, b := New("a"), New("b")
	a.Suspects[7] = &Suspect{Crashes: 2}
	for now := clock.Millis(0); now < 3*suspectTTL; now += 10 * clock.Second {
		b.MergeSuspects(now, a.SuspectsForPeers(now))
		a.MergeSuspects(now, b.SuspectsForPeers(now))
		a.ExpireSuspects(now)
		b.ExpireSuspects(now)
	}
	if len(a.Suspects)+len(b.Suspects) > 0 {
		t.Fatal("crash record did not expire while peers exchanged it")
	}
}

// A workspace with few samples gets its share next to one with a long queue,
// and a live request goes ahead of queued samples.
func TestFairShare(t *testing.T) {
	b := newFixture(1, 4)
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
		t.Errorf("small workspace got %d of the first 60 dispatches, want at least 15 of its 20", small)
	}
	if liveAt < 0 || liveAt > 2 {
		t.Errorf("live request was dispatch number %d, want 0 to 2", liveAt)
	}
}

func TestLeavingTargetGetsNoRequests(t *testing.T) {
	b := newFixture(2, 4)
	b.s.MarkTargetLeaving(b.now, "t00000")
	for i := range 10 {
		b.submit(op.Request{ID: unit.Request(fmt.Sprint(i)), Prefix: uint64(i + 1)})
	}
	b.load("t00000", platform.Load{Slots: 4, Version: 1})
	for _, d := range b.sent {
		if d.Target == "t00000" {
			t.Fatal("request dispatched to a leaving target")
		}
	}
}

// TestCountsMatchRuns runs random sequences of events and compares the counts of
// targets and pools with the runs after each event.
func TestCountsMatchRuns(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(42)
	p.MinSuccessfulTests = 300
	props := gopter.NewProperties(p)
	props.Property("counts match the runs", prop.ForAll(runRandomEvents, gen.SliceOfN(200, gen.UInt16())))
	props.TestingRun(t)
}

// runRandomEvents turns choices into events. It returns the first
// inconsistency, empty if there is none.
func runRandomEvents(choices []uint16) string {
	b := newFixture(3, 2)
	submitted := 0
	for _, c := range choices {
		b.now += clock.Millis(c % 700)
		switch (c >> 8) % 8 {
		case 0, 1, 2:
			submitted++
			b.submit(op.Request{
				ID: unit.Request(fmt.Sprint("r", submitted)), Workspace: unit.Workspace(fmt.Sprint(c % 3)),
				Class: op.Class(c % 2), Cost: unit.Tokens(c%50 + 1), Prefix: uint64(c % 5), KeyID: unit.KeyID(fmt.Sprint(c % 2)),
				Idempotent: c%3 > 0, Fingerprint: unit.Fingerprint(c % 40), Bounded: c%2 == 0,
			})
		case 3, 4:
			for run := range b.running {
				b.finish(op.Finished{Run: run, OK: c%3 > 0, Outcome: unit.Outcome(c % 3), Crashed: c%5 == 0, Leaving: c%97 == 0})
				break
			}
		case 5:
			id := unit.Request(fmt.Sprint("r", int(c)%(submitted+1)))
			b.apply(func(out *op.List) { b.s.Cancel(b.now, id, out) })
		case 6:
			b.s.Active["p"] = unit.Version(c%2 + 1)
			b.apply(func(out *op.List) { b.s.RequeueStale(b.now, out) })
			b.load("t00001", platform.Load{Slots: 2, Version: unit.Version(c % 3)})
		case 7:
			b.apply(func(out *op.List) {
				b.s.RefuseKeys(b.now, map[unit.KeyID]bool{unit.KeyID(fmt.Sprint(c % 2)): true}, op.Withdrawn, out)
			})
		}
		if problem := b.inconsistency(); problem != "" {
			return problem
		}
	}
	return ""
}

// inconsistency compares the counts of targets and pool with the runs. It
// returns a description of the first difference, empty if there is none.
func (b *fixture) inconsistency() string {
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
		return fmt.Sprintf("%d runs queued, counted %d", waiting, p.Waiting)
	}
	sum, suspects := 0, 0
	for name, t := range b.s.Targets {
		if t.InFlight != inFlight[name] || t.InFlight < 0 || t.Suspects < 0 {
			return fmt.Sprintf("target %s: %d in flight, counted %d, or a negative count", name, inFlight[name], t.InFlight)
		}
		sum += t.InFlight
		suspects = max(suspects, t.Suspects)
	}
	if sum != p.InFlight {
		return fmt.Sprintf("%d in flight, pool counts %d", sum, p.InFlight)
	}
	if suspects > 1 {
		return "two suspects run on one target"
	}
	return ""
}

// BenchmarkSubmitAndFinish measures the admission and the end of one request.
func BenchmarkSubmitAndFinish(b *testing.B) {
	for _, targets := range []int{10, 100, 1000, 10_000} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			x := newFixture(targets, 8)
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
