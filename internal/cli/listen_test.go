package cli

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"testing"

	"github.com/catkinhead/catkinhead/internal/listen"
)

// TestTwoServersOfOneAddressAreAnError guards against an instance that answers its
// callers with its metrics, since two of its settings name the same address.
func TestTwoServersOfOneAddressAreAnError(t *testing.T) {
	tests := map[string]struct {
		// servers have the same address.
		servers int
		fails   bool
	}{
		"one": {1, false},
		"two": {2, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			address := freeAddress(t)
			var listeners []*listener
			for range tt.servers {
				listeners = append(listeners, &listener{address: address, server: &http.Server{}})
			}
			ended := make(chan error, len(listeners))
			if err := listenAll(listeners, ignoreGate, ended); (err != nil) != tt.fails {
				t.Errorf("got %v", err)
			}
			for _, l := range listeners {
				_ = l.server.Close()
			}
			<-ended
		})
	}
}

// TestServersWithoutAddressAreLeftOut checks that a setting without an address needs no
// listener.
func TestServersWithoutAddressAreLeftOut(t *testing.T) {
	ended := make(chan error, 2)
	if err := listenAll([]*listener{{}, {}}, ignoreGate, ended); err != nil || len(ended) != 2 {
		t.Errorf("got %v, %d servers have ended", err, len(ended))
	}
}

// ignoreGate watches nothing.
func ignoreGate(string, *listen.Gate) {}

// freeAddress returns a free address. No other process takes a port of this loopback
// address before it is used.
func freeAddress(t *testing.T) string {
	t.Helper()
	ip := fmt.Sprintf("127.%d.%d.9", 120+os.Getpid()%100, os.Getpid()/100%200)
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}
