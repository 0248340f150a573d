// Package route answers lookups in the operator's configuration: which rule
// matches a request, and which workspace a key belongs to. A Table is immutable;
// each new configuration gets a new one.
package route
