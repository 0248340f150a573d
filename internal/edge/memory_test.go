package edge

import (
	"testing"

	"github.com/catkinhead/catkinhead/pkg/platform"
)

// TestMemoryPlanFits checks that all parts together are no more than the memory, on machines
// of each size, and that each part has room for what it must.
func TestMemoryPlanFits(t *testing.T) {
	const (
		mb = 1 << 20
		// usualPeers is the most connections of peers that a fleet of 71 instances needed.
		usualPeers = 142
	)
	tests := map[string]struct{ memory int64 }{
		"smallest": {112 * mb}, "small": {134 * mb}, "usual": {284 * mb}, "large": {536 * mb}, "of a test": {4 * mb},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := NewMemoryPlan(tt.memory)
			sum := int64(0)
			for part, bytes := range m.parts() {
				if bytes <= 0 {
					t.Errorf("%s has %d bytes", part, bytes)
				}
				sum += bytes
			}
			if sum > tt.memory {
				t.Errorf("%d bytes of %d", sum, tt.memory)
			}
			if tt.memory < 112*mb {
				return
			}
			l := NewListenLimits(platform.Environment{Memory: tt.memory, Sockets: 3900}, nil)
			if l.Callers.Connections < 100 || l.Peers.Connections < usualPeers {
				t.Errorf("%d connections of callers, %d of peers", l.Callers.Connections, l.Peers.Connections)
			}
			if n := newLoadLimit(m, platform.Bounds{ValueBytes: mb}); n < 1 {
				t.Errorf("%d jobs are read at once", n)
			}
		})
	}
	if m := NewMemoryPlan(0); m != (MemoryPlan{}) {
		t.Errorf("without a limit: %+v", m)
	}
	if sum := connectionPercent + peerPercent + headPercent + bodyPercent + peerCallPercent + workPercent + jobPercent + textPercent + loadPercent; sum != 100 {
		t.Errorf("the parts are %d %%", sum)
	}
}
