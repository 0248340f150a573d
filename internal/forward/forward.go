package forward

import (
	"maps"
	"net/http"
	"slices"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/internal/roster"
	"github.com/catkinhead/catkinhead/internal/route"
	"github.com/catkinhead/catkinhead/internal/tally"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// retrySoon is the hint to callers that another instance, or this one
	// shortly, can serve.
	retrySoon clock.Millis = 100
	// retryStore is the hint while the configuration is not known well enough:
	// the platform's outages last for seconds.
	retryStore clock.Millis = 500
	// tryAtLeast is the least time that an attempt gets before another target
	// is tried: several times the work of a usual request.
	tryAtLeast clock.Millis = 250
	// crashLimit is after how many crashes of targets a content is refused.
	crashLimit = 3
	// crashMemory is how long crashes are held against a content.
	crashMemory clock.Millis = 20 * clock.Second
	// crashContents bounds how many contents are remembered.
	crashContents = 256
	// retrySuspect is the hint to callers of such a content.
	retrySuspect clock.Millis = 10 * clock.Second
	// marginAtEnd is kept free before a caller's deadline for the answer's way.
	marginAtEnd clock.Millis = 20
)

// call is a request that has no final answer yet.
type call struct {
	rule      platform.RouteRule
	workspace unit.Workspace
	deadline  clock.Millis
	tried     []unit.Target
	pool      unit.Pool
	// at is the target that has the request now, empty for none.
	at unit.Target
	// unknown is set once an attempt may have run.
	unknown bool
	content unit.Fingerprint
}

// crash is what is held against a content.
type crash struct {
	count int
	at    clock.Millis
}

// State is the requests under way.
type State struct {
	calls   map[op.CallID]*call
	turn    int
	crashes map[unit.Fingerprint]crash
}

// View is what decisions on requests rest on.
type View struct {
	Roster *roster.State
	// Table is nil before the first configuration. Fresh tells whether keys may
	// be acted on, Age how old the knowledge of the configuration is.
	Table *route.Table
	Fresh bool
	Age   clock.Millis
	Tally *tally.State
	// Wall is the Unix time.
	Wall clock.Millis
	// Crashes counts what the peers hold against contents.
	Crashes map[unit.Fingerprint]int
}

// Reduce handles the events of requests.
func (s *State) Reduce(now clock.Millis, ev op.Event, v View, out *op.List) {
	switch e := ev.(type) {
	case op.Asked:
		s.asked(now, e, v, out)
	case op.Passed:
		s.passed(now, e, v, out)
	case op.Left:
		s.left(e.Call, v)
	}
}

// Idle tells whether no request is under way.
func (s *State) Idle() bool { return len(s.calls) == 0 }

// Calls returns the requests under way, for dumps.
func (s *State) Calls() []op.CallID { return slices.Sorted(maps.Keys(s.calls)) }

func (s *State) asked(now clock.Millis, e op.Asked, v View, out *op.List) {
	refuse := func(status int, why op.Reason, after clock.Millis) {
		out.Add(op.Respond{
			Call: e.Call, Status: status, Reason: why, Outcome: unit.NotRun, RetryAfter: after, KnownFor: v.Age,
		})
	}
	if v.Table == nil || !v.Fresh {
		refuse(http.StatusServiceUnavailable, op.NotFresh, retryStore)
		return
	}
	rule, ok := v.Table.Match(e.Host, e.Path)
	if !ok && !(e.Batch && v.Table.Host(e.Host)) {
		refuse(http.StatusNotFound, op.NoRoute, 0)
		return
	}
	workspace, known := v.Table.Workspace(e.Head.Key)
	if !known && !rule.Public {
		refuse(http.StatusUnauthorized, op.BadKey, 0)
		return
	}
	switch {
	case e.Batch && (!ok || rule.Repeat == platform.Batch || rule.PathPrefix == "/"):
		out.Add(op.ServeBatch{Call: e.Call, Workspace: workspace})
	case rule.Repeat == platform.Batch:
		out.Add(op.TakeJob{Call: e.Call, Rule: rule, Workspace: workspace})
	default:
		s.begin(now, e, rule, workspace, v, out)
	}
}

func (s *State) begin(now clock.Millis, e op.Asked, rule platform.RouteRule, w unit.Workspace, v View, out *op.List) {
	if s.calls == nil {
		s.calls = make(map[op.CallID]*call)
	}
	if s.suspect(now, e.Fingerprint, v) {
		out.Add(op.Respond{
			Call: e.Call, Status: http.StatusServiceUnavailable, Reason: op.CrashSuspect, Outcome: unit.NotRun,
			RetryAfter: retrySuspect, Route: rule.Name, KnownFor: v.Age,
		})
		return
	}
	c := &call{rule: rule, workspace: w, content: e.Fingerprint, deadline: now + limit(e.Head.Left, rule.Timeout), pool: s.share(rule)}
	s.calls[e.Call] = c
	s.dispatch(now, e.Call, c, v, out)
}

// limit returns the shorter of the caller's patience and the route's timeout;
// 0 is none.
func limit(left, timeout clock.Millis) clock.Millis {
	const none clock.Millis = 1 << 40
	if left <= 0 {
		left = none
	}
	if timeout <= 0 {
		timeout = none
	}
	return min(left, timeout)
}

