package link

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/catkinhead/catkinhead/pkg/clock"
)

// earlyReceiver answers each request once it has the head, and resets the connection
// while the body is still being written.
func earlyReceiver(t *testing.T, answer string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, _ = io.WriteString(conn, answer)
				time.Sleep(10 * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
			}()
		}
	}()
	return ln.Addr().String()
}

// TestNoClientTakesAPartForAnAnswer guards against answers that are cut or not valid and
// look whole, with each kind of client.
func TestNoClientTakesAPartForAnAnswer(t *testing.T) {
	clients := map[string]func() *http.Client{
		"kept connections": func() *http.Client { return NewClient(4, true, nil) },
		"one request each": func() *http.Client { return NewClient(0, false, nil) },
		"repeated reads":   func() *http.Client { return NewReadingClient(4, nil, nil) },
		"order":            func() *http.Client { return NewOrderClient(clock.System{}) },
		"order session":    func() *http.Client { return NewOrderSession(clock.System{}) },
	}
	answers := map[string]struct {
		answer string
		want   error
	}{
		"cut":        {"HTTP/1.1 200 OK\r\n\r\npartial", nil},
		"no status":  {"HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n", ErrNotValid},
		"odd status": {"HTTP/1.1 640 Odd\r\nContent-Length: 0\r\n\r\n", ErrNotValid},
		"odd name":   {"HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n", ErrNotValid},
	}
	for clientName, newClient := range clients {
		for answerName, tt := range answers {
			t.Run(clientName+", "+answerName, func(t *testing.T) {
				address := earlyReceiver(t, tt.answer)
				for range 3 {
					err := sendLong(newClient(), address)
					if err == nil || tt.want != nil && !errors.Is(err, tt.want) && !strings.Contains(err.Error(), "reset") {
						t.Errorf("got %v, want %v", err, tt.want)
					}
				}
			})
		}
	}
}

// sendLong sends a long body and reads the answer to its end.
func sendLong(c *http.Client, address string) error {
	const deadline clock.Millis = 1 << 40
	ctx := WithWriteDeadline(context.Background(), deadline)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/", strings.NewReader(strings.Repeat("x", 7<<20)))
	if err != nil {
		return err
	}
	req.GetBody = nil
	res, err := c.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	_, err = io.ReadAll(res.Body)
	return err
}
