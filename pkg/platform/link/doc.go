// Package link makes the connections that clients of an outside system share:
// connections that count what they write, so that a request which put no byte
// on the network is known not to have run, and connections that refuse to
// write after the end of a lease. It knows no wire format.
package link
