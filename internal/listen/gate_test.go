package listen

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// waitLimit bounds each wait of the tests.
const waitLimit = 10 * time.Second

// testServer is a server behind a gate. Its handler reads the body, and then waits while
// blocked is not nil and open.
type testServer struct {
	t       *testing.T
	gate    *Gate
	address string
	served  atomic.Int64
	blocked chan struct{}
}

// startServer starts a server with limits.
func startServer(t *testing.T, l Limits, blocked chan struct{}) *testServer {
	t.Helper()
	if l.Client == nil {
		l.Client = func() ClientLimits { return ClientLimits{}.OrDefault() }
	}
	gate, err := Listen("127.0.0.1:0", l)
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{t: t, gate: gate, address: gate.Addr().String(), blocked: blocked}
	server := NewServer(http.HandlerFunc(s.serve))
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(gate) }()
	t.Cleanup(func() {
		server.Close()
		<-ended
	})
	return s
}

func (s *testServer) serve(w http.ResponseWriter, r *http.Request) {
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	s.served.Add(1)
	if r.URL.Path == "/blocked" {
		<-s.blocked
	}
	if r.URL.Path == "/long" {
		for {
			if _, err := w.Write(make([]byte, 1<<20)); err != nil {
				s.served.Add(100)
				return
			}
		}
	}
	fmt.Fprintf(w, "%d bytes", n)
}

// dial opens a connection and sends a text.
func (s *testServer) dial(text string) net.Conn {
	s.t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { c.Close() })
	if _, err := io.WriteString(c, text); err != nil {
		s.t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(waitLimit))
	return c
}

// await waits until ok returns true.
func (s *testServer) await(what string, ok func() bool) {
	s.t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	s.t.Fatalf("%s did not come", what)
}

// status returns the status of the next answer, 0 if the connection ends.
func status(c net.Conn) int {
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// TestHeadLimits checks heads at and above the limits, and that what is refused reaches no
// handler.
func TestHeadLimits(t *testing.T) {
	long := func(n int) string {
		return "GET / HTTP/1.1\r\nHost: h\r\nX-Long: " + strings.Repeat("a", n) + "\r\n\r\n"
	}
	fields := func(n int) string {
		return "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("A:\r\n", n) + "\r\n"
	}
	tests := map[string]struct {
		heads int64
		head  string
		want  int
	}{
		"short":                      {0, request, 200},
		"at the limit":               {0, long(16_300), 200},
		"above the limit":            {0, long(40_000), 431},
		"many fields":                {0, fields(4000), 200},
		"room for one":               {1 << 20, fields(4000), 200},
		"no room for so many fields": {256 << 10, fields(4000), 503},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := Limits{Heads: tt.heads, Client: func() ClientLimits { return ClientLimits{HeadBytes: 16 << 10}.OrDefault() }}
			s := startServer(t, l, nil)
			c := s.dial(tt.head)
			if got := status(c); got != tt.want && (got != 0 || tt.want == 200) {
				t.Errorf("got %d, want %d", got, tt.want)
			}
			if ran := s.served.Load() > 0; ran != (tt.want == 200) {
				t.Errorf("reached the handler: %t", ran)
			}
			c.Close()
			s.await("the room for heads", func() bool { return s.gate.Counts().HeadBytes == 0 })
		})
	}
}

