package scenario

import (
	"io"
	"net"
	"sync"

	"github.com/rogpeppe/go-internal/testscript"
)

// link is the way by which peers reach an instance. It can be cut while the
// instance itself reaches others.
type link struct {
	mu    sync.Mutex
	to    string
	cut   bool
	conns map[net.Conn]bool
}

// link NAME: peers reach the instance NAME, which is started later, by a link.
func cmdLink(ts *testscript.TestScript, _ bool, args []string) {
	worldOf(ts).links[args[0]] = &link{conns: make(map[net.Conn]bool)}
}

// cut NAME...: breaks the links to instances; with ! it mends them.
func cmdCut(ts *testscript.TestScript, neg bool, args []string) {
	for _, name := range args {
		worldOf(ts).links[name].set(!neg)
	}
}

// begin listens for peers and returns the address.
func (l *link) begin(ts *testscript.TestScript, to string) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	ts.Check(err)
	ts.Defer(func() { ln.Close() })
	l.to = to
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go l.carry(c)
		}
	}()
	return ln.Addr().String()
}

func (l *link) carry(from net.Conn) {
	defer from.Close()
	to, err := net.Dial("tcp", l.to)
	if err != nil {
		return
	}
	defer to.Close()
	if !l.add(from) {
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

func (l *link) add(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		return false
	}
	l.conns[c] = true
	return true
}

func (l *link) set(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if cut {
		for c := range l.conns {
			c.Close()
		}
		clear(l.conns)
	}
}
