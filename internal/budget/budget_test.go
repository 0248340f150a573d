package budget

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/catkinhead/catkinhead/pkg/unit"
)

// size is that of the budgets of the tests, in bytes.
const size = 1 << 20

// read reads a body of n bytes, whose length is announced unless unknown is set.
func read(h *Hold, n int64, unknown bool) ([]byte, error) {
	length := n
	if unknown {
		length = -1
	}
	return h.ReadBody(context.Background(), strings.NewReader(strings.Repeat("x", int(n))), length, 8*size)
}

func TestBodies(t *testing.T) {
	tests := map[string]struct {
		size int64
		// lengths are those of the bodies that are held, below 0 for one whose length is
		// not announced. The last one is judged.
		lengths []int64
		fits    bool
	}{
		"two halves":                     {size, []int64{size / 2, size / 2}, true},
		"one too many":                   {size, []int64{size / 2, size / 2, size / 2}, false},
		"small ones always fit":          {size, []int64{size, Small, 1, 0}, true},
		"longer than the budget":         {size, []int64{4 * size}, true},
		"second that is longer":          {size, []int64{4 * size, 4 * size}, false},
		"length is not known":            {size, []int64{size / 2, -size / 4}, true},
		"length is not known, no room":   {size, []int64{size / 2, size / 2, -size / 2}, false},
		"alone, length not known":        {size, []int64{-4 * size}, true},
		"second, longer, length unknown": {size, []int64{4 * size, -4 * size}, false},
		"no bound":                       {0, []int64{size, size, size}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := New(tt.size, tt.size)
			for i, n := range tt.lengths {
				h := b.Open("", nil)
				t.Cleanup(h.Close)
				body, err := read(h, max(n, -n), n < 0)
				if last := i == len(tt.lengths)-1; !last && err != nil || last && (err == nil) != tt.fits {
					t.Fatalf("body %d of %d bytes: %v", i, n, err)
				}
				if err != nil && !errors.Is(err, ErrNoRoom) {
					t.Errorf("error is %v", err)
				}
				if err == nil && int64(len(body)) != max(n, -n) {
					t.Errorf("%d bytes were read of %d", len(body), n)
				}
			}
		})
	}
}

// TestRoomIsGivenBack guards against room that is lost with a body that breaks off or is
// too long.
func TestRoomIsGivenBack(t *testing.T) {
	const limit = size / 2
	b := New(size, size)
	bodies := map[string]struct {
		text   string
		length int64
		want   error
	}{
		"cut":             {strings.Repeat("x", limit/2), limit, io.ErrUnexpectedEOF},
		"too long":        {"", limit + 1, &http.MaxBytesError{}},
		"turns too long":  {strings.Repeat("x", limit+1), -1, &http.MaxBytesError{}},
		"whole":           {strings.Repeat("x", limit), limit, nil},
		"whole, unsized":  {strings.Repeat("x", limit), -1, nil},
		"empty, unsized":  {"", -1, nil},
		"shorter unsized": {"x", -1, nil},
	}
	for name, tt := range bodies {
		for range 20 {
			h := b.Open("w", nil)
			_, err := h.ReadBody(context.Background(), strings.NewReader(tt.text), tt.length, limit)
			var tooLong *http.MaxBytesError
			if errors.As(tt.want, &tooLong) != errors.As(err, &tooLong) || (tt.want == nil) != (err == nil) {
				t.Fatalf("%s: got %v", name, err)
			}
			h.Close()
		}
	}
	if u := b.Usage(); u.Used != 0 || len(b.owned) != 0 || len(b.holds) != 0 || b.oversize != nil {
		t.Errorf("left: %+v", u)
	}
}

// silent is a body of which nothing comes until it is closed.
type silent struct{ closed chan struct{} }

func (s silent) Read([]byte) (int, error) {
	<-s.closed
	return 0, io.ErrUnexpectedEOF
}

// TestDeclaredBodyTakesNoRoom guards against one client that shuts out all others with the
// length that it declares.
func TestDeclaredBodyTakesNoRoom(t *testing.T) {
	b := New(size, size)
	stranger := silent{make(chan struct{})}
	ended := make(chan error, 1)
	go func() {
		h := b.Open("", nil)
		defer h.Close()
		_, err := h.ReadBody(context.Background(), stranger, 8*size, 8*size)
		ended <- err
	}()
	time.Sleep(20 * time.Millisecond)
	h := b.Open("", nil)
	if _, err := read(h, size, false); err != nil {
		t.Error(err)
	}
	h.Close()
	close(stranger.closed)
	<-ended
}

// TestSlowClientYields checks that a hold whose client sends nothing more yields to a
// request without room, and one whose request runs does not.
func TestSlowClientYields(t *testing.T) {
	tests := map[string]struct {
		// waits tells that the first request waits for its client.
		waits, yields bool
	}{"waits for its client": {true, true}, "is being served": {false, false}}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := New(size, size)
			var first *Hold
			var aborted atomic.Bool
			first = b.Open("", func() {
				if !aborted.Swap(true) {
					first.Close()
				}
			})
			if !first.TryGrow(size) {
				t.Fatal("no room at the start")
			}
			if tt.waits {
				first.Wait()
			}
			h := b.Open("", nil)
			defer h.Close()
			// The client is slow when this has waited for some time.
			err := h.Grow(context.Background(), size/2)
			if err != nil && tt.yields {
				err = h.Grow(context.Background(), size/2)
			}
			if (err == nil) != tt.yields || aborted.Load() != tt.yields {
				t.Errorf("got %v, aborted: %t", err, aborted.Load())
			}
		})
	}
}

// TestWorkspacesShare checks that one workspace cannot take all room, and that a smaller
// request goes ahead of larger ones.
func TestWorkspacesShare(t *testing.T) {
	b := New(size, size/2)
	grow := func(w unit.Workspace, n int64) bool { return b.Open(w, nil).TryGrow(n) }
	if !grow("a", size/4) || !grow("a", size/4) || grow("a", size/4) {
		t.Error("one workspace has more or less than half")
	}
	if !grow("b", size/2) {
		t.Error("there is no room for another workspace")
	}
}

// TestSmallerGoesFirst checks the order of those that wait.
func TestSmallerGoesFirst(t *testing.T) {
	b := New(size, size)
	first := b.Open("", nil)
	if !first.TryGrow(size) {
		t.Fatal("no room at the start")
	}
	done := make(chan int64, 2)
	for _, n := range []int64{size, size / 8} {
		go func() {
			h := b.Open("", nil)
			if h.Grow(context.Background(), n) != nil {
				done <- 0
				return
			}
			done <- n
		}()
		for b.Usage().Waiting == 0 || n < size && b.Usage().Waiting < 2 {
			time.Sleep(time.Millisecond)
		}
	}
	first.Close()
	if got := <-done; got != size/8 {
		t.Errorf("%d bytes went first", got)
	}
	if got := <-done; got != 0 {
		t.Errorf("%d bytes went too", got)
	}
}
