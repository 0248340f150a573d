// Package decide is the one reducer: it takes every event with its time and
// returns the effects, as data.
//
// State joins the states of the concerns below it: membership, operators'
// state, leases, admission, steps, usage, orders and weights. Each has its own
// reducer; what one needs to know of another is passed as a small view, and
// what one asks of another is an effect that is handed over here and never
// leaves.
//
// Reduce does no input or output, reads no clock, starts no goroutine and uses
// no random source. The same events give the same effects, which is what
// replay relies on.
package decide
