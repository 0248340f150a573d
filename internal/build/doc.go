// Package build names the code that a process runs, so that a log, a dump or a
// metric can be compared with a commit.
package build
