package budget

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// ReadBody reads a body of a length in bytes, -1 if that is not known, which may be limit
// bytes long at most. The hold grows as the body arrives. The error wraps ErrNoRoom, or a
// *http.MaxBytesError if the body is too long.
func (h *Hold) ReadBody(ctx context.Context, r io.Reader, length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	body := newBuffer(min(sizeOf(length, limit), Small))
	h.Wait()
	defer h.Done()
	body, err := h.fill(ctx, r, body, sizeOf(length, limit))
	if err == nil {
		err = checkLength(body, r, length, limit)
	}
	if err != nil {
		// Nobody else has seen the bytes.
		recycle(body)
		return nil, err
	}
	return body, nil
}

// sizeOf returns how many bytes of a body are read: one more than it may have, if its
// length is not known.
func sizeOf(length, limit int64) int64 {
	if length >= 0 {
		return length
	}
	return limit + 1
}

// fill reads up to most bytes into a buffer, and returns the buffer that has them, or that
// is left after an error.
func (h *Hold) fill(ctx context.Context, r io.Reader, body []byte, most int64) ([]byte, error) {
	for int64(len(body)) < most {
		if len(body) == cap(body) {
			larger, err := h.enlarge(ctx, body, most)
			if err != nil {
				return body, err
			}
			body = larger
		}
		n, err := r.Read(body[len(body):min(int64(cap(body)), most)])
		body = body[:len(body)+n]
		h.Progress(n)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return body, fmt.Errorf("read body: %w", err)
		}
	}
	return body, nil
}

// enlarge returns a buffer with the same content and more room, for most bytes at most. The
// former one must not be used any more.
func (h *Hold) enlarge(ctx context.Context, body []byte, most int64) ([]byte, error) {
	size := int64(len(body))
	next := min(2*size, most)
	if b := h.budget; b.size > 0 && next > b.most {
		// No more than that is ever copied.
		next = most
	}
	if err := h.Grow(ctx, next-size); err != nil {
		return nil, err
	}
	h.Wait()
	larger := append(newBuffer(next), body...)
	recycle(body)
	return larger, nil
}

// checkLength returns an error unless a body has the length that was announced. It reads
// to the end, so that the server knows that the body has arrived.
func checkLength(body []byte, r io.Reader, length, limit int64) error {
	switch {
	case int64(len(body)) > limit:
		return &http.MaxBytesError{Limit: limit}
	case int64(len(body)) < length:
		return fmt.Errorf("read body: %w", io.ErrUnexpectedEOF)
	case length >= 0:
		if _, err := r.Read(make([]byte, 1)); err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("read end of body: %w", err)
		}
	}
	return nil
}
