package link

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// losingReceiver answers the first request on each connection, and closes the
// connection instead of answering the second one. It returns its address, and a
// channel of the heads of all requests.
func losingReceiver(t *testing.T) (string, <-chan string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	heads := make(chan string, 64)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go answerFirst(c, heads)
		}
	}()
	return ln.Addr().String(), heads
}

// answerFirst answers the first request on a connection and closes it after the
// second one.
func answerFirst(c net.Conn, heads chan<- string) {
	defer c.Close()
	r := bufio.NewReader(c)
	for n := range 2 {
		var head strings.Builder
		for {
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			head.WriteString(line)
			if line == "\r\n" {
				break
			}
		}
		heads <- head.String()
		if n == 0 {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}
}

// TestLostAnswerIsNotAskedForAgain guards against a request that runs twice (TWICE):
// its answer was lost on a kept connection, and the transport sent it again by
// itself. The request must arrive without a body, as it was given.
func TestLostAnswerIsNotAskedForAgain(t *testing.T) {
	methods := []string{"GET", "HEAD", "OPTIONS", "TRACE", "DELETE", "POST", "PUT", "PATCH", "QUERY"}
	for _, method := range methods {
		for _, key := range []string{"", "Idempotency-Key", "X-Idempotency-Key"} {
			t.Run(strings.TrimSpace(method+" "+key), func(t *testing.T) {
				address, heads := losingReceiver(t)
				client := NewClient(4, true, nil)
				send := func() error {
					req, err := http.NewRequest(method, "http://"+address+"/x", bytes.NewReader(nil))
					if err != nil {
						t.Fatal(err)
					}
					if key != "" {
						req.Header.Set(key, "k")
					}
					NeverResend(req)
					res, err := client.Do(req)
					if err != nil {
						return err
					}
					_, _ = io.Copy(io.Discard, res.Body)
					return res.Body.Close()
				}
				if err := send(); err != nil {
					t.Fatal(err)
				}
				checkEmptyRequest(t, <-heads, method, key)
				if err := send(); err == nil {
					t.Error("a request without an answer was taken for answered")
				}
				<-heads
				select {
				case again := <-heads:
					t.Errorf("the request was sent again: %q", again)
				case <-time.After(20 * time.Millisecond):
				}
			})
		}
	}
}

// checkEmptyRequest checks the head of a request without a body.
func checkEmptyRequest(t *testing.T, head, method, key string) {
	t.Helper()
	if !strings.HasPrefix(head, method+" /x HTTP/1.1\r\n") || strings.Contains(head, "Transfer-Encoding") {
		t.Errorf("head is %q", head)
	}
	if key != "" && !strings.Contains(strings.ToLower(head), strings.ToLower(key)+": k\r\n") {
		t.Errorf("%s is missing from %q", key, head)
	}
}

// TestRedirectIsAnAnswer guards against a request that is sent to an address that a
// receiver names (UNASKED).
func TestRedirectIsAnAnswer(t *testing.T) {
	followed := false
	mux := http.NewServeMux()
	mux.HandleFunc("/x", func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "/y", http.StatusSeeOther) })
	mux.HandleFunc("/y", func(http.ResponseWriter, *http.Request) { followed = true })
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { server.Close() })
	res, err := NewClient(1, true, nil).Get("http://" + ln.Addr().String() + "/x")
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusSeeOther || followed {
		t.Errorf("answered with %d, followed: %t", res.StatusCode, followed)
	}
}
