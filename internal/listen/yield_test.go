package listen

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// yieldClients clients send yieldRequests requests each to a gate with few places.
	yieldClients  = 24
	yieldRequests = 60
	yieldPlaces   = 3
	yieldBody     = "0123456789"
)

// ranSet holds the requests that a handler has worked on.
type ranSet struct {
	mu  sync.Mutex
	ids map[string]bool
}

// serve reads the body and then works on the request.
func (s *ranSet) serve(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil || r.Method == http.MethodPost && string(b) != yieldBody {
		return
	}
	s.mu.Lock()
	s.ids[r.Header.Get("Id")] = true
	s.mu.Unlock()
	time.Sleep(time.Millisecond)
	fmt.Fprint(w, r.Header.Get("Id"))
}

// ran reports whether a request was worked on.
func (s *ranSet) ran(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ids[id]
}

// TestRefusedRequestsDoNotRun checks the promise of a 503: the request has not run and
// never will, although its connection yields at any moment, in its head, its body, or as
// the last byte of either arrives.
func TestRefusedRequestsDoNotRun(t *testing.T) {
	gate, err := Listen("127.0.0.1:0", Limits{
		Connections: yieldPlaces, WholeBodies: true, Heads: 8 << 10,
		Client: func() ClientLimits { return ClientLimits{}.OrDefault() },
	})
	if err != nil {
		t.Fatal(err)
	}
	ran := &ranSet{ids: make(map[string]bool)}
	server := NewServer(http.HandlerFunc(ran.serve))
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(gate) }()
	refused, served := make(chan string, yieldClients*yieldRequests), make(chan string, yieldClients*yieldRequests)
	var clients sync.WaitGroup
	for n := range yieldClients {
		clients.Go(func() {
			for i := range yieldRequests {
				id := fmt.Sprintf("%d-%d", n, i)
				switch sendParts(gate.Addr().String(), id, n+i) {
				case http.StatusServiceUnavailable:
					refused <- id
				case http.StatusOK:
					served <- id
				}
			}
		})
	}
	clients.Wait()
	server.Close()
	<-ended
	close(refused)
	close(served)
	t.Logf("%d served, %d refused of %d; %+v", len(served), len(refused), yieldClients*yieldRequests, gate.Counts())
	if len(served) == 0 || len(refused) == 0 {
		t.Error("the test needs both")
	}
	for id := range refused {
		if ran.ran(id) {
			t.Errorf("%s was refused and has run", id)
		}
	}
	for id := range served {
		if !ran.ran(id) {
			t.Errorf("%s was served and has not run", id)
		}
	}
	if c := gate.Counts(); c.Open != 0 || c.HeadBytes != 0 {
		t.Errorf("left: %+v", c)
	}
}

// sendParts sends a request in two parts, which it cuts at a place that depends on a
// number, and returns the status, 0 without an answer or with another request's.
func sendParts(address, id string, number int) int {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(waitLimit))
	text := "GET / HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\n\r\n"
	if number%2 == 0 {
		text = fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(yieldBody), yieldBody)
	}
	cut := len(text) - number%13
	if _, err := io.WriteString(conn, text[:cut]); err != nil {
		return 0
	}
	time.Sleep(time.Duration(number%5) * time.Millisecond)
	// The connection may be closed by now, and its answer there all the same.
	_, _ = io.WriteString(conn, text[cut:])
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode == http.StatusOK && !strings.HasSuffix(string(b), id) {
		return 0
	}
	return res.StatusCode
}
