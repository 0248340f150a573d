// Package serve runs one catkinhead process: it turns calls, answers and time
// into events, hands them to the reducer one after another, and carries the
// effects out.
//
// Loop owns the state. Everything else talks to it by Post and Ask. An effect
// that waits for anything outside runs in a goroutine of its own and ends in
// an event. Token chunks pass by the reducer, from an attempt to the caller
// that waits in its handler; only the last chunk of a live answer is held back
// until the reducer releases it.
package serve
