package link

import (
	"fmt"
	"io"
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

// ReadAnswer reads the body of an answer of up to limit bytes. A longer one gives an
// error that wraps platform.ErrTooLong; if its length is known, nothing of it is read.
func ReadAnswer(res *http.Response, limit int64) ([]byte, error) {
	if res.ContentLength > limit {
		return nil, fmt.Errorf("read body of %d bytes: %w", res.ContentLength, platform.ErrTooLong)
	}
	if res.ContentLength < 0 {
		return ReadAll(res.Body, limit)
	}
	b := make([]byte, res.ContentLength)
	if _, err := io.ReadFull(res.Body, b); err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	return b, nil
}

// ReadStart reads the body of an answer of up to limit bytes and keeps up to n bytes of
// it. A longer body gives an error that wraps platform.ErrTooLong.
func ReadStart(res *http.Response, n, limit int64) ([]byte, error) {
	start, err := io.ReadAll(io.LimitReader(res.Body, n))
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	rest, err := io.Copy(io.Discard, io.LimitReader(res.Body, limit-n+1))
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	if rest > limit-n {
		return nil, fmt.Errorf("read body: %w", platform.ErrTooLong)
	}
	return start, nil
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
	if c, ok := conn.(interface{ SetLinger(sec int) error }); ok {
		_ = c.SetLinger(0)
	}
	_ = conn.Close()
}
