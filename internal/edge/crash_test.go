package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/catkinhead/catkinhead/pkg/clock"
)

// frailTarget answers the first request on each connection. At a later one it breaks the
// connection, before the answer or after its head, and with crashes it takes no new one.
type frailTarget struct {
	afterHead, crashes bool
	ln                 net.Listener
}

func newFrailTarget(t *testing.T, afterHead, crashes bool) *frailTarget {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	f := &frailTarget{afterHead: afterHead, crashes: crashes, ln: ln}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go f.serve(conn)
		}
	}()
	return f
}

func (f *frailTarget) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if n == 0 {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nok", stampedHead)
			continue
		}
		if f.crashes {
			f.ln.Close()
		}
		if f.afterHead {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: 20\r\n\r\npart", stampedHead)
		}
		return
	}
}

// crashesAfter sends requests until one after the first has failed, and returns how many
// crashes the instance counts.
func crashesAfter(t *testing.T, p *Process, srv *httptest.Server) int {
	t.Helper()
	for range 2 {
		upload(t, srv, 10)
	}
	total := 0
	p.withState(func(now clock.Millis, s *State) {
		for _, n := range s.Forward.Crashes(now) {
			total += n
		}
	})
	return total
}

// TestOnlyCrashedTargetsCount guards against callers that are refused (503) since kept
// connections broke under their requests at sound targets, and against a request that
// crashes one target after the other since its crashes do not count.
func TestOnlyCrashedTargetsCount(t *testing.T) {
	tests := map[string]struct {
		afterHead, crashes bool
		want               int
	}{
		"kept connection broke":           {false, false, 0},
		"answer broke off":                {true, false, 0},
		"target crashed":                  {false, true, 1},
		"target crashed within an answer": {true, true, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			target := newFrailTarget(t, tt.afterHead, tt.crashes)
			p, srv := cutProcess(t, target.ln.Addr().String())
			if n := crashesAfter(t, p, srv); n != tt.want {
				t.Errorf("%d crashes are counted, want %d", n, tt.want)
			}
		})
	}
}
