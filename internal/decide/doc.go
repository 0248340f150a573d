// Package decide contains the top-level reducer: it takes every event together
// with its time and returns the resulting effects as data.
//
// State is composed of the states of the packages for membership, the
// operators' state (the configuration and the withdrawn keys), leases,
// admission, steps, usage, orders to the platform and model weights. None of
// them accesses the state of another. What one needs to read from another is
// passed in as an argument, often a struct named View, or is set in its state
// here. A request from one to another is a call made here, or an effect that
// this package applies itself; such an effect is returned only if the caller
// has a part in it as well.
//
// Reduce performs no I/O, reads no clock, starts no goroutine and uses no
// source of randomness. The same events always give the same effects, so
// recorded events can be replayed.
package decide
