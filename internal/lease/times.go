package lease

import "github.com/catkinhead/catkinhead/pkg/clock"

const (
	// Duration is the term of a lease, counted from just before the write that
	// grants or renews it is sent.
	Duration clock.Millis = 5 * clock.Second
	// Grace is how long after the end of a term a call that was sent under the
	// lease and has no answer may still arrive at its receiver. Nobody acts under
	// a new fencing token before that. It also covers clock drift.
	Grace clock.Millis = 3 * clock.Second
	// MaxOrderTime is the longest time that sending an order may take.
	MaxOrderTime clock.Millis = clock.Second
	// renewInterval is the time between renewals of a lease held by this
	// instance.
	renewInterval clock.Millis = 1500
	// pollInterval is the time between reads of a lease held by another
	// instance.
	pollInterval clock.Millis = clock.Second
	// retryDelay is the pause after a write that conflicted or whose outcome is
	// unknown.
	retryDelay clock.Millis = 300
	// steadyUptime is how long a holder must have been running for its former
	// restarts not to count any more.
	steadyUptime = 10 * clock.Second
	// maxRestarts is how many restarts in a row a holder may go on after.
	maxRestarts = 2
)

// Times overrides the timing constants of the package. If Duration is 0, all
// constants apply; otherwise all fields must be set.
type Times struct {
	Duration, Grace, RenewEvery, PollEvery clock.Millis
}

func (t Times) orDefault() Times {
	if t.Duration == 0 {
		return Times{Duration: Duration, Grace: Grace, RenewEvery: renewInterval, PollEvery: pollInterval}
	}
	return t
}
