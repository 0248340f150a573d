// Package fleet decides which targets are ordered from the platform.
//
// An order is wanted first and sent second: an intent with the order's id
// stands in the store, and the holder of the data centre's lease sends it,
// under its fencing number and no later than its lease lasts, until the
// platform has taken it. A successor sends the same id again, which the
// platform carries out once. Operators add intents; for pools with counts the
// holder adds them itself.
package fleet
