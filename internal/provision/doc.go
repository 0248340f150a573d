// Package provision decides which targets to start and stop through the platform.
//
// Every order is first stored as an intent and then sent: an intent with the
// order's ID is written to the store, and the holder of the data centre's order
// lease sends it repeatedly until the platform has accepted it. The order
// carries the lease's fencing token and is never sent after the end of the
// lease. A new holder sends pending intents again under the same ID; the
// platform carries out each ID only once. Operators add intents by hand. For
// pools with target counts, the lease holder adds them.
package provision
