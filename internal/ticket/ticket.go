// Package ticket lets a request that must not run twice be sent again.
//
// A ticket names the incarnation that issued it. Only that incarnation ever
// runs the request, and it remembers what became of it; a resend through any
// instance is passed there. If the incarnation is gone, nobody can know, and
// nobody runs it again. So no agreement between instances is needed.
//
// A ticket carries a code that binds it to its workspace, so that another
// workspace's ticket cannot be guessed or used.
package ticket

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"

	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// keepFor is how long a ticket is remembered.
	keepFor clock.Millis = 3600 * clock.Second
	// maxKept bounds the tickets remembered.
	maxKept   = 100_000
	codeBytes = 12
)

// Errors of tickets.
var (
	// ErrForm means that the text is no ticket of this workspace.
	ErrForm = errors.New("ticket is not valid for this workspace")
	// ErrGone means that the ticket is remembered no more, so that the request
	// may have run.
	ErrGone = errors.New("ticket is not remembered; the request may have run")
	// ErrBusy means that too many tickets are in use.
	ErrBusy = errors.New("too many tickets in use")
)

// Result is what became of a request.
type Result struct {
	Status      int
	ContentType string
	Body        []byte
	Outcome     unit.Outcome
}

// Book is the tickets of one incarnation. All fields but the unexported must
// be set.
type Book struct {
	Self   unit.Incarnation
	Secret []byte
	Clock  clock.Clock

	mu      sync.Mutex
	serial  int64
	entries map[string]*entry
}

// entry is one ticket. ended is closed once result stands.
type entry struct {
	issued clock.Millis
	begun  bool
	ended  chan struct{}
	result Result
}

// Issue returns a new ticket.
func (b *Book) Issue(w unit.Workspace) (string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	if b.entries == nil {
		b.entries = make(map[string]*entry)
	}
	if len(b.entries) >= maxKept {
		b.expire(now)
	}
	if len(b.entries) >= maxKept {
		return "", ErrBusy
	}
	b.serial++
	name := fmt.Sprintf("%s~%d", b.Self, b.serial)
	t := name + "~" + b.code(name, w)
	b.entries[t] = &entry{issued: now, ended: make(chan struct{})}
	return t, nil
}

// Issuer returns the incarnation that issued a ticket of a workspace.
func (b *Book) Issuer(t string, w unit.Workspace) (unit.Incarnation, error) {
	parts := strings.Split(t, "~")
	if len(parts) != 3 {
		return "", ErrForm
	}
	if _, err := strconv.ParseInt(parts[1], 10, 64); err != nil {
		return "", ErrForm
	}
	want := b.code(parts[0]+"~"+parts[1], w)
	if !hmac.Equal([]byte(want), []byte(parts[2])) {
		return "", ErrForm
	}
	return unit.Incarnation(parts[0]), nil
}

// Use runs a ticket's request the first time, and returns its result every
// time. A request that comes while the first still runs waits for its end.
func (b *Book) Use(ctx context.Context, t string, run func() Result) (Result, error) {
	e, first, err := b.begin(t)
	if err != nil {
		return Result{}, err
	}
	if first {
		b.end(t, e, run())
	}
	select {
	case <-e.ended:
		return e.result, nil
	case <-ctx.Done():
		return Result{}, fmt.Errorf("wait for the first run: %w", ctx.Err())
	}
}

func (b *Book) begin(t string) (e *entry, first bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e = b.entries[t]
	if e == nil || b.Clock.Now()-e.issued >= keepFor {
		return nil, false, ErrGone
	}
	first = !e.begun
	e.begun = true
	return e, first, nil
}

// end keeps a result. A request that did not run may be tried again with the
// same ticket.
func (b *Book) end(t string, e *entry, r Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e.result = r
	close(e.ended)
	if r.Outcome == unit.NotRun {
		b.entries[t] = &entry{issued: e.issued, ended: make(chan struct{})}
	}
}

func (b *Book) expire(now clock.Millis) {
	for t, e := range b.entries {
		if now-e.issued >= keepFor {
			delete(b.entries, t)
		}
	}
}

func (b *Book) code(name string, w unit.Workspace) string {
	m := hmac.New(sha256.New, b.Secret)
	fmt.Fprintf(m, "ticket/%s/%s", w, name)
	return hex.EncodeToString(m.Sum(nil)[:codeBytes])
}
