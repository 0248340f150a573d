package forward

import (
	"net/http"
	"testing"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// TestStoppingInstanceTakesOnlyWhatItCanAnswer guards against requests that a planned
// stop passes on and then cuts off (LOST).
func TestStoppingInstanceTakesOnlyWhatItCanAnswer(t *testing.T) {
	stop := Stop{Stopping: true, UnreadyAt: 2500, Until: 7500, JobTime: 3700}
	tests := map[string]struct {
		at   clock.Millis
		path string
		// left is the time that the caller waits, took how long the route's last request
		// took.
		left, took clock.Millis
		// retryAfter is that of the refusal, 0 if the request is taken.
		retryAfter clock.Millis
	}{
		"certain to end":                       {6400, "/safe/x", 900, 0, 0},
		"may end too late":                     {6800, "/safe/x", 900, 30, 100},
		"may end too late, still sent here":    {1000, "/long/x", 9000, 0, 0},
		"will end in time, still sent here":    {1000, "/long/x", 9000, 3000, 0},
		"will end too late, still sent here":   {1000, "/long/x", 9000, 6400, 1500},
		"may end too late, sent elsewhere now": {2500, "/long/x", 9000, 3000, 100},
		"submission of a job":                  {3700, "/jobs/x", 9000, 0, 0},
		"late submission of a job":             {3900, "/jobs/x", 9000, 0, 100},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			v, s := view("a"), &State{}
			v.Stop = stop
			rule, _ := v.Table.Match("h", tt.path)
			if tt.took > 0 {
				s.recordDuration(tt.took, &call{rule: rule}, v)
			}
			var out op.List
			s.Reduce(tt.at, op.RequestReceived{Call: 1, Host: "h", Path: tt.path, Head: platform.RequestHeaders{Key: "k", Left: tt.left}}, v, &out)
			r, refused := out[0].(op.Respond)
			if refused != (tt.retryAfter > 0) || r.RetryAfter != tt.retryAfter {
				t.Errorf("got %+v", out[0])
			}
			if refused && (r.Status != http.StatusServiceUnavailable || r.Outcome != unit.NotRun || r.Reason != op.Draining) {
				t.Errorf("refused with %+v", r)
			}
		})
	}
}

// TestExpectedDurationFollowsLatestRequests checks that old durations are forgotten,
// and those of routes that are gone.
func TestExpectedDurationFollowsLatestRequests(t *testing.T) {
	s, v := &State{}, view("a")
	safe, _ := v.Table.RouteByName("safe")
	if got := s.expectedDuration("safe"); got != 0 {
		t.Errorf("expected %d without any request", got)
	}
	s.recordDuration(900, &call{rule: safe}, v)
	s.recordDuration(30, &call{rule: safe}, v)
	if got := s.expectedDuration("safe"); got != 900+durationMargin {
		t.Errorf("expected %d, want the longest and a margin", got)
	}
	for range durationsKept {
		s.recordDuration(30, &call{rule: safe}, v)
	}
	if got := s.expectedDuration("safe"); got != 30+durationMargin {
		t.Errorf("expected %d after many short ones", got)
	}
	s.recordDuration(1, &call{rule: platform.RouteRule{Name: "gone"}}, v)
	s.recordDuration(1, &call{rule: platform.RouteRule{Name: "once"}}, v)
	if _, ok := s.durations["gone"]; ok || len(s.durations) != 2 {
		t.Errorf("durations of %d routes are kept", len(s.durations))
	}
}
