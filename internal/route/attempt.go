package route

import (
	"slices"

	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// minAttemptTime is the minimum time of an attempt before the request is
// retried at another target: several times the duration of a usual request.
const minAttemptTime clock.Millis = 250

// Splitter picks pools in proportion to the weights of a rule.
type Splitter struct{ position int }

// Pools returns the pools that may serve a rule now: those with a weight, or the only
// one. Nothing else may be sent to another pool, whatever was in force before.
func Pools(rule platform.RouteRule) []unit.Pool {
	var out []unit.Pool
	for _, sh := range rule.Split {
		if sh.Weight > 0 {
			out = append(out, sh.Pool)
		}
	}
	if len(out) == 0 && len(rule.Split) > 0 {
		return []unit.Pool{rule.Split[0].Pool}
	}
	return out
}

// Order returns the pools that may serve a rule now, the one picked by weight first.
func (s *Splitter) Order(rule platform.RouteRule) []unit.Pool {
	out := Pools(rule)
	if len(out) < 2 {
		return out
	}
	first := s.Pick(rule)
	i := max(slices.Index(out, first), 0)
	out[0], out[i] = out[i], out[0]
	return out
}

// Pick returns a pool of the rule's split, and the empty name for a rule without
// pools.
func (s *Splitter) Pick(rule platform.RouteRule) unit.Pool {
	if len(rule.Split) == 0 {
		return ""
	}
	total := 0
	for _, sh := range rule.Split {
		total += max(sh.Weight, 0)
	}
	if total == 0 {
		return rule.Split[0].Pool
	}
	// The step is coprime to usual sums of weights, so that the positions are
	// visited evenly and the pools are interleaved.
	const step = 61
	s.position = (s.position + step) % total
	n := s.position
	for _, sh := range rule.Split {
		if n -= max(sh.Weight, 0); n < 0 {
			return sh.Pool
		}
	}
	return rule.Split[len(rule.Split)-1].Pool
}

// AttemptTime returns how long an attempt of an idempotent request may take. left
// is the time until the request's deadline, attempts the number of attempts that
// may still be made, this one included. The last attempt gets all the time.
func AttemptTime(left clock.Millis, attempts int) clock.Millis {
	if attempts <= 1 {
		return left
	}
	return min(max(left/clock.Millis(attempts+1), minAttemptTime), left)
}
