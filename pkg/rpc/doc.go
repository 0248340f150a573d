// Package rpc holds the schema of catkinhead's remote procedure calls and the
// code generated from it. Callers use the Rollout service and operators the
// Operator service; instances use the Peer service among themselves.
package rpc

//go:generate protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative catkinhead.proto
