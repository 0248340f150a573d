// Package spec defines the operators' configuration: workspaces, keys, routes
// and pools in one YAML document with PascalCase names.
//
// Parse validates a document and returns all its faults together, each with its
// line and field. A Config that Parse returned without error is consistent:
// names are unique and every reference resolves. It holds API keys only as
// SHA-256 hashes.
package spec
