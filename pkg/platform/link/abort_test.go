package link

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/catkinhead/catkinhead/pkg/clock"
)

// TestGivenUpCallLeavesNothingInSocket guards against a call that its sender has
// given up, but whose bytes the system still delivers.
func TestGivenUpCallLeavesNothingInSocket(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	accepted := make(chan net.Conn, 1)
	go func() {
		if c, err := ln.Accept(); err == nil {
			accepted <- c
		}
	}()
	const deadline clock.Millis = 1 << 40
	ctx, cancel := context.WithTimeout(WithWriteDeadline(context.Background(), deadline), 300*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+ln.Addr().String(), bytes.NewReader(make([]byte, 32<<20)))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := NewOrderClient(clock.System{}).Do(req); err == nil {
		t.Fatal("the receiver answered without reading")
	}
	c := <-accepted
	defer c.Close()
	if _, err := io.Copy(io.Discard, c); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("receiver reads to the end with %v, want a reset", err)
	}
}
