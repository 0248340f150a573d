// Package platform holds the interfaces to everything outside catkinhead: the
// object store, target orders, engines and plain services, the weight store,
// the usage intake and the list of instances.
//
// Values here are plain; no wire format shows. An adapter lives in a package
// below this one and turns every failure into a *Failure, whose Outcome says
// whether the call took effect. Decisions see only these values, so replacing
// an adapter touches none of them.
package platform
