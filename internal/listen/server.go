package listen

import (
	"context"
	"io"
	"net"
	"net/http"
)

// serverHeadBytes is a bound of http.Server that no head reaches, since the gate's comes
// first, in bytes.
const serverHeadBytes = 16 << 20

// connKey is the context key of a request's *conn.
type connKey struct{}

// NewServer returns a server whose connections must come from a Gate. The gate, and not
// the server, has the limits of heads and times.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:        track(h),
		MaxHeaderBytes: serverHeadBytes,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		ConnState: connState,
	}
}

// connState tells the gate that a connection waits for a request.
func connState(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*conn)
	if !ok || s != http.StateIdle {
		return
	}
	c.discharge()
	c.headBytes, c.headCost = 0, 0
	c.writing.Lock()
	c.answered = false
	c.writing.Unlock()
	c.gate.enter(c, idle)
}

// track tells the gate when a request is being served, and when its body is arriving.
func track(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			h.ServeHTTP(w, r)
			return
		}
		if r.Body == nil || r.Body == http.NoBody {
			if c.enterServing() {
				h.ServeHTTP(w, r)
			}
			return
		}
		if !c.gate.enter(c, inBody) {
			return
		}
		_ = c.Conn.SetReadDeadline(c.gate.deadline(c))
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		// A handler that waits for something else than the body ends as well.
		defer context.AfterFunc(c.left, cancel)()
		// The server keeps looking at its own request, whose body must stay as it is.
		r = r.WithContext(ctx)
		r.Body = &trackedBody{ReadCloser: r.Body, conn: c}
		h.ServeHTTP(w, r)
	})
}

// enterServing says that the connection waits for this process. It returns false if the
// connection is closed: its request may have been refused, and must not run.
func (c *conn) enterServing() bool {
	if !c.gate.enter(c, serving) {
		return false
	}
	_ = c.SetReadDeadline(c.gate.deadline(c))
	return true
}

// trackedBody tells the gate when a body has arrived.
type trackedBody struct {
	io.ReadCloser
	conn *conn
}

// Read reads the body.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.conn.enterServing() {
		return n, b.conn.readError(errYielded)
	}
	return n, err
}

// CloseConnection ends the connection of a request, whose context it takes. It does nothing
// if the connection does not come from a Gate.
func CloseConnection(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.Close()
	}
}

// AtMost serves n requests at the same time, and answers others 503.
func AtMost(n int, h http.Handler) http.Handler {
	slots := make(chan struct{}, n)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case slots <- struct{}{}:
		default:
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer func() { <-slots }()
		h.ServeHTTP(w, r)
	})
}
