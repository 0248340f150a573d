// Package rpc holds the schema of catkinhead's remote procedure calls and the
// code generated from it. Callers use Rollout, operators Operator; Peer is
// spoken between instances only.
package rpc

//go:generate protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative catkinhead.proto
