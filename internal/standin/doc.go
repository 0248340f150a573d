// Package standin plays the outside world on loopback: the platform with its
// object API, target orders, lists, weight store and usage intake, and the
// engines and plain services behind it.
//
// It is small on purpose. It keeps a record of all it was asked, so that a
// test can count at the receiver, and it has faults that are switched by
// request: a part of the platform can be down, slow or lose its answers, and
// an engine can fail a swap, cut a stream, cross answers or crash on a prompt.
package standin
