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
//
// There are interfaces for two kinds of deployment. Those in platform.go are for
// package internal/serve, and package wire implements them. Those in hosted.go
// are for package internal/edge, which runs on a hosted platform; the adapter
// is the package platform in the root of the module. It also implements Store,
// and both kinds share the errors. Configuration is that of the second kind
// only; that of the first is spec.Config.
package platform
