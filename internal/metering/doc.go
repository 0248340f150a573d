// Package metering counts the requests of each workspace by time window and
// reports the counts of each window. Every instance counts its own requests and
// replicates the counts to its peers. The holder of the duties lease, one instance
// at a time, sums them up, creates an object with the sum in the store (sealing
// the window) unless there is one already, and reports what the store has. A
// repeated report therefore always has the same counts.
package metering
