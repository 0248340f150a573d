// Package wire implements the interfaces of package platform with JSON over
// HTTP, for the platform, engines and plain services that package
// internal/standin simulates. Supporting another format means replacing this
// package only.
//
// Orders, usage reports and weight swaps use connections that refuse to write
// once the sender's lease has ended.
package wire
