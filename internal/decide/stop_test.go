package decide

import (
	"testing"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
)

// TestStoppingInstanceRefusesWhatEndsTooLate guards against requests that a stopping
// instance of catkinhead serve takes and then cuts off at the end of its shutdown.
func TestStoppingInstanceRefusesWhatEndsTooLate(t *testing.T) {
	tests := map[string]struct {
		after, deadline clock.Millis
		refused         bool
	}{
		"still sent here": {2000, 70_000, false},
		"ends in time":    {4000, 59_000, false},
		"ends too late":   {4000, 61_000, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			ti := newTestInstance()
			ti.reduce(op.Drain{RefuseAfter: 3000, CutAfter: 60_000})
			began := ti.now
			ti.now += tt.after
			ti.readStoreState(1, nil)
			var refusal *op.Refuse
			for _, e := range ti.s.Reduce(ti.now, op.Arrive{Request: op.Request{ID: "q", Route: "r", KeyHash: "h0", Deadline: began + tt.deadline}}) {
				if r, ok := e.(op.Refuse); ok {
					refusal = &r
				}
			}
			if refused := refusal != nil; refused != tt.refused {
				t.Fatalf("refused: %+v", refusal)
			}
			if tt.refused && (refusal.Reason != op.Draining || refusal.RetryAfter <= 0) {
				t.Errorf("refused with %+v", refusal)
			}
		})
	}
}
