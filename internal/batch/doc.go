// Package batch decides on jobs of many items: which item runs where, when
// results are listed, and when an item is given up.
//
// The list of a job's results is a chain of chunks in the store, each created
// once under its number. An owner knows all chunks before the one it creates,
// so no item stands in two chunks, whoever else believes to own the job: of two
// owners one creates the chunk, and the other takes over what it finds. The end
// of a job is a chunk too. So owning a job needs no lease; two owners only cost
// runs.
package batch
