package forward

import (
	"maps"
	"net/http"
	"slices"

	"github.com/catkinhead/catkinhead/internal/metering"
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/internal/roster"
	"github.com/catkinhead/catkinhead/internal/route"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// retryAfterNoTarget is the Retry-After hint if no target has run the request:
	// another instance can probably serve it, or this one soon.
	retryAfterNoTarget clock.Millis = 100
	// retryAfterStale is the Retry-After hint while the configuration is missing or
	// stale: outages of the platform's store last for seconds.
	retryAfterStale clock.Millis = 500
	// answerMargin is the time reserved before a request's deadline to deliver the
	// answer.
	answerMargin clock.Millis = 20
)

// call is a request in flight: it has no final answer yet.
type call struct {
	rule      platform.RouteRule
	workspace unit.Workspace
	startedAt clock.Millis
	// deadline is the earlier of the caller's deadline and the route's timeout.
	deadline clock.Millis
	// tried are the targets of all attempts, in order.
	tried []unit.Target
	pool  unit.Pool
	// target is the target of the attempt in flight, empty if there is none.
	target unit.Target
	// mayHaveRun is set once an attempt ended without proof that the target did
	// not run the request.
	mayHaveRun bool
	// fingerprint is the same for all requests with the same content from the
	// same caller.
	fingerprint unit.Fingerprint
}

// State holds the requests in flight and the recent crashes.
type State struct {
	calls   map[op.CallID]*call
	split   route.Splitter
	crashes map[unit.Fingerprint]crashCount
	// suspects maps fingerprints to when they were last known to be suspect in the
	// fleet.
	suspects map[unit.Fingerprint]clock.Millis
	// durations holds how long the latest requests of each route took.
	durations map[unit.Route]*durations
}

// View is the state of other packages that decisions on requests depend on.
// Attempts are counted in Roster, and requests that may have run in Metering.
type View struct {
	Roster *roster.State
	// Table is nil before the first configuration. Fresh is set if the
	// configuration was confirmed recently enough to trust its keys, Age is the
	// time since it was confirmed.
	Table    *route.Table
	Fresh    bool
	Age      clock.Millis
	Metering *metering.State
	// Wall is the Unix time.
	Wall clock.Millis
	// Stop is the graceful shutdown of this instance.
	Stop Stop
	// Crashes are the crash counts by fingerprint that the peers report.
	Crashes map[unit.Fingerprint]int
}

// Reduce applies an event to the requests in flight.
func (s *State) Reduce(now clock.Millis, ev op.Event, v View, out *op.List) {
	switch e := ev.(type) {
	case op.RequestReceived:
		s.handleRequest(now, e, v, out)
	case op.AttemptEnded:
		s.attemptEnded(now, e, v, out)
	case op.CallerDisconnected:
		s.callerDisconnected(e.Call, v)
	}
}

// Idle reports whether no request is in flight.
func (s *State) Idle() bool { return len(s.calls) == 0 }

// Calls returns the requests in flight, for dumps.
func (s *State) Calls() []op.CallID { return slices.Sorted(maps.Keys(s.calls)) }

// admission is what a request is admitted to: a rule, which is empty for a call about an
// existing job without one, for a workspace.
type admission struct {
	rule      platform.RouteRule
	workspace unit.Workspace
	// jobCall is set for a call about an existing job.
	jobCall bool
}

// admitted authenticates a request and matches it to a rule. If that fails, it returns the
// refusal and false. A call about an existing job needs no matching rule and no host that
// has one: jobs outlive their routes, and only the store knows whether there is such a job.
// But if the call matches a rule that is not for jobs and whose path prefix is not "/", it
// is like any other request of that route.
func admitted(e op.RequestReceived, v View) (admission, op.Respond, bool) {
	refuse := func(status int, why op.Reason, after clock.Millis) (admission, op.Respond, bool) {
		return admission{}, op.Respond{
			Call: e.Call, Status: status, Reason: why, Outcome: unit.NotRun, RetryAfter: after, KnownFor: v.Age,
		}, false
	}
	if v.Table == nil || !v.Fresh {
		return refuse(http.StatusServiceUnavailable, op.NotFresh, retryAfterStale)
	}
	rule, ok := v.Table.Match(e.Host, e.Path)
	jobCall := e.Batch && (!ok || rule.Repeat == platform.Batch || rule.PathPrefix == "/")
	if !ok && !jobCall {
		return refuse(http.StatusNotFound, op.NoRoute, 0)
	}
	workspace, known := v.Table.Workspace(e.Head.Key)
	if !known && !rule.Public {
		return refuse(http.StatusUnauthorized, op.BadKey, 0)
	}
	return admission{rule, workspace, jobCall}, op.Respond{}, true
}

