package listen

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// receiveBuffer is how many bytes the system is to keep of what a client sent and was
	// not read. It may keep some times that.
	receiveBuffer = 16 << 10
	// slowAfter is how long a head or a body may take before its connection yields to new
	// ones ahead of idle connections.
	slowAfter = time.Second
	// maxDismissing is the most connections that are being refused at the same time.
	maxDismissing = 32
	// acceptPause is the pause after the system could not accept a connection, for want of
	// descriptors or memory.
	acceptPause = 20 * time.Millisecond
)

// Gate is a listener whose connections and heads are bounded.
type Gate struct {
	net.Listener
	limits Limits
	heads  *headRoom
	counts counts
	// dismissing counts the connections that are being refused.
	dismissing atomic.Int64

	mu   sync.Mutex
	open int
	// arriving holds the connections that wait for their first request, a head or a body,
	// idle those that wait for a further request, serving those whose request is being
	// served, each in the order in which the phase began.
	arriving, idle, serving list.List
}

// counts are totals since the start.
type counts struct {
	evicted, refused, longHeads, headsWithoutRoom atomic.Int64
	// most is the highest number of connections that were open at once.
	most atomic.Int64
}

// Counts says what a gate did.
type Counts struct {
	// Open is the number of open connections, Most the highest ever, Limit the bound.
	Open, Most, Limit int64
	// Evicted connections waited for their client when a new one needed the place. Refused
	// ones were closed at once, since all others were being served.
	Evicted, Refused int64
	// LongHeads were answered 431, HeadsWithoutRoom 503.
	LongHeads, HeadsWithoutRoom int64
	// HeadBytes is what the heads in progress take.
	HeadBytes int64
}

// Listen opens a gate at a host:port.
func Listen(address string, limits Limits) (*Gate, error) {
	config := net.ListenConfig{Control: boundReceiveBuffer}
	ln, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return NewGate(ln, limits), nil
}

// NewGate returns a gate in front of a listener.
func NewGate(ln net.Listener, limits Limits) *Gate {
	return &Gate{Listener: ln, limits: limits, heads: &headRoom{size: limits.Heads}}
}

// boundReceiveBuffer bounds what the system keeps of a connection. Where it does not let
// itself be told, its own bound holds.
func boundReceiveBuffer(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
	})
}

// Accept returns the next connection for which there is a place. If there is none, the
// connection that has waited longest for its client yields.
func (g *Gate) Accept() (net.Conn, error) {
	for {
		accepted, err := g.Listener.Accept()
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOMEM) || errors.Is(err, syscall.ENOBUFS) {
			g.evict()
			time.Sleep(acceptPause)
			continue
		}
		if err != nil {
			return nil, err
		}
		if c := g.admit(accepted); c != nil {
			return c, nil
		}
	}
}

// admit gives a place to a connection, or refuses it and returns nil.
func (g *Gate) admit(accepted net.Conn) *conn {
	c := &conn{Conn: accepted, gate: g, phase: fresh, since: time.Now()}
	c.left, c.leaving = context.WithCancel(context.Background())
	if !g.makePlace() {
		c.leaving()
		g.counts.refused.Add(1)
		g.dismiss(accepted, true)
		return nil
	}
	g.mu.Lock()
	g.open++
	g.counts.most.Store(max(g.counts.most.Load(), int64(g.open)))
	c.place = g.arriving.PushBack(c)
	g.mu.Unlock()
	_ = c.SetReadDeadline(time.Time{})
	return c
}

// makePlace makes a connection yield if all places are taken. It returns false if none
// does.
func (g *Gate) makePlace() bool {
	g.mu.Lock()
	full := g.limits.Connections > 0 && g.open >= g.limits.Connections
	g.mu.Unlock()
	return !full || g.evict()
}

// evict makes a connection yield, and reports whether there was one.
func (g *Gate) evict() bool { return g.evictChosen(func() *conn { return g.victim(time.Now()) }) }

// evictLargerHead makes the connection with the largest head yield that has not arrived and
// takes more than n bytes, and reports whether there was one.
func (g *Gate) evictLargerHead(n int64) bool {
	return g.evictChosen(func() *conn {
		var largest *conn
		for e := g.arriving.Front(); e != nil; e = e.Next() {
			c := e.Value.(*conn)
			if charged := c.charged.Load(); c.phase == inHead && charged > n {
				largest, n = c, charged
			}
		}
		return largest
	})
}

// evictChosen makes the connection yield that choose, which holds g.mu, returns, and
// reports whether there was one.
func (g *Gate) evictChosen(choose func() *conn) bool {
	g.mu.Lock()
	victim := choose()
	if victim == nil {
		g.mu.Unlock()
		return false
	}
	was := victim.phase
	g.take(victim)
	g.mu.Unlock()
	g.counts.evicted.Add(1)
	victim.yield(was)
	return true
}

