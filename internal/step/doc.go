// Package step manages the training steps that this instance owns. A step is a
// batch of samples that a trainer opens, pulls and closes.
//
// A step has one owner per epoch, and each new owner raises the epoch. The
// owner is called the step's home in the stored record. A trainer that opens a
// step sends all samples and says which results it has, so any instance can
// become the owner at any time. The record in the store determines the next
// epoch and holds the billed usage. A pull returns all finished samples that
// were not acknowledged yet, so the trainer can repeat a pull whose answer was
// lost. The trainer ignores duplicates.
//
// The record has one bit for each sample, set once the sample is billed, and
// the tokens of the billed samples. Adding acknowledged samples is idempotent,
// so each instance that received acknowledgements can add them to the record,
// even if another instance is the owner by then.
//
// A step can be opened while the store is unavailable. Its epoch is then above
// the one that the trainer knows, and the record is written later.
package step
