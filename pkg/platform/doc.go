// Package platform declares the interfaces to the systems outside catkinhead:
// the object store, the calls that start, stop and scale targets, model engines
// and plain services (which run no model), the store of model weights, the
// endpoint that accepts usage reports, and the list of instances.
//
// The types here are independent of any wire format. An adapter package
// implements the interfaces and reports a failed call as a *Failure, whose
// Outcome says whether the call took effect, or as one of the errors declared
// here. Code that makes decisions depends only on these types, so an adapter
// can be replaced without changing it.
package platform
