package link

import (
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/catkinhead/catkinhead/pkg/clock"
)

// minSilence is how long a connection must bring no byte before the end of a request
// that still waits for some, to count as silent.
const minSilence clock.Millis = 200

// silences counts how often the clients of this process have closed their idle
// connections since one had gone silent.
var silences atomic.Int64

// Silences returns how often clients of this process have closed their idle connections
// since one had gone silent.
func Silences() int64 { return silences.Load() }

// keptConns are the open connections of a client that keeps idle ones.
//
// Connections can go silent together, without a reset, while new ones work. So one
// that has gone silent says something about the others: those that have brought a byte
// since then are alive, and those that are idle and have not may be dead too. They are
// all closed, so that the next request does not use up another one.
type keptConns struct {
	transport *http.Transport
	mu        sync.Mutex
	open      map[*countingConn]struct{}
}

// add adds a connection that was just opened.
func (k *keptConns) add(c *countingConn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.open[c] = struct{}{}
}

// remove removes a connection that is being closed.
func (k *keptConns) remove(c *countingConn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.open, c)
}

// wentSilent closes the idle connections if any of them has brought nothing since a
// connection went silent.
func (k *keptConns) wentSilent(since clock.Millis) {
	if k.hasUnproven(since) {
		silences.Add(1)
		k.transport.CloseIdleConnections()
	}
}

// hasUnproven reports whether an idle connection has brought nothing since a time.
func (k *keptConns) hasUnproven(since clock.Millis) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.open {
		if c.idle.Load() && clock.Millis(c.readAt.Load()) <= since {
			return true
		}
	}
	return false
}
