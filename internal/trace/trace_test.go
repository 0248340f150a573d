package trace

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestRecorded replays the traces under testdata against the outcomes that
// they state.
func TestRecorded(t *testing.T) {
	files, err := filepath.Glob("testdata/*.jsonl")
	if err != nil || len(files) == 0 {
		t.Fatalf("no traces: %v", err)
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

// TestDifference changes an outcome and wants it named.
func TestDifference(t *testing.T) {
	b, err := os.ReadFile("testdata/takeover.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	changed := strings.Replace(string(b), `"Fence":2`, `"Fence":3`, 1)
	_, err = Replay(strings.NewReader(changed))
	var d *Difference
	if changed == string(b) || !errors.As(err, &d) || d.Line < 2 {
		t.Fatalf("got %v", err)
	}
}

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
