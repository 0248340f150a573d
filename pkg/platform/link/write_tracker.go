package link

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/catkinhead/catkinhead/pkg/clock"
)

// countingConn is a connection that counts the bytes written to the kernel. If
// total is not nil, the bytes read and written are added to it.
type countingConn struct {
	net.Conn
	written atomic.Int64
	total   *atomic.Int64
	// kept lists the connection while it is open, nil if it is not listed.
	kept *keptConns
	// readAt is when the last byte was read, at first when the connection was opened,
	// in milliseconds by clock.System. idle is set while it carries no request.
	readAt atomic.Int64
	idle   atomic.Bool
	// writing is set during a write, writeFailed once a write has failed.
	writing, writeFailed atomic.Bool
}

// dialTimeout bounds the time to open a connection.
const dialTimeout = 2 * time.Second

// Close closes the connection.
func (c *countingConn) Close() error {
	if c.kept != nil {
		c.kept.remove(c)
	}
	return c.Conn.Close()
}

// Read reads into b and adds the number of bytes to the total.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.readAt.Store(int64(clock.System{}.Now()))
	}
	c.add(n)
	return n, err
}

func (c *countingConn) add(n int) {
	if c.total != nil {
		c.total.Add(int64(n))
	}
}

// Write writes b and counts the bytes that the kernel accepted.
func (c *countingConn) Write(b []byte) (int, error) {
	c.writing.Store(true)
	n, err := c.Conn.Write(b)
	if err != nil {
		c.writeFailed.Store(true)
	}
	c.writing.Store(false)
	c.written.Add(int64(n))
	c.add(n)
	return n, err
}

// WriteTracker records whether any byte of a request was written to its
// connection. Only a request without a written byte is certain not to have run.
type WriteTracker struct {
	conn *countingConn
	// writtenBefore is the number of bytes written to conn by earlier requests.
	writtenBefore int64
	// uncounted is set if the connection is not a countingConn.
	uncounted bool
}

// Trace returns a context for the request, with a hook that records which
// connection the request uses.
func (w *WriteTracker) Trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			c, ok := info.Conn.(*countingConn)
			if !ok {
				w.uncounted = true
				return
			}
			w.conn, w.writtenBefore = c, c.written.Load()
		},
	})
}

// MayHaveWritten reports whether a byte of the request may have been written.
func (w *WriteTracker) MayHaveWritten() bool {
	if w.uncounted {
		return true
	}
	return w.conn != nil && w.conn.written.Load() > w.writtenBefore
}

// dialCounting opens a connection that counts its bytes.
func dialCounting(ctx context.Context, network, address string, total *atomic.Int64) (*countingConn, error) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &countingConn{Conn: conn, total: total}
	c.readAt.Store(int64(clock.System{}.Now()))
	return c, nil
}
