package crowd

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	// MaxClients is the most clients of a crowd.
	MaxClients = 2000
	// dialTimeout bounds the time until a client is connected.
	dialTimeout = 2 * time.Second
	// returnPause is how long a client that was cut off stays away.
	returnPause = 50 * time.Millisecond
)

// errNotLoopback refuses addresses of other machines.
var errNotLoopback = errors.New("address is not on loopback")

// errTooMany refuses crowds of more than MaxClients.
var errTooMany = errors.New("crowd is too large")

// Crowd is a number of clients that do the same to one listener.
type Crowd struct {
	// Address is the host:port of the listener, on loopback.
	Address string
	// Host and Path are those of the requests. Key is sent as the fields of a head that
	// authenticate a caller, each with its line end; it may be empty.
	Host, Path, Key string
	Kind            Kind
	Clients         int
}

// Run plays the clients until ctx ends. A client that is cut off comes back.
func (c Crowd) Run(ctx context.Context) error {
	if err := c.check(); err != nil {
		return err
	}
	var clients sync.WaitGroup
	for n := range c.Clients {
		clients.Go(func() { c.play(ctx, n) })
	}
	clients.Wait()
	return nil
}

// check returns an error if the crowd may not be played.
func (c Crowd) check() error {
	host, _, err := net.SplitHostPort(c.Address)
	if err != nil {
		return fmt.Errorf("crowd: %w", err)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("crowd at %s: %w", c.Address, errNotLoopback)
	}
	if c.Clients > MaxClients {
		return fmt.Errorf("crowd of %d, at most %d: %w", c.Clients, MaxClients, errTooMany)
	}
	return nil
}

// play plays one client until ctx ends.
func (c Crowd) play(ctx context.Context, number int) {
	for ctx.Err() == nil {
		c.connect(ctx, number)
		sleep(ctx, returnPause)
	}
}

// connect plays one connection of a client. That it is cut off is what the client
// deserves, and no error.
func (c Crowd) connect(ctx context.Context, number int) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", c.Address)
	if err != nil {
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	_ = c.Kind.play(&client{Crowd: c, Conn: conn, answers: bufio.NewReader(conn), ctx: ctx, number: number})
}

// client is one connection of a crowd.
type client struct {
	Crowd
	net.Conn
	answers *bufio.Reader
	ctx     context.Context
	// number is that of the client in its crowd.
	number int
}

// say sends a text.
func (c *client) say(format string, args ...any) error {
	_, err := fmt.Fprintf(c.Conn, format, args...)
	return err
}

// head sends a request line and the usual fields, without the empty line that ends them.
func (c *client) head(method string) error {
	return c.say("%s %s HTTP/1.1\r\nHost: %s\r\n%sX-Attempt-Id: crowd-%d\r\n", method, c.Path, c.Host, c.Key, c.number)
}

// repeat sends a text again and again, until the client is cut off.
func (c *client) repeat(b []byte) error {
	for {
		if _, err := c.Write(b); err != nil {
			return err
		}
	}
}

// hold does nothing until the client is cut off. It reads what comes.
func (c *client) hold() error {
	for {
		if _, err := c.answers.ReadByte(); err != nil {
			return err
		}
	}
}

// sleep waits, unless ctx ends first.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
