package link

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestReadIsRepeatedOnceAndCounted guards against reads that are sent again below the
// retry policy, where nothing counts them, and against writes that are sent again.
func TestReadIsRepeatedOnceAndCounted(t *testing.T) {
	tests := map[string]struct {
		method  string
		repeats int
	}{
		"read": {http.MethodGet, 1}, "write": {http.MethodPost, 0}, "deletion": {http.MethodDelete, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			address, heads := losingReceiver(t)
			repeats := 0
			client := NewReadingClient(4, nil, func() { repeats++ })
			send := func() error {
				req, err := http.NewRequest(tt.method, "http://"+address+"/x", strings.NewReader(""))
				if err != nil {
					t.Fatal(err)
				}
				req.GetBody = nil
				res, err := client.Do(req)
				if err != nil {
					return err
				}
				return res.Body.Close()
			}
			if err := send(); err != nil {
				t.Fatal(err)
			}
			// The receiver closes the kept connection instead of answering.
			if err := send(); (err == nil) != (tt.repeats > 0) {
				t.Errorf("error %v after %d repetitions", err, repeats)
			}
			if repeats != tt.repeats {
				t.Errorf("%d repetitions were counted, want %d", repeats, tt.repeats)
			}
			for range 2 + tt.repeats {
				<-heads
			}
			select {
			case again := <-heads:
				t.Errorf("the request was sent again: %q", again)
			case <-time.After(20 * time.Millisecond):
			}
		})
	}
}
