package listen

import "time"

// Limits bound what the clients of a listener may make the process hold. The zero value
// of a field means no bound.
type Limits struct {
	// Connections is the most connections that are open at the same time.
	Connections int
	// Heads is the memory that the heads of all requests in progress may take, in bytes.
	Heads int64
	// BodyTime is how long the body of a request may take, WriteTime how long a client may
	// read nothing of an answer.
	BodyTime, WriteTime time.Duration
	// WholeBodies says that handlers do nothing for a request before they have read its body
	// to the end. A request whose body has not arrived may then be refused.
	WholeBodies bool
	// Client returns the limits that hold for a new head or a new wait. It must be set.
	Client func() ClientLimits
}

// ClientLimits are those that a configuration states, and that clients know.
type ClientLimits struct {
	// HeadBytes is the longest head, in bytes.
	HeadBytes int
	// HeadTime is how long a head may take from its first byte on, IdleTime how long a
	// connection may be open without a request.
	HeadTime, IdleTime time.Duration
}

const (
	// DefaultHeadBytes is the longest head while no configuration says so, in bytes.
	DefaultHeadBytes = 64 << 10
	// DefaultHeadTime is how long a head may take while no configuration says so.
	DefaultHeadTime = 10 * time.Second
	// DefaultIdleTime is how long a connection may be idle while no configuration says so.
	DefaultIdleTime = 60 * time.Second
	// DefaultBodyTime is the usual value of Limits.BodyTime.
	DefaultBodyTime = 10 * time.Second
	// DefaultWriteTime is the usual value of Limits.WriteTime.
	DefaultWriteTime = 15 * time.Second
	// InternalHeadBytes is the longest head between instances and of probes, in bytes.
	InternalHeadBytes = 16 << 10
)

// Internal returns the limits of clients that belong to the system: peers, probes and
// what reads metrics.
func Internal() ClientLimits {
	return ClientLimits{HeadBytes: InternalHeadBytes, HeadTime: DefaultHeadTime, IdleTime: DefaultIdleTime}
}

// OrDefault returns the limits with defaults in place of what is 0.
func (l ClientLimits) OrDefault() ClientLimits {
	if l.HeadBytes <= 0 {
		l.HeadBytes = DefaultHeadBytes
	}
	if l.HeadTime <= 0 {
		l.HeadTime = DefaultHeadTime
	}
	if l.IdleTime <= 0 {
		l.IdleTime = DefaultIdleTime
	}
	return l
}
