package edge

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
)

func TestBodyBudget(t *testing.T) {
	const memory = 4 << 20
	tests := map[string]struct {
		memory int64
		// lengths are those of the bodies that are held, -1 for one without a length
		// that turns out not to be small. The last one is judged.
		lengths []int64
		fits    bool
	}{
		"two halves":              {memory, []int64{memory / 8, memory / 8}, true},
		"one too many":            {memory, []int64{memory / 8, memory / 8, memory / 8}, false},
		"small ones always fit":   {memory, []int64{memory / 4, smallBody, 1, 0}, true},
		"longer than the budget":  {memory, []int64{memory}, true},
		"second that is longer":   {memory, []int64{memory, memory}, false},
		"length is not known":     {memory, []int64{memory / 8, -1}, false},
		"alone, length not known": {memory, []int64{-1}, true},
		"no memory limit":         {0, []int64{memory, memory, memory}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBodyBudget(tt.memory)
			for i, n := range tt.lengths {
				length := max(n, 2*smallBody)
				if n >= 0 {
					length = n
				}
				body, release, err := b.read(context.Background(), strings.NewReader(strings.Repeat("x", int(length))), bodySize{n, memory, 1})
				if last := i == len(tt.lengths)-1; !last && err != nil || last && (err == nil) != tt.fits {
					t.Fatalf("body %d of %d bytes: %v", i, n, err)
				}
				if err != nil {
					if !errors.Is(err, errNoRoom) {
						t.Errorf("error is %v", err)
					}
					continue
				}
				if int64(len(body)) != length {
					t.Errorf("%d bytes were read of %d", len(body), length)
				}
				t.Cleanup(release)
			}
		})
	}
}

// TestBodyRoomIsGivenBack guards against room that is lost with a body that breaks off
// or is too long.
func TestBodyRoomIsGivenBack(t *testing.T) {
	const memory, limit = 4 << 20, 1 << 20
	b := newBodyBudget(memory)
	for range 20 {
		if _, _, err := b.read(context.Background(), strings.NewReader("cut"), bodySize{limit, limit, 1}); err == nil {
			t.Fatal("a body that broke off is complete")
		}
		var tooLarge *http.MaxBytesError
		if _, _, err := b.read(context.Background(), strings.NewReader(""), bodySize{limit + 1, limit, 1}); !errors.As(err, &tooLarge) {
			t.Fatalf("a body that is too long gives %v", err)
		}
	}
	_, release, err := b.read(context.Background(), strings.NewReader(strings.Repeat("x", limit)), bodySize{limit, limit, 1})
	if err != nil {
		t.Fatal(err)
	}
	release()
}
