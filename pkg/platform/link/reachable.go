package link

import (
	"context"
	"net"
	"time"
)

// Reachable reports whether a receiver takes a new connection within a time. It tells
// one that has crashed from one whose connection broke.
func Reachable(ctx context.Context, address string, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