// TestLargeHeadsDoNotShutOutOthers guards against a few clients that take the whole room for
// heads and stay: usual requests need none of it, and heads that have not arrived yield to
// smaller ones.
func TestLargeHeadsDoNotShutOutOthers(t *testing.T) {
	const room = 512 << 10
	fields := func(n int) string { return "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("A:\r\n", n) }
	s := startServer(t, Limits{Heads: room, Client: func() ClientLimits { return ClientLimits{HeadBytes: 16 << 10}.OrDefault() }}, nil)
	for range 8 {
		s.dial(fields(1200))
	}
	s.await("the heads", func() bool { return s.gate.Counts().HeadBytes > room/2 })
	for n, head := range []string{request, request, fields(600) + "\r\n", fields(800) + "\r\n"} {
		if got := status(s.dial(head)); got != http.StatusOK {
			t.Errorf("request %d: got %d", n, got)
		}
	}
}

// TestRoomForHeadsIsGivenBack checks that a connection with many requests takes no more
// room than one of them, and that limits are asked for anew.
func TestRoomForHeadsIsGivenBack(t *testing.T) {
	s := startServer(t, Limits{Heads: 4096}, nil)
	c := s.dial("")
	answers := bufio.NewReader(c)
	for n := range 100 {
		fmt.Fprint(c, request)
		res, err := http.ReadResponse(answers, nil)
		if err != nil || res.StatusCode != http.StatusOK {
			t.Fatalf("request %d: %v, %v", n, res, err)
		}
		_, _ = io.Copy(io.Discard, res.Body)
		res.Body.Close()
	}
}

// TestFullGate checks which connection yields to a new one: never one whose request is
// being served.
func TestFullGate(t *testing.T) {
	tests := map[string]struct {
		// held are sent on one connection each, before the new one.
		held []string
		// yields is the one that is closed, -1 for the new one.
		yields int
	}{
		"silent":                 {[]string{"", "GET /blocked HTTP/1.1\r\nHost: h\r\n\r\n"}, 0},
		"in a head":              {[]string{"GET /blocked HTTP/1.1\r\nHost: h\r\n\r\n", "GET / HT"}, 1},
		"in a body":              {[]string{"GET /blocked HTTP/1.1\r\nHost: h\r\n\r\n", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n1234"}, 1},
		"idle before a new head": {[]string{"GET / HT", request}, 1},
		"oldest of the silent":   {[]string{"", ""}, 0},
		"none":                   {[]string{"GET /blocked HTTP/1.1\r\nHost: h\r\n\r\n", "GET /blocked HTTP/1.1\r\nHost: h\r\n\r\n"}, -1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			blocked := make(chan struct{})
			s := startServer(t, Limits{Connections: 2}, blocked)
			defer close(blocked)
			var conns []net.Conn
			want := int64(0)
			for n, text := range tt.held {
				c := s.dial(text)
				conns = append(conns, c)
				if strings.HasSuffix(text, "\r\n\r\n") {
					want++
				}
				s.await("the request", func() bool { return s.served.Load() == want && s.gate.Counts().Open == int64(n+1) })
				if text == request && status(c) != http.StatusOK {
					t.Fatal("not served")
				}
				time.Sleep(20 * time.Millisecond)
			}
			got := status(s.dial(request))
			if (got != http.StatusOK) != (tt.yields < 0) || got != http.StatusOK && got != http.StatusServiceUnavailable && got != 0 {
				t.Errorf("the new connection got %d", got)
			}
			for n, c := range conns {
				_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
				_, err := c.Read(make([]byte, 1))
				timeout, ok := err.(net.Error)
				closed := !ok || !timeout.Timeout()
				if closed != (n == tt.yields) {
					t.Errorf("connection %d is closed: %t (%v)", n, closed, err)
				}
			}
		})
	}
}

// TestTimes checks that a connection ends if its client takes too long, and not while a
// request is being served.
func TestTimes(t *testing.T) {
	const short = 100 * time.Millisecond
	quick := func() ClientLimits {
		return ClientLimits{HeadBytes: 4096, HeadTime: short, IdleTime: short}
	}
	tests := map[string]struct {
		text string
		// answers is how many answers come before the connection ends.
		answers int
	}{
		"silent":     {"", 0},
		"in a head":  {"GET / HT", 0},
		"in a body":  {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n1234", 0},
		"idle":       {request, 1},
		"after post": {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n1234", 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, Limits{BodyTime: short, Client: quick}, nil)
			c := s.dial(tt.text)
			for range tt.answers {
				if got := status(c); got != http.StatusOK {
					t.Errorf("got %d", got)
				}
			}
			if _, err := io.ReadAll(c); err != nil && strings.Contains(err.Error(), "timeout") {
				t.Errorf("the connection did not end: %v", err)
			}
			s.await("the end", func() bool { return s.gate.Counts().Open == 0 })
		})
	}
	t.Run("served", func(t *testing.T) {
		blocked := make(chan struct{})
		s := startServer(t, Limits{BodyTime: short, Client: quick}, blocked)
		c := s.dial("POST /blocked HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n1234")
		time.Sleep(4 * short)
		close(blocked)
		if got := status(c); got != http.StatusOK {
			t.Errorf("got %d", got)
		}
	})
}

// TestUnreadAnswerEnds guards against a handler that is blocked for ever by a client that
// does not read.
func TestUnreadAnswerEnds(t *testing.T) {
	s := startServer(t, Limits{WriteTime: 200 * time.Millisecond}, nil)
	s.dial("GET /long HTTP/1.1\r\nHost: h\r\n\r\n")
	s.await("the end of the handler", func() bool { return s.served.Load() > 100 })
}

// TestUnreadAnswersYield checks that clients who read nothing do not keep others out until
// their time is up.
func TestUnreadAnswersYield(t *testing.T) {
	s := startServer(t, Limits{Connections: 2, WriteTime: time.Hour}, nil)
	for range 2 {
		s.dial("GET /long HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	s.await("an answer", func() bool { return status(s.dial(request)) == http.StatusOK })
}

// TestExpectedBody checks that a client that asks first gets the answer before its body.
func TestExpectedBody(t *testing.T) {
	s := startServer(t, Limits{}, nil)
	c := s.dial("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
	line, err := bufio.NewReader(c).ReadString('\n')
	if err != nil || !strings.Contains(line, "100") {
		t.Errorf("got %q, %v", line, err)
	}
}

// TestShutdownWaits checks that a planned stop waits for what is being served.
func TestShutdownWaits(t *testing.T) {
	gate, err := Listen("127.0.0.1:0", Limits{Connections: 4, Client: func() ClientLimits { return ClientLimits{}.OrDefault() }})
	if err != nil {
		t.Fatal(err)
	}
	began := make(chan struct{})
	server := NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(began)
		time.Sleep(200 * time.Millisecond)
	}))
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(gate) }()
	got := make(chan int, 1)
	c, err := net.Dial("tcp", gate.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprint(c, request)
	go func() { got <- status(c) }()
	<-began
	if err := server.Shutdown(context.Background()); err != nil {
		t.Error(err)
	}
	if s := <-got; s != http.StatusOK {
		t.Errorf("got %d", s)
	}
	<-ended
}

// TestAtMost checks that requests beyond the number are refused, and later ones served.
func TestAtMost(t *testing.T) {
	release, began := make(chan struct{}), make(chan struct{}, 2)
	h := AtMost(2, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		began <- struct{}{}
		<-release
	}))
	get := func() int {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
		return w.Code
	}
	ended := make(chan int, 2)
	for range 2 {
		go func() { ended <- get() }()
		<-began
	}
	if got := get(); got != http.StatusServiceUnavailable {
		t.Errorf("third: got %d", got)
	}
	close(release)
	for range 2 {
		if got := <-ended; got != http.StatusOK {
			t.Errorf("got %d", got)
		}
	}
	if got := get(); got != http.StatusOK {
		t.Errorf("later: got %d", got)
	}
}
