package config

import (
	"testing"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
)

// TestWhoStores wants a withdrawal stored by relays at once, and by others
// only if it stays pending: a fleet that comes out of an outage must not write
// all at once.
func TestWhoStores(t *testing.T) {
	tests := map[string]struct {
		relay bool
		after clock.Millis
		want  bool
	}{
		"relay at once":     {relay: true, want: true},
		"other at once":     {},
		"other much later":  {after: othersStoreAfter, want: true},
		"other a bit later": {after: othersStoreAfter / 2},
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
				t.Fatalf("stores: %v, want %v", got, tc.want)
			}
		})
	}
}

// TestWithdrawnStays brings an old state after a withdrawal.
func TestWithdrawnStays(t *testing.T) {
	var s State
	var out op.List
	s.Reduce(1, op.Withdraw{Key: "k"}, true, &out)
	s.Reduce(2, op.StateRead{Result: op.Done, Revision: 5, State: &op.OperatorState{ConfigVersion: 1}}, true, &out)
	if !s.Withdrawn["k"] || !s.Pending["k"] {
		t.Fatal("a withdrawal was lost with a state that does not hold it")
	}
}

// TestOutageReads counts the reads of a fleet through a minute without the
// store, and how many fall into the same 100 ms at its end.
func TestOutageReads(t *testing.T) {
	const fleet, minute = 200, 600
	reads, most := 0, 0
	states := make([]State, fleet)
	for i := range states {
		states[i].Seed = uint64(i) * 0x9e3779b97f4a7c15
	}
	for tick := range minute {
		now := clock.Millis(tick) * 100
		at := 0
		for i := range states {
			var out op.List
			states[i].Reduce(now, op.Tick{}, false, &out)
			for _, e := range out {
				if _, ok := e.(op.ReadState); ok {
					at++
					states[i].Reduce(now, op.StateRead{Result: op.Lost}, false, &out)
				}
			}
		}
		reads += at
		if tick > minute/2 {
			most = max(most, at)
		}
	}
	t.Logf("%.2f reads a second and instance, at most %d of %d at once", float64(reads)/60/fleet, most, fleet)
	if reads > fleet*60/4 {
		t.Errorf("%d reads in a minute; %d are allowed", reads, fleet*60/4)
	}
	if most > fleet/10 {
		t.Errorf("%d of %d read at once", most, fleet)
	}
}
