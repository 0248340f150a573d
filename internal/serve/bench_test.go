package serve

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// concurrentCallers is the number of requests in flight in a benchmark.
const concurrentCallers = 50

// benchConcurrent runs f from concurrentCallers goroutines and reports the
// quantiles of its latency.
func benchConcurrent(b *testing.B, f func(int) error) {
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var mu sync.Mutex
	var next atomic.Int64
	ends := make(chan error)
	b.ResetTimer()
	for range concurrentCallers {
		go func() {
			var err error
			for err == nil {
				i := next.Add(1)
				if i > int64(b.N) {
					break
				}
				begun := time.Now()
				err = f(int(i))
				mu.Lock()
				_ = h.RecordValue(time.Since(begun).Microseconds())
				mu.Unlock()
			}
			ends <- err
		}()
	}
	for range concurrentCallers {
		if err := <-ends; err != nil {
			b.Error(err)
		}
	}
	b.ReportMetric(float64(h.ValueAtQuantile(50)), "p50-µs")
	b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-µs")
}
