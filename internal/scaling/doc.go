// Package scaling decides how many targets a pool needs in each data centre and
// orders them from the platform, for the pools that the platform can scale. Only
// the holder of the duties lease, one instance at a time, sends orders.
//
// A pool gets enough slots for the recent peak of unfinished items, with its
// targets spread evenly over its data centres and the remainder in the cheaper
// ones. Pools are never scaled down: a surplus target costs little compared to a
// late training step.
package scaling
