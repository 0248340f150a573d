// Package roll brings the versions that trainers name to targets. The targets
// of a pool are shared out among its models, so that a load for one model
// disturbs no other, and each target is ordered to take the newest version of
// its model. Only the holder of the lease orders.
package roll
