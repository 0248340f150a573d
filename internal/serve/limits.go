package serve

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/twitchtv/twirp"
	"golang.org/x/sys/unix"

	"github.com/catkinhead/catkinhead/internal/budget"
	"github.com/catkinhead/catkinhead/internal/listen"
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/internal/setting"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	bytesPerMB = 1 << 20
	// connectionBytes is what a connection takes at most without its head and body, in
	// bytes.
	connectionBytes = 80 << 10
	// Connections, heads and bodies may take one in so many parts of the process's memory,
	// each. One body may be a part of it, too.
	connectionMemoryShare = 8
	headMemoryShare       = 16
	bodyMemoryShare       = 4
	oneBodyMemoryShare    = 8
	// ownerPercent is the part of the room for bodies that one workspace may take, in
	// percent.
	ownerPercent = 75
	// connectionDescriptorShare is the part of the descriptors that connections of clients
	// may take: one in so many.
	connectionDescriptorShare = 4
	// rpcCopies is how many times the length of its body a Twirp call takes: the body, and
	// what it decodes to.
	rpcCopies = 3
	// bodyTime is how long the body of a call may take.
	bodyTime = time.Minute
	// idleTime is how long a connection may be open without a request.
	idleTime = 2 * time.Minute
	// metricsAtOnce is how many requests for metrics are served at the same time.
	metricsAtOnce = 2
)

// listenLimits returns the limits of the listener.
func listenLimits(set setting.Settings) listen.Limits {
	memory := set.MemoryMB * bytesPerMB
	l := listen.Limits{
		Heads: memory / headMemoryShare, BodyTime: bodyTime, WriteTime: listen.DefaultWriteTime, WholeBodies: true,
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

// newBodyBudget returns the room for bodies.
func newBodyBudget(set setting.Settings) *budget.Budget {
	size := set.MemoryMB * bytesPerMB / bodyMemoryShare
	return budget.New(size, size*ownerPercent/100)
}

// maxBody returns the longest body, in bytes, where the protocol allows most.
func (p *Process) maxBody(most int64) int64 {
	if p.set.MemoryMB == 0 {
		return most
	}
	return min(most, p.set.MemoryMB*bytesPerMB/oneBodyMemoryShare)
}

// bodyRule says how the bodies of a group of calls are read.
type bodyRule struct {
	// limit is the longest, in bytes, copies how many times its length a call takes.
	limit, copies int64
	// keyed says that a long body is read only for callers with a key.
	keyed bool
	// refuse answers a call that is not served.
	refuse func(*gin.Context, op.Reason)
}

// readBody reads the body of a call before its handler runs, if there is room for it.
func (p *Process) readBody(rule bodyRule) gin.HandlerFunc {
	return func(c *gin.Context) {
		r := c.Request
		if r.ContentLength == 0 {
			return
		}
		w, reason := p.callerWorkspace(r.Context())
		if long := r.ContentLength < 0 || r.ContentLength > budget.Small; rule.keyed && long && reason != "" {
			rule.refuse(c, reason)
			c.Abort()
			return
		}
		ctx := r.Context()
		hold := p.bodies.Open(w, func() { listen.CloseConnection(ctx) })
		defer hold.Close()
		body, err := hold.ReadBody(ctx, http.MaxBytesReader(c.Writer, r.Body, rule.limit), r.ContentLength, rule.limit)
		if n := int64(len(body)) * (rule.copies - 1); err == nil && n > budget.Small {
			err = hold.Grow(ctx, n)
		}
		if errors.Is(err, budget.ErrNoRoom) {
			p.log.WithField("Error", err.Error()).Info("call refused")
			rule.refuse(c, op.Overloaded)
			c.Abort()
			return
		}
		r.Body = bodyInMemory{bytes.NewReader(body), err}
		c.Next()
	}
}

// bodyInMemory is a body that was read, to its end or until an error.
type bodyInMemory struct {
	*bytes.Reader
	// err is the error, nil if the body is whole.
	err error
}

// Read reads the body. A body that was not whole has its error and no bytes.
func (b bodyInMemory) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	return b.Reader.Read(p)
}

// WriteTo writes the rest of the body.
func (b bodyInMemory) WriteTo(w io.Writer) (int64, error) {
	if b.err != nil {
		return 0, b.err
	}
	return b.Reader.WriteTo(w)
}

// Close does nothing.
func (bodyInMemory) Close() error { return nil }

// refuseCall answers a call of the HTTP interface.
func refuseCall(c *gin.Context, reason op.Reason) {
	if reason == op.Overloaded {
		c.Header("Retry-After", "1")
	}
	writeError(c, httpStatus(reason), string(reason), unit.NotRun, reasonText[reason])
}

// refuseRPC answers a Twirp call.
func refuseRPC(c *gin.Context, reason op.Reason) {
	err, ok := rpcRefusal(reason, unit.NotRun).(twirp.Error)
	if !ok {
		err = twirp.InternalError(string(reason))
	}
	// The answer cannot be written only if the caller has left.
	_ = twirp.WriteError(c.Writer, err)
}
