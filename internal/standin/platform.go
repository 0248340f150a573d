package standin

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// Platform is the stand-in for the operators' platform. Serve its Handler.
type Platform struct {
	// CheckFence makes the order interface refuse an older fencing number.
	CheckFence bool
	// StartMillis is how long a started target takes to come up.
	StartMillis int64
	// LagMillis is how old the lists are.
	LagMillis int64
	// Engine is the shape of the engines it starts.
	Engine EngineConfig

	objects Objects
	faults  faults

	mu        sync.Mutex
	targets   []platform.TargetState
	instances []platform.InstanceState
	lists     []snapshot
	frozen    *snapshot
	versions  map[unit.Pool][]unit.Version
	orders    []OrderRecord
	byOrderID map[string]bool
	highest   map[unit.DataCentre]unit.Fence
	windows   map[string]json.RawMessage
	windowAt  map[string]int64
	different int
	calls     int64
	byCaller  map[string]int64
	running   map[unit.Target]*Engine
	started   int
}

// snapshot is the lists as they stood at a time.
type snapshot struct {
	at        time.Time
	targets   []platform.TargetState
	instances []platform.InstanceState
}

// OrderRecord is one order as it was accepted or refused.
type OrderRecord struct {
	platform.Order
	// At is the wall time of receipt, in Unix milliseconds.
	At      int64
	From    string
	Refused bool
}

// PlatformStats is all that the platform saw.
type PlatformStats struct {
	Orders []OrderRecord
	// Windows holds the bytes accepted, by window number.
	Windows map[string]json.RawMessage
	// WindowAt is when each window was first accepted, in Unix milliseconds.
	WindowAt map[string]int64
	// Different counts reports that differed from the bytes accepted.
	Different int
	// StoreCalls counts calls to the object API.
	StoreCalls int64
	ByCaller   map[string]int64
	Targets    []platform.TargetState
}

// Handler returns the HTTP interface.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{key}", p.store(p.getObject))
	mux.HandleFunc("PUT /objects/{key}", p.store(p.putObject))
	mux.HandleFunc("DELETE /objects/{key}", p.store(p.deleteObject))
	mux.HandleFunc("GET /objects", p.store(p.listObjects))
	mux.HandleFunc("GET /watch", p.store(p.watch))
	mux.HandleFunc("POST /orders", p.faults.wrap("orders", p.order))
	mux.HandleFunc("GET /targets", p.faults.wrap("list", p.listTargets))
	mux.HandleFunc("POST /targets", p.addTarget)
	mux.HandleFunc("GET /instances", p.faults.wrap("list", p.listInstances))
	mux.HandleFunc("POST /instances", p.addInstance)
	mux.HandleFunc("GET /weights", p.faults.wrap("weights", p.listVersions))
	mux.HandleFunc("POST /weights", p.addVersion)
	mux.HandleFunc("POST /usage", p.faults.wrap("usage", p.usage))
	mux.HandleFunc("POST /faults", p.setFault)
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { reply(w, p.Stats()) })
	return mux
}

// Stats returns what the platform saw so far.
func (p *Platform) Stats() PlatformStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := PlatformStats{
		Orders:    append([]OrderRecord{}, p.orders...),
		Windows:   make(map[string]json.RawMessage),
		WindowAt:  copyMap(p.windowAt),
		Different: p.different, StoreCalls: p.calls,
		ByCaller: make(map[string]int64),
		Targets:  append([]platform.TargetState{}, p.targets...),
	}
	for k, v := range p.windows {
		s.Windows[k] = v
	}
	for k, v := range p.byCaller {
		s.ByCaller[k] = v
	}
	return s
}

// AddTarget lists a target that runs already.
func (p *Platform) AddTarget(t platform.TargetState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.targets {
		if p.targets[i].Target == t.Target {
			p.targets[i] = t
			p.snap()
			return
		}
	}
	p.targets = append(p.targets, t)
	p.snap()
}

