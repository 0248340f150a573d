// Package link makes the connections that the adapters to outside systems
// share: connections that count the bytes written, so that a request of which
// no byte was written is known not to have run, and connections that refuse to
// write after the end of a lease. It is independent of any wire format.
package link
