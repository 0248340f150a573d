// Package logs writes JSON lines without ever blocking the writer: lines wait
// in a bounded buffer, and those that find it full are dropped and counted.
package logs

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// bufferLines is how many lines may wait: a few seconds of a busy instance.
const bufferLines = 2048

// Sink is a writer that hands lines to a goroutine.
type Sink struct {
	lines   chan []byte
	out     io.Writer
	dropped atomic.Int64
	ended   chan error
}

// NewSink returns a sink that writes to out until ctx ends, and then what is
// still waiting. Its end is reported by Wait.
func NewSink(ctx context.Context, out io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, bufferLines), out: out, ended: make(chan error, 1)}
	go func() { s.ended <- s.run(ctx) }()
	return s
}

// Write takes a line, or drops it if the buffer is full.
func (s *Sink) Write(b []byte) (int, error) {
	line := append([]byte(nil), b...)
	select {
	case s.lines <- line:
	default:
		s.dropped.Add(1)
	}
	return len(b), nil
}

// Dropped returns how many lines were dropped.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Wait returns once the sink has written what it had, after ctx ended.
func (s *Sink) Wait() error { return <-s.ended }

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

// New returns a logger of JSON lines in Pascal case.
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
