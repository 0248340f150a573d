package wire

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// TestOrderIsNotSentAfterLeaseEnd checks that an order reaches the platform
// only before its SendBefore time, so that nothing is sent after the lease has
// ended.
func TestOrderIsNotSentAfterLeaseEnd(t *testing.T) {
	tests := map[string]struct {
		before clock.Millis
		want   error
	}{
		"lease is held":     {before: 1 << 40},
		"lease has ended":   {before: 0, want: platform.ErrLeaseEnded},
		"ends at this time": {before: 5, want: platform.ErrLeaseEnded},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var got atomic.Int64
			srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { got.Add(1) }))
			defer srv.Close()
			c := &clock.Manual{}
			c.Advance(5)
			p := NewPlatform(srv.URL, c, time.Second)
			err := p.Send(context.Background(), platform.Order{ID: "o", SendBefore: tc.before})
			if !errors.Is(err, tc.want) || (err == nil) != (tc.want == nil) {
				t.Fatalf("got %v, want %v", err, tc.want)
			}
			if tc.want != nil && got.Load() > 0 {
				t.Fatal("the order was sent after the lease ended")
			}
		})
	}
}

func TestReadChunks(t *testing.T) {
	const good = `{"Request":"r","Index":0,"Text":"a","Tokens":1,"Version":1}
{"Request":"r","Index":1,"Text":"b","Tokens":1,"Version":2,"End":true}
`
	tests := map[string]struct {
		in   string
		want string
	}{
		"whole":          {in: good},
		"data after end": {in: good + `{"Request":"x"}`},
		"crossed":        {in: strings.Replace(good, `"r","Index":1`, `"q","Index":1`, 1), want: "another request"},
		"gap":            {in: strings.Replace(good, `"Index":1`, `"Index":2`, 1), want: "out of order"},
		"repeated chunk": {in: strings.Replace(good, `"Index":1`, `"Index":0`, 1), want: "out of order"},
		"cut":            {in: good[:80], want: "decode chunk"},
		"no end":         {in: strings.Replace(good, `,"End":true`, "", 1), want: "before its last chunk"},
		"empty":          {want: "before its last chunk"},
		"no JSON":        {in: "x\n", want: "decode chunk"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			err := readChunks(context.Background(), strings.NewReader(tc.in), "r", func(platform.Chunk) error { return nil })
			if tc.want == "" && err != nil || tc.want != "" && (err == nil || !strings.Contains(err.Error(), tc.want)) {
				t.Fatalf("got %v, want %q", err, tc.want)
			}
		})
	}
}

// TestCallOutcome checks the outcome that is reported for each kind of failure.
func TestCallOutcome(t *testing.T) {
	tests := map[string]struct {
		serve func(net.Conn)
		want  unit.Outcome
	}{
		"refused":                 {want: unit.NotRun},
		"reset after read":        {serve: func(c net.Conn) { c.Read(make([]byte, 1)); c.(*net.TCPConn).SetLinger(0); c.Close() }, want: unit.Unknown},
		"closed without response": {serve: func(c net.Conn) { c.Read(make([]byte, 4096)); c.Close() }, want: unit.Unknown},
		"says not run": {serve: func(c net.Conn) {
			c.Read(make([]byte, 4096))
			c.Write([]byte("HTTP/1.1 503 x\r\nX-Outcome: NotRun\r\nX-Leaving: true\r\nContent-Length: 0\r\n\r\n"))
			c.Close()
		}, want: unit.NotRun},
		"503 without X-Outcome": {serve: func(c net.Conn) {
			c.Read(make([]byte, 4096))
			c.Write([]byte("HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n"))
			c.Close()
		}, want: unit.Ran},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			address := serveOnce(t, tc.serve)
			_, err := NewEngines(clock.System{}, time.Second).Call(context.Background(), address, platform.Call{Path: "x"})
			var f *platform.Failure
			got := unit.Ran
			if errors.As(err, &f) {
				got = f.Outcome
			}
			if got != tc.want {
				t.Fatalf("got %v (%v), want %v", got, err, tc.want)
			}
		})
	}
}

// serveOnce listens on a new address and lets f handle the first connection. If
// f is nil, connections to the address are refused.
func serveOnce(t *testing.T, f func(net.Conn)) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	if f == nil {
		ln.Close()
		return ln.Addr().String()
	}
	go func() {
		if c, err := ln.Accept(); err == nil {
			f(c)
		}
	}()
	return ln.Addr().String()
}

func FuzzReadChunks(f *testing.F) {
	f.Add(`{"Request":"r","Index":0,"Tokens":1,"End":true}`)
	f.Add(`{"Request":"r","Index":0,"Tokens":-1}`)
	f.Fuzz(func(t *testing.T, in string) {
		var n unit.Tokens
		ended := false
		err := readChunks(context.Background(), strings.NewReader(in), "r", func(c platform.Chunk) error {
			if c.Index != n {
				t.Fatalf("chunk at %d after %d tokens", c.Index, n)
			}
			n += c.Tokens
			ended = c.End
			return nil
		})
		if err == nil && !ended {
			t.Fatal("accepted a response without its last chunk")
		}
	})
}

// BenchmarkReadChunks reads a response of 360 tokens, one per chunk.
func BenchmarkReadChunks(b *testing.B) {
	var in strings.Builder
	const tokens = 360
	for i := range tokens {
		fmt.Fprintf(&in, `{"Request":"entry-0001#00001796364128671673!77.1","Index":%d,"Text":"w1a2 ","Tokens":1,"Version":7,"End":%v}`+"\n", i, i == tokens-1)
	}
	b.ReportAllocs()
	for b.Loop() {
		err := readChunks(context.Background(), strings.NewReader(in.String()), "entry-0001#00001796364128671673!77.1", func(platform.Chunk) error { return nil })
		if err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/tokens, "ns/token")
}
