package cli

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"testing"
)

// TestTwoServersOfOneAddressAreAnError guards against an instance that answers its
// callers with its metrics, since two of its settings name the same address.
func TestTwoServersOfOneAddressAreAnError(t *testing.T) {
	// No other process takes a port of this loopback address between the check that it is
	// free and its use.
	ip := fmt.Sprintf("127.%d.%d.9", 120+os.Getpid()%100, os.Getpid()/100%200)
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		t.Fatal(err)
	}
	address := ln.Addr().String()
	if err := ln.Close(); err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		addresses []string
		fails     bool
	}{
		"one address": {[]string{address}, false},
		"twice":       {[]string{address, address}, true},
		"none":        {[]string{"", "", ""}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var servers []*http.Server
			for _, a := range tt.addresses {
				servers = append(servers, &http.Server{Addr: a})
			}
			ended := make(chan error, len(servers))
			if err := listenAll(servers, ended); (err != nil) != tt.fails {
				t.Errorf("got %v", err)
			}
			for _, s := range servers {
				_ = s.Close()
			}
		})
	}
}
