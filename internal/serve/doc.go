// Package serve runs one catkinhead instance. It turns API calls, replies from
// other processes and timer ticks into events, passes them to the reducer
// (package decide) one at a time, and carries out the effects that the reducer
// returns.
//
// Loop owns the state; other goroutines reach it through Post and Query only.
// An effect that waits for I/O runs in its own goroutine and posts its result
// as an event.
//
// A live request is one whose caller waits for the answer, unlike a sample of a
// step: a step is a batch of samples that a trainer opens, pulls and closes
// (package step). An attempt is one run of a request or a sample at a target;
// after a failed attempt there may be another.
//
// The token chunks of a live request bypass the reducer: the attempt sends them
// directly to the caller's HTTP handler. Only the last chunk is held back until
// the reducer releases it, after the tokens were counted and the counter was
// copied to a peer. If no peer accepts the copy, the chunk is released all the
// same.
//
// The operators' state (op.OperatorState) is the configuration, the withdrawn
// API keys and the active weight versions. It is one object in the platform's
// store, which names the object that holds the configuration document.
package serve
