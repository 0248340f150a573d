package setting

import (
	"strings"
	"testing"
	"time"
)

// validSettings returns settings that pass Check.
func validSettings() Settings {
	s := Default()
	s.Instance, s.DataCentre, s.Platform = "i1", "north", "http://127.0.0.1:1"
	s.FleetSecret, s.OperatorKeyHash = "0123456789abcdef", strings.Repeat("a", 64)
	return s
}

// TestCheck checks that every invalid setting is named by its flag or variable,
// and that no message contains a secret.
func TestCheck(t *testing.T) {
	tests := map[string]struct {
		change func(*Settings)
		want   []string
	}{
		"good":      {change: func(*Settings) {}},
		"name":      {change: func(s *Settings) { s.Instance = "A b" }, want: []string{"--instance (CATKINHEAD_INSTANCE)"}},
		"no URL":    {change: func(s *Settings) { s.Platform = "x" }, want: []string{"--platform"}},
		"window":    {change: func(s *Settings) { s.Window = time.Millisecond }, want: []string{"--window", "1s to 24h"}},
		"policy":    {change: func(s *Settings) { s.Policy = "best" }, want: []string{"--policy", "round-robin"}},
		"log level": {change: func(s *Settings) { s.LogLevel = "loud" }, want: []string{"--log-level"}},
		"two faults at once": {change: func(s *Settings) { s.DataCentre, s.Listen = "", "x" }, want: []string{
			"--data-centre (CATKINHEAD_DATA_CENTRE)", "--listen",
		}},
		"secrets not in messages": {change: func(s *Settings) { s.FleetSecret, s.OperatorKeyHash = "hush", "quiet" }, want: []string{
			"FLEET_SECRET has 4 characters", "OPERATOR_KEY_HASH",
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := validSettings()
			tc.change(&s)
			err := s.Check()
			if (err == nil) != (len(tc.want) == 0) {
				t.Fatalf("got %v", err)
			}
			for _, w := range tc.want {
				if !strings.Contains(err.Error(), w) {
					t.Errorf("missing %q in %v", w, err)
				}
			}
			if err != nil && (strings.Contains(err.Error(), "hush") || strings.Contains(err.Error(), "quiet")) {
				t.Errorf("a secret is part of %v", err)
			}
		})
	}
}
