package config

import (
	"testing"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
)

// TestWithdrawalStorageDelay checks that relays store a withdrawal at once and
// other instances only if it stays pending, so that a fleet does not write all
// at once after an outage of the store.
func TestWithdrawalStorageDelay(t *testing.T) {
	tests := map[string]struct {
		relay bool
		after clock.Millis
		want  bool
	}{
		"relay, at once":                {relay: true, want: true},
		"not a relay, at once":          {},
		"not a relay, after the delay":  {after: nonRelayStoreDelay, want: true},
		"not a relay, before the delay": {after: nonRelayStoreDelay / 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var s State
			var out op.List
			s.Reduce(1000, op.Withdraw{Key: "k"}, tc.relay, &out)
			s.Reduce(1000+tc.after, op.Tick{}, tc.relay, &out)
			got := false
			for _, e := range out {
				if _, ok := e.(op.StoreWithdrawals); ok {
					got = true
				}
			}
			if got != tc.want {
				t.Fatalf("withdrawal stored: %v, want %v", got, tc.want)
			}
		})
	}
}

// TestOldStateKeepsWithdrawal checks that reading a state that does not yet
// include a withdrawal does not undo the withdrawal.
func TestOldStateKeepsWithdrawal(t *testing.T) {
	var s State
	var out op.List
	s.Reduce(1, op.Withdraw{Key: "k"}, true, &out)
	s.Reduce(2, op.StateRead{Result: op.Done, Revision: 5, State: &op.OperatorState{ConfigVersion: 1}}, true, &out)
	if !s.Withdrawn["k"] || !s.Pending["k"] {
		t.Fatal("reading a state without the withdrawal undid the withdrawal")
	}
}

// TestReadBackoffDuringOutage counts the reads of 200 instances during a minute
// without the store. It limits the total, and the number of reads that fall
// into the same 100 ms in the second half of the minute.
func TestReadBackoffDuringOutage(t *testing.T) {
	const fleet, minuteTicks = 200, 600
	reads, maxAtOnce := 0, 0
	states := make([]State, fleet)
	for i := range states {
		states[i].Seed = uint64(i) * 0x9e3779b97f4a7c15
	}
	for tick := range minuteTicks {
		now := clock.Millis(tick) * 100
		atOnce := 0
		for i := range states {
			var out op.List
			states[i].Reduce(now, op.Tick{}, false, &out)
			for _, e := range out {
				if _, ok := e.(op.ReadState); ok {
					atOnce++
					states[i].Reduce(now, op.StateRead{Result: op.Lost}, false, &out)
				}
			}
		}
		reads += atOnce
		if tick > minuteTicks/2 {
			maxAtOnce = max(maxAtOnce, atOnce)
		}
	}
	t.Logf("%.2f reads per second and instance, at most %d of %d instances at once", float64(reads)/60/fleet, maxAtOnce, fleet)
	if reads > fleet*60/4 {
		t.Errorf("%d reads in a minute, want at most %d", reads, fleet*60/4)
	}
	if maxAtOnce > fleet/10 {
		t.Errorf("%d of %d instances read within 100 ms", maxAtOnce, fleet)
	}
}
