package forward

import (
	"net/http"
	"testing"

	"github.com/catkinhead/catkinhead/internal/metering"
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/internal/roster"
	"github.com/catkinhead/catkinhead/internal/route"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// view returns a view with the given targets and one route of each kind.
func view(targets ...unit.Target) View {
	table := route.New(platform.Configuration{
		Keyed: true, Keys: map[string]unit.Workspace{"k": "w"},
		Routes: []platform.RouteRule{
			{Name: "safe", Host: "h", PathPrefix: "/safe/", Repeat: platform.Idempotent, Timeout: 1000, MaxAttempts: 2, Split: []platform.WeightedPool{{Pool: "p", Weight: 1}}},
			{Name: "once", Host: "h", PathPrefix: "/once/", Timeout: 1000, MaxAttempts: 3, Split: []platform.WeightedPool{{Pool: "p", Weight: 1}}},
			{Name: "long", Host: "h", PathPrefix: "/long/", Timeout: 9000, MaxAttempts: 3, Split: []platform.WeightedPool{{Pool: "p", Weight: 1}}},
			{Name: "open", Host: "h", PathPrefix: "/open/", Repeat: platform.Idempotent, Public: true, MaxAttempts: 1, Split: []platform.WeightedPool{{Pool: "p", Weight: 1}}},
			{Name: "jobs", Host: "h", PathPrefix: "/jobs/", Repeat: platform.Batch, Split: []platform.WeightedPool{{Pool: "p", Weight: 1}}},
		},
	}, 1)
	r := &roster.State{}
	for _, id := range targets {
		r.Upsert(0, platform.TargetEntry{Target: id, Pool: "p", Address: string(id), Slots: 1})
	}
	return View{Roster: r, Table: table, Fresh: true, Metering: &metering.State{Self: "a", Length: 5000}}
}

// ask sends a request and returns its effect, nil unless there is exactly one.
func ask(s *State, v View, path, key string) op.Effect {
	var out op.List
	s.Reduce(0, op.RequestReceived{Call: 1, Host: "h:80", Path: path, Head: platform.RequestHeaders{Key: key, Left: 800}}, v, &out)
	if len(out) != 1 {
		return nil
	}
	return out[0]
}

func TestRefusals(t *testing.T) {
	tests := map[string]struct {
		path, key string
		change    func(*View)
		want      int
	}{
		"no route":          {"/none/x", "k", nil, http.StatusNotFound},
		"unknown key":       {"/safe/x", "z", nil, http.StatusUnauthorized},
		"no key":            {"/safe/x", "", nil, http.StatusUnauthorized},
		"no configuration":  {"/none/x", "z", func(v *View) { v.Table = nil }, http.StatusServiceUnavailable},
		"old configuration": {"/safe/x", "k", func(v *View) { v.Fresh = false }, http.StatusServiceUnavailable},
		"no target":         {"/safe/x", "k", func(v *View) { v.Roster = &roster.State{} }, http.StatusServiceUnavailable},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			v := view("a")
			if tt.change != nil {
				tt.change(&v)
			}
			r, ok := ask(&State{}, v, tt.path, tt.key).(op.Respond)
			if !ok || r.Status != tt.want || r.Outcome != unit.NotRun {
				t.Errorf("got %+v", r)
			}
			if (r.Status == http.StatusServiceUnavailable) != (r.RetryAfter > 0) {
				t.Errorf("status %d with Retry-After %d ms", r.Status, r.RetryAfter)
			}
		})
	}
}

func TestPublicRoutesNeedNoKey(t *testing.T) {
	if e, ok := ask(&State{}, view("a"), "/open/x", "").(op.ForwardRequest); !ok || e.Workspace != "" {
		t.Errorf("got %+v", e)
	}
}

// TestOnlyIdempotentRequestsMayBeRepeated checks what the adapter is told.
func TestOnlyIdempotentRequestsMayBeRepeated(t *testing.T) {
	for path, once := range map[string]bool{"/safe/x": false, "/once/x": true} {
		if e, ok := ask(&State{}, view("a"), path, "k").(op.ForwardRequest); !ok || e.Once != once {
			t.Errorf("%s: got %+v", path, e)
		}
	}
}

