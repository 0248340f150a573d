// Package config decides which version of the operators' state is in force,
// and whether it is fresh enough to act on a caller's key.
//
// The state is one value with the store's revision: only a higher revision is
// ever put in force. Withdrawals need no agreement, since an entry can only
// ever deny; they go from instance to instance before the store has them.
//
// Fresh is the other half of "a withdrawn key stops working within seconds".
// An instance acts on keys only while one of two things holds: what it knows
// includes the store's state of less than Bound ago (its own read, or a peer's
// word in an exchange that this instance began), or it has itself asked a
// majority of the fleet within Bound. A withdrawal counts as made once the
// store holds it or a majority has confirmed it, so any instance either hears
// of it or stops acting on keys.
package config
