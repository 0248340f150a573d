// Package lease implements exclusive leases: for each scope, at most one
// instance holds the lease at any time.
//
// A lease is an object in the store that is acquired and renewed by conditional
// writes (compare-and-swap on the object's revision). Its record names the
// holder and carries a fencing token, which increases with every grant to a new
// holder.
//
// Instances never compare wall clocks. The holder's term starts just before it
// sends the write that grants or renews the lease. Any other instance measures
// from the moment it first saw that write, and takes over only after Duration
// plus Grace, a margin for orders that are still in flight. The terms of two
// holders therefore cannot overlap, however long a store call takes, provided
// that all clocks run at about the same rate. Another instance need not wait if
// the holder has released the lease, or if a heartbeat proves that the holder
// has restarted.
//
// If the response to a write is lost, the outcome is unknown until the object
// has been read again or another write on the same revision has succeeded.
//
// The package cannot recall an order that the holder sent before its lease
// ended and that the receiver processes much later. The fencing token and
// Grace protect against that.
package lease
