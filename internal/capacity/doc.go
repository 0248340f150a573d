// Package capacity measures how the cost of one instance grows: with peers,
// targets, keys and samples. It fits a line to each series of points, so that
// docs/CAPACITY.md can work out a size that no single machine can run, and
// says how far the points are from the line.
//
// Whole instances run as peers in this process on loopback, before one
// stand-in of the platform; their figures include its share and so are upper
// bounds.
package capacity
