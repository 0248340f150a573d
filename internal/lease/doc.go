// Package lease decides who holds a role that must have one holder.
//
// A lease is an object in the store, taken and renewed by conditional writes.
// Its record names the holder and a fencing number, and each grant to a new
// holder raises that number. No wall clock is compared. A holder counts its
// time from before it sent the write that granted it; another instance counts
// from when it first saw that write, and takes over only after the duration
// and a grace for orders that are still under way. So their times cannot
// overlap, however long calls take, as long as clocks run at about the same
// rate.
//
// A write whose answer was lost proves nothing until the object is read back.
//
// What the package cannot do: stop an order that was written to a connection
// before the end of the lease and that the receiver reads much later. That is
// what the fencing number and the grace are for.
package lease
