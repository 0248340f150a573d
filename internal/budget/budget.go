package budget

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// Small is what a request may take without being counted, in bytes: it belongs to what
	// its connection takes.
	Small = 16 << 10
	// maxWait is how long a request waits for room.
	maxWait = time.Second
	// A client is slow if pace bytes take it longer than slowAfter.
	pace      = 16 << 10
	slowAfter = 500 * time.Millisecond
	// evictInterval is the time between looks for a hold that yields, while a request waits.
	evictInterval = 100 * time.Millisecond
)

// ErrNoRoom means that other requests take the memory.
var ErrNoRoom = errors.New("no room in memory for the request")

// Budget bounds the memory that requests take at the same time.
type Budget struct {
	// size is the bound in bytes, 0 for none, most what one workspace, and one request, may
	// take of it.
	size, most int64
	mu         sync.Mutex
	used       int64
	// owned is what each workspace takes.
	owned map[unit.Workspace]int64
	holds map[*Hold]struct{}
	// waiting are the requests that wait for room, those with the least memory first.
	waiting []*waiter
	// oversize is the hold that is larger than one request may usually be. There is one at
	// most.
	oversize *Hold
	evicted  int64
	refused  int64
}

// waiter is a hold that waits to grow by some bytes. ready is closed when it has.
type waiter struct {
	hold  *Hold
	n     int64
	ready chan struct{}
}

// Hold is what one request takes. Its methods may be called by one goroutine at a time.
type Hold struct {
	budget *Budget
	owner  unit.Workspace
	// abort ends the client's connection.
	abort func()
	// bytes is what the request takes, counted what of it counts towards the budget. The
	// budget's lock guards the fields.
	bytes, counted int64
	// slowSince is when the client began with its present pace bytes, the zero time unless
	// the request waits for its client. got counts these bytes.
	slowSince time.Time
	got       int
	yielding  bool
}

// New returns a budget of some bytes, 0 for no bound. One workspace, and one request, may
// take most bytes of it.
func New(size, most int64) *Budget {
	return &Budget{size: size, most: most, owned: make(map[unit.Workspace]int64), holds: make(map[*Hold]struct{})}
}

// Open returns the hold of a request of a workspace. abort, which may be nil, is called,
// possibly more than once, if the hold is to yield since its client is slow.
func (b *Budget) Open(owner unit.Workspace, abort func()) *Hold {
	if abort == nil {
		abort = func() {}
	}
	h := &Hold{budget: b, owner: owner, abort: abort}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holds[h] = struct{}{}
	return h
}

// growth returns by how much the counted bytes of a hold grow with n more bytes. What is
// above most is not counted, but there is one such hold at most.
func (h *Hold) growth(n int64) int64 { return min(h.bytes+n, h.budget.most) - h.counted }

// fits reports whether a hold may grow now. The caller holds b.mu.
func (b *Budget) fits(h *Hold, n int64) bool {
	if b.size == 0 {
		return true
	}
	if h.bytes+n > b.most && b.oversize != nil && b.oversize != h {
		return false
	}
	more := h.growth(n)
	return b.used+more <= b.size && b.owned[h.owner]+more <= b.most
}

// add makes a hold grow. The caller holds b.mu.
func (b *Budget) add(h *Hold, n int64) {
	if b.size == 0 {
		return
	}
	more := h.growth(n)
	h.bytes += n
	h.counted += more
	b.used += more
	b.owned[h.owner] += more
	if h.bytes > b.most {
		b.oversize = h
	}
}

// TryGrow makes the hold grow by n bytes if there is room now, and reports whether there
// was.
func (h *Hold) TryGrow(n int64) bool {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.fits(h, n) {
		return false
	}
	b.add(h, n)
	return true
}

// Grow makes the hold grow by n bytes. It waits for room for a while; meanwhile holds with
// slow clients yield. The error wraps ErrNoRoom, or is that of ctx.
func (h *Hold) Grow(ctx context.Context, n int64) error {
	b := h.budget
	b.mu.Lock()
	if b.fits(h, n) {
		b.add(h, n)
		b.mu.Unlock()
		return nil
	}
	w := &waiter{hold: h, n: n, ready: make(chan struct{})}
	at, _ := slices.BinarySearchFunc(b.waiting, w, compareWaiters)
	b.waiting = slices.Insert(b.waiting, at, w)
	h.slowSince = time.Time{}
	b.mu.Unlock()
	return b.await(ctx, w)
}

