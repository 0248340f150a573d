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
// from the moment it first saw that write, and the term is over after Duration.
// The terms of two holders therefore cannot overlap, however long a store call
// takes, provided that all clocks run at about the same rate. A term is also over
// if the holder has released the lease, or if a heartbeat proves that the holder
// has restarted.
//
// A call that is sent within a term may arrive after it. So the end of a term is
// not enough: nobody acts under a new fencing token while a call under an older
// one may still arrive. The holder tells the package when a call starts and ends,
// and releases the lease only once each of its calls was answered, or Grace has
// passed since the end of the last one without an answer. After any other end of
// a term its successor waits for Grace. An instance that held the lease before
// waits for Grace after its own term too, so that holders do not act in turn.
//
// An instance is one holder, whichever of its processes acts: one that starts
// again before another instance has the lease goes on under the same fencing
// token, and has nobody to wait for.
//
// If the response to a write is lost, the outcome is unknown until the object
// has been read again or another write on the same revision has succeeded.
//
// A call that arrives later than Grace after the term of its sender is beyond the
// package. The receiver has to refuse it, by the fencing token or by a condition
// in the call.
package lease
