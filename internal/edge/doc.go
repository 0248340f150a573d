// Package edge is one instance on a hosted platform: the state of all its
// decisions as one reducer, and the runners around it.
//
// State joins the reducers of requests, jobs, targets, versions, use, leases
// and peers. Process carries effects out and turns what happens into events.
// Texts and bodies pass by the reducer; Content keeps them.
package edge
