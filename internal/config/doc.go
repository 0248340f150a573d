// Package config decides which version of the operators' state is in force, and
// whether this instance's copy is recent enough to accept callers' keys.
//
// The operators' state is a single value identified by its revision in the
// store. Only a higher revision ever replaces the one in force. Withdrawals of
// keys need no agreement, because a withdrawal can only deny access: instances
// pass them to each other before the store holds them.
//
// Freshness bounds how long a withdrawn key keeps working. An instance accepts
// keys only while at least one of two conditions holds:
//
//   - Its copy includes the state that the store held less than FreshnessLimit
//     ago. It knows this from its own read, or from a peer that reports the age of
//     its copy in an exchange that this instance started.
//   - It has itself contacted a majority of the fleet within FreshnessLimit.
//
// A withdrawal counts as made once the store holds it or a majority of instances
// has confirmed it. Every instance therefore either learns of it or stops
// accepting keys.
package config
