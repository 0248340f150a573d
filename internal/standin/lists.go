package standin

import (
	"net/http"
	"time"

	"github.com/catkinhead/catkinhead/pkg/platform"
)

// snapshot is the lists as they stood at a time.
type snapshot struct {
	at        time.Time
	targets   []platform.TargetState
	instances []platform.InstanceState
}

func (p *Platform) listTargets(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	reply(w, p.lagged().targets)
}

func (p *Platform) listInstances(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	reply(w, p.lagged().instances)
}

// snap remembers the lists as they stand; p.mu is held.
func (p *Platform) snap() {
	p.lists = append(p.lists, snapshot{
		at:        time.Now(),
		targets:   append([]platform.TargetState{}, p.targets...),
		instances: append([]platform.InstanceState{}, p.instances...),
	})
}

// lagged returns the newest snapshot that is old enough; p.mu is held.
func (p *Platform) lagged() snapshot {
	if p.frozen != nil {
		return *p.frozen
	}
	limit := time.Now().Add(-time.Duration(p.LagMillis) * time.Millisecond)
	for i := len(p.lists) - 1; i >= 0; i-- {
		if !p.lists[i].at.After(limit) {
			return p.lists[i]
		}
	}
	return snapshot{targets: []platform.TargetState{}, instances: []platform.InstanceState{}}
}

func (p *Platform) addTarget(w http.ResponseWriter, r *http.Request) {
	var t platform.TargetState
	if decode(w, r, &t) {
		p.AddTarget(t)
		reply(w, struct{}{})
	}
}

func (p *Platform) addInstance(w http.ResponseWriter, r *http.Request) {
	var x platform.InstanceState
	if decode(w, r, &x) {
		p.AddInstance(x)
		reply(w, struct{}{})
	}
}

// freeze keeps the lists as they are, or lets them go on.
func (p *Platform) freeze(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = nil
	if on {
		s := p.lagged()
		p.frozen = &s
	}
}
