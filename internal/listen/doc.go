// Package listen bounds what clients can make a process hold: connections, heads of
// requests, and the time that each may take. A Gate is the listener of an http.Server
// made by NewServer. It knows, for each connection, whether it waits for a request, for
// the rest of a head or of a body, or for this process, and closes the one that has waited
// longest if a new connection needs its place. A request that a handler is working on
// never yields.
package listen
