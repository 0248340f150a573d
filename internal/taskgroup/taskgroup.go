// Package taskgroup runs groups of goroutines that share a context. Stopping a group
// cancels the context and waits until all of its goroutines have returned.
package taskgroup

import "context"

// Group is a group of goroutines. Create it with New.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	// starts and ends receive a value for each goroutine that starts and returns.
	starts chan struct{}
	ends   chan struct{}
	// idle is closed once the context is cancelled and all goroutines have
	// returned.
	idle chan struct{}
}

// New returns a group whose context is derived from ctx. The caller must cancel
// ctx or call Stop, otherwise a goroutine of the group itself is leaked.
func New(ctx context.Context) *Group {
	ctx, cancel := context.WithCancel(ctx)
	g := &Group{
		ctx: ctx, cancel: cancel, starts: make(chan struct{}),
		ends: make(chan struct{}), idle: make(chan struct{}),
	}
	go g.track()
	return g
}

// Go runs f with the group's context in a new goroutine. If the context is
// cancelled, Go may return without running f.
func (g *Group) Go(f func(context.Context)) {
	select {
	case <-g.ctx.Done():
		return
	case g.starts <- struct{}{}:
	}
	go func() {
		defer func() { g.ends <- struct{}{} }()
		f(g.ctx)
	}()
}

// Stop cancels the context and waits until all goroutines have returned, so it
// must not be called from one of them.
func (g *Group) Stop() {
	g.cancel()
	<-g.idle
}

// track counts the running goroutines until the context is cancelled and none is
// left.
func (g *Group) track() {
	defer close(g.idle)
	n := 0
	done := g.ctx.Done()
	for done != nil || n > 0 {
		select {
		case <-g.starts:
			n++
		case <-g.ends:
			n--
		case <-done:
			done = nil
		}
	}
}
