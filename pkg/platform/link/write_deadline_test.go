package link

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/catkinhead/catkinhead/pkg/clock"
)

// recordingClock is a clock that records when it was last read.
type recordingClock struct {
	clock.System
	readAt time.Time
}

func (c *recordingClock) Now() clock.Millis {
	now := c.System.Now()
	c.readAt = time.Now()
	return now
}

// BenchmarkLeaseCheckToWrite measures the time from the check of the write
// deadline to the return of the write. A process that is suspended within this
// time can send an order after the end of its lease, which a receiver that
// ignores fencing tokens would execute. The result is an upper bound, since it
// includes the system call.
func BenchmarkLeaseCheckToWrite(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer ln.Close()
	go func() {
		if c, err := ln.Accept(); err == nil {
			_, _ = io.Copy(io.Discard, c)
		}
	}()
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	clk := &recordingClock{}
	limited := &deadlineConn{Conn: conn, clock: clk, deadline: 1 << 40}
	h := hdrhistogram.New(1, int64(time.Second), 3)
	order := make([]byte, 512)
	for b.Loop() {
		if _, err := limited.Write(order); err != nil {
			b.Fatal(err)
		}
		_ = h.RecordValue(time.Since(clk.readAt).Nanoseconds())
	}
	b.ReportMetric(float64(h.ValueAtQuantile(50)), "p50-ns")
	b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-ns")
	b.ReportMetric(float64(h.Max()), "max-ns")
}
