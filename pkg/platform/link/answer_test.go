package link

import (
	"errors"
	"strings"
	"testing"

	"github.com/catkinhead/catkinhead/pkg/platform"
)

// TestReadAllNeverCuts guards against a body over the limit that is taken for a
// whole one.
func TestReadAllNeverCuts(t *testing.T) {
	tests := map[string]struct {
		body string
		err  error
	}{
		"empty":     {"", nil},
		"at limit":  {"abcd", nil},
		"too long":  {"abcde", platform.ErrTooLong},
		"far above": {strings.Repeat("x", 1000), platform.ErrTooLong},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := ReadAll(strings.NewReader(tt.body), 4)
			if !errors.Is(err, tt.err) || err == nil && string(got) != tt.body {
				t.Errorf("got %q, %v", got, err)
			}
		})
	}
}
