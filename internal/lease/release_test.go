package lease

import (
	"fmt"
	"testing"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// testTimes are short times of a lease.
var testTimes = Times{Duration: 3000, Grace: 1000, RenewEvery: 900, PollEvery: 250}

// storedLease is a lease in a store that answers at once.
type storedLease struct {
	record   op.LeaseRecord
	revision unit.Revision
	// writes are the records that were written.
	writes []op.LeaseRecord
	// lose makes writes lose their answer, loseEffect also their effect.
	lose, loseEffect bool
}

// tick ticks an instance and completes the calls that it makes.
func (o *storedLease) tick(now clock.Millis, s *State) {
	var out op.List
	s.Reduce(now, op.Tick{}, &out)
	for len(out) > 0 {
		e := out[0]
		out = out[1:]
		switch e := e.(type) {
		case op.ReadLease:
			s.Reduce(now, op.LeaseRead{Scope: scope, Result: op.Done, Record: o.record, Revision: o.revision}, &out)
		case op.WriteLease:
			s.Reduce(now, o.write(now, e), &out)
		}
	}
}

// write carries out a write if its condition holds, and returns its result.
func (o *storedLease) write(now clock.Millis, e op.WriteLease) op.LeaseWritten {
	result := op.LeaseWritten{Scope: scope, Result: op.Conflict, Record: e.Record, SentAt: now}
	if e.IfRev == o.revision && !(o.lose && o.loseEffect) {
		o.record, o.revision = e.Record, o.revision+1
		o.writes = append(o.writes, e.Record)
		result.Result = op.Done
	}
	result.Revision = o.revision
	if o.lose {
		result.Result = op.Lost
	}
	return result
}

// TestReleaseWaitsForAnswers guards against a lease that is released while a call
// that was sent under it may still arrive.
func TestReleaseWaitsForAnswers(t *testing.T) {
	tests := map[string]struct {
		// result ends a call at time 400; no result means that it does not end.
		result op.Result
		// released is when the lease is released, -1 for never.
		released clock.Millis
	}{
		"answered":        {op.Done, 400},
		"refused":         {op.Refused, 400},
		"without answer":  {op.Lost, 1400},
		"still in flight": {"", -1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			o, s := &storedLease{}, &State{Self: "a#1", Times: testTimes}
			s.SetWanted(scope, true)
			o.tick(0, s)
			s.StartCall(scope)
			s.SetWanted(scope, false)
			released := clock.Millis(-1)
			for now := clock.Millis(50); now <= 4000; now += 50 {
				if now == 400 && tt.result != "" {
					s.EndCall(now, scope, tt.result)
				}
				o.tick(now, s)
				if _, _, held := s.Held(scope, now); held {
					t.Fatalf("acts as the holder at %d", now)
				}
				if o.record.Holder == "" && released < 0 {
					released = now
				}
			}
			if released != tt.released {
				t.Errorf("released at %d, want %d", released, tt.released)
			}
			if released >= 0 && (!o.record.Settled || s.AnyHeld(4000)) {
				t.Errorf("record %+v, still releasing: %v", o.record, s.AnyHeld(4000))
			}
		})
	}
}

// TestReleaseIsRepeatedAfterLostAnswer guards against a lease that stays with a
// holder that has stopped, because the answer to its renewal or its release was
// lost. Writes are lost with or without effect.
func TestReleaseIsRepeatedAfterLostAnswer(t *testing.T) {
	tests := map[string]struct{ renewal, release bool }{
		"renewal": {renewal: true}, "release": {release: true}, "both": {true, true},
	}
	for name, tt := range tests {
		for _, effect := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, without effect %v", name, effect), func(t *testing.T) {
				o, s := &storedLease{}, &State{Self: "a#1", Times: testTimes}
				s.SetWanted(scope, true)
				o.tick(0, s)
				o.lose, o.loseEffect = tt.renewal, effect
				o.tick(testTimes.RenewEvery, s)
				s.SetWanted(scope, false)
				o.lose = tt.release
				o.tick(1000, s)
				o.lose = false
				for now := clock.Millis(1050); now < 2500; now += 50 {
					o.tick(now, s)
				}
				if o.record.Holder != "" || !o.record.Settled || s.AnyHeld(2500) {
					t.Errorf("record %+v, still releasing: %v", o.record, s.AnyHeld(2500))
				}
			})
		}
	}
}

