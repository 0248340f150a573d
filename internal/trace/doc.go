// Package trace records the events of an instance with their effects as JSON
// lines, and replays them.
//
// The first line is a Header with what the state started from. Each further
// line is one event, its time, and the effects that it had. Replay runs the
// events through a new reducer and names the first effect that differs; a
// trace edited by hand states outcomes in the same way. An entry without
// Effects states none, and anything is right.
package trace
