package logs

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"

	"github.com/sirupsen/logrus"
)

// blockedWriter blocks every Write until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	bytes.Buffer
}

func (s *blockedWriter) Write(b []byte) (int, error) {
	<-s.unblock
	return s.Buffer.Write(b)
}

// TestFullBufferDropsLines checks that Write does not block while the
// underlying writer does, and that each line is either written or counted as
// dropped.
func TestFullBufferDropsLines(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	s := NewAsyncWriter(ctx, out)
	const lines = bufferLines + 100
	for range lines {
		if _, err := s.Write([]byte("x\n")); err != nil {
			t.Fatal(err)
		}
	}
	if n := s.Dropped(); n < 90 || n > 100 {
		t.Errorf("%d lines dropped, want 90 to 100", n)
	}
	close(out.unblock)
	cancel()
	if err := s.Wait(); err != nil {
		t.Fatal(err)
	}
	if got := int64(bytes.Count(out.Bytes(), []byte("\n"))); got != lines-s.Dropped() {
		t.Errorf("%d lines written, %d dropped", got, s.Dropped())
	}
}

// TestLinesAreJSON checks that a line is JSON with the field names in Pascal
// case.
func TestLinesAreJSON(t *testing.T) {
	var out bytes.Buffer
	New(logrus.InfoLevel, &out).WithField("Request", "r1").Info("attempt ended")
	var line map[string]string
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatal(err)
	}
	if line["Message"] != "attempt ended" || line["Request"] != "r1" || line["Level"] != "info" || line["Time"] == "" {
		t.Errorf("got %v", line)
	}
}

// TestLongLinesAreBounded guards against a buffer that takes the memory of the process,
// since callers choose the length of some fields.
func TestLongLinesAreBounded(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	s := NewAsyncWriter(ctx, out)
	line := bytes.Repeat([]byte("x"), 16<<10)
	const lines = 1000
	for range lines {
		if _, err := s.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	if kept := (lines - s.Dropped()) * int64(len(line)); kept > bufferBytes+int64(len(line)) {
		t.Errorf("%d bytes are buffered", kept)
	}
	close(out.unblock)
	cancel()
	if err := s.Wait(); err != nil {
		t.Fatal(err)
	}
	if s.buffered.Load() != 0 {
		t.Errorf("%d bytes count as buffered in the end", s.buffered.Load())
	}
}
