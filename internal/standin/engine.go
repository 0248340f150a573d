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

// EngineConfig configures a simulated engine.
type EngineConfig struct {
	Name string
	// Slots is the number of requests that run concurrently; 0 means 8.
	Slots int
	// TokenMicros is the time per token, in microseconds; 0 means 500.
	TokenMicros int64
	// SwapMillis is how long an activation of new weights pauses all requests.
	SwapMillis int64
	// PrefillMicros is the prefill time of a prompt whose prefix is not cached.
	PrefillMicros int64
	// CachedPrefixes is the capacity of the prefix cache; 0 means 16.
	CachedPrefixes int
	// CheckFence makes the engine reject swaps with a stale fencing token.
	CheckFence bool
	// CrashOn is a text that crashes the engine when it occurs in a prompt.
	CrashOn string
	// Exit is called on a crash; nil closes the engine's server instead.
	Exit func()
	// Version of the weights at the start; 0 means 1.
	Version unit.Version
}

// EngineStats records what an engine received and generated.
type EngineStats struct {
	// Generated counts the tokens generated for each request.
	Generated map[unit.Request]unit.Tokens
	// Ended holds the requests whose last token was generated.
	Ended map[unit.Request]bool
	// Calls counts how often each plain call ran, by its body.
	Calls map[string]int
	// PrefixHits and PrefixMisses count prompts by whether their prefix was
	// cached.
	PrefixHits, PrefixMisses int
	// Seen holds the URL and headers of every request.
	Seen []string
	// LastStart is the wall time at which the newest request was admitted, in
	// Unix milliseconds.
	LastStart int64
	Swaps     []SwapRecord
}

// SwapRecord is one order to swap weights, and whether it was refused.
type SwapRecord struct {
	platform.Swap
	// At is the wall time at which the order arrived, in Unix milliseconds.
	At int64
	// From is the instance that sent the order.
	From    string
	Refused bool
}

// Engine simulates an inference engine and a plain service. It runs up to Slots
// requests concurrently, streams tokens, can swap weights between two tokens of
// a request, and serves requests without priorities.
type Engine struct {
	cfg    EngineConfig
	faults faultSet
	ln     net.Listener
	srv    *http.Server
	slots  chan struct{}

	mu           sync.Mutex
	version      unit.Version
	staged       unit.Version
	pausedUntil  time.Time
	leaving      bool
	refuseNew    bool
	running      int
	waiting      int
	highestFence unit.Fence
	stats        EngineStats
	// cachedPrefixes is in order of use, the most recently used last.
	cachedPrefixes []string
}

// prefixBytes is the length of the prompt prefix that the cache compares.
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

// Address returns the host:port that the engine listens on.
func (e *Engine) Address() string { return e.ln.Addr().String() }

// Close shuts the server down at once and breaks open connections, as a crash
// would.
func (e *Engine) Close() {
	if e.srv != nil {
		e.srv.Close()
	}
}

// StartLeaving makes the engine report in its load that it is leaving. If
// refuse is set, it also refuses new requests.
func (e *Engine) StartLeaving(refuse bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving, e.refuseNew = true, refuse
}

// Stats returns a copy of the engine's records.
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
		e.StartLeaving(r.URL.Query().Has("refuse"))
		writeJSON(w, struct{}{})
	})
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Stats()) })
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		var f Fault
		if readJSON(w, r, &f) {
			e.faults.set(f)
			writeJSON(w, struct{}{})
		}
	})
	return mux
}

// generate serves a generation request once a slot is free.
func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var request platform.GenerateRequest
	if !readJSON(w, r, &request) {
		return
	}
	if !e.admit(w, r) {
		return
	}
	if e.cfg.CrashOn != "" && strings.Contains(request.Prompt, e.cfg.CrashOn) {
		e.crash()
		panic(http.ErrAbortHandler)
	}
	e.addUnderLock(&e.waiting, 1)
	select {
	case e.slots <- struct{}{}:
		e.addUnderLock(&e.waiting, -1)
	case <-r.Context().Done():
		e.addUnderLock(&e.waiting, -1)
		return
	}
	defer func() { <-e.slots }()
	e.addUnderLock(&e.running, 1)
	defer e.addUnderLock(&e.running, -1)
	e.stream(w, r, request)
}

// admit records the request, and refuses it if the engine refuses new work.
func (e *Engine) admit(w http.ResponseWriter, r *http.Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Seen = append(e.stats.Seen, fmt.Sprintf("%s %v", r.URL, r.Header))
	if e.refuseNew {
		w.Header().Set("X-Outcome", unit.NotRun.String())
		w.Header().Set("X-Leaving", "true")
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return false
	}
	e.stats.LastStart = time.Now().UnixMilli()
	return true
}

