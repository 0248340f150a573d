package link

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// maxHeaderBytes bounds the head of a response, in bytes.
const maxHeaderBytes = 64 << 10

const (
	// defaultMaxIdle is the usual value of Idle.Total.
	defaultMaxIdle = 2048
	// defaultIdleTimeout is the usual value of Idle.Timeout.
	defaultIdleTimeout = 30 * time.Second
)

// Idle bounds the idle connections that a client keeps.
type Idle struct {
	// PerHost and Total are their numbers, to each host and in all.
	PerHost, Total int
	// Timeout is how long each is kept.
	Timeout time.Duration
}

// NewClient returns an HTTP client whose connections count the bytes written,
// and add the bytes read and written to total, which may be nil. It keeps up to
// idlePerHost idle connections to each host; without keepAlive, each request gets
// a new connection.
func NewClient(idlePerHost int, keepAlive bool, total *atomic.Int64) *http.Client {
	if !keepAlive {
		return newClient(&http.Transport{DisableKeepAlives: true}, total)
	}
	return NewKeepingClient(Idle{PerHost: idlePerHost, Total: defaultMaxIdle, Timeout: defaultIdleTimeout}, total)
}

// NewKeepingClient is NewClient with kept connections. Those that may have gone silent
// are not used (see keptConns).
func NewKeepingClient(idle Idle, total *atomic.Int64) *http.Client {
	return newClient(&http.Transport{MaxIdleConnsPerHost: idle.PerHost, MaxIdleConns: idle.Total, IdleConnTimeout: idle.Timeout}, total)
}

// newClient returns a client that sends its requests with t. Redirects are answers, and
// encoded bodies are passed on as they are.
func newClient(t *http.Transport, total *atomic.Int64) *http.Client {
	kept := &keptConns{transport: t, open: make(map[*countingConn]struct{})}
	t.DialContext = kept.dial(total)
	t.MaxResponseHeaderBytes, t.DisableCompression = maxHeaderBytes, true
	return &http.Client{CheckRedirect: noRedirects, Transport: &transport{next: t, kept: kept}}
}

// dial returns a dial function whose connections are listed as long as they are open.
func (k *keptConns) dial(total *atomic.Int64) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dialCounting(ctx, network, address, total)
		if err != nil {
			return nil, err
		}
		c.kept = k
		k.add(c)
		return c, nil
	}
}

// transport sends requests and follows each until its answer has ended. An answer that
// is not valid is an error (ErrNotValid).
type transport struct {
	next *http.Transport
	// kept are the connections that are kept, nil if none are.
	kept *keptConns
}

// RoundTrip sends a request and returns its answer.
func (t *transport) RoundTrip(req *http.Request) (*http.Response, error) {
	x := &exchange{kept: t.kept}
	res, err := t.next.RoundTrip(x.trace(req))
	if err != nil {
		x.abandoned()
		return nil, err
	}
	if err := checkHead(res); err != nil {
		res.Body.Close()
		return nil, err
	}
	res.Body = &answerBody{ReadCloser: res.Body, exchange: x, unsized: endsWithConnection(res)}
	return res, nil
}

// CloseIdleConnections closes the connections that carry no request.
func (t *transport) CloseIdleConnections() { t.next.CloseIdleConnections() }

// answerBody is the body of an answer.
type answerBody struct {
	io.ReadCloser
	exchange *exchange
	// unsized is set if only the end of the connection tells where the body ends.
	unsized bool
	// ended is set at the end of the body, at the first error, or when it is closed, which
	// may happen during a read.
	ended atomic.Bool
}

// Read reads a part of the body. Where the body ends with its connection, it returns
// io.ErrUnexpectedEOF if the connection may have been reset.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && b.unsized && !b.exchange.writtenWhole() {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		b.end(err == io.EOF)
	}
	return n, err
}

// Close ends the request, if the body was not read to its end.
func (b *answerBody) Close() error {
	b.end(false)
	return b.ReadCloser.Close()
}

// end records the end of the body.
func (b *answerBody) end(whole bool) {
	if !b.ended.Swap(true) && !whole {
		b.exchange.abandoned()
	}
}
