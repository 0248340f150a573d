package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Millis is a point in time or a duration, in milliseconds. As a point it
// counts from the start of the process unless a field says otherwise.
type Millis int64

// Second is one second in Millis.
const Second Millis = 1000

// Of converts a standard duration, rounding towards zero.
func Of(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// Duration converts m to a standard duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Clock reads time.
type Clock interface {
	// Now returns monotonic milliseconds.
	Now() Millis
	// Wall returns milliseconds since the Unix epoch.
	Wall() Millis
}

// System is the operating system's clock. The zero value counts from the
// start of the process.
type System struct{}

// Now returns the milliseconds since the process started. It goes on counting
// while the process is stopped and while the machine is suspended, so that a
// lease or the age of a fact cannot outlive a suspension.
func (System) Now() Millis { return sinceBoot() - start }

// Wall returns the milliseconds since the Unix epoch.
func (System) Wall() Millis { return Millis(time.Now().UnixMilli()) }

// Manual is a clock for tests. The zero value stands at 0.
type Manual struct{ now atomic.Int64 }

// Now returns the time last set.
func (m *Manual) Now() Millis { return Millis(m.now.Load()) }

// Wall returns the same as Now.
func (m *Manual) Wall() Millis { return m.Now() }

// Advance moves the clock on by d.
func (m *Manual) Advance(d Millis) { m.now.Add(int64(d)) }

var start = sinceBoot()

// sinceBoot reads the clock that counts suspended time, in milliseconds.
func sinceBoot() Millis {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39; without it no lease is safe.
		panic("clock: read CLOCK_BOOTTIME: " + err.Error())
	}
	return Millis(ts.Nano() / int64(time.Millisecond))
}
