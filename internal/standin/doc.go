// Package standin simulates catkinhead's environment on loopback for tests and
// demos: the platform with its object store, target orders, lists, weight store
// and usage endpoint, and the inference engines and plain services that serve as
// targets.
//
// The simulation is deliberately small. It records every request it receives, so
// that a test can count effects at the receiver. Faults are switched on over
// HTTP: a part of the platform can be down, slow or lose its responses, and an
// engine can fail a weight swap, cut a stream, send a chunk of another request or
// crash on a prompt.
package standin
