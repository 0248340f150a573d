// Package tally counts the requests of each workspace that began in a window
// and reports each window once. Every instance counts for itself and copies
// its counts to the others; the holder of the lease adds up what it has heard,
// writes the sum to the store under the window's number, if none stands there,
// and reports what stands there. A repeated report has the same figures.
package tally
