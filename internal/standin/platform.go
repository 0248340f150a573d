package standin

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
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
