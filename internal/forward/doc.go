// Package forward decides on callers' requests for routes: which rule and
// workspace a request has, to which target it goes, whether it is sent again,
// and what it is told if it is not served. A status of 429 or 503 is given only
// to a request that has not run and never will.
package forward
