// Package decide contains the top-level reducer: it takes every event together
// with its time and returns the resulting effects as data.
//
// State is composed of the states of the packages for membership, the
// operators' state, leases, admission, steps, usage, orders to the platform and
// model weights. Each of these has its own reducer. What one of them needs to
// read from another is passed in as a small View struct. A request from one to
// another is an effect that this package applies itself and does not return.
//
// Reduce performs no I/O, reads no clock, starts no goroutine and uses no
// source of randomness. The same events always give the same effects, so
// recorded events can be replayed.
package decide
