package main

import (
	"fmt"
	"net"
	"sync"
)

// proxy passes connections on to an address.
type proxy struct {
	ln      net.Listener
	address string
	to      string
	mu      sync.Mutex
	// open are the connections that pass, in both directions.
	open map[*passing]bool
}

// passing is a connection through a proxy.
type passing struct {
	near, far net.Conn
	mu        sync.Mutex
	silent    bool
}

// newProxy returns a proxy in front of an address.
func newProxy(to string) (*proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	p := &proxy{ln: ln, address: ln.Addr().String(), to: to, open: make(map[*passing]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		near, err := p.ln.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", p.to)
		if err != nil {
			near.Close()
			continue
		}
		c := &passing{near: near, far: far}
		p.mu.Lock()
		p.open[c] = true
		p.mu.Unlock()
		go c.pass(near, far)
		go c.pass(far, near)
	}
}

// pass passes bytes on until one end closes. Once the connection is silent, the bytes are
// dropped and neither end learns that the other one has closed.
func (c *passing) pass(from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		c.mu.Lock()
		silent := c.silent
		c.mu.Unlock()
		if silent {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			from.Close()
			to.Close()
			return
		}
	}
}

// silence makes all connections that are open go silent for good. New ones work.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.open)
	for c := range p.open {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
		delete(p.open, c)
	}
	return n
}

// close ends the proxy and its connections.
func (p *proxy) close() {
	p.ln.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		c.near.Close()
		c.far.Close()
	}
}
