// Package crowd plays clients that do not behave, and measures what they make a
// process hold. The tests of limits and the search for faults use it. It sends to
// loopback addresses only, and each crowd is bounded in number and time.
package crowd
