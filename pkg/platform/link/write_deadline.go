package link

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
)

// deadlineConn is a connection that refuses to write from a monotonic time on.
// It checks the time directly before each write, so that a process that was
// suspended until after the end of its lease sends nothing.
type deadlineConn struct {
	net.Conn
	clock    clock.Clock
	deadline clock.Millis
}

// Write writes b, or returns platform.ErrLeaseEnded from the deadline on.
func (c *deadlineConn) Write(b []byte) (int, error) {
	if c.clock.Now() >= c.deadline {
		return 0, platform.ErrLeaseEnded
	}
	return c.Conn.Write(b)
}

type writeDeadlineKey struct{}

// WithWriteDeadline sets the write deadline, a monotonic time, of connections
// that a client of NewOrderClient opens for requests with the returned context.
// Without a deadline these connections refuse to write.
func WithWriteDeadline(ctx context.Context, t clock.Millis) context.Context {
	return context.WithValue(ctx, writeDeadlineKey{}, t)
}

// NewOrderClient returns an HTTP client that opens a new connection for each
// order, so that each order has its own write deadline.
func NewOrderClient(c clock.Clock) *http.Client { return newDeadlineClient(c, false) }

// NewOrderSession returns an HTTP client for one order and the requests that
// precede it, all of which have the same write deadline. They share a connection
// if the receiver keeps it open. The caller must close the client's idle
// connections afterwards.
func NewOrderSession(c clock.Clock) *http.Client { return newDeadlineClient(c, true) }

// newDeadlineClient returns an HTTP client whose connections have the write
// deadline of the request for which they were opened.
func newDeadlineClient(c clock.Clock, keepAlive bool) *http.Client {
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{Timeout: 2 * time.Second}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		limitDelivery(conn)
		deadline, _ := ctx.Value(writeDeadlineKey{}).(clock.Millis)
		return &countingConn{Conn: &deadlineConn{Conn: conn, clock: c, deadline: deadline}}, nil
	}
	t := &http.Transport{DialContext: dial, DisableKeepAlives: !keepAlive, MaxResponseHeaderBytes: maxHeaderBytes, DisableCompression: true}
	return &http.Client{CheckRedirect: noRedirects, Transport: &transport{next: t}}
}
