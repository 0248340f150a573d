// Package capacity measures how the cost of one instance grows with the number
// of instances, targets, keys and samples. It fits a line to each series of
// points, from which docs/CAPACITY.md extrapolates to fleets that are too large
// for a single machine, and reports how far the points are from the line.
//
// Most series drive the reducer of one instance directly. For the others, whole
// instances run as peers in this process on loopback, with one simulated
// platform; their figures include its cost and so are upper bounds.
package capacity
