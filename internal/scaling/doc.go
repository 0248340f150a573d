// Package scaling sends orders to the platform that set the number of targets of
// a pool in each data centre, for pools that the platform can scale. Only the
// holder of the duties lease, one instance at a time, sends orders.
//
// A pool gets enough slots for the recent peak of unfinished items, with its
// targets spread evenly over its data centres and the remainder in the cheaper
// ones. Pools are never scaled down: a surplus target costs little compared to a
// late training step.
package scaling
