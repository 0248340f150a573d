// Package wire speaks plain HTTP with JSON to the platform, to engines and to
// plain services. It is the format of the stand-ins; another format replaces
// this package and nothing else.
//
// Orders and weight swaps go through a guarded connection, which refuses to
// write once the sender's lease has ended.
package wire
