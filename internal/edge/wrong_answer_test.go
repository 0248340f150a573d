package edge

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// stampedHead is the part of the head of an answer that follows its status.
const stampedHead = "X-Attempt-Id: a1\r\nX-Server-Stamp: s\r\n"

// hastyTarget answers each request, with the same bytes. With reads it reads the body
// first and then closes the connection; else it answers once it has the head, and resets
// the connection while the caller is still writing.
func hastyTarget(t *testing.T, answer string, reads bool) string {
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
			go answerHastily(conn, answer, reads)
		}
	}()
	return ln.Addr().String()
}

func answerHastily(conn net.Conn, answer string, reads bool) {
	defer conn.Close()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if reads {
		_, _ = io.Copy(io.Discard, req.Body)
	}
	_, _ = io.WriteString(conn, answer)
	if !reads {
		time.Sleep(20 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// upload sends a long body to an instance and returns the answer as the caller sees it.
func upload(t *testing.T, srv *httptest.Server, bytesLong int) (res *http.Response, body string, complete bool) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPut, srv.URL+"/page/x", bytes.NewReader(make([]byte, bytesLong)))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("X-Attempt-Id", "a1")
	// A caller that does not ask for encoded bodies.
	client := http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}
	res, err = client.Do(req)
	if err != nil {
		return &http.Response{Header: http.Header{}}, "", false
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return res, string(b), err == nil
}

// TestAnswerThatWasCutWhileUploading guards against a part of an answer without a length
// that looks whole (MIXED): the connection was reset, but the system told that to the
// goroutine that was still writing the request.
func TestAnswerThatWasCutWhileUploading(t *testing.T) {
	const runs, uploadBytes = 5, 7 << 20
	tests := map[string]string{
		"HTTP/1.1":          "HTTP/1.1 200 OK\r\n" + stampedHead + "\r\npartial",
		"HTTP/1.0":          "HTTP/1.0 200 OK\r\n" + stampedHead + "\r\npartial",
		"closes":            "HTTP/1.1 200 OK\r\n" + stampedHead + "Connection: close\r\n\r\npartial",
		"failure":           "HTTP/1.1 500 Failed\r\n" + stampedHead + "\r\npartial",
		"after an interim":  "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n" + stampedHead + "\r\npartial",
		"after a continue":  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + stampedHead + "\r\npartial",
		"empty so far":      "HTTP/1.1 200 OK\r\n" + stampedHead + "\r\n",
		"length, not whole": "HTTP/1.1 200 OK\r\n" + stampedHead + "Content-Length: 20\r\n\r\npartial",
		"chunks, not whole": "HTTP/1.1 200 OK\r\n" + stampedHead + "Transfer-Encoding: chunked\r\n\r\n7\r\npartial\r\n",
	}
	for name, answer := range tests {
		t.Run(name, func(t *testing.T) {
			p, srv := cutProcess(t, hastyTarget(t, answer, false))
			wrong := 0
			for range runs {
				forgetFailures(p)
				if res, _, complete := upload(t, srv, uploadBytes); complete && res.Header.Get("X-Server-Stamp") != "" {
					wrong++
				}
			}
			if wrong > 0 {
				t.Errorf("%d of %d cut answers look whole", wrong, runs)
			}
		})
	}
}

// gzipped returns an encoded text.
func gzipped(text string) string {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	// Writes to a buffer do not fail.
	_, _ = io.WriteString(w, text)
	_ = w.Close()
	return b.String()
}

// TestAnswerThatIsNotValid guards against a caller that gets what is no answer in the
// protocol (MIXED): a status that does not exist, or fields whose names or values cannot
// be, which the transport lets pass and takes for others or for none.
func TestAnswerThatIsNotValid(t *testing.T) {
	encoded := gzipped("partial")
	tests := map[string]struct {
		answer string
		valid  bool
	}{
		"no length":                {"HTTP/1.1 200 OK\r\n" + stampedHead + "\r\npartial", true},
		"failure":                  {"HTTP/1.1 500 Failed\r\n" + stampedHead + "Content-Length: 7\r\n\r\npartial", true},
		"highest status":           {"HTTP/1.1 599 Odd\r\n" + stampedHead + "Content-Length: 7\r\n\r\npartial", true},
		"tab and latin in a value": {"HTTP/1.1 200 OK\r\n" + stampedHead + "Note: a\tb \xe9\r\nContent-Length: 7\r\n\r\npartial", true},
		"status 000":               {"HTTP/1.1 000 None\r\n" + stampedHead + "Content-Length: 7\r\n\r\npartial", false},
		"status 099":               {"HTTP/1.1 099 Odd\r\n" + stampedHead + "Content-Length: 7\r\n\r\npartial", false},
		"status 600":               {"HTTP/1.1 600 Odd\r\n" + stampedHead + "Content-Length: 7\r\n\r\npartial", false},
		"status 999":               {"HTTP/1.1 999 Odd\r\n" + stampedHead + "Content-Length: 7\r\n\r\npartial", false},
		"status 101":               {"HTTP/1.1 101 Switching\r\n" + stampedHead + "Upgrade: x\r\nConnection: upgrade\r\n\r\npartial", false},
		"another protocol":         {"HTTP/3.0 200 OK\r\n" + stampedHead + "Content-Length: 7\r\n\r\npartial", false},
		"blank in a name":          {"HTTP/1.1 200 OK\r\n" + stampedHead + "bad name: x\r\nContent-Length: 7\r\n\r\npartial", false},
		"blank after length":       {"HTTP/1.1 200 OK\r\n" + stampedHead + "Content-Length : 3\r\n\r\npartial", false},
		"blank after encoding":     {"HTTP/1.1 200 OK\r\n" + stampedHead + "Transfer-Encoding : chunked\r\n\r\n7\r\npartial\r\n0\r\n\r\n", false},
		"blank before a name":      {"HTTP/1.1 200 OK\r\n" + stampedHead + "Note: a\r\n Content-Length: 3\r\n\r\npartial", true},
		"control byte in a name":   {"HTTP/1.1 200 OK\r\n" + stampedHead + "ba\x01d: x\r\nContent-Length: 7\r\n\r\npartial", false},
		"control byte in a value":  {"HTTP/1.1 200 OK\r\n" + stampedHead + "bad: x\x01y\r\nContent-Length: 7\r\n\r\npartial", false},
		"carriage return":          {"HTTP/1.1 200 OK\r\n" + stampedHead + "bad: x\ry\r\nContent-Length: 7\r\n\r\npartial", false},
		"encoded body":             {"HTTP/1.1 200 OK\r\n" + stampedHead + "Content-Encoding: gzip\r\nContent-Length: " + fmt.Sprint(len(encoded)) + "\r\n\r\n" + encoded, false},
		"null byte in a value":     {"HTTP/1.1 200 OK\r\n" + stampedHead + "bad: x\x00y\r\nContent-Length: 7\r\n\r\npartial", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, srv := cutProcess(t, hastyTarget(t, tt.answer, true))
			res, body, complete := upload(t, srv, 1000)
			passed := complete && res.Header.Get("X-Server-Stamp") != "" && body == "partial"
			if passed != tt.valid {
				t.Errorf("got status %d, %q, complete %t", res.StatusCode, body, complete)
			}
			if !tt.valid && (!complete || res.StatusCode < 500 || res.Header.Get("X-Server-Stamp") != "") {
				t.Errorf("the caller got status %d, complete %t, fields %v, want a failure of the instance", res.StatusCode, complete, res.Header)
			}
		})
	}
}
