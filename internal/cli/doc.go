// Package cli is the command line of catkinhead.
//
// Every command has --help, takes --json where it prints a table, writes
// errors to standard error with what to do, and ends with one of the Exit
// codes.
package cli
