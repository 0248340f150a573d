// Package clock holds the one time type of catkinhead.
//
// Decisions never read a clock: they are handed a Millis. Runners read a
// Clock, which is monotonic for leases and timeouts, and wall time only for
// usage windows. A Manual clock serves tests.
package clock
