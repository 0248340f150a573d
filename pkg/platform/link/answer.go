package link

import (
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/catkinhead/catkinhead/pkg/platform"
)

// ReadAll reads a body of up to limit bytes. A longer one gives an error that wraps
// platform.ErrTooLong, so that a part of it is never taken for the whole.
func ReadAll(r io.Reader, limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	if int64(len(b)) > limit {
		return nil, fmt.Errorf("read body: %w", platform.ErrTooLong)
	}
	return b, nil
}

// AbortAnswer ends the handler of a request whose answer has begun, so that the answer
// does not look complete. One over HTTP/1.0 may end with its connection, and then only
// a reset tells that it is not.
func AbortAnswer(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		resetConnection(w)
	}
	panic(http.ErrAbortHandler)
}

// resetConnection ends the connection of an answer with a reset. If the server does
// not support this, the connection stays as it is.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if c, ok := conn.(*net.TCPConn); ok {
		_ = c.SetLinger(0)
	}
	_ = conn.Close()
}
