package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Millis is a point in time or a duration, in milliseconds. A point in time
// counts from the start of the process unless its field says otherwise.
type Millis int64

// Second is one second in Millis.
const Second Millis = 1000

// FromDuration converts a time.Duration to Millis, rounding towards zero.
func FromDuration(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Clock reads monotonic and wall time.
type Clock interface {
	// Now returns monotonic time, in milliseconds.
	Now() Millis
	// Wall returns milliseconds since the Unix epoch.
	Wall() Millis
}

// System is the operating system's clock. Its monotonic time counts from the
// start of the process.
type System struct{}

// Now returns the milliseconds since the process started. It includes time
// during which the process was stopped or the machine was suspended, so that a
// lease expires and data ages during a suspension.
func (System) Now() Millis { return millisSinceBoot() - processStart }

// Wall returns the milliseconds since the Unix epoch.
func (System) Wall() Millis { return Millis(time.Now().UnixMilli()) }

// Manual is a clock for tests that moves only when told to. The zero value
// reads 0.
type Manual struct{ now atomic.Int64 }

// Now returns the current reading.
func (m *Manual) Now() Millis { return Millis(m.now.Load()) }

// Wall returns the same as Now.
func (m *Manual) Wall() Millis { return m.Now() }

// Advance moves the clock forward by d.
func (m *Manual) Advance(d Millis) { m.now.Add(int64(d)) }

// processStart is the CLOCK_BOOTTIME reading at package initialization.
var processStart = millisSinceBoot()

// millisSinceBoot reads CLOCK_BOOTTIME, which also counts suspended time.
func millisSinceBoot() Millis {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39. Without it a lease could
		// outlive a suspension of the machine, so the process must not run.
		panic("clock: read CLOCK_BOOTTIME: " + err.Error())
	}
	return Millis(ts.Nano() / int64(time.Millisecond))
}
