// Package edge runs one instance on a hosted platform. It holds the reducer
// that makes all decisions of the instance, and the goroutines that carry them
// out. A reducer is a state that changes only when an event is applied to it. It
// performs no I/O, but returns the actions to carry out: the effects.
//
// State combines the reducers of the other packages: callers' requests, jobs,
// targets, model versions, pool sizes, usage counts, leases and peers. Process
// turns what happens outside into events for State, and carries out the effects
// that State returns. Bodies of requests and generated texts do not pass through
// the reducer; contentStore holds those of the jobs.
package edge
