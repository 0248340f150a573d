// Package logs writes JSON log lines without blocking their callers. Lines are
// buffered; if the buffer is full, they are dropped and counted.
package logs

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// bufferLines is the number of lines buffered, a few seconds of the log of a
	// busy instance.
	bufferLines = 2048
	// bufferBytes bounds the lines that are buffered, in bytes: callers choose the length
	// of some fields.
	bufferBytes = 2 << 20
)

// AsyncWriter is an io.Writer that buffers lines for a goroutine to write.
type AsyncWriter struct {
	lines   chan []byte
	out     io.Writer
	dropped atomic.Int64
	// buffered is the length of the lines in the channel, in bytes.
	buffered atomic.Int64
	ended    chan error
}

// NewAsyncWriter returns a writer that writes to out until ctx ends, and then
// the lines that are still buffered. Wait returns when it is done.
func NewAsyncWriter(ctx context.Context, out io.Writer) *AsyncWriter {
	w := &AsyncWriter{lines: make(chan []byte, bufferLines), out: out, ended: make(chan error, 1)}
	go func() { w.ended <- w.run(ctx) }()
	return w
}

// Write buffers a copy of a line, or drops the line if the buffer is full. It
// never returns an error.
func (w *AsyncWriter) Write(b []byte) (int, error) {
	n := int64(len(b))
	if w.buffered.Add(n) > bufferBytes {
		w.drop(n)
		return len(b), nil
	}
	select {
	case w.lines <- append([]byte(nil), b...):
	default:
		w.drop(n)
	}
	return len(b), nil
}

// drop counts a line of n bytes that is not buffered.
func (w *AsyncWriter) drop(n int64) {
	w.buffered.Add(-n)
	w.dropped.Add(1)
}

// write writes a line that was buffered.
func (w *AsyncWriter) write(line []byte) error {
	w.buffered.Add(-int64(len(line)))
	if _, err := w.out.Write(line); err != nil {
		return fmt.Errorf("write log: %w", err)
	}
	return nil
}

// Dropped returns the number of dropped lines.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Wait waits until the writer has stopped and returns its error. It stops at
// the first failed write, or after ctx has ended and all buffered lines are
// written. Wait must be called at most once; a second call never returns.
func (w *AsyncWriter) Wait() error { return <-w.ended }

// run writes lines until ctx ends.
func (w *AsyncWriter) run(ctx context.Context) error {
	for {
		select {
		case line := <-w.lines:
			if err := w.write(line); err != nil {
				return err
			}
		case <-ctx.Done():
			return w.flush()
		}
	}
}

// flush writes the lines that are still buffered.
func (w *AsyncWriter) flush() error {
	for {
		select {
		case line := <-w.lines:
			if err := w.write(line); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}

// New returns a logger that writes JSON lines with field names in Pascal case.
func New(level logrus.Level, to io.Writer) *logrus.Logger {
	log := logrus.New()
	log.SetLevel(level)
	log.SetOutput(to)
	log.SetFormatter(&logrus.JSONFormatter{
		TimestampFormat: time.RFC3339Nano,
		FieldMap: logrus.FieldMap{
			logrus.FieldKeyTime: "Time", logrus.FieldKeyLevel: "Level", logrus.FieldKeyMsg: "Message",
		},
	})
	return log
}
