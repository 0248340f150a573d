// Package clock holds the time type that all of catkinhead uses.
//
// Decision code never reads a clock: the current time is passed in as a Millis.
// The code that drives it reads a Clock: monotonic time for leases and
// timeouts, and wall time only for usage windows and for the age of jobs, whose
// time of submission is stored. Manual is a clock for tests.
package clock
