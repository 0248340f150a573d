// Package member tracks the other instances of the fleet without a coordination
// service.
//
// Instances learn of each other from the platform's list, which may be out of
// date, and from what other instances report (gossip). In every round an
// instance exchanges knowledge with a fixed number of peers in rotation, so its
// cost does not grow with the fleet. A heartbeat counter that increases shows
// that an incarnation, which is one run of an instance, is alive. Incarnations
// of an instance are ordered by their start, so that news from a replaced
// process is never attributed to its successor.
//
// Only in an exchange that this instance started does it know the maximum age
// of the peer's knowledge. While the store is down, exchanges with a majority
// of the fleet within a time limit replace reads of the store as proof that
// this instance's state is current.
package member
