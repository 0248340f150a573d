// Package forward handles callers' requests for routes. It is a reducer: it
// decides which rule and workspace apply to a request, which target gets it,
// whether it is retried, and which status the caller gets if no target answers.
// Status 429 or 503 is returned only if the request has not run and never will,
// so that a caller may safely send it again.
package forward