// Refusal returns the answer to a request that has no route or no key, and whether there is
// one, as the request would get it when its body has arrived.
func Refusal(e op.RequestReceived, v View) (op.Respond, bool) {
	_, refusal, ok := admitted(e, v)
	return refusal, !ok
}

// handleRequest serves a new request as a call about an existing job, a job submission or a
// request to be forwarded, or refuses it.
func (s *State) handleRequest(now clock.Millis, e op.RequestReceived, v View, out *op.List) {
	a, refusal, ok := admitted(e, v)
	if !ok {
		out.Add(refusal)
		return
	}
	rule, workspace, jobCall := a.rule, a.workspace, a.jobCall
	limit, expected := timeLimit(e.Head.Left, rule.Timeout), s.expectedDuration(rule.Name)
	if jobCall || rule.Repeat == platform.Batch {
		limit, expected = v.Stop.JobTime, v.Stop.JobTime
	}
	switch {
	case !v.Stop.accepts(now, limit, expected):
		v.Stop.refuse(now, e.Call, rule.Name, v, out)
	case jobCall:
		out.Add(op.ServeJobCall{Call: e.Call, Workspace: workspace})
	case rule.Repeat == platform.Batch:
		out.Add(op.AcceptJob{Call: e.Call, Rule: rule, Workspace: workspace})
	default:
		s.startCall(now, e, rule, workspace, v, out)
	}
}

// startCall registers a request and sends it to a target, unless its
// fingerprint is suspected to crash targets.
func (s *State) startCall(now clock.Millis, e op.RequestReceived, rule platform.RouteRule, w unit.Workspace, v View, out *op.List) {
	if s.calls == nil {
		s.calls = make(map[op.CallID]*call)
	}
	if s.suspect(now, e.Fingerprint, v) {
		out.Add(op.Respond{
			Call: e.Call, Status: http.StatusServiceUnavailable, Reason: op.CrashSuspect, Outcome: unit.NotRun,
			RetryAfter: retryAfterSuspect, Route: rule.Name, KnownFor: v.Age,
		})
		return
	}
	c := &call{rule: rule, workspace: w, fingerprint: e.Fingerprint, startedAt: now, deadline: now + timeLimit(e.Head.Left, rule.Timeout), pool: s.split.Pick(rule)}
	s.calls[e.Call] = c
	s.dispatch(now, e.Call, c, v, out)
}

// timeLimit returns the shorter of the time that the caller has left and the
// route's timeout. A value of 0 or less means that there is no limit.
func timeLimit(left, timeout clock.Millis) clock.Millis {
	const none clock.Millis = 1 << 40
	if left <= 0 {
		left = none
	}
	if timeout <= 0 {
		timeout = none
	}
	return min(left, timeout)
}

// dispatch sends a request to a target that has not been tried. If there is none
// left, it may go to any target except the last one tried. Without such a target
// the request fails.
func (s *State) dispatch(now clock.Millis, id op.CallID, c *call, v View, out *op.List) {
	t := v.Roster.Pick(now, c.pool, c.tried)
	if t == nil && len(c.tried) > 0 {
		t = v.Roster.Pick(now, c.pool, c.tried[len(c.tried)-1:])
	}
	if t == nil {
		s.respondFailure(now, id, c, op.NoTarget, v, out)
		return
	}
	c.tried = append(c.tried, t.Target)
	c.target = t.Target
	v.Roster.AttemptStarted(t.Target)
	out.Add(op.ForwardRequest{
		Call: id, Route: c.rule.Name, Pool: c.pool, Target: t.Target, Address: t.Address,
		Workspace: c.workspace, Attempt: len(c.tried), Streaming: c.rule.Streaming, Once: c.rule.Repeat != platform.Idempotent,
		Until: c.attemptDeadline(now), Deadline: c.deadline,
	})
}

