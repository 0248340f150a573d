package standin

import (
	"net/http"
	"time"

	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

func (p *Platform) order(w http.ResponseWriter, r *http.Request) {
	var o platform.Order
	if !decode(w, r, &o) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	rec := OrderRecord{Order: o, At: time.Now().UnixMilli(), From: r.Header.Get("X-Instance")}
	if p.highest == nil {
		p.highest = make(map[unit.DataCentre]unit.Fence)
		p.byOrderID = make(map[string]bool)
	}
	if p.CheckFence && o.Fence < p.highest[o.DataCentre] {
		rec.Refused = true
		p.orders = append(p.orders, rec)
		http.Error(w, "stale fence", http.StatusConflict)
		return
	}
	p.highest[o.DataCentre] = max(o.Fence, p.highest[o.DataCentre])
	p.orders = append(p.orders, rec)
	if !p.byOrderID[o.ID] {
		p.byOrderID[o.ID] = true
		p.carryOut(o)
	}
	reply(w, struct{}{})
}

// carryOut starts or stops a target; p.mu is held.
func (p *Platform) carryOut(o platform.Order) {
	switch o.Kind {
	case platform.Start:
		time.AfterFunc(time.Duration(p.StartMillis)*time.Millisecond, func() { p.bringUp(o) })
	case platform.Stop:
		for i := range p.targets {
			if p.targets[i].Target == o.Target {
				p.targets[i].Leaving = true
			}
		}
		p.snap()
		if e := p.running[o.Target]; e != nil {
			e.Leave(true)
		}
	}
}

func (p *Platform) bringUp(o platform.Order) {
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