func TestJobSubmissionsAreAccepted(t *testing.T) {
	if e, ok := ask(&State{}, view("a"), "/jobs/x", "k").(op.AcceptJob); !ok || e.Workspace != "w" {
		t.Errorf("got %+v", e)
	}
}

// TestCallsAboutJobsNeedNoRoute guards against "no such job" for an accepted job whose
// route or host was removed (LOST).
func TestCallsAboutJobsNeedNoRoute(t *testing.T) {
	tests := map[string]struct {
		host, path, key string
		// want is the status of a refusal, 0 for a call that is served.
		want int
	}{
		"host without routes":     {"gone", "/results/j", "k", 0},
		"host with other routes":  {"h", "/results/j", "k", 0},
		"path of a job route":     {"h", "/jobs/j", "k", 0},
		"unknown key":             {"gone", "/results/j", "z", http.StatusUnauthorized},
		"no key":                  {"gone", "/results/j", "", http.StatusUnauthorized},
		"path of a service route": {"h", "/safe/j", "z", http.StatusUnauthorized},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var out op.List
			received := op.RequestReceived{Call: 1, Host: tt.host, Path: tt.path, Batch: true, Head: platform.RequestHeaders{Key: tt.key}}
			(&State{}).Reduce(0, received, view("a"), &out)
			if len(out) != 1 {
				t.Fatalf("got %v", out)
			}
			switch e := out[0].(type) {
			case op.ServeJobCall:
				if tt.want != 0 || e.Workspace != "w" {
					t.Errorf("got %+v, want status %d", e, tt.want)
				}
			case op.Respond:
				if e.Status != tt.want {
					t.Errorf("got status %d, want %d", e.Status, tt.want)
				}
			default:
				t.Errorf("got %T", e)
			}
		})
	}
}

func TestAttempts(t *testing.T) {
	type end struct {
		outcome unit.Outcome
		whole   bool
	}
	unknown, notRun := end{outcome: unit.Unknown}, end{outcome: unit.NotRun}
	tests := map[string]struct {
		path string
		ends []end
		// want is the status of the last answer, 0 if it comes from the target.
		want    int
		outcome unit.Outcome
	}{
		"first serves":            {"/safe/x", []end{{unit.Ran, true}}, 0, 0},
		"second serves":           {"/safe/x", []end{unknown, {unit.Ran, true}}, 0, 0},
		"both fail":               {"/safe/x", []end{unknown, unknown}, http.StatusBadGateway, unit.Unknown},
		"all refuse":              {"/safe/x", []end{notRun, notRun, notRun}, http.StatusServiceUnavailable, unit.NotRun},
		"once: unknown":           {"/once/x", []end{unknown}, http.StatusBadGateway, unit.Unknown},
		"once: refused, serves":   {"/once/x", []end{notRun, {unit.Ran, true}}, 0, 0},
		"once: refused, unknown":  {"/once/x", []end{notRun, unknown}, http.StatusBadGateway, unit.Unknown},
		"refused after a failure": {"/safe/x", []end{unknown, notRun, notRun}, http.StatusBadGateway, unit.Unknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s, v := &State{}, view("a", "b", "c", "d")
			e := ask(s, v, tt.path, "k")
			for i, end := range tt.ends {
				p, ok := e.(op.ForwardRequest)
				if !ok {
					t.Fatalf("attempt %d: got %+v", i, e)
				}
				var out op.List
				s.Reduce(1, op.AttemptEnded{Call: 1, Target: p.Target, Outcome: end.outcome, Whole: end.whole}, v, &out)
				e = nil
				if len(out) > 0 {
					e = out[0]
				}
			}
			r, _ := e.(op.Respond)
			if r.Status != tt.want || r.Outcome != tt.outcome {
				t.Errorf("got %+v, want %d", e, tt.want)
			}
			if !s.Idle() {
				t.Error("the request is still in flight")
			}
		})
	}
}

func TestDeadline(t *testing.T) {
	s, v := &State{}, view("a", "b")
	e := ask(s, v, "/safe/x", "k").(op.ForwardRequest)
	if e.Deadline != 800 || e.Until >= e.Deadline {
		t.Errorf("got %+v", e)
	}
	var out op.List
	s.Reduce(799, op.AttemptEnded{Call: 1, Target: e.Target, Outcome: unit.Unknown}, v, &out)
	if r := out[0].(op.Respond); r.Status != http.StatusGatewayTimeout {
		t.Errorf("got %+v", r)
	}
}

