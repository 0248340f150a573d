// Package op holds the events that decisions are made on and the effects that
// they ask for, all as small plain values.
//
// Event and Effect are closed sets: a marker method joins each. A runner turns
// what happened into an Event, hands it to the reducer with the time, and
// carries the returned List of effects out. Both sides can be written as JSON
// lines, so that any run can be replayed.
//
// Nothing here decides or does anything.
package op
