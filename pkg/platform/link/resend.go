package link

import (
	"io"
	"net/http"
	"strings"
)

// emptyBody is a body without bytes. Unlike http.NoBody, the transport does not know
// that it could send it a second time.
type emptyBody struct{ io.Reader }

// Close does nothing.
func (emptyBody) Close() error { return nil }

// NeverResend keeps the transport from sending a request again by itself after a
// kept connection has ended without an answer: the first copy may have run. It does
// so for requests without a body if their method is idempotent, or if they have an
// idempotency key. Whether a request is repeated is decided where attempts are
// counted.
func NeverResend(req *http.Request) {
	req.GetBody = nil
	if req.ContentLength != 0 {
		return
	}
	switch req.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		req.Body = emptyBody{strings.NewReader("")}
		// The length of the body counts as not known. Without this, the transport
		// would send it in chunks.
		req.TransferEncoding = []string{"identity"}
	default:
		req.Body = http.NoBody
		hideIdempotencyKey(req.Header)
	}
}

// hideIdempotencyKey spells the headers that permit the transport to send a request
// without a body again in a way that it does not look for. The receiver takes both
// for the same.
func hideIdempotencyKey(h http.Header) {
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if v, ok := h[name]; ok {
			delete(h, name)
			h[strings.ToLower(name)] = v
		}
	}
}

// noRedirects makes a client return a redirect as the answer. Following it would send
// a request that nobody asked for, to an address that the receiver names.
func noRedirects(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
