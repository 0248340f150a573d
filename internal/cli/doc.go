// Package cli implements the command line of catkinhead.
//
// Every command has --help, and --json if it prints a table. Errors go to
// standard error with a hint on how to solve them, and the exit code is one of
// the Exit constants.
package cli
