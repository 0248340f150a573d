package standin

import (
	"net/http"
	"sync"
	"time"
)

// Mode is the effect of a fault.
type Mode string

// The modes of a fault. The platform's parts support Down, Slow and Lost, and
// the lists also Stale. An engine supports FailSwap and LoseSwap for swaps, Cut,
// Crossed, Hide and CloseEarly for generation, and Slow, Lost and CloseEarly for
// plain calls.
const (
	// Down responds with status 503 and does nothing else.
	Down Mode = "Down"
	// Slow delays the action and the response by Millis, even if the caller has
	// given up by then.
	Slow Mode = "Slow"
	// Lost performs the action and then breaks the connection instead of
	// responding.
	Lost Mode = "Lost"
	// Stale keeps serving the lists as they were when the fault began.
	Stale Mode = "Stale"
	// FailSwap responds to a swap with an error and does not apply it.
	FailSwap Mode = "FailSwap"
	// LoseSwap applies a swap and then breaks the connection.
	LoseSwap Mode = "LoseSwap"
	// Cut breaks the connection halfway through a stream.
	Cut Mode = "Cut"
	// Crossed replaces a chunk by one that names another request.
	Crossed Mode = "Crossed"
	// Hide omits the weight version from each chunk.
	Hide Mode = "Hide"
	// CloseEarly breaks the connection without a response, before the first token
	// of a generation or after a plain call ran.
	CloseEarly Mode = "CloseEarly"
)

// Fault is a fault of one part of the platform or of an engine.
type Fault struct {
	// Part is "store", "orders", "list", "usage", "weights" or "engine".
	Part string
	// Mode is the effect; "" ends the fault.
	Mode Mode
	// Millis is the delay of Slow.
	Millis int64
	// Count limits how many requests are affected; 0 means no limit.
	Count int
	// Methods, if set, limits the fault to these HTTP methods. A swap counts as
	// method "SWAP".
	Methods []string
	// From, if set, limits the fault to callers that send this X-Instance
	// header. It is for the platform only; an engine ignores faults that set it.
	From string
}

// faultSet holds the active faults, at most one per part and caller. The keys
// are "part/caller".
type faultSet struct {
	mu     sync.Mutex
	active map[string]*Fault
}

// set starts a fault, or ends it if its mode is empty.
func (f *faultSet) set(x Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.active == nil {
		f.active = make(map[string]*Fault)
	}
	if x.Mode == "" {
		delete(f.active, x.Part+"/"+x.From)
		return
	}
	f.active[x.Part+"/"+x.From] = &x
}

// trigger returns the mode to apply to a request, "" for none, and the delay of
// Slow. It uses up one of the fault's Count.
func (f *faultSet) trigger(part, method, from string) (Mode, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	x := f.active[part+"/"+from]
	if x == nil {
		x = f.active[part+"/"]
	}
	if x == nil || !x.matchesMethod(method) {
		return "", 0
	}
	if x.Count > 0 {
		x.Count--
		if x.Count == 0 {
			delete(f.active, x.Part+"/"+x.From)
		}
	}
	return x.Mode, time.Duration(x.Millis) * time.Millisecond
}

// matchesMethod tells whether the fault affects an HTTP method.
func (x *Fault) matchesMethod(method string) bool {
	if len(x.Methods) == 0 {
		return true
	}
	for _, m := range x.Methods {
		if m == method {
			return true
		}
	}
	return false
}

// inject returns a handler that applies the faults of a part before it calls h.
func (f *faultSet) inject(part string, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		mode, d := f.trigger(part, r.Method, r.Header.Get("X-Instance"))
		switch mode {
		case Down:
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		case Slow:
			time.Sleep(d)
		case Lost:
			h(discardWriter{header: make(http.Header)}, r)
			panic(http.ErrAbortHandler)
		}
		h(w, r)
	}
}

// discardWriter is a response writer that drops the response.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d discardWriter) WriteHeader(int)             {}
