// Package rig2 holds what the cases of the second review share: stand-ins of the
// platform's store and cloud service, of workers and of clients, and the processes of
// the project that a case starts. All addresses are loopback addresses.
package rig2

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the record of a run: what was sent, answered and run, with the time since
// the start.
type Record struct {
	mu    sync.Mutex
	out   *os.File
	start time.Time
}

// NewRecord creates the record at a path.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	return &Record{out: f, start: time.Now()}, nil
}

// Now returns the time since the start of the run.
func (r *Record) Now() time.Duration { return time.Since(r.start) }

// Add adds a line to the record.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A record that cannot be written shows itself by its missing lines.
	_, _ = fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Close closes the record.
func (r *Record) Close() { _ = r.out.Close() }
