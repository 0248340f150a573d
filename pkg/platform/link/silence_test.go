package link

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"
)

// silencer passes connections on to a server until they go silent: then neither end
// gets another byte, nor learns of that.
type silencer struct {
	address string
	mu      sync.Mutex
	open    []*silentLink
	// accepted counts the connections.
	accepted int
}

// silentLink is a connection through a silencer.
type silentLink struct {
	mu     sync.Mutex
	silent bool
}

// isSilent reports whether the connection has gone silent.
func (l *silentLink) isSilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent
}

// newSilencer returns a silencer in front of a server that answers after a time.
func newSilencer(t *testing.T, answerTime time.Duration) *silencer {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(answerTime)
		_, _ = io.WriteString(w, "answer")
	}))
	t.Cleanup(server.CloseClientConnections)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	s := &silencer{address: ln.Addr().String()}
	go s.accept(ln, server.Listener.Addr().String())
	return s
}

func (s *silencer) accept(ln net.Listener, to string) {
	for {
		near, err := ln.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", to)
		if err != nil {
			near.Close()
			continue
		}
		l := &silentLink{}
		s.mu.Lock()
		s.accepted++
		s.open = append(s.open, l)
		s.mu.Unlock()
		go l.pass(near, far)
		go l.pass(far, near)
	}
}

// pass passes bytes on until one end closes or the connection goes silent.
func (l *silentLink) pass(from, to net.Conn) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		switch {
		case l.isSilent() && err != nil:
			return
		case l.isSilent():
			continue
		case err != nil:
			from.Close()
			to.Close()
			return
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// silence makes the open connections go silent.
func (s *silencer) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.open {
		l.mu.Lock()
		l.silent = true
		l.mu.Unlock()
	}
	s.open = nil
}

// connections returns how many connections there were.
func (s *silencer) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

// get sends a request to each address at the same time and returns the errors.
func get(c *http.Client, limit time.Duration, addresses ...string) []error {
	errs := make([]error, len(addresses))
	var wg sync.WaitGroup
	for i, a := range addresses {
		wg.Add(1)
		go func() {
			defer wg.Done()
			errs[i] = getOne(c, limit, a)
		}()
	}
	wg.Wait()
	return errs
}

func getOne(c *http.Client, limit time.Duration, address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/", nil)
	if err != nil {
		return err
	}
	res, err := c.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return err
}

// TestSilentConnectionIsTheLastOne guards against requests that use up one silent
// connection after the other (LOST): after the first one, the next request to any
// receiver gets an answer.
func TestSilentConnectionIsTheLastOne(t *testing.T) {
	a, b := newSilencer(t, 0), newSilencer(t, 0)
	client := NewClient(16, true, nil)
	// Four requests at once leave more than one connection to each receiver.
	busy := []string{a.address, a.address, a.address, a.address, b.address, b.address, b.address, b.address}
	if err := errors.Join(get(client, 2*time.Second, busy...)...); err != nil {
		t.Fatal(err)
	}
	a.silence()
	b.silence()
	if err := getOne(client, 400*time.Millisecond, a.address); err == nil {
		t.Fatal("a silent connection brought an answer")
	}
	for name, address := range map[string]string{"the same receiver": a.address, "another receiver": b.address} {
		if err := getOne(client, 400*time.Millisecond, address); err != nil {
			t.Errorf("next request to %s: %v", name, err)
		}
	}
}

// TestLivingConnectionsAreKept guards against new connections for each request that is
// slow or given up early.
func TestLivingConnectionsAreKept(t *testing.T) {
	tests := map[string]struct {
		// limit is the time of a request that is given up.
		limit time.Duration
		// between is sent while the request waits, so that its connection is proven.
		between bool
		want    int
	}{
		"given up at once":        {20 * time.Millisecond, false, 2},
		"others answer meanwhile": {minSilence.Duration() * 3, true, 2},
		"nothing answers":         {minSilence.Duration() * 3, false, 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			quick, slow := newSilencer(t, 0), newSilencer(t, 2*time.Second)
			client := NewClient(16, true, nil)
			if err := getOne(client, time.Second, quick.address); err != nil {
				t.Fatal(err)
			}
			ended := make(chan error, 1)
			go func() { ended <- getOne(client, tt.limit, slow.address) }()
			if tt.between {
				time.Sleep(tt.limit / 2)
				if err := getOne(client, time.Second, quick.address); err != nil {
					t.Fatal(err)
				}
			}
			if err := <-ended; err == nil {
				t.Fatal("the slow receiver answered in time")
			}
			time.Sleep(20 * time.Millisecond)
			if err := getOne(client, time.Second, quick.address); err != nil {
				t.Fatal(err)
			}
			if n := quick.connections() + slow.connections(); n != tt.want {
				t.Errorf("%d connections were opened, want %d", n, tt.want)
			}
		})
	}
}
