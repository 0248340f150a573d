// Package batch schedules batch jobs. A job is a set of requests, its items, that
// a trainer submits together. The package is a reducer: it decides which target
// runs each item, when results are written to the store, and when an item is
// given up. Package edge is its runner, which carries the decisions out.
//
// The results of a job are an append-only chain of numbered chunks in the store.
// A chunk is created only if none exists under its number, and an owner has read
// all chunks before the one it creates, so no item gets two results even if two
// instances both believe that they own the job: one of them creates the chunk,
// the other one gets a conflict and adopts the chunk that it reads back. The end
// of a job is a chunk too. Owning a job therefore needs no lease; two concurrent
// owners only cause redundant runs.
package batch
