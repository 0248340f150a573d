package standin

import (
	"net/http"
	"time"

	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// order accepts a target order, unless its fencing token is stale. An order
// that repeats an earlier ID has no further effect.
func (p *Platform) order(w http.ResponseWriter, r *http.Request) {
	var o platform.Order
	if !readJSON(w, r, &o) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	rec := OrderRecord{Order: o, At: time.Now().UnixMilli(), From: r.Header.Get("X-Instance")}
	if p.highestFence == nil {
		p.highestFence = make(map[unit.DataCentre]unit.Fence)
		p.appliedOrders = make(map[string]bool)
	}
	if p.CheckFence && o.Fence < p.highestFence[o.DataCentre] {
		rec.Refused = true
		p.orders = append(p.orders, rec)
		http.Error(w, "stale fence", http.StatusConflict)
		return
	}
	p.highestFence[o.DataCentre] = max(o.Fence, p.highestFence[o.DataCentre])
	p.orders = append(p.orders, rec)
	if !p.appliedOrders[o.ID] {
		p.appliedOrders[o.ID] = true
		p.applyOrder(o)
	}
	writeJSON(w, struct{}{})
}

// applyOrder starts or stops a target. The caller holds p.mu.
func (p *Platform) applyOrder(o platform.Order) {
	switch o.Kind {
	case platform.Start:
		time.AfterFunc(time.Duration(p.StartMillis)*time.Millisecond, func() { p.startTarget(o) })
	case platform.Stop:
		for i := range p.targets {
			if p.targets[i].Target == o.Target {
				p.targets[i].Leaving = true
			}
		}
		p.recordSnapshot()
		if e := p.running[o.Target]; e != nil {
			e.StartLeaving(true)
		}
	}
}

// startTarget runs an engine for the ordered target and adds it to the list.
func (p *Platform) startTarget(o platform.Order) {
	cfg := p.Engine
	cfg.Name = string(o.Target)
	e := NewEngine(cfg)
	if err := e.Listen("127.0.0.1:0"); err != nil {
		return
	}
	p.mu.Lock()
	if p.running == nil {
		p.running = make(map[unit.Target]*Engine)
	}
	p.running[o.Target] = e
	p.mu.Unlock()
	p.AddTarget(platform.TargetState{Target: o.Target, Pool: o.Pool, DataCentre: o.DataCentre, Address: e.Address()})
}
