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

// bufferLines is the number of lines buffered, a few seconds of the log of a
// busy instance.
const bufferLines = 2048

// Sink is an io.Writer that buffers lines for a goroutine to write.
type Sink struct {
	lines   chan []byte
	out     io.Writer
	dropped atomic.Int64
	ended   chan error
}

// NewSink returns a sink that writes to out until ctx ends, and then the lines
// that are still buffered. Wait returns when it is done.
func NewSink(ctx context.Context, out io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, bufferLines), out: out, ended: make(chan error, 1)}
	go func() { s.ended <- s.run(ctx) }()
	return s
}

// Write buffers a copy of a line, or drops the line if the buffer is full.
func (s *Sink) Write(b []byte) (int, error) {
	line := append([]byte(nil), b...)
	select {
	case s.lines <- line:
	default:
		s.dropped.Add(1)
	}
	return len(b), nil
}

// Dropped returns the number of dropped lines.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Wait waits until the sink has stopped and returns its error. It stops at the
// first failed write, or after ctx has ended and all buffered lines are
// written.
func (s *Sink) Wait() error { return <-s.ended }

// run writes lines until ctx ends.
func (s *Sink) run(ctx context.Context) error {
	for {
		select {
		case line := <-s.lines:
			if _, err := s.out.Write(line); err != nil {
				return fmt.Errorf("write log: %w", err)
			}
		case <-ctx.Done():
			return s.flush()
		}
	}
}

// flush writes the lines that are still buffered.
func (s *Sink) flush() error {
	for {
		select {
		case line := <-s.lines:
			if _, err := s.out.Write(line); err != nil {
				return fmt.Errorf("write log: %w", err)
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
