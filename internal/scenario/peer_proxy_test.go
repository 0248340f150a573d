package scenario

import (
	"io"
	"net"
	"sync"

	"github.com/rogpeppe/go-internal/testscript"
)

// peerProxy is a TCP proxy through which peers reach an instance. Cutting it
// simulates a one-way partition: the instance can still connect to others.
type peerProxy struct {
	mu sync.Mutex
	// to is the address that the instance listens on.
	to  string
	cut bool
	// conns are the connections from peers since the last cut.
	conns map[net.Conn]bool
}

// link NAME: lets peers reach an instance, which is started later, only through a
// proxy.
func cmdLink(ts *testscript.TestScript, _ bool, args []string) {
	envOf(ts).proxies[args[0]] = &peerProxy{conns: make(map[net.Conn]bool)}
}

// cut NAME...: cuts the connections from peers to instances; with ! it restores
// them.
func cmdCut(ts *testscript.TestScript, neg bool, args []string) {
	for _, name := range args {
		envOf(ts).proxies[name].setCut(!neg)
	}
}

// listen starts the proxy for an instance at an address, and returns the address
// for peers.
func (p *peerProxy) listen(ts *testscript.TestScript, to string) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	ts.Check(err)
	ts.Defer(func() { ln.Close() })
	p.to = to
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.forward(c)
		}
	}()
	return ln.Addr().String()
}

// forward copies both directions of a connection until one side closes it.
func (p *peerProxy) forward(from net.Conn) {
	defer from.Close()
	to, err := net.Dial("tcp", p.to)
	if err != nil {
		return
	}
	defer to.Close()
	if !p.track(from) {
		return
	}
	done := make(chan struct{})
	go func() {
		_, _ = io.Copy(to, from)
		to.Close()
		close(done)
	}()
	_, _ = io.Copy(from, to)
	from.Close()
	<-done
}

// track registers an open connection and returns true, or returns false if the
// proxy is cut.
func (p *peerProxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut {
		return false
	}
	p.conns[c] = true
	return true
}

// setCut cuts the proxy, which also closes its open connections, or restores it.
func (p *peerProxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	if cut {
		for c := range p.conns {
			c.Close()
		}
		clear(p.conns)
	}
}
