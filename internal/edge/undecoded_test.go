package edge

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// configurationStore is a store with one configuration object. It answers watches at
// once.
type configurationStore struct {
	*memoryStore
	object platform.Object
}

func (s *configurationStore) ListKind(context.Context, string) ([]platform.Object, unit.Revision, error) {
	return []platform.Object{s.object}, s.object.Revision, nil
}

func (s *configurationStore) Follow(ctx context.Context, _ string, _ unit.Revision, _ time.Duration) ([]platform.Change, unit.Revision, error) {
	sleep(ctx, 10*time.Millisecond)
	return nil, s.object.Revision, ctx.Err()
}

// strictDecoder decodes a configuration whose value is its version, and nothing else.
type strictDecoder struct{ platform.Decoder }

func (strictDecoder) Configuration(o platform.Object) (platform.Configuration, error) {
	if string(o.Value) != "good" {
		return platform.Configuration{}, errors.New("not known")
	}
	return platform.Configuration{Version: int64(o.Revision)}, nil
}

// TestUndecodedConfigurationIsNotConfirmed guards against keys that are accepted for ever
// although the configuration that withdraws them cannot be decoded (CONFIG).
func TestUndecodedConfigurationIsNotConfirmed(t *testing.T) {
	tests := map[string]struct {
		value     string
		confirmed bool
	}{
		"decoded": {"good", true},
		"not":     {"bad", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := testProcess(&configurationStore{&memoryStore{}, platform.Object{Key: "config/main", Value: []byte(tt.value), Revision: 7}})
			p.metrics = metrics.NewSet()
			p.deps.Decoder = strictDecoder{}
			former := testTable()
			p.state.Table = former
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			p.followConfiguration(ctx)
			p.withState(func(now clock.Millis, s *State) {
				if s.Confirmed != tt.confirmed || s.KeysFresh(now) != tt.confirmed {
					t.Errorf("confirmed %t, fresh %t, want %t", s.Confirmed, s.KeysFresh(now), tt.confirmed)
				}
				if kept := s.Table == former; kept == tt.confirmed {
					t.Errorf("the former configuration is in force: %t", kept)
				}
			})
			if n := p.metrics.GetOrCreateCounter("catkinhead_configurations_undecoded_total").Get(); (n > 0) == tt.confirmed {
				t.Errorf("%d undecoded configurations are counted", n)
			}
		})
	}
}