// attemptDeadline returns when the current attempt is given up, so that there is
// time left for the remaining ones. It is the request's deadline if the route is
// not idempotent or this is the last attempt.
func (c *call) attemptDeadline(now clock.Millis) clock.Millis {
	if c.rule.Repeat != platform.Idempotent {
		return c.deadline
	}
	return now + route.AttemptTime(c.deadline-now, c.rule.MaxAttempts-len(c.tried)+1)
}

// attemptEnded records the end of an attempt, and retries the request or answers
// it unless the caller already has an answer or a part of one.
func (s *State) attemptEnded(now clock.Millis, e op.AttemptEnded, v View, out *op.List) {
	c := s.calls[e.Call]
	if c == nil || c.target != e.Target {
		return
	}
	c.target = ""
	v.Roster.AttemptEnded(now, e.Target, !e.Whole && e.Outcome != unit.NotRun || e.Leaving)
	switch {
	case e.Whole:
		s.clearCrashes(c.fingerprint)
	case e.Crashed:
		s.recordCrash(now, c.fingerprint)
	}
	if e.Outcome != unit.NotRun && !c.mayHaveRun {
		v.Metering.CountRequest(v.Wall-(now-e.SentAt), c.workspace)
	}
	if e.Whole || now >= c.deadline {
		s.recordDuration(now, c, v)
	}
	if e.Whole || e.Begun {
		delete(s.calls, e.Call)
		return
	}
	c.mayHaveRun = c.mayHaveRun || e.Outcome != unit.NotRun
	retry := e.Outcome == unit.NotRun || c.rule.Repeat == platform.Idempotent
	if s.suspect(now, c.fingerprint, v) {
		retry = false
	}
	switch {
	case now+answerMargin >= c.deadline:
		s.respondFailure(now, e.Call, c, op.TimedOut, v, out)
	case !retry || len(c.tried) >= c.maxAttempts(e):
		s.respondFailure(now, e.Call, c, op.TargetFailed, v, out)
	default:
		s.dispatch(now, e.Call, c, v, out)
	}
}

// maxAttempts returns how many attempts may be made. One more than the route's
// limit is allowed if the latest target did not run the request: that attempt does
// not count, but the number of attempts must stay bounded.
func (c *call) maxAttempts(e op.AttemptEnded) int {
	if e.Outcome == unit.NotRun {
		return c.rule.MaxAttempts + 1
	}
	return c.rule.MaxAttempts
}

// respondFailure answers a request that no target has served: with status 503 if
// it has certainly not run, otherwise with 502, or 504 at the request's deadline.
func (s *State) respondFailure(now clock.Millis, id op.CallID, c *call, why op.Reason, v View, out *op.List) {
	delete(s.calls, id)
	r := op.Respond{
		Call: id, Status: http.StatusServiceUnavailable, Reason: why, Outcome: unit.NotRun,
		RetryAfter: retryAfterNoTarget, Route: c.rule.Name, Attempts: len(c.tried), KnownFor: v.Age,
	}
	if c.mayHaveRun {
		r.Status, r.Outcome, r.RetryAfter = http.StatusBadGateway, unit.Unknown, 0
		if now+answerMargin >= c.deadline {
			r.Status = http.StatusGatewayTimeout
		}
	}
	out.Add(r)
}

// callerDisconnected drops a request whose caller has disconnected.
func (s *State) callerDisconnected(id op.CallID, v View) {
	c := s.calls[id]
	if c == nil {
		return
	}
	if c.target != "" {
		v.Roster.AttemptCancelled(c.target)
	}
	delete(s.calls, id)
}
