package link

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/catkinhead/catkinhead/pkg/clock"
)

// looked is a clock that notes when it was last read.
type looked struct {
	clock.System
	at time.Time
}

func (l *looked) Now() clock.Millis {
	now := l.System.Now()
	l.at = time.Now()
	return now
}

// BenchmarkGuardWidth measures the time from the check of the lease to the
// return of the write, within which a process that is stopped would send late
// to a receiver that ignores fencing numbers. It is an upper bound, since it
// holds the system call itself.
func BenchmarkGuardWidth(b *testing.B) {
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
	l := &looked{}
	g := &guarded{Conn: conn, clock: l, before: 1 << 40}
	h := hdrhistogram.New(1, int64(time.Second), 3)
	order := make([]byte, 512)
	for b.Loop() {
		if _, err := g.Write(order); err != nil {
			b.Fatal(err)
		}
		_ = h.RecordValue(time.Since(l.at).Nanoseconds())
	}
	b.ReportMetric(float64(h.ValueAtQuantile(50)), "p50-ns")
	b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-ns")
	b.ReportMetric(float64(h.Max()), "max-ns")
}
