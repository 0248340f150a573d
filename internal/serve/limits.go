package serve

import (
	"time"

	"golang.org/x/sys/unix"

	"github.com/catkinhead/catkinhead/internal/listen"
	"github.com/catkinhead/catkinhead/internal/setting"
)

const (
	bytesPerMB = 1 << 20
	// connectionBytes is what a connection takes at most without its head and body, in
	// bytes.
	connectionBytes = 80 << 10
	// Connections and heads may take one in so many parts of the process's memory, each.
	connectionMemoryShare = 8
	headMemoryShare       = 16
	// connectionDescriptorShare is the part of the descriptors that connections of clients
	// may take: one in so many.
	connectionDescriptorShare = 4
	// bodyTime is how long the body of a call may take.
	bodyTime = time.Minute
	// idleTime is how long a connection may be open without a request.
	idleTime = 2 * time.Minute
)

// listenLimits returns the limits of the listener.
func listenLimits(set setting.Settings) listen.Limits {
	memory := set.MemoryMB * bytesPerMB
	l := listen.Limits{
		Heads: memory / headMemoryShare, BodyTime: bodyTime, WriteTime: listen.DefaultWriteTime,
		Client:      func() listen.ClientLimits { return listen.ClientLimits{IdleTime: idleTime}.OrDefault() },
		Connections: max(descriptors(set)/connectionDescriptorShare, 1),
	}
	if memory > 0 {
		l.Connections = min(l.Connections, int(memory/connectionMemoryShare/connectionBytes))
	}
	return l
}

// descriptors returns how many descriptors the process may have open.
func descriptors(set setting.Settings) int {
	if set.Descriptors > 0 {
		return set.Descriptors
	}
	const usual = 1024
	var l unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &l); err != nil || l.Cur > 1<<30 {
		return usual
	}
	return int(l.Cur)
}
