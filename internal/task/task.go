// Package task runs goroutines for one owner. Each takes the owner's context
// and reports its end; the owner waits until all have ended.
package task

import "context"

// Group is the goroutines of one owner. Make it with New.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	starts chan struct{}
	ends   chan struct{}
	idle   chan struct{}
}

// New returns a group whose goroutines end with ctx.
func New(ctx context.Context) *Group {
	ctx, cancel := context.WithCancel(ctx)
	g := &Group{
		ctx: ctx, cancel: cancel, starts: make(chan struct{}),
		ends: make(chan struct{}), idle: make(chan struct{}),
	}
	go g.count()
	return g
}

// Go starts f unless the group was stopped.
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

// Stop ends the context and waits for all goroutines.
func (g *Group) Stop() {
	g.cancel()
	<-g.idle
}

// count reads starts and ends until the group is stopped and empty.
func (g *Group) count() {
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
