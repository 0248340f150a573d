// Package unit names the ids and quantities that catkinhead passes around, so
// that the compiler tells a target from a workspace and a version from a
// count. It has no behaviour beyond small conversions.
package unit

import (
	"fmt"
	"strings"
)

type (
	// Instance is the name of one catkinhead process. It is unique in a fleet
	// and survives a restart.
	Instance string
	// Incarnation tells the runs of one instance apart: "name#nonce".
	Incarnation string
	// DataCentre is the name of a data centre.
	DataCentre string
	// Workspace is the name of a tenant.
	Workspace string
	// KeyID is the public name of a caller's key.
	KeyID string
	// Target is the name of a model engine or plain service.
	Target string
	// Model is the name of a model whose weights targets load.
	Model string
	// Pool is the name of a set of interchangeable targets.
	Pool string
	// Route is the name that callers give as the model.
	Route string
	// Request is the id of one run of a request.
	Request string
	// Fingerprint identifies the content of a request.
	Fingerprint uint64
	// Scope is the name of a lease.
	Scope string
)

type (
	// Fence is a fencing number. A later grant of a lease has a higher one; 0
	// is no grant.
	Fence uint64
	// Version is a version of a pool's weights; 0 is unknown.
	Version int64
	// Revision is the version of an object in the store; 0 is "absent".
	Revision int64
	// Epoch counts the homes that a step has had; 0 is none.
	Epoch int64
	// Tokens is a count of generated tokens.
	Tokens int64
	// Window is the number of a usage window: wall time over its length.
	Window int64
)

// StepID names a step within a workspace.
type StepID struct {
	Workspace Workspace
	Name      string
}

// String returns "workspace/name".
func (s StepID) String() string { return fmt.Sprintf("%s/%s", s.Workspace, s.Name) }

// MarshalText writes "workspace/name", so that a StepID can be a key in JSON.
func (s StepID) MarshalText() ([]byte, error) {
	if s == (StepID{}) {
		return nil, nil
	}
	return []byte(s.String()), nil
}

// UnmarshalText reads what MarshalText wrote.
func (s *StepID) UnmarshalText(b []byte) error {
	w, name, ok := strings.Cut(string(b), "/")
	if !ok && len(b) > 0 {
		return fmt.Errorf("step id %q has no workspace", b)
	}
	s.Workspace, s.Name = Workspace(w), name
	return nil
}

// Outcome says what became of a request at its target.
type Outcome int

const (
	// Unknown means that the request may have run. It is the zero value, so
	// that a forgotten outcome promises nothing.
	Unknown Outcome = iota
	// NotRun means that the request did certainly not run.
	NotRun
	// Ran means that the request ran.
	Ran
)

// String returns the name used on the wire.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "NotRun"
	case Ran:
		return "Ran"
	default:
		return "Unknown"
	}
}

// Series names the jobs that one trainer submits step after step; 0 is none.
type Series uint64
