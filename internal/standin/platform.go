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

// Platform simulates the platform that catkinhead runs on. The zero value is
// ready to use; serve its Handler.
type Platform struct {
	// CheckFence makes the platform reject orders with a stale fencing token.
	CheckFence bool
	// StartMillis is how long an ordered target takes to start.
	StartMillis int64
	// LagMillis is how far the lists lag behind the actual state.
	LagMillis int64
	// Engine configures the engines that the platform starts.
	Engine EngineConfig

	objects MemoryStore
	faults  faultSet

	mu        sync.Mutex
	targets   []platform.TargetState
	instances []platform.InstanceState
	snapshots []listSnapshot
	// frozen, if set, is the snapshot that a Stale fault keeps serving.
	frozen             *listSnapshot
	versions           map[unit.Pool][]unit.Version
	orders             []OrderRecord
	appliedOrders      map[string]bool
	highestFence       map[unit.DataCentre]unit.Fence
	windows            map[string]json.RawMessage
	windowAcceptedAt   map[string]int64
	conflictingReports int
	storeCalls         int64
	storeCallsBy       map[string]int64
	running            map[unit.Target]*Engine
	started            int
}

// OrderRecord is one order, and whether it was refused.
type OrderRecord struct {
	platform.Order
	// At is the wall time at which the order arrived, in Unix milliseconds.
	At int64
	// From is the instance that sent the order.
	From    string
	Refused bool
}

// PlatformStats records the requests that the platform received.
type PlatformStats struct {
	Orders []OrderRecord
	// Windows holds the accepted usage reports by window number.
	Windows map[string]json.RawMessage
	// WindowAt is when each window was first accepted, in Unix milliseconds.
	WindowAt map[string]int64
	// Different counts usage reports that were rejected because the window was
	// already reported with other content.
	Different int
	// StoreCalls counts calls to the object store.
	StoreCalls int64
	// ByCaller splits StoreCalls by calling instance.
	ByCaller map[string]int64
	Targets  []platform.TargetState
}

// Handler returns the HTTP interface.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{key}", p.withStoreFaults(p.getObject))
	mux.HandleFunc("PUT /objects/{key}", p.withStoreFaults(p.putObject))
	mux.HandleFunc("DELETE /objects/{key}", p.withStoreFaults(p.deleteObject))
	mux.HandleFunc("GET /objects", p.withStoreFaults(p.listObjects))
	mux.HandleFunc("GET /watch", p.withStoreFaults(p.watch))
	mux.HandleFunc("POST /orders", p.faults.inject("orders", p.order))
	mux.HandleFunc("GET /targets", p.faults.inject("list", p.listTargets))
	mux.HandleFunc("POST /targets", p.addTarget)
	mux.HandleFunc("GET /instances", p.faults.inject("list", p.listInstances))
	mux.HandleFunc("POST /instances", p.addInstance)
	mux.HandleFunc("GET /weights", p.faults.inject("weights", p.listVersions))
	mux.HandleFunc("POST /weights", p.addVersion)
	mux.HandleFunc("POST /usage", p.faults.inject("usage", p.usage))
	mux.HandleFunc("POST /faults", p.setFault)
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Stats()) })
	return mux
}

// Stats returns a copy of the platform's records.
func (p *Platform) Stats() PlatformStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := PlatformStats{
		Orders:    append([]OrderRecord{}, p.orders...),
		Windows:   make(map[string]json.RawMessage),
		WindowAt:  copyMap(p.windowAcceptedAt),
		Different: p.conflictingReports, StoreCalls: p.storeCalls,
		ByCaller: make(map[string]int64),
		Targets:  append([]platform.TargetState{}, p.targets...),
	}
	for k, v := range p.windows {
		s.Windows[k] = v
	}
	for k, v := range p.storeCallsBy {
		s.ByCaller[k] = v
	}
	return s
}

// AddTarget adds a running target to the list of targets, or replaces its
// entry.
func (p *Platform) AddTarget(t platform.TargetState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.targets {
		if p.targets[i].Target == t.Target {
			p.targets[i] = t
			p.recordSnapshot()
			return
		}
	}
	p.targets = append(p.targets, t)
	p.recordSnapshot()
}

// AddInstance adds a catkinhead process to the list of instances, or replaces
// its entry.
func (p *Platform) AddInstance(x platform.InstanceState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.instances {
		if p.instances[i].Instance == x.Instance {
			p.instances[i] = x
			p.recordSnapshot()
			return
		}
	}
	p.instances = append(p.instances, x)
	p.recordSnapshot()
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

// Close stops the engines that the platform started.
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
	writeJSON(w, append([]unit.Version{}, vs...))
}

func (p *Platform) addVersion(w http.ResponseWriter, r *http.Request) {
	var x struct {
		Pool    unit.Pool
		Version unit.Version
	}
	if readJSON(w, r, &x) {
		p.Publish(x.Pool, x.Version)
		writeJSON(w, struct{}{})
	}
}

// usage accepts a usage report. A window that was reported before must come
// with the same bytes.
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
		p.windowAcceptedAt = make(map[string]int64)
	}
	old, ok := p.windows[key]
	if ok && !bytes.Equal(old, body) {
		p.conflictingReports++
		http.Error(w, "window holds other figures", http.StatusUnprocessableEntity)
		return
	}
	if !ok {
		p.windowAcceptedAt[key] = time.Now().UnixMilli()
	}
	p.windows[key] = body
	writeJSON(w, struct{}{})
}

// setFault starts or ends a fault. Stale also freezes the lists.
func (p *Platform) setFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if !readJSON(w, r, &f) {
		return
	}
	if f.Part == "list" {
		p.setFrozen(f.Mode == Stale)
	}
	p.faults.set(f)
	writeJSON(w, struct{}{})
}
