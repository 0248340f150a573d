// Package step decides for the steps that are at home on this instance.
//
// A step has one home under an epoch, which rises with each new home. The
// trainer carries the whole step and what it holds, so any instance can become
// home at any time; the store's record guards the epoch and keeps the bill. A
// pull returns every finished sample that was not acknowledged, so a lost
// answer costs nothing, and the trainer drops what it has.
//
// The bill of a step is a bit and a token count for each acknowledged sample.
// Merging those is idempotent, so every home that ever had acknowledgements
// can add them to the record, whoever is home by then.
//
// While the store is down a step can still be opened: the epoch then follows
// from what the trainer has seen, and the record is written later.
package step
