package link

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
)

// guarded is a connection that writes only before a monotonic time. The check
// stands directly before the write, so that a process which slept past the end
// of its lease sends nothing.
type guarded struct {
	net.Conn
	clock  clock.Clock
	before clock.Millis
}

// Write returns platform.ErrLeaseEnded after the time limit.
func (g *guarded) Write(b []byte) (int, error) {
	if g.clock.Now() >= g.before {
		return 0, platform.ErrLeaseEnded
	}
	return g.Conn.Write(b)
}

type beforeKey struct{}

// WithBefore sets the time limit for connections dialled under ctx.
func WithBefore(ctx context.Context, t clock.Millis) context.Context {
	return context.WithValue(ctx, beforeKey{}, t)
}

// OrderClient returns a client that uses a new guarded connection for each
// order, so that no order shares a limit with another.
func OrderClient(c clock.Clock) *http.Client {
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{Timeout: 2 * time.Second}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		before, _ := ctx.Value(beforeKey{}).(clock.Millis)
		return &guarded{Conn: conn, clock: c, before: before}, nil
	}
	return &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}
}
