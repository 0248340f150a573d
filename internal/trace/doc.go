// Package trace records the events of an instance and their effects as JSON
// lines, and replays such traces.
//
// The first line is a Header with the parameters of the initial state. Each
// further line is an Entry: an event, its time and its effects. Replay passes
// the events to a new reducer and reports the first effect that differs from
// the trace. A trace can also be written by hand as a test case; an entry
// without Effects accepts any.
package trace
