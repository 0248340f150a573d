// Package heartbeat tracks the membership of the fleet and the owners of jobs
// from the heartbeats that instances send each other. A job whose owner is dead,
// has restarted, or has released it while draining is taken over by the live
// instance that ranks first for it in rendezvous hashing. Heartbeats are only
// hints: a wrong view of the fleet never makes the results of a job wrong.
package heartbeat