// compareWaiters orders waiters by the memory that they will have.
func compareWaiters(a, b *waiter) int { return cmp.Compare(a.hold.bytes+a.n, b.hold.bytes+b.n) }

// await waits until a waiter has its room, or gives up.
func (b *Budget) await(ctx context.Context, w *waiter) error {
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	look := time.NewTicker(evictInterval)
	defer look.Stop()
	for {
		b.evictSlow(w)
		select {
		case <-w.ready:
			return nil
		case <-look.C:
		case <-ctx.Done():
			return b.giveUp(ctx, w)
		}
	}
}

// giveUp removes a waiter, unless it has just got its room.
func (b *Budget) giveUp(ctx context.Context, w *waiter) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := slices.Index(b.waiting, w)
	if i < 0 {
		return nil
	}
	b.waiting = slices.Delete(b.waiting, i, i+1)
	if errors.Is(ctx.Err(), context.Canceled) {
		return fmt.Errorf("wait for room: %w", ctx.Err())
	}
	b.refused++
	return fmt.Errorf("%w: %d bytes more", ErrNoRoom, w.n)
}

// evictSlow makes the largest hold with a slow client yield to a waiter.
func (b *Budget) evictSlow(w *waiter) {
	b.mu.Lock()
	var victim *Hold
	now := time.Now()
	for h := range b.holds {
		slow := !h.slowSince.IsZero() && now.Sub(h.slowSince) >= slowAfter
		if h == w.hold || !slow || h.yielding || !b.helps(h, w) {
			continue
		}
		if victim == nil || h.counted > victim.counted {
			victim = h
		}
	}
	if victim != nil {
		victim.yielding = true
		b.evicted++
	}
	b.mu.Unlock()
	if victim != nil {
		victim.abort()
	}
}

// helps reports whether a waiter would get closer to its room without a hold. The caller
// holds b.mu.
func (b *Budget) helps(h *Hold, w *waiter) bool {
	if h.counted == 0 {
		return false
	}
	more := w.hold.growth(w.n)
	return b.used+more > b.size || h.owner == w.hold.owner || h == b.oversize
}

// Shrink gives n bytes back.
func (h *Hold) Shrink(n int64) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.size == 0 {
		return
	}
	h.bytes -= n
	b.release(h, h.counted-min(h.bytes, b.most))
	if b.oversize == h && h.bytes <= b.most {
		b.oversize = nil
	}
	b.grant()
}

// release takes counted bytes from a hold. The caller holds b.mu.
func (b *Budget) release(h *Hold, n int64) {
	h.counted -= n
	b.used -= n
	if b.owned[h.owner] -= n; b.owned[h.owner] <= 0 {
		delete(b.owned, h.owner)
	}
}

// Wait says that the request waits for its client from now on, to send or to read.
func (h *Hold) Wait() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.slowSince, h.got = time.Now(), 0
}

// Progress says that the client has sent or read n bytes.
func (h *Hold) Progress(n int) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.got += n; h.got >= pace {
		h.slowSince, h.got = time.Now(), 0
	}
}

// Done says that the request does not wait for its client.
func (h *Hold) Done() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.slowSince = time.Time{}
}

// Close gives back all that the hold takes.
func (h *Hold) Close() {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.holds, h)
	b.release(h, h.counted)
	if b.oversize == h {
		b.oversize = nil
	}
	h.bytes = 0
	b.grant()
}

// grant gives room to those that wait and fit, the smallest first. The caller holds b.mu.
func (b *Budget) grant() {
	b.waiting = slices.DeleteFunc(b.waiting, func(w *waiter) bool {
		if !b.fits(w.hold, w.n) {
			return false
		}
		b.add(w.hold, w.n)
		close(w.ready)
		return true
	})
}

// Usage says what a budget holds and did.
type Usage struct {
	// Used and Size are in bytes; Waiting counts requests that wait for room. Evicted ones
	// had slow clients, Refused ones waited in vain.
	Used, Size, Waiting, Evicted, Refused int64
}

// Usage returns what the budget holds and did.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{b.used, b.size, int64(len(b.waiting)), b.evicted, b.refused}
}
