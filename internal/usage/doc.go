// Package usage counts billable tokens and decides what is reported for each
// usage window.
//
// Counters are cumulative by source, and a source is an incarnation or a step.
// Merging two copies keeps the higher, so a copy may be told any number of
// times. Before the end of a live answer goes to its caller, the counter that
// holds it is copied to a peer: a kill of either loses nothing.
//
// The holder of the reporter's lease seals one window after another. A sealed
// window is an object that is created only if absent, and holds the exact
// bytes of the report and how much of each source they cover. Only sealed
// bytes are ever sent, again and again if need be. Tokens that come late are
// in a later window, on a line that says so.
package usage
