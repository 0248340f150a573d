// Package cli implements the command line of catkinhead.
//
// Every command has --help and --json; a command that has no JSON output ignores
// --json. Errors go to standard error, some with a hint on how to solve them, and
// the exit code is one of the Exit constants.
package cli
