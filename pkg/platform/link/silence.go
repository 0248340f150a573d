package link

import (
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/catkinhead/catkinhead/pkg/clock"
)

// minSilence is how long a connection must bring no byte before the end of a request
// that still waits for some, to count as silent.
const minSilence clock.Millis = 200

// keptConns are the open connections of a client that keeps idle ones.
//
// Connections can go silent together, without a reset, while new ones work. So one
// that has gone silent says something about the others: those that have brought a byte
// since then are alive, and those that are idle and have not may be dead too. They are
// all closed, so that the next request does not use up another one.
type keptConns struct {
	transport *http.Transport
	mu        sync.Mutex
	open      map[*countingConn]struct{}
}

// add adds a connection that was just opened.
func (k *keptConns) add(c *countingConn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.open[c] = struct{}{}
}

// remove removes a connection that is being closed.
func (k *keptConns) remove(c *countingConn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.open, c)
}

// wentSilent closes the idle connections if any of them has brought nothing since a
// connection went silent.
func (k *keptConns) wentSilent(since clock.Millis) {
	if k.hasUnproven(since) {
		k.transport.CloseIdleConnections()
	}
}

// hasUnproven reports whether an idle connection has brought nothing since a time.
func (k *keptConns) hasUnproven(since clock.Millis) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.open {
		if c.idle.Load() && clock.Millis(c.readAt.Load()) <= since {
			return true
		}
	}
	return false
}

// exchange is one request on a connection, and its answer.
type exchange struct {
	kept *keptConns
	mu   sync.Mutex
	conn *countingConn
	// sentAt is when the request got its connection.
	sentAt clock.Millis
	// written is set once the request was written whole.
	written bool
}

// trace returns a request that records its progress in the exchange.
func (x *exchange) trace(req *http.Request) *http.Request {
	return req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn:      func(info httptrace.GotConnInfo) { x.begin(info.Conn) },
		WroteRequest: func(info httptrace.WroteRequestInfo) { x.wrote(info.Err) },
		PutIdleConn:  x.putIdle,
	}))
}

func (x *exchange) begin(conn net.Conn) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sentAt = clock.System{}.Now()
	if c, ok := conn.(*countingConn); ok {
		x.conn = c
		c.idle.Store(false)
	}
}

func (x *exchange) wrote(err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.written = err == nil
}

func (x *exchange) putIdle(err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conn != nil && err == nil {
		x.conn.idle.Store(true)
	}
}

// abandoned records that the request has ended before its answer was whole. If its
// connection has been silent until now, the others are checked.
func (x *exchange) abandoned() {
	x.mu.Lock()
	conn, since := x.conn, x.sentAt
	x.mu.Unlock()
	if x.kept == nil || conn == nil {
		return
	}
	since = max(since, clock.Millis(conn.readAt.Load()))
	if silent := (clock.System{}).Now() - since; silent >= minSilence {
		x.kept.wentSilent(since)
	}
}