// TestReleasedLeaseIsAcquired checks when a lease that its holder released is
// acquired by an instance that has just ended a term of its own, by one that has
// not, and if it is unknown whether calls may still arrive.
func TestReleasedLeaseIsAcquired(t *testing.T) {
	tests := map[string]struct {
		settled bool
		endedAt clock.Millis
		// callSettledAt is when a call of its own without an answer is settled, 0 for
		// none.
		callSettledAt clock.Millis
		want          clock.Millis
	}{
		"settled":                              {true, -1000, 0, 0},
		"not known to be settled":              {false, -1000, 0, 1000},
		"settled, held before that":            {true, -400, 0, 750},
		"settled, own call may have come late": {true, -1000, 300, 1500},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			o := &storedLease{record: op.LeaseRecord{Fence: 4, Settled: tt.settled}, revision: 7}
			s := &State{Self: "a#1", Times: testTimes}
			s.SetWanted(scope, true)
			s.Leases[scope].EndedAt = tt.endedAt
			s.Leases[scope].Calls.SettledAt = tt.callSettledAt
			for now := clock.Millis(0); now < 5000; now += 50 {
				o.tick(now, s)
				if _, _, held := s.Held(scope, now); held {
					if now != tt.want {
						t.Errorf("acquired at %d, want %d", now, tt.want)
					}
					return
				}
			}
			t.Error("never acquired")
		})
	}
}

// TestLateRenewalKeepsFence guards against a holder that takes its own lease
// again under a higher fencing token, which its own earlier calls could follow.
func TestLateRenewalKeepsFence(t *testing.T) {
	o, s := &storedLease{}, &State{Self: "a#1", Times: testTimes}
	s.SetWanted(scope, true)
	o.tick(0, s)
	before, _, _ := s.Held(scope, 0)
	s.StartCall(scope)
	o.tick(5000, s)
	after, _, held := s.Held(scope, 5000)
	if !held || after != before {
		t.Errorf("held: %v, fencing token %d, want %d", held, after, before)
	}
}

// TestRestartedHolderKeepsFence guards against a restarted holder that waits for
// itself, that takes a higher fencing token than its own late calls have, or that
// releases the lease before these can arrive no more. At another address it may be
// another machine, and waits until the term has lapsed: the holder may be running. After two restarts in a row it leaves the lease to
// others.
func TestRestartedHolderKeepsFence(t *testing.T) {
	tests := map[string]struct {
		address  string
		restarts int
		acquired clock.Millis
		fence    unit.Fence
		released clock.Millis
	}{
		"same machine":         {"10.0.0.1:80", 0, 0, 4, testTimes.Grace},
		"second restart":       {"10.0.0.1:80", 1, 0, 4, testTimes.Grace},
		"third restart":        {"10.0.0.1:80", 2, -1, 0, -1},
		"other machine":        {"10.0.0.2:80", 0, testTimes.Duration + testTimes.Grace, 5, 4050},
		"other, third restart": {"10.0.0.2:80", 2, testTimes.Duration + testTimes.Grace, 5, 4050},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			record := op.LeaseRecord{Holder: "a#1", Address: "10.0.0.1:80", Fence: 4, Restarts: tt.restarts}
			o, s := &storedLease{record: record, revision: 7}, &State{Self: "a#2", Address: tt.address, Times: testTimes}
			s.ObserveHeartbeat(0, "c#1", "10.0.0.9:80")
			s.SetWanted(scope, true)
			acquired := clock.Millis(-1)
			for now := clock.Millis(0); now < 5000; now += 50 {
				o.tick(now, s)
				fence, _, held := s.Held(scope, now)
				if held && acquired < 0 {
					acquired = now
					s.SetWanted(scope, false)
					if fence != tt.fence {
						t.Errorf("fencing token %d, want %d", fence, tt.fence)
					}
				}
				if o.record.Holder == "" {
					if now != tt.released {
						t.Errorf("released at %d, want %d", now, tt.released)
					}
					break
				}
			}
			if acquired != tt.acquired {
				t.Errorf("acquired at %d, want %d", acquired, tt.acquired)
			}
		})
	}
}

// TestInspectedLeaseIsOnlyRead checks that an instance can find out whether its
// former process held a lease, without a try to acquire it.
func TestInspectedLeaseIsOnlyRead(t *testing.T) {
	o := &storedLease{record: op.LeaseRecord{Holder: "a#1", Address: "10.0.0.1:80", Fence: 4}, revision: 7}
	s := &State{Self: "a#2", Address: "10.0.0.1:80", Times: testTimes}
	s.Inspect(scope)
	for now := clock.Millis(0); now < 10_000; now += 50 {
		o.tick(now, s)
	}
	if !s.HeldByOwnInstance(scope) || len(o.writes) > 0 {
		t.Errorf("held by own instance: %v, writes %+v", s.HeldByOwnInstance(scope), o.writes)
	}
}
