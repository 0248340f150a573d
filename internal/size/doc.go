// Package size decides how many targets a pool has in each data centre, where
// the platform lets their number be ordered. Only the holder of the lease of the
// duties orders.
//
// A pool gets as many targets as the items that were open at once lately fill,
// spread evenly over its data centres, the cheaper ones first. It never orders
// fewer than there are: a target costs little beside a late step.
package size
