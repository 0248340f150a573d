package listen

import (
	"bytes"
	"container/list"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// phase is what a connection waits for.
type phase int

const (
	// fresh: for its first request.
	fresh phase = iota
	// idle: for a further request.
	idle
	// inHead: for the rest of a head.
	inHead
	// inBody: for the rest of a body, though a handler may be at work already.
	inBody
	// serving: for this process.
	serving
	// gone: the connection is closed.
	gone
)

const (
	// headSlack is how many bytes of a body or of the next request may be read together
	// with a head: the size of the buffer of http.Server.
	headSlack = 4096
	// A head takes about headByteCost times its length and headLineCost for each of its
	// lines, both in bytes. headFree of that belong to what its connection takes.
	headByteCost = 2
	headLineCost = 192
	headFree     = 8 << 10
	// refusalTime bounds the time for writing a refusal, lingerTime that for which its
	// reader may still send, lingerBytes how much.
	refusalTime = 100 * time.Millisecond
	lingerTime  = 300 * time.Millisecond
	lingerBytes = 1 << 20
	// maxWrite is the most bytes that are written under one deadline.
	maxWrite = 64 << 10
)

var (
	errYielded     = errors.New("connection yields to another one")
	errLongHead    = errors.New("head of the request is too long")
	errNoHeadRoom  = errors.New("heads of other requests take the memory for heads")
	longHeadAnswer = []byte("HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	noRoomAnswer   = []byte("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.4\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
)

// conn is a client's connection.
type conn struct {
	net.Conn
	gate *Gate
	// place is the connection's element in the list of its phase, nil once it is closed. The
	// gate's lock guards it and the phase.
	place *list.Element
	phase phase
	// since is when the phase began.
	since time.Time
	// headBytes counts what was read of the present head, headCost what it takes. Only the
	// goroutine that reads uses them. charged is what the head takes of the room for heads.
	headBytes int
	headCost  int64
	charged   atomic.Int64
	// writeBy is the write deadline that is set. writing guards it.
	writing sync.Mutex
	writeBy time.Time
	// writingSince is when the present write began, in Unix nanoseconds, 0 without one.
	writingSince atomic.Int64
	// answered is set once something was written since the last head began. writing guards
	// it.
	answered bool
	closing  sync.Once
	// left ends, by leaving, when the connection has no place in the gate any more.
	left    context.Context
	leaving context.CancelFunc
	// closed is set once the connection has no place in the gate, yielded if that was for
	// another one.
	closed, yielded atomic.Bool
}

// Read reads from the client, and refuses a head that is above the limits. The error is
// then one of the network, so that http.Server writes nothing more.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.yielded.Load() {
		return 0, c.readError(errYielded)
	}
	if n == 0 {
		return n, err
	}
	if refusal, why := c.arrived(b[:n]); refusal != nil {
		c.refuse(refusal)
		return 0, c.readError(why)
	}
	return n, err
}

// readError returns an error like those of a connection, to which http.Server answers
// nothing.
func (c *conn) readError(why error) error {
	return &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: why}
}

// arrived counts bytes of a head. It returns the answer with which a head is refused, and
// the reason.
func (c *conn) arrived(b []byte) ([]byte, error) {
	limits, head := c.gate.beginHead(c)
	if !head {
		return nil, nil
	}
	c.headBytes += len(b)
	if c.headBytes > limits.HeadBytes+headSlack {
		c.gate.counts.longHeads.Add(1)
		return longHeadAnswer, errLongHead
	}
	c.headCost += int64(headByteCost*len(b) + headLineCost*bytes.Count(b, []byte("\n")))
	if !c.charge(c.headCost - headFree - c.charged.Load()) {
		c.gate.counts.headsWithoutRoom.Add(1)
		return noRoomAnswer, errNoHeadRoom
	}
	return nil, nil
}

// charge takes n bytes of the room for heads. Larger heads that have not arrived yield.
func (c *conn) charge(n int64) bool {
	if n <= 0 {
		return true
	}
	for !c.gate.heads.take(n) {
		if !c.gate.evictLargerHead(c.charged.Load() + n) {
			return false
		}
	}
	c.charged.Add(n)
	if c.closed.Load() {
		c.discharge()
	}
	return true
}

// discharge gives back what the head takes.
func (c *conn) discharge() { c.gate.heads.give(c.charged.Swap(0)) }

// SetLinger is that of net.TCPConn.
func (c *conn) SetLinger(sec int) error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.SetLinger(sec)
	}
	return nil
}

// refuse answers in place of http.Server. The request has not reached a handler.
func (c *conn) refuse(answer []byte) {
	// A client that does not read loses the answer.
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTime))
	_, _ = c.Conn.Write(answer)
}

// linger reads on for a moment after a refusal: if a connection is closed while its client
// is still sending, the client may lose the answer.
func linger(c net.Conn) {
	if half, ok := c.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c, lingerBytes)
}

// Write writes to the client. It fails if the client reads nothing for the gate's
// WriteTime.
func (c *conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	written := 0
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	c.answered = true
	defer c.writingSince.Store(0)
	for {
		now := time.Now()
		c.writingSince.Store(now.UnixNano())
		c.extendWriteDeadline(now)
		n, err := c.Conn.Write(b[written:min(len(b), written+maxWrite)])
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

// extendWriteDeadline sets the deadline if less than WriteTime is left.
func (c *conn) extendWriteDeadline(now time.Time) {
	most := c.gate.limits.WriteTime
	if most <= 0 {
		return
	}
	if c.writeBy.Sub(now) >= most {
		return
	}
	c.writeBy = now.Add(most + most/4)
	// It fails if the connection is closed, which the write reports.
	_ = c.Conn.SetWriteDeadline(c.writeBy)
}

// writeBlocked reports whether the client has read nothing of an answer for long.
func (c *conn) writeBlocked(now time.Time) bool {
	since := c.writingSince.Load()
	return since != 0 && now.Sub(time.Unix(0, since)) >= slowAfter
}

// SetReadDeadline sets a deadline for reads. The zero time, with which http.Server clears
// its deadlines, means the one of the present phase.
func (c *conn) SetReadDeadline(t time.Time) error {
	if c.yielded.Load() {
		return nil
	}
	if t.IsZero() {
		t = c.gate.deadline(c)
	}
	return c.Conn.SetReadDeadline(t)
}

// Close closes the connection and gives its place to others. One that yields is closed by
// the gate.
func (c *conn) Close() error {
	c.leave()
	if c.yielded.Load() {
		return nil
	}
	return c.Conn.Close()
}

// leave gives the connection's place to others.
func (c *conn) leave() {
	c.closing.Do(func() {
		c.closed.Store(true)
		c.discharge()
		c.gate.remove(c)
		c.leaving()
	})
}

// yield closes the connection, whose phase was p. No handler begins or goes on with its
// request. If a part of it has arrived and nobody has answered, it is refused.
func (c *conn) yield(p phase) {
	c.yielded.Store(true)
	c.leave()
	// Whoever reads from the connection is to stop.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	refuse := p == inHead || p == inBody && c.gate.limits.WholeBodies
	c.gate.dismiss(c.Conn, refuse && !c.isAnswered())
}

// isAnswered reports whether something was written since the last head began. Once the
// connection is closed, nothing more is.
func (c *conn) isAnswered() bool {
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.answered
}