// share deals requests out by weight.
func (s *State) share(rule platform.RouteRule) unit.Pool {
	total := 0
	for _, sh := range rule.Split {
		total += max(sh.Weight, 0)
	}
	if total == 0 {
		return rule.Split[0].Pool
	}
	// A step that shares no factor with usual sums deals evenly.
	const step = 61
	s.turn = (s.turn + step) % total
	n := s.turn
	for _, sh := range rule.Split {
		if n -= max(sh.Weight, 0); n < 0 {
			return sh.Pool
		}
	}
	return rule.Split[len(rule.Split)-1].Pool
}

func (s *State) dispatch(now clock.Millis, id op.CallID, c *call, v View, out *op.List) {
	t := v.Roster.Pick(now, c.pool, c.tried)
	if t == nil && len(c.tried) > 0 {
		t = v.Roster.Pick(now, c.pool, c.tried[len(c.tried)-1:])
	}
	if t == nil {
		s.finish(now, id, c, op.NoTarget, v, out)
		return
	}
	c.tried = append(c.tried, t.Target)
	c.at = t.Target
	v.Roster.Began(t.Target)
	out.Add(op.PassOn{
		Call: id, Route: c.rule.Name, Pool: c.pool, Target: t.Target, Address: t.Address,
		Workspace: c.workspace, Attempt: len(c.tried), Streaming: c.rule.Streaming,
		Until: c.until(now), Deadline: c.deadline,
	})
}

// until is when an attempt is given up so that another can still be made.
func (c *call) until(now clock.Millis) clock.Millis {
	left := c.rule.MaxAttempts - len(c.tried) + 1
	if c.rule.Repeat != platform.Idempotent || left <= 1 {
		return c.deadline
	}
	part := max((c.deadline-now)/clock.Millis(left+1), tryAtLeast)
	return min(now+part, c.deadline)
}

func (s *State) passed(now clock.Millis, e op.Passed, v View, out *op.List) {
	c := s.calls[e.Call]
	if c == nil || c.at != e.Target {
		return
	}
	c.at = ""
	v.Roster.Ended(now, e.Target, !e.Whole && e.Outcome != unit.NotRun || e.Leaving)
	switch {
	case e.Whole:
		delete(s.crashes, c.content)
	case e.Crashed:
		s.crashed(now, c.content)
	}
	if e.Outcome != unit.NotRun && !c.unknown {
		v.Tally.Began(v.Wall-(now-e.SentAt), c.workspace)
	}
	if e.Whole || e.Begun {
		delete(s.calls, e.Call)
		return
	}
	c.unknown = c.unknown || e.Outcome != unit.NotRun
	again := e.Outcome == unit.NotRun || c.rule.Repeat == platform.Idempotent
	if s.suspect(now, c.content, v) {
		again = false
	}
	switch {
	case now+marginAtEnd >= c.deadline:
		s.finish(now, e.Call, c, op.TimedOut, v, out)
	case !again || len(c.tried) >= c.attempts(e):
		s.finish(now, e.Call, c, op.TargetFailed, v, out)
	default:
		s.dispatch(now, e.Call, c, v, out)
	}
}

// suspect tells whether a content has crashed as many targets as it may, here
// and at peers.
func (s *State) suspect(now clock.Millis, content unit.Fingerprint, v View) bool {
	n := v.Crashes[content]
	if c := s.crashes[content]; now <= c.at+crashMemory {
		n += c.count
	}
	return n >= crashLimit
}

// crashed holds a crash against a content, and forgets old ones.
func (s *State) crashed(now clock.Millis, content unit.Fingerprint) {
	if s.crashes == nil {
		s.crashes = make(map[unit.Fingerprint]crash)
	}
	for f, c := range s.crashes {
		if now > c.at+crashMemory {
			delete(s.crashes, f)
		}
	}
	c, known := s.crashes[content]
	if !known && len(s.crashes) >= crashContents {
		return
	}
	s.crashes[content] = crash{c.count + 1, now}
}

// Crashes returns how many targets each content seems to have crashed.
func (s *State) Crashes(now clock.Millis) map[unit.Fingerprint]int {
	out := make(map[unit.Fingerprint]int)
	for f, c := range s.crashes {
		if now <= c.at+crashMemory {
			out[f] = c.count
		}
	}
	return out
}

// attempts is how many targets may be tried. A target that did not run the
// request does not count against the route's limit, but the tries end all the
// same.
func (c *call) attempts(e op.Passed) int {
	if e.Outcome == unit.NotRun {
		return c.rule.MaxAttempts + 1
	}
	return c.rule.MaxAttempts
}

// finish gives the final answer. What may have run gets no promise.
func (s *State) finish(now clock.Millis, id op.CallID, c *call, why op.Reason, v View, out *op.List) {
	delete(s.calls, id)
	r := op.Respond{
		Call: id, Status: http.StatusServiceUnavailable, Reason: why, Outcome: unit.NotRun,
		RetryAfter: retrySoon, Route: c.rule.Name, Attempts: len(c.tried), KnownFor: v.Age,
	}
	if c.unknown {
		r.Status, r.Outcome, r.RetryAfter = http.StatusBadGateway, unit.Unknown, 0
		if now+marginAtEnd >= c.deadline {
			r.Status = http.StatusGatewayTimeout
		}
	}
	out.Add(r)
}

func (s *State) left(id op.CallID, v View) {
	c := s.calls[id]
	if c == nil {
		return
	}
	if c.at != "" {
		v.Roster.Released(c.at)
	}
	delete(s.calls, id)
}
