package platform

import (
	"context"

	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// VersionOrder asks a target to load a version of a model.
type VersionOrder struct {
	Target  unit.Target
	Address string
	Model   unit.Model
	Version unit.Version
	// Holder is the holder of the lease under which the order is sent, Fence the
	// fencing token of that lease.
	Holder unit.Instance
	Fence  unit.Fence
	// SendBefore is the monotonic time from which on the order must not be
	// written to the connection.
	SendBefore clock.Millis
}

// VersionOrders sends orders to load versions. ErrConflict means that the
// target is busy with another order.
type VersionOrders interface {
	SendVersion(ctx context.Context, o VersionOrder) error
}

// CountReport is the usage of each workspace in one window.
type CountReport struct {
	Window unit.Window
	// Counts holds the number of requests that ran, or may have run, at a target.
	Counts map[unit.Workspace]int64
	// Holder is the holder of the lease under which the report is sent, Fence the
	// fencing token of that lease.
	Holder unit.Instance
	Fence  unit.Fence
	// SendBefore is the monotonic time from which on the report must not be
	// written to the connection.
	SendBefore clock.Millis
}

// CountReporter sends usage reports to the platform's cloud service.
type CountReporter interface {
	SendCounts(ctx context.Context, r CountReport) error
}

// SizeOrder asks for a total number of targets of a pool in a data centre.
type SizeOrder struct {
	Pool       unit.Pool
	DataCentre unit.DataCentre
	Count      int
	Spot       bool
	// Holder is the holder of the lease under which the order is sent, Fence the
	// fencing token of that lease.
	Holder unit.Instance
	Fence  unit.Fence
	// SendBefore is the monotonic time from which on the order must not be
	// written to the connection.
	SendBefore clock.Millis
}

// SizeOrders orders targets. ErrConflict means that no capacity is available.
type SizeOrders interface {
	SendSize(ctx context.Context, o SizeOrder) error
}
