package link

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// countingConn is a connection that counts the bytes written to the kernel. If
// total is not nil, the bytes read and written are added to it.
type countingConn struct {
	net.Conn
	written atomic.Int64
	total   *atomic.Int64
}

// Read reads into b and adds the number of bytes to the total.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
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
	n, err := c.Conn.Write(b)
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

// CountingDial returns a dial function whose connections add the bytes that
// they read and write to total, which may be nil.
func CountingDial(total *atomic.Int64) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{Timeout: 2 * time.Second}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn, total: total}, nil
	}
}

// maxHeaderBytes bounds the head of a response, in bytes.
const maxHeaderBytes = 64 << 10

// NewClient returns an HTTP client whose connections count the bytes written,
// and add the bytes read and written to total, which may be nil. It keeps up to
// idlePerHost idle connections to each host; without keepAlive, each request gets
// a new connection.
func NewClient(idlePerHost int, keepAlive bool, total *atomic.Int64) *http.Client {
	return &http.Client{CheckRedirect: noRedirects, Transport: &http.Transport{
		DialContext:         CountingDial(total),
		MaxIdleConnsPerHost: idlePerHost,
		MaxIdleConns:        2048,
		IdleConnTimeout:     30 * time.Second,
		DisableKeepAlives:   !keepAlive,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}}
}