// stream sends the tokens of a request at the configured pace.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, request platform.GenerateRequest) {
	mode, _ := e.faults.trigger("engine", r.Method, "")
	if mode == CloseEarly {
		panic(http.ErrAbortHandler)
	}
	length := AnswerLength(request.Prompt, request.Seed, request.MaxTokens)
	enc := json.NewEncoder(w)
	rc := http.NewResponseController(w)
	next := time.Now().Add(e.prefillTime(request.Prompt))
	for i := unit.Tokens(0); i < length; i++ {
		next = next.Add(time.Duration(e.cfg.TokenMicros) * time.Microsecond)
		version, at := e.scheduleToken(next)
		next = at
		if d := time.Until(next); d > 0 {
			select {
			case <-time.After(d):
			case <-r.Context().Done():
				return
			}
		}
		c := platform.Chunk{
			Request: request.Request, Index: i, Tokens: 1, Version: version,
			Text: TokenText(request.Prompt, request.Seed, i), End: i == length-1,
		}
		switch {
		case mode == Cut && i == length/2:
			panic(http.ErrAbortHandler)
		case mode == Crossed && i == length/2:
			c.Request, c.Text = "another", "another "
		case mode == Hide:
			c.Version = 0
		}
		e.recordToken(request.Request, c.End)
		if enc.Encode(c) != nil || rc.Flush() != nil {
			return
		}
	}
}

// prefillTime returns how long a prompt takes before its first token, and marks
// its prefix as most recently used.
func (e *Engine) prefillTime(prompt string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	prefix := prompt[:min(len(prompt), prefixBytes)]
	if i := slices.Index(e.cachedPrefixes, prefix); i >= 0 {
		e.stats.PrefixHits++
		e.cachedPrefixes = append(slices.Delete(e.cachedPrefixes, i, i+1), prefix)
		return 0
	}
	e.stats.PrefixMisses++
	e.cachedPrefixes = append(e.cachedPrefixes, prefix)
	if len(e.cachedPrefixes) > e.cfg.CachedPrefixes {
		e.cachedPrefixes = e.cachedPrefixes[1:]
	}
	return time.Duration(e.cfg.PrefillMicros) * time.Microsecond
}

// scheduleToken returns the weight version of the next token and the earliest
// time to send it, which is after any running weight swap.
func (e *Engine) scheduleToken(next time.Time) (unit.Version, time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.pausedUntil.After(next) {
		next = e.pausedUntil
	}
	return e.version, next
}

// recordToken counts one generated token of a request.
func (e *Engine) recordToken(id unit.Request, end bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Generated[id]++
	if end {
		e.stats.Ended[id] = true
	}
}

// call serves a call to a plain service.
func (e *Engine) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<20))
	if err != nil {
		http.Error(w, "body cut or too large", http.StatusBadRequest)
		return
	}
	if !e.admit(w, r) {
		return
	}
	mode, d := e.faults.trigger("engine", r.Method, "")
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

// load reports the engine's load and weight versions.
func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, platform.Load{
		Running: e.running, Waiting: e.waiting, Slots: e.cfg.Slots,
		Version: e.version, Staged: e.staged, Leaving: e.leaving,
	})
}

// swap stages weights and activates them if asked to.
func (e *Engine) swap(w http.ResponseWriter, r *http.Request) {
	var s platform.Swap
	if !readJSON(w, r, &s) {
		return
	}
	mode, _ := e.faults.trigger("engine", "SWAP", "")
	e.mu.Lock()
	rec := SwapRecord{Swap: s, At: time.Now().UnixMilli(), From: r.Header.Get("X-Instance")}
	if e.cfg.CheckFence && s.Fence < e.highestFence {
		rec.Refused = true
		e.stats.Swaps = append(e.stats.Swaps, rec)
		e.mu.Unlock()
		http.Error(w, "stale fence", http.StatusConflict)
		return
	}
	e.highestFence = max(e.highestFence, s.Fence)
	e.stats.Swaps = append(e.stats.Swaps, rec)
	if mode == FailSwap {
		e.mu.Unlock()
		http.Error(w, "swap failed", http.StatusInternalServerError)
		return
	}
	e.staged = max(e.staged, s.Version)
	if s.Activate && s.Version != e.version {
		e.version = s.Version
		e.pausedUntil = time.Now().Add(time.Duration(e.cfg.SwapMillis) * time.Millisecond)
	}
	e.mu.Unlock()
	if mode == LoseSwap {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, struct{}{})
}

// addUnderLock adds d to a counter of the engine.
func (e *Engine) addUnderLock(n *int, d int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	*n += d
}

// crash calls Exit, or closes the server. The pause lets the close take effect
// before the handler returns.
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
