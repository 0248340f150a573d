// Package beat keeps what instances tell each other in heartbeats: that they
// live, which jobs they own and what they have counted. A job whose owner is
// silent, leaving or restarted goes to the live instance that ranks first for
// it. Heartbeats are hints: results stay right whoever believes what.
package beat
