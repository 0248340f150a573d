package link

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// counted is a connection that counts the bytes handed to the kernel, and adds
// all bytes to a total if there is one.
type counted struct {
	net.Conn
	written atomic.Int64
	total   *atomic.Int64
}

// Read passes on and counts what came.
func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.add(n)
	return n, err
}

func (c *counted) add(n int) {
	if c.total != nil {
		c.total.Add(int64(n))
	}
}

// Write passes b on and counts what was taken.
func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	c.add(n)
	return n, err
}

// Written tells whether a request put a byte on its connection. Only a request
// that did not is certain not to have run.
type Written struct {
	conn   *counted
	before int64
	opaque bool
}

// Trace returns ctx with a hook that notes the connection used.
func (w *Written) Trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			c, ok := info.Conn.(*counted)
			if !ok {
				w.opaque = true
				return
			}
			w.conn, w.before = c, c.written.Load()
		},
	})
}

// Any is true if a byte of the request may have been written.
func (w *Written) Any() bool {
	if w.opaque {
		return true
	}
	return w.conn != nil && w.conn.written.Load() > w.before
}

// CountingDial returns a dial function whose connections add the bytes that
// they read and write to total, which may be nil.
func CountingDial(total *atomic.Int64) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{Timeout: 2 * time.Second}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &counted{Conn: conn, total: total}, nil
	}
}

// Client returns a client whose connections count what they write.
func Client(idlePerHost int, keepAlive bool, total *atomic.Int64) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         CountingDial(total),
		MaxIdleConnsPerHost: idlePerHost,
		MaxIdleConns:        2048,
		IdleConnTimeout:     30 * time.Second,
		DisableKeepAlives:   !keepAlive,
	}}
}
