// Package scenario holds the proofs that need real processes: scripts in a
// small test language, under testdata, that start instances, engines and a
// platform as processes of their own, cause failures, and count at the
// receivers. It has no code of its own.
package scenario
