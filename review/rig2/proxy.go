package rig2

import (
	"fmt"
	"net"
	"sync"
)

// Proxy passes the connections to a worker on, until they go silent.
type Proxy struct {
	Address string
	to      string
	ln      net.Listener
	mu      sync.Mutex
	links   map[*link]bool
}

// link is a connection through a proxy.
type link struct {
	near, far net.Conn
	// silent is closed when the connection goes silent.
	silent chan struct{}
}

// NewProxy returns a proxy in front of an address.
func NewProxy(to string) (*Proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for a proxy: %w", err)
	}
	p := &Proxy{Address: ln.Addr().String(), to: to, ln: ln, links: make(map[*link]bool)}
	go p.accept()
	return p, nil
}

func (p *Proxy) accept() {
	for {
		near, err := p.ln.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", p.to)
		if err != nil {
			// Nobody listens: the connection is reset.
			if c, ok := near.(*net.TCPConn); ok {
				_ = c.SetLinger(0)
			}
			near.Close()
			continue
		}
		l := &link{near: near, far: far, silent: make(chan struct{})}
		p.mu.Lock()
		p.links[l] = true
		p.mu.Unlock()
		go p.pass(l, near, far)
		go p.pass(l, far, near)
	}
}

// pass passes on what comes from one end, and its close, unless the connection has gone
// silent: then nothing passes any more, and neither end learns of it.
func (p *Proxy) pass(l *link, from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		select {
		case <-l.silent:
			return
		default:
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			p.mu.Lock()
			delete(p.links, l)
			p.mu.Unlock()
			l.near.Close()
			l.far.Close()
			return
		}
	}
}

// Silence makes all open connections go silent for good. It returns how many there are.
func (p *Proxy) Silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.links)
	for l := range p.links {
		close(l.silent)
		delete(p.links, l)
	}
	return n
}

// Close ends the proxy.
func (p *Proxy) Close() {
	_ = p.ln.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.near.Close()
		l.far.Close()
	}
}
