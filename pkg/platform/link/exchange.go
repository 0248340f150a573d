package link

import (
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/catkinhead/catkinhead/pkg/clock"
)

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

const (
	// writeSettleTime is how long the end of an answer waits for the write of its request
	// to end too, writePollInterval the time between two looks at it.
	writeSettleTime   = 50 * time.Millisecond
	writePollInterval = time.Millisecond
)

// writtenWhole reports whether the request was written whole and without an error. A
// write that is about to return gets a moment for it.
//
// The system tells of a reset once for each connection. If the goroutine that writes the
// request gets it, the one that reads the answer gets an end of file.
func (x *exchange) writtenWhole() bool {
	for until := time.Now().Add(writeSettleTime); x.isWriting() && time.Now().Before(until); {
		time.Sleep(writePollInterval)
	}
	return !x.isWriting() && !x.conn.writeFailed.Load()
}

// isWriting reports whether a part of the request is not written yet.
func (x *exchange) isWriting() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return !x.written || x.conn == nil || x.conn.writing.Load()
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
