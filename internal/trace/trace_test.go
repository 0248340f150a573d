package trace

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestRecordedTracesReplay replays the traces under testdata, which must give
// the recorded effects.
func TestRecordedTracesReplay(t *testing.T) {
	files, err := filepath.Glob("testdata/*.jsonl")
	if err != nil || len(files) == 0 {
		t.Fatalf("no traces in testdata: %v", err)
	}
	for _, name := range files {
		t.Run(filepath.Base(name), func(t *testing.T) {
			f, err := os.Open(name)
			if err != nil {
				t.Fatal(err)
			}
			defer f.Close()
			n, err := Replay(f)
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%d events", n)
		})
	}
}

// TestReplayReportsDifference changes a recorded effect and expects Replay to
// report the difference.
func TestReplayReportsDifference(t *testing.T) {
	b, err := os.ReadFile("testdata/takeover.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	changed := strings.Replace(string(b), `"Fence":2`, `"Fence":3`, 1)
	_, err = Replay(strings.NewReader(changed))
	var d *Difference
	if changed == string(b) || !errors.As(err, &d) || d.Line < 2 {
		t.Fatalf("error %v, want a Difference after the header line", err)
	}
}

// FuzzReplay checks that no input makes Replay panic.
func FuzzReplay(f *testing.F) {
	b, err := os.ReadFile("testdata/takeover.jsonl")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte("{}\n{}"))
	f.Fuzz(func(_ *testing.T, b []byte) {
		_, _ = Replay(bytes.NewReader(b))
	})
}
