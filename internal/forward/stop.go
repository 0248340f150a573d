package forward

import (
	"net/http"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// retryAfterStopping is the Retry-After hint of a stopping instance to which no
	// new callers are sent any more: another instance can serve the request at once.
	retryAfterStopping clock.Millis = 100
	// durationsKept is the number of requests of a route whose durations are kept.
	durationsKept = 32
	// durationMargin is added to the longest of them, for one that takes longer.
	durationMargin clock.Millis = 250
)

// Stop says how a graceful shutdown of this instance goes on. The zero value means
// that there is none.
type Stop struct {
	Stopping bool
	// UnreadyAt is when the load balancer sends no new callers any more.
	UnreadyAt clock.Millis
	// Until is when requests that are still in flight are cut off.
	Until clock.Millis
	// JobTime bounds the time that a submission or a call about a job takes.
	JobTime clock.Millis
}

// accepts reports whether a request that takes at most limit, and usually takes
// expected, is served. Until UnreadyAt it is refused only if it would probably be cut
// off; after that, unless it certainly ends in time. expected is 0 if it is not known.
func (s Stop) accepts(now, limit, expected clock.Millis) bool {
	switch {
	case !s.Stopping || now+limit <= s.Until:
		return true
	case now >= s.UnreadyAt:
		return false
	}
	return now+expected <= s.Until
}

// refuse refuses a request that has not run. The caller is told to come back when
// it is sent to another instance.
func (s Stop) refuse(now clock.Millis, id op.CallID, route unit.Route, v View, out *op.List) {
	out.Add(op.Respond{
		Call: id, Status: http.StatusServiceUnavailable, Reason: op.Draining, Outcome: unit.NotRun, Route: route,
		RetryAfter: max(s.UnreadyAt-now, retryAfterStopping), KnownFor: v.Age,
	})
}

// durations holds how long the latest requests of a route took.
type durations struct {
	last [durationsKept]clock.Millis
	n    int
}

// add adds the duration of a request.
func (d *durations) add(t clock.Millis) {
	d.last[d.n%durationsKept] = max(t, 1)
	d.n++
}

// expected returns a time within which a request very likely ends, 0 if it is not
// known.
func (d *durations) expected() clock.Millis {
	longest := clock.Millis(0)
	for _, t := range d.last {
		longest = max(longest, t)
	}
	if longest == 0 {
		return 0
	}
	return longest + durationMargin
}

// recordDuration records how long a request took that was served, or that reached
// its time limit.
func (s *State) recordDuration(now clock.Millis, c *call, v View) {
	if s.durations == nil {
		s.durations = make(map[unit.Route]*durations)
	}
	d := s.durations[c.rule.Name]
	if d == nil {
		s.dropOldDurations(v)
		d = &durations{}
		s.durations[c.rule.Name] = d
	}
	d.add(now - c.startedAt)
}

// dropOldDurations drops the durations of routes that are gone.
func (s *State) dropOldDurations(v View) {
	for route := range s.durations {
		if v.Table == nil {
			return
		}
		if _, ok := v.Table.RouteByName(route); !ok {
			delete(s.durations, route)
		}
	}
}

// expectedDuration returns a time within which a request of a route very likely ends,
// 0 if it is not known.
func (s *State) expectedDuration(route unit.Route) clock.Millis {
	if d := s.durations[route]; d != nil {
		return d.expected()
	}
	return 0
}