func TestDisconnectedCallerFreesTarget(t *testing.T) {
	s, v := &State{}, view("a")
	ask(s, v, "/safe/x", "k")
	var out op.List
	s.Reduce(1, op.CallerDisconnected{Call: 1}, v, &out)
	if v.Roster.Targets["a"].Running != 0 || !s.Idle() {
		t.Error("the attempt still counts as running")
	}
}

func TestRequestsThatCrashTargetsAreRefused(t *testing.T) {
	v := view("a", "b", "c", "d")
	// fail sends a request whose attempts all crash their targets, and returns the
	// answer to the caller.
	fail := func(s *State, at clock.Millis) op.Effect {
		var out op.List
		s.Reduce(at, op.RequestReceived{Call: 1, Host: "h", Path: "/safe/x", Head: platform.RequestHeaders{Key: "k", Left: 800}, Fingerprint: 9}, v, &out)
		e := out[0]
		for {
			p, ok := e.(op.ForwardRequest)
			if !ok {
				return e
			}
			out = nil
			s.Reduce(at, op.AttemptEnded{Call: 1, Target: p.Target, Outcome: unit.Unknown, Crashed: true}, v, &out)
			e = out[0]
		}
	}
	s := &State{}
	fail(s, 0)
	if n := s.Crashes(0)[9]; n != 2 {
		t.Fatalf("%d crashes after both attempts", n)
	}
	fail(s, 1)
	if n := s.Crashes(1)[9]; n != crashLimit {
		t.Errorf("%d targets crashed, want no more than %d", n, crashLimit)
	}
	if r := fail(s, 2).(op.Respond); r.Reason != op.CrashSuspect || r.Outcome != unit.NotRun || r.RetryAfter == 0 {
		t.Errorf("got %+v", r)
	}
	v.Crashes = map[unit.Fingerprint]int{9: crashLimit}
	if r := fail(&State{}, 0).(op.Respond); r.Reason != op.CrashSuspect {
		t.Errorf("the crashes that peers report are not counted: %+v", r)
	}
	v.Crashes = nil
	if r := fail(s, 2+crashRetention+1).(op.Respond); r.Reason == op.CrashSuspect {
		t.Error("the request is still refused after the crash counts expired")
	}
}

func BenchmarkRequest(b *testing.B) {
	s, v := &State{}, view("a", "b", "c")
	for b.Loop() {
		e := ask(s, v, "/safe/x", "k").(op.ForwardRequest)
		var out op.List
		s.Reduce(1, op.AttemptEnded{Call: 1, Target: e.Target, Outcome: unit.Ran, Whole: true}, v, &out)
	}
}

// TestRequestThatGoesOnCrashingTargetsIsTriedLessAndLessOften guards against a request
// that is let through to the targets again and again (BUDGET): it comes every second,
// at instances in turn, and crashes each target that runs it.
func TestRequestThatGoesOnCrashingTargetsIsTriedLessAndLessOften(t *testing.T) {
	instances := []*State{{}, {}, {}}
	var crashedAt []clock.Millis
	for now := clock.Millis(0); now < 100*clock.Second; now += clock.Second {
		s := instances[now/clock.Second%3]
		v := view("a", "b", "c", "d")
		for _, other := range instances {
			if other != s {
				for f, n := range other.Crashes(now) {
					v.Crashes = map[unit.Fingerprint]int{f: v.Crashes[f] + n}
				}
			}
		}
		s.ObserveCrashes(now, v.Crashes)
		var out op.List
		s.Reduce(now, op.RequestReceived{Call: 1, Host: "h", Path: "/safe/x", Head: platform.RequestHeaders{Key: "k", Left: 800}, Fingerprint: 9}, v, &out)
		for len(out) > 0 {
			p, ok := out[0].(op.ForwardRequest)
			if !ok {
				break
			}
			crashedAt = append(crashedAt, now)
			out = nil
			s.Reduce(now, op.AttemptEnded{Call: 1, Target: p.Target, Outcome: unit.Unknown, Crashed: true}, v, &out)
		}
	}
	if len(crashedAt) < crashLimit || len(crashedAt) > crashLimit+3 {
		t.Errorf("targets crashed at %v, want at most three after the first %d", crashedAt, crashLimit)
	}
}
