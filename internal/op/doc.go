// Package op defines the events that reducers process and the effects that they
// return, as plain values.
//
// The runner of a process turns everything that happens into an Event, passes
// it to the reducer together with the time, and executes the returned List of
// effects. An effect that has to wait, such as a call to the store, runs in the
// background, and its result comes back as an event. Event and Effect are
// closed sets, which the marker methods event and effect ensure.
//
// There are two runners: package serve with the reducer in package decide, and
// package edge, which has its own. Most events and effects of the latter are in
// the files edge_event.go and edge_effect.go.
//
// The names of the events and effects of package decide, and of their fields,
// are written to traces. The trace of a process can be replayed, so renaming one
// breaks recorded traces. Events and effects that only package edge uses are not
// traced. Names of fields are also used in state dumps, in stored records and in
// what instances send each other.
package op
