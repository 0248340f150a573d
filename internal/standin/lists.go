package standin

import (
	"net/http"
	"time"

	"github.com/catkinhead/catkinhead/pkg/platform"
)

// listSnapshot is the content of both lists at one time.
type listSnapshot struct {
	at        time.Time
	targets   []platform.TargetState
	instances []platform.InstanceState
}

func (p *Platform) listTargets(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	writeJSON(w, p.visibleSnapshot().targets)
}

func (p *Platform) listInstances(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	writeJSON(w, p.visibleSnapshot().instances)
}

// recordSnapshot saves the current lists. The caller holds p.mu.
func (p *Platform) recordSnapshot() {
	p.snapshots = append(p.snapshots, listSnapshot{
		at:        time.Now(),
		targets:   append([]platform.TargetState{}, p.targets...),
		instances: append([]platform.InstanceState{}, p.instances...),
	})
}

// visibleSnapshot returns the newest snapshot that is at least LagMillis old,
// or the frozen one. The caller holds p.mu.
func (p *Platform) visibleSnapshot() listSnapshot {
	if p.frozen != nil {
		return *p.frozen
	}
	limit := time.Now().Add(-time.Duration(p.LagMillis) * time.Millisecond)
	for i := len(p.snapshots) - 1; i >= 0; i-- {
		if !p.snapshots[i].at.After(limit) {
			return p.snapshots[i]
		}
	}
	return listSnapshot{targets: []platform.TargetState{}, instances: []platform.InstanceState{}}
}

func (p *Platform) addTarget(w http.ResponseWriter, r *http.Request) {
	var t platform.TargetState
	if readJSON(w, r, &t) {
		p.AddTarget(t)
		writeJSON(w, struct{}{})
	}
}

func (p *Platform) addInstance(w http.ResponseWriter, r *http.Request) {
	var x platform.InstanceState
	if readJSON(w, r, &x) {
		p.AddInstance(x)
		writeJSON(w, struct{}{})
	}
}

// setFrozen freezes the lists at the content that is visible now, or ends the
// freeze.
func (p *Platform) setFrozen(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = nil
	if on {
		s := p.visibleSnapshot()
		p.frozen = &s
	}
}
