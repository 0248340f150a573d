// Package weights rolls out new versions of model weights to the targets of
// pools.
//
// The instance that holds a pool's lease orders every target to stage the
// newest published version in advance, and to activate a version once operators
// ask for it. An order names the version to reach, so it is idempotent. That a
// target has accepted an order does not show that it runs the version; only its
// load reports and the chunks of its answers do.
package weights