// AddInstance lists a catkinhead process.
func (p *Platform) AddInstance(x platform.InstanceState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.instances {
		if p.instances[i].Instance == x.Instance {
			p.instances[i] = x
			p.snap()
			return
		}
	}
	p.instances = append(p.instances, x)
	p.snap()
}

// Publish adds a version of a pool's weights to the weight store.
func (p *Platform) Publish(pool unit.Pool, v unit.Version) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.versions == nil {
		p.versions = make(map[unit.Pool][]unit.Version)
	}
	p.versions[pool] = append(p.versions[pool], v)
}

// Close ends the engines that the platform started.
func (p *Platform) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.running {
		e.Close()
	}
}

// store counts and applies the faults of the object API.
func (p *Platform) store(h http.HandlerFunc) http.HandlerFunc {
	h = p.faults.wrap("store", h)
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		p.calls++
		if p.byCaller == nil {
			p.byCaller = make(map[string]int64)
		}
		p.byCaller[r.Header.Get("X-Instance")]++
		p.mu.Unlock()
		h(w, r)
	}
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	o, err := p.objects.Get(r.Context(), r.PathValue("key"))
	answer(w, o, err)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<20))
	if err != nil {
		http.Error(w, "value above one megabyte or cut", http.StatusRequestEntityTooLarge)
		return
	}
	rev, err := p.objects.Put(r.Context(), r.PathValue("key"), b, revOf(r, "if"))
	answer(w, platform.Object{Revision: rev}, err)
}

func (p *Platform) deleteObject(w http.ResponseWriter, r *http.Request) {
	err := p.objects.Delete(r.Context(), r.PathValue("key"), revOf(r, "if"))
	answer(w, struct{}{}, err)
}

func (p *Platform) listObjects(w http.ResponseWriter, r *http.Request) {
	objs, err := p.objects.List(r.Context(), r.URL.Query().Get("prefix"))
	answer(w, objs, err)
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	rev, err := p.objects.Watch(r.Context(), r.URL.Query().Get("prefix"), revOf(r, "after"))
	answer(w, rev, err)
}

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

func (p *Platform) listVersions(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	vs := p.versions[unit.Pool(r.URL.Query().Get("pool"))]
	reply(w, append([]unit.Version{}, vs...))
}

func (p *Platform) addVersion(w http.ResponseWriter, r *http.Request) {
	var x struct {
		Pool    unit.Pool
		Version unit.Version
	}
	if decode(w, r, &x) {
		p.Publish(x.Pool, x.Version)
		reply(w, struct{}{})
	}
}

func (p *Platform) usage(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 4<<20))
	if err != nil {
		http.Error(w, "body too large or cut", http.StatusRequestEntityTooLarge)
		return
	}
	key := r.URL.Query().Get("window")
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.windows == nil {
		p.windows = make(map[string]json.RawMessage)
		p.windowAt = make(map[string]int64)
	}
	old, ok := p.windows[key]
	if ok && !bytes.Equal(old, body) {
		p.different++
		http.Error(w, "window holds other figures", http.StatusUnprocessableEntity)
		return
	}
	if !ok {
		p.windowAt[key] = time.Now().UnixMilli()
	}
	p.windows[key] = body
	reply(w, struct{}{})
}

func (p *Platform) setFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if !decode(w, r, &f) {
		return
	}
	if f.Part == "list" {
		p.freeze(f.Mode == Stale)
	}
	p.faults.set(f)
	reply(w, struct{}{})
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

func revOf(r *http.Request, name string) unit.Revision {
	n, _ := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	return unit.Revision(n)
}

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, 4<<20))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		http.Error(w, fmt.Sprintf("body: %v", err), http.StatusBadRequest)
		return false
	}
	return true
}

func answer(w http.ResponseWriter, v any, err error) {
	switch {
	case errors.Is(err, platform.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, platform.ErrConflict):
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		reply(w, v)
	}
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
