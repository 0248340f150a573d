package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// EngineConfig is the shape of an engine.
type EngineConfig struct {
	Name string
	// Slots is how many requests are batched at once; 0 means 8.
	Slots int
	// TokenMicros is the time of one token in microseconds; 0 means 500.
	TokenMicros int64
	// SwapMillis is how long an activation stops the batch.
	SwapMillis int64
	// PrefillMicros is the time of a prompt whose prefix is not cached.
	PrefillMicros int64
	// CachedPrefixes is how many prefixes the cache holds; 0 means 16.
	CachedPrefixes int
	// CheckFence makes the engine refuse an older fencing number.
	CheckFence bool
	// CrashOn is a text that crashes the engine when a prompt holds it.
	CrashOn string
	// Exit is called on a crash; nil closes the engine.
	Exit func()
	// Version of the weights at the start; 0 means 1.
	Version unit.Version
}

// EngineStats is all that an engine saw.
type EngineStats struct {
	// Generated counts the tokens of each request.
	Generated map[unit.Request]unit.Tokens
	// Ended names the requests whose last token was sent.
	Ended map[unit.Request]bool
	// Calls counts the runs of each plain call by its body.
	Calls map[string]int
	// PrefixHits and PrefixMisses count prompts by their cached prefix.
	PrefixHits, PrefixMisses int
	// Seen holds every header and URL received.
	Seen []string
	// LastStart is the wall time of the newest request, in Unix milliseconds.
	LastStart int64
	Swaps     []SwapRecord
}

// SwapRecord is one weight order as it was accepted or refused.
type SwapRecord struct {
	platform.Swap
	At      int64
	From    string
	Refused bool
}

// Engine is the stand-in for a model engine and for a plain service: it
// batches continuously, streams, swaps weights between tokens and knows no
// priorities.
type Engine struct {
	cfg    EngineConfig
	faults faults
	ln     net.Listener
	srv    *http.Server
	slots  chan struct{}

	mu      sync.Mutex
	version unit.Version
	staged  unit.Version
	pausing time.Time
	leaving bool
	refuse  bool
	running int
	waiting int
	fence   unit.Fence
	stats   EngineStats
	// cache holds prefixes, the one used last at the end.
	cache []string
}

// prefixBytes is how much of a prompt the cache tells apart.
const prefixBytes = 256

// NewEngine returns an engine that does not listen yet.
func NewEngine(cfg EngineConfig) *Engine {
	if cfg.Slots == 0 {
		cfg.Slots = 8
	}
	if cfg.TokenMicros == 0 {
		cfg.TokenMicros = 500
	}
	if cfg.CachedPrefixes == 0 {
		cfg.CachedPrefixes = 16
	}
	if cfg.Version == 0 {
		cfg.Version = 1
	}
	e := &Engine{cfg: cfg, version: cfg.Version, staged: cfg.Version, slots: make(chan struct{}, cfg.Slots)}
	e.stats.Generated = make(map[unit.Request]unit.Tokens)
	e.stats.Ended = make(map[unit.Request]bool)
	e.stats.Calls = make(map[string]int)
	return e
}

// Listen starts serving at address.
func (e *Engine) Listen(address string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen for engine %s: %w", e.cfg.Name, err)
	}
	e.ln = ln
	e.srv = &http.Server{Handler: e.Handler(), ReadHeaderTimeout: 10 * time.Second}
	go e.srv.Serve(ln) //nolint:errcheck // ends with Close
	return nil
}

// Address returns host:port.
func (e *Engine) Address() string { return e.ln.Addr().String() }

// Close ends the engine at once, as a crash does.
func (e *Engine) Close() {
	if e.srv != nil {
		e.srv.Close()
	}
}

// Leave makes the engine report that it leaves, and refuse new work if refuse
// is set.
func (e *Engine) Leave(refuse bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving, e.refuse = true, refuse
}

// Stats returns a copy of what the engine saw.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stats
	s.Generated = copyMap(s.Generated)
	s.Ended = copyMap(s.Ended)
	s.Calls = copyMap(s.Calls)
	s.Seen = append([]string{}, s.Seen...)
	s.Swaps = append([]SwapRecord{}, s.Swaps...)
	return s
}

// Handler returns the HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /generate", e.generate)
	mux.HandleFunc("POST /call/{path...}", e.call)
	mux.HandleFunc("GET /load", e.load)
	mux.HandleFunc("POST /swap", e.swap)
	mux.HandleFunc("POST /leave", func(w http.ResponseWriter, r *http.Request) {
		e.Leave(r.URL.Query().Has("refuse"))
		reply(w, struct{}{})
	})
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { reply(w, e.Stats()) })
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		var f Fault
		if decode(w, r, &f) {
			e.faults.set(f)
			reply(w, struct{}{})
		}
	})
	return mux
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var work platform.Work
	if !decode(w, r, &work) {
		return
	}
	if !e.admit(w, r) {
		return
	}
	if e.cfg.CrashOn != "" && strings.Contains(work.Prompt, e.cfg.CrashOn) {
		e.crash()
		panic(http.ErrAbortHandler)
	}
	e.count(&e.waiting, 1)
	select {
	case e.slots <- struct{}{}:
		e.count(&e.waiting, -1)
	case <-r.Context().Done():
		e.count(&e.waiting, -1)
		return
	}
	defer func() { <-e.slots }()
	e.count(&e.running, 1)
	defer e.count(&e.running, -1)
	e.stream(w, r, work)
}

