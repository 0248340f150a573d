// Package usage counts billable tokens and decides what is reported for each
// usage window.
//
// Counters are cumulative per source, where a source is an incarnation of an
// instance or a step. Merging two copies of a source keeps the higher one, so
// copies may be delivered any number of times. Before the end of a live answer
// is released to its caller, the counter that includes the answer is copied to
// a peer. The loss of either instance therefore loses no usage. If no peer
// accepts the copy, the end of the answer is released all the same.
//
// The holder of the usage lease, called the reporter, seals one window after
// another. A sealed window is an object that is created only if absent. It
// holds the exact bytes of the report and how much of each source has been
// reported so far. Only sealed bytes are ever sent to the usage endpoint, and
// they may be sent repeatedly. Tokens that arrive after their window was sealed
// are reported in a later window, on a line marked as a correction.
package usage
