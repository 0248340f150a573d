// Package roster keeps what is known of targets: what they say of themselves
// in the store, and what traffic has shown. Its State is fed with listed
// entries, changes and the ends of attempts, and picks targets for requests.
//
// An entry that vanishes around an outage of the store may only have lapsed,
// so its target stays usable for a while after the store is back.
package roster