// admit notes the request and refuses it if the engine leaves.
func (e *Engine) admit(w http.ResponseWriter, r *http.Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Seen = append(e.stats.Seen, fmt.Sprintf("%s %v", r.URL, r.Header))
	if e.refuse {
		w.Header().Set("X-Outcome", unit.NotRun.String())
		w.Header().Set("X-Leaving", "true")
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return false
	}
	e.stats.LastStart = time.Now().UnixMilli()
	return true
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, work platform.Work) {
	mode, _ := e.faults.take("engine", r.Method, "")
	if mode == CloseEarly {
		panic(http.ErrAbortHandler)
	}
	length := Length(work.Prompt, work.Seed, work.MaxTokens)
	enc := json.NewEncoder(w)
	rc := http.NewResponseController(w)
	next := time.Now().Add(e.prefill(work.Prompt))
	for i := unit.Tokens(0); i < length; i++ {
		next = next.Add(time.Duration(e.cfg.TokenMicros) * time.Microsecond)
		version, at := e.step(next)
		next = at
		if d := time.Until(next); d > 0 {
			select {
			case <-time.After(d):
			case <-r.Context().Done():
				return
			}
		}
		c := platform.Chunk{
			Request: work.Request, Index: i, Tokens: 1, Version: version,
			Text: Word(work.Prompt, work.Seed, i), End: i == length-1,
		}
		switch {
		case mode == Cut && i == length/2:
			panic(http.ErrAbortHandler)
		case mode == Crossed && i == length/2:
			c.Request, c.Text = "another", "another "
		case mode == Hide:
			c.Version = 0
		}
		e.note(work.Request, c.End)
		if enc.Encode(c) != nil || rc.Flush() != nil {
			return
		}
	}
}

// prefill returns how long a prompt takes before its first token, and notes
// its prefix as the one used last.
func (e *Engine) prefill(prompt string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	prefix := prompt[:min(len(prompt), prefixBytes)]
	if i := slices.Index(e.cache, prefix); i >= 0 {
		e.stats.PrefixHits++
		e.cache = append(slices.Delete(e.cache, i, i+1), prefix)
		return 0
	}
	e.stats.PrefixMisses++
	e.cache = append(e.cache, prefix)
	if len(e.cache) > e.cfg.CachedPrefixes {
		e.cache = e.cache[1:]
	}
	return time.Duration(e.cfg.PrefillMicros) * time.Microsecond
}

// step returns the version of the next token and when it may come: a swap
// holds the whole batch up.
func (e *Engine) step(next time.Time) (unit.Version, time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.pausing.After(next) {
		next = e.pausing
	}
	return e.version, next
}

func (e *Engine) note(id unit.Request, end bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Generated[id]++
	if end {
		e.stats.Ended[id] = true
	}
}

func (e *Engine) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<20))
	if err != nil {
		http.Error(w, "body cut or too large", http.StatusBadRequest)
		return
	}
	if !e.admit(w, r) {
		return
	}
	mode, d := e.faults.take("engine", r.Method, "")
	if mode == Slow {
		time.Sleep(d)
	}
	e.mu.Lock()
	e.stats.Calls[string(body)]++
	e.mu.Unlock()
	if mode == Lost || mode == CloseEarly {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "text/plain")
	fmt.Fprintf(w, "done: %s", body)
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reply(w, platform.Load{
		Running: e.running, Waiting: e.waiting, Slots: e.cfg.Slots,
		Version: e.version, Staged: e.staged, Leaving: e.leaving,
	})
}

func (e *Engine) swap(w http.ResponseWriter, r *http.Request) {
	var s platform.Swap
	if !decode(w, r, &s) {
		return
	}
	mode, _ := e.faults.take("engine", "SWAP", "")
	e.mu.Lock()
	rec := SwapRecord{Swap: s, At: time.Now().UnixMilli(), From: r.Header.Get("X-Instance")}
	if e.cfg.CheckFence && s.Fence < e.fence {
		rec.Refused = true
		e.stats.Swaps = append(e.stats.Swaps, rec)
		e.mu.Unlock()
		http.Error(w, "stale fence", http.StatusConflict)
		return
	}
	e.fence = max(e.fence, s.Fence)
	e.stats.Swaps = append(e.stats.Swaps, rec)
	if mode == FailSwap {
		e.mu.Unlock()
		http.Error(w, "swap failed", http.StatusInternalServerError)
		return
	}
	e.staged = max(e.staged, s.Version)
	if s.Activate && s.Version != e.version {
		e.version = s.Version
		e.pausing = time.Now().Add(time.Duration(e.cfg.SwapMillis) * time.Millisecond)
	}
	e.mu.Unlock()
	if mode == LoseSwap {
		panic(http.ErrAbortHandler)
	}
	reply(w, struct{}{})
}

func (e *Engine) count(n *int, d int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	*n += d
}

func (e *Engine) crash() {
	if e.cfg.Exit != nil {
		e.cfg.Exit()
		return
	}
	go e.Close()
	time.Sleep(20 * time.Millisecond)
}

func copyMap[K comparable, V any](m map[K]V) map[K]V {
	out := make(map[K]V, len(m))
	for k, v := range m {
		out[k] = v
	}
	return out
}
