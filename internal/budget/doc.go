// Package budget bounds the memory that requests take at the same time. A request has a
// Hold, which grows with what has arrived of its body, and not with what its client
// declares. If there is no room, a hold whose client is slow yields; one workspace may
// not take all of a budget.
package budget
