// Package member keeps track of the other instances without a coordination
// service.
//
// Peers are known from the platform's lagging list and from each other's word.
// Every instance exchanges knowledge with a fixed number of peers a round, in
// turn, so that its cost does not grow with the fleet. A beat that rises shows
// that an incarnation lives. Incarnations are ordered, so that a process which
// was replaced is never taken for its successor.
//
// Only an exchange that this instance began proves how old the peer's word is.
// A majority of such exchanges within a bound is what stands in for the store
// while the store is down.
package member
