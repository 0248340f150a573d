package rig

import (
	"fmt"
	"io"
	"net"
	"sync"
)

// Proxy forwards connections and datagrams to an address. While it is cut, it drops
// datagrams and holds back the bytes of connections, as a partition of the network
// does: what was held back is delivered when the cut ends.
type Proxy struct {
	// To is the address that it forwards to. It may be set after the start.
	To string

	ln   net.Listener
	udp  net.PacketConn
	mu   sync.Mutex
	cond *sync.Cond
	cut  bool
}

// NewProxy starts a proxy on a free port for TCP and UDP.
func NewProxy(to string) (*Proxy, error) {
	p := &Proxy{To: to}
	p.cond = sync.NewCond(&p.mu)
	var err error
	if p.ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, fmt.Errorf("listen for a proxy: %w", err)
	}
	if p.udp, err = net.ListenPacket("udp", p.Address()); err != nil {
		return nil, fmt.Errorf("listen for datagrams: %w", err)
	}
	go p.accept()
	go p.forwardDatagrams()
	return p, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.ln.Addr().String() }

// SetCut cuts the way to the address, or ends that.
func (p *Proxy) SetCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	p.cond.Broadcast()
}

// waitOpen waits until the proxy is not cut.
func (p *Proxy) waitOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.cut {
		p.cond.Wait()
	}
}

func (p *Proxy) isCut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

func (p *Proxy) accept() {
	for {
		from, err := p.ln.Accept()
		if err != nil {
			return
		}
		go func() {
			p.waitOpen()
			to, err := net.Dial("tcp", p.To)
			if err != nil {
				Reset(from)
				return
			}
			go p.copy(to, from)
			p.copy(from, to)
		}()
	}
}

// copy forwards what one end of a connection sends to the other.
func (p *Proxy) copy(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		p.waitOpen()
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				Reset(from)
				return
			}
		}
		if err != nil {
			if t, ok := to.(*net.TCPConn); ok && err == io.EOF {
				_ = t.CloseWrite()
			} else {
				to.Close()
			}
			return
		}
	}
}

func (p *Proxy) forwardDatagrams() {
	buf := make([]byte, 64<<10)
	for {
		n, _, err := p.udp.ReadFrom(buf)
		if err != nil {
			return
		}
		if p.isCut() {
			continue
		}
		if to, err := net.ResolveUDPAddr("udp", p.To); err == nil {
			_, _ = p.udp.WriteTo(buf[:n], to)
		}
	}
}