// dismiss closes a connection that has no place. If refuse is set, it answers 503 first,
// unless many others are being refused.
func (g *Gate) dismiss(c net.Conn, refuse bool) {
	if !refuse || g.dismissing.Add(1) > maxDismissing {
		if refuse {
			g.dismissing.Add(-1)
		}
		c.Close()
		return
	}
	// The goroutine ends within refusalTime and lingerTime.
	go func() {
		defer g.dismissing.Add(-1)
		defer c.Close()
		_ = c.SetWriteDeadline(time.Now().Add(refusalTime))
		if _, err := c.Write(noRoomAnswer); err == nil {
			linger(c)
		}
	}()
}

// victim returns the connection that yields: a head or body that takes long, else the one
// that is idle longest, else the oldest head or body, else one whose client reads nothing
// of its answer. It is nil if all are being served. The caller holds g.mu.
func (g *Gate) victim(now time.Time) *conn {
	arriving := g.arriving.Front()
	if arriving != nil && now.Sub(arriving.Value.(*conn).since) >= slowAfter {
		return arriving.Value.(*conn)
	}
	if e := g.idle.Front(); e != nil {
		return e.Value.(*conn)
	}
	if arriving != nil {
		return arriving.Value.(*conn)
	}
	for e := g.serving.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*conn); c.writeBlocked(now) {
			return c
		}
	}
	return nil
}

// enter changes the phase of a connection. It returns false if the connection is closed.
func (g *Gate) enter(c *conn, p phase) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.move(c, p)
	return c.phase != gone
}

// move is enter for a caller that holds g.mu.
func (g *Gate) move(c *conn, p phase) {
	if c.phase == gone || c.phase == p {
		return
	}
	g.unlist(c)
	c.phase, c.since = p, time.Now()
	c.place = g.listOf(p).PushBack(c)
}

// listOf returns the list of a phase, which is not that of a closed connection.
func (g *Gate) listOf(p phase) *list.List {
	switch p {
	case idle:
		return &g.idle
	case serving:
		return &g.serving
	default:
		return &g.arriving
	}
}

// unlist takes a connection out of the list of its phase. The caller holds g.mu.
func (g *Gate) unlist(c *conn) {
	if c.place != nil {
		g.listOf(c.phase).Remove(c.place)
		c.place = nil
	}
}

// remove takes a closed connection out of the gate.
func (g *Gate) remove(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.take(c)
}

// take is remove for a caller that holds g.mu.
func (g *Gate) take(c *conn) {
	if c.phase == gone {
		return
	}
	g.open--
	g.unlist(c)
	c.phase = gone
}

// beginHead returns the limits of clients and true if a connection is in a head, which
// bytes on a connection that waits for a request begin.
func (g *Gate) beginHead(c *conn) (ClientLimits, bool) {
	g.mu.Lock()
	began := c.phase == fresh || c.phase == idle
	if began {
		g.move(c, inHead)
	}
	head := c.phase == inHead
	g.mu.Unlock()
	if !head {
		return ClientLimits{}, false
	}
	limits := g.limits.Client()
	if began {
		_ = c.Conn.SetReadDeadline(c.since.Add(limits.HeadTime))
	}
	return limits, true
}

// deadline returns when the present phase of a connection must end, the zero time if it
// may last.
func (g *Gate) deadline(c *conn) time.Time {
	g.mu.Lock()
	p, since := c.phase, c.since
	g.mu.Unlock()
	switch p {
	case fresh, idle:
		return since.Add(g.limits.Client().IdleTime)
	case inHead:
		return since.Add(g.limits.Client().HeadTime)
	case inBody:
		if g.limits.BodyTime > 0 {
			return since.Add(g.limits.BodyTime)
		}
	}
	return time.Time{}
}

// Counts returns what the gate did.
func (g *Gate) Counts() Counts {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	return Counts{
		Open: int64(open), Most: g.counts.most.Load(), Limit: int64(g.limits.Connections),
		Evicted: g.counts.evicted.Load(), Refused: g.counts.refused.Load(),
		LongHeads: g.counts.longHeads.Load(), HeadsWithoutRoom: g.counts.headsWithoutRoom.Load(),
		HeadBytes: g.heads.used.Load(),
	}
}

// headRoom is the memory for the heads of requests in progress.
type headRoom struct {
	// size is the bound in bytes, 0 for none.
	size int64
	used atomic.Int64
}

// take takes n bytes, and returns false if there is no room.
func (r *headRoom) take(n int64) bool {
	if r.used.Add(n) > r.size && r.size > 0 {
		r.used.Add(-n)
		return false
	}
	return true
}

// give gives n bytes back.
func (r *headRoom) give(n int64) { r.used.Add(-n) }
