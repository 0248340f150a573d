// Package ticket lets callers resend a request that must not run twice.
//
// A caller gets a ticket first and sends it with the request. The ticket names
// the incarnation of the instance that issued it. Only that incarnation runs
// the request, and it keeps the result; other instances forward the request to
// it. Once the incarnation has ended, it is unknown whether the request ran,
// so it is not run again. This needs no agreement between instances.
//
// A ticket includes a MAC over its name, which is the incarnation and a serial
// number, and over the workspace, so that a workspace can't forge a ticket or
// use one of another workspace.
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
	// ticketTTL is how long after its issue a ticket is valid.
	ticketTTL clock.Millis = 3600 * clock.Second
	// maxTickets is the maximum number of tickets in memory.
	maxTickets = 100_000
	// macBytes is the length of the truncated MAC.
	macBytes = 12
)

// Errors of tickets.
var (
	// ErrInvalid means that the text is not a valid ticket of the workspace.
	ErrInvalid = errors.New("ticket is not valid for this workspace")
	// ErrUnknown means that the ticket is unknown to this incarnation or has
	// expired. The request may have run.
	ErrUnknown = errors.New("ticket is not remembered; the request may have run")
	// ErrTooMany means that no ticket can be issued, since maxTickets tickets
	// have not expired yet.
	ErrTooMany = errors.New("too many tickets in use")
)

// Result is the result of a request: the answer to the caller, and whether the
// request ran.
type Result struct {
	Status      int
	ContentType string
	Body        []byte
	Outcome     unit.Outcome
}

// Registry issues the tickets of one incarnation and keeps their results. All
// exported fields must be set. It is safe for concurrent use.
type Registry struct {
	Self unit.Incarnation
	// Secret is the MAC key, the same on all instances.
	Secret []byte
	Clock  clock.Clock

	mu     sync.Mutex
	serial int64
	// entries maps each ticket to its state.
	entries map[string]*entry
}

// entry is the state of a ticket. done is closed once result is set.
type entry struct {
	issued  clock.Millis
	started bool
	done    chan struct{}
	result  Result
}

// Issue returns a new ticket for a workspace, or ErrTooMany.
func (g *Registry) Issue(w unit.Workspace) (string, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	if g.entries == nil {
		g.entries = make(map[string]*entry)
	}
	if len(g.entries) >= maxTickets {
		g.expire(now)
	}
	if len(g.entries) >= maxTickets {
		return "", ErrTooMany
	}
	g.serial++
	name := fmt.Sprintf("%s~%d", g.Self, g.serial)
	t := name + "~" + g.mac(name, w)
	g.entries[t] = &entry{issued: now, done: make(chan struct{})}
	return t, nil
}

// Issuer verifies a ticket of a workspace and returns the incarnation that
// issued it. The error is ErrInvalid.
func (g *Registry) Issuer(t string, w unit.Workspace) (unit.Incarnation, error) {
	parts := strings.Split(t, "~")
	if len(parts) != 3 {
		return "", ErrInvalid
	}
	if _, err := strconv.ParseInt(parts[1], 10, 64); err != nil {
		return "", ErrInvalid
	}
	want := g.mac(parts[0]+"~"+parts[1], w)
	if !hmac.Equal([]byte(want), []byte(parts[2])) {
		return "", ErrInvalid
	}
	return unit.Incarnation(parts[0]), nil
}

// Use returns the result of a ticket's request. The first call executes run;
// calls during the run wait for its end, and later calls get the stored result.
// After a run with outcome NotRun the next call executes run again. The error is
// ErrUnknown, or wraps that of ctx if it has ended.
func (g *Registry) Use(ctx context.Context, t string, run func() Result) (Result, error) {
	e, first, err := g.start(t)
	if err != nil {
		return Result{}, err
	}
	if first {
		g.finish(t, e, run())
	}
	select {
	case <-e.done:
		return e.result, nil
	case <-ctx.Done():
		return Result{}, fmt.Errorf("wait for the first run: %w", ctx.Err())
	}
}

// start returns the entry of a ticket, and whether the caller is the first and
// has to run the request.
func (g *Registry) start(t string) (e *entry, first bool, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e = g.entries[t]
	if e == nil || g.Clock.Now()-e.issued >= ticketTTL {
		return nil, false, ErrUnknown
	}
	first = !e.started
	e.started = true
	return e, first, nil
}

// finish stores the result of a run and wakes the waiting calls. If the request
// did not run, the ticket becomes usable again.
func (g *Registry) finish(t string, e *entry, r Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e.result = r
	close(e.done)
	if r.Outcome == unit.NotRun {
		g.entries[t] = &entry{issued: e.issued, done: make(chan struct{})}
	}
}

// expire deletes expired tickets.
func (g *Registry) expire(now clock.Millis) {
	for t, e := range g.entries {
		if now-e.issued >= ticketTTL {
			delete(g.entries, t)
		}
	}
}

// mac returns the MAC of a ticket's name and workspace, as hex.
func (g *Registry) mac(name string, w unit.Workspace) string {
	m := hmac.New(sha256.New, g.Secret)
	fmt.Fprintf(m, "ticket/%s/%s", w, name)
	return hex.EncodeToString(m.Sum(nil)[:macBytes])
}
