// Package unit defines distinct types for the ids and quantities used across
// catkinhead, so that the compiler rejects a target where a workspace is
// expected or a count where a version is. It has no behaviour beyond small
// conversions.
package unit

import (
	"fmt"
	"strings"
)

type (
	// Instance is the name of one catkinhead process. It is unique in a fleet
	// and stays the same across restarts.
	Instance string
	// Incarnation identifies one run of an instance: "instance#start", with the
	// time at which the run started, in microseconds since 1970 and padded to 20
	// digits.
	Incarnation string
	// DataCentre is the name of a data centre.
	DataCentre string
	// Workspace is the name of a tenant.
	Workspace string
	// KeyID is the public id of an API key.
	KeyID string
	// Target is the name of an inference engine or a plain service.
	Target string
	// Model is the name of a model whose weights targets load.
	Model string
	// Pool is the name of a set of interchangeable targets.
	Pool string
	// Route is the name of a route, which leads to a pool. A completion request
	// names it in the "model" field, a call to a plain service in its path; on a
	// hosted platform, the host and the path of a request select it.
	Route string
	// Request is the id of a request, or of one attempt to run it.
	Request string
	// Fingerprint is a hash of a request's content.
	Fingerprint uint64
	// Scope is the name of a lease.
	Scope string
)

type (
	// Fence is a fencing token. Each grant of a lease has a higher one than the
	// grant before; 0 means that no lease was granted.
	Fence uint64
	// Version is a version of a pool's weights; 0 is unknown.
	Version int64
	// Revision is the version of an object in the store; 0 means that the
	// object does not exist.
	Revision int64
	// Epoch counts the successive owners of a step; 0 means that it has had
	// none.
	Epoch int64
	// Tokens is a count of generated tokens.
	Tokens int64
	// Window is the number of a usage window: wall time divided by the window
	// length, rounded down.
	Window int64
)

// StepID names a step within a workspace.
type StepID struct {
	Workspace Workspace
	Name      string
}

// String returns "workspace/name".
func (s StepID) String() string { return fmt.Sprintf("%s/%s", s.Workspace, s.Name) }

// MarshalText returns "workspace/name", which lets a StepID be a map key in
// JSON. The zero StepID gives empty text.
func (s StepID) MarshalText() ([]byte, error) {
	if s == (StepID{}) {
		return nil, nil
	}
	return []byte(s.String()), nil
}

// UnmarshalText parses the output of MarshalText.
func (s *StepID) UnmarshalText(b []byte) error {
	w, name, ok := strings.Cut(string(b), "/")
	if !ok && len(b) > 0 {
		return fmt.Errorf("step id %q has no workspace", b)
	}
	s.Workspace, s.Name = Workspace(w), name
	return nil
}

// Outcome says whether a request ran on its target.
type Outcome int

const (
	// Unknown means that the request may or may not have run. It is the zero
	// value, so that an outcome that was never set is treated as unsafe to
	// retry.
	Unknown Outcome = iota
	// NotRun means that the request certainly did not run.
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

// Series identifies the successive jobs of one trainer, one job per step; 0
// means that the job belongs to no series.
type Series uint64
