package link

import (
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// NewReadingClient is NewClient with kept connections, for calls of which those with
// GET only read. A read whose kept connection ends without an answer is sent once more,
// since its receiver may just have closed the connection as idle. onRepeat is called
// before that, so that the call can be counted; it may be nil. The transport itself
// repeats no read.
func NewReadingClient(idlePerHost int, total *atomic.Int64, onRepeat func()) *http.Client {
	c := NewClient(idlePerHost, true, total)
	c.Transport = &readRepeater{next: c.Transport, onRepeat: onRepeat}
	return c
}

// readRepeater is the transport of NewReadingClient.
type readRepeater struct {
	next     http.RoundTripper
	onRepeat func()
}

// RoundTrip sends a request, and a read at most twice.
func (t *readRepeater) RoundTrip(req *http.Request) (*http.Response, error) {
	if req.Method != http.MethodGet {
		return t.next.RoundTrip(req)
	}
	res, kept, err := t.send(req)
	if err == nil || !kept || req.Context().Err() != nil {
		return res, err
	}
	if t.onRepeat != nil {
		t.onRepeat()
	}
	res, _, err = t.send(req)
	return res, err
}

// send sends a read, and reports whether it used a kept connection.
func (t *readRepeater) send(req *http.Request) (res *http.Response, kept bool, err error) {
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { kept = info.Reused },
	})
	one := req.Clone(ctx)
	NeverResend(one)
	res, err = t.next.RoundTrip(one)
	return res, kept, err
}
