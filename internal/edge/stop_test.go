package edge

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/catkinhead/catkinhead/pkg/platform"
)

func TestStopPlan(t *testing.T) {
	tests := map[string]struct {
		within time.Duration
		want   StopPlan
	}{
		"usual":     {8 * time.Second, StopPlan{Unready: 2500 * time.Millisecond, Serve: 7500 * time.Millisecond}},
		"short":     {3 * time.Second, StopPlan{Unready: 1250 * time.Millisecond, Serve: 2500 * time.Millisecond}},
		"no bounds": {0, StopPlan{Unready: 500 * time.Millisecond, Serve: time.Second}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := NewStopPlan(platform.Bounds{StopWithin: tt.within}); got != tt.want {
				t.Errorf("got %+v, want %+v", got, tt.want)
			}
		})
	}
}

// TestStoppingInstanceEndsConnections guards against callers that stay with a stopping
// instance until it is gone, because nothing tells them to go elsewhere.
func TestStoppingInstanceEndsConnections(t *testing.T) {
	target := newCuttingTarget(t)
	p, srv := cutProcess(t, target.address)
	answer := framedAnswer("length last", "a1")
	target.set(answer, len(answer), false)
	for _, stopping := range []bool{false, true} {
		p.stopping.Store(stopping)
		for _, path := range []string{"/page/x", "/live/x", "/none/x"} {
			req, err := http.NewRequest(http.MethodPost, srv.URL+path, strings.NewReader("x"))
			if err != nil {
				t.Fatal(err)
			}
			req.Host = "h.example"
			req.Header.Set("X-Attempt-Id", "a1")
			req.Header.Set("X-Deadline-Ms", "500")
			res, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, res.Body)
			res.Body.Close()
			if res.Close != stopping {
				t.Errorf("%s answered with %d, connection ends: %t, stopping: %t", path, res.StatusCode, res.Close, stopping)
			}
		}
	}
}
