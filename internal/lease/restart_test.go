package lease

import (
	"testing"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const scope unit.Scope = "s"

// acquiredAt returns the time at which an instance that wants a lease held by
// b#1 first tries to write it, or -1 if it never does. It runs the functions in
// events at their times.
func acquiredAt(s *State, events map[clock.Millis]func(*State)) clock.Millis {
	s.SetWanted(scope, true)
	record := op.LeaseRecord{Holder: "b#1", Address: "10.0.0.2:80", Fence: 3, Beat: 9}
	for now := clock.Millis(0); now < 30_000; now += 50 {
		if f := events[now]; f != nil {
			f(s)
		}
		var out op.List
		s.Reduce(now, op.Tick{}, &out)
		for len(out) > 0 {
			e := out[0]
			out = out[1:]
			switch e.(type) {
			case op.ReadLease:
				s.Reduce(now, op.LeaseRead{Scope: scope, Result: op.Done, Record: record, Revision: 7}, &out)
			case op.WriteLease:
				return now
			}
		}
	}
	return -1
}

// TestLeaseTakeoverTime checks when a lease held by another instance is taken
// over: Grace after the first heartbeat that proves that the holder restarted, and
// only after Duration plus Grace otherwise.
func TestLeaseTakeoverTime(t *testing.T) {
	times := Times{Duration: 3000, Grace: 700, RenewEvery: 900, PollEvery: 250}
	tests := map[string]struct {
		events   map[clock.Millis]func(*State)
		from, to clock.Millis
	}{
		"no heartbeat from the holder": {nil, 3700, 3950},
		"a restarted holder": {map[clock.Millis]func(*State){
			1000: func(s *State) { s.ObserveHeartbeat(1000, "b#2", "10.0.0.2:80") },
		}, 1700, 1950},
		"a restarted holder that is heard again": {map[clock.Millis]func(*State){
			1000: func(s *State) { s.ObserveHeartbeat(1000, "b#2", "10.0.0.2:80") },
			1500: func(s *State) { s.ObserveHeartbeat(1500, "b#2", "10.0.0.2:80") },
		}, 1700, 1950},
		"another machine of the holder's name": {map[clock.Millis]func(*State){
			1000: func(s *State) { s.ObserveHeartbeat(1000, "b#2", "10.0.0.3:80") },
		}, 3700, 3950},
		"a heartbeat without an address": {map[clock.Millis]func(*State){
			1000: func(s *State) { s.ObserveHeartbeat(1000, "b#2", "") },
		}, 3700, 3950},
		"a heartbeat that may be older than the lease": {map[clock.Millis]func(*State){
			200: func(s *State) { s.ObserveHeartbeat(200, "b#0", "10.0.0.2:80") },
		}, 3700, 3950},
		"a heartbeat from the holder itself": {map[clock.Millis]func(*State){
			1000: func(s *State) { s.ObserveHeartbeat(1000, "b#1", "10.0.0.2:80") },
		}, 3700, 3950},
		"a heartbeat from a third instance": {map[clock.Millis]func(*State){
			1000: func(s *State) { s.ObserveHeartbeat(1000, "c#2", "10.0.0.2:80") },
		}, 3700, 3950},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := &State{Self: "a#1", Times: times}
			if at := acquiredAt(s, tt.events); at < tt.from || at > tt.to {
				t.Errorf("taken at %d, want %d to %d", at, tt.from, tt.to)
			}
		})
	}
}

// TestReportedRenewalStartsWait checks that the wait for a takeover counts from
// the holder's announcement of a renewal, not from the later read of the
// record.
func TestReportedRenewalStartsWait(t *testing.T) {
	s := &State{Self: "a#1", Times: Times{Duration: 3000, Grace: 700, RenewEvery: 900, PollEvery: 250}}
	s.ObserveRenewal(-2000, scope, 7)
	if at := acquiredAt(s, nil); at < 1700 || at > 1950 {
		t.Errorf("taken at %d, want 3700 ms after the renewal announced at -2000", at)
	}
}
