// Package spec is the operators' configuration: workspaces, keys, routes and
// pools in one YAML document with PascalCase names.
//
// Parse reads a document and returns every fault at once, each with its line
// and field. A Config that Parse returned without faults is safe to put in
// force: names are unique and each reference is met. Keys stand in it as
// SHA-256 hashes, never as themselves.
package spec
