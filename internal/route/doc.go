// Package route answers from the operator's configuration which rule a request
// falls under and for which workspace it runs. A Table is immutable; a new
// configuration makes a new one.
package route
