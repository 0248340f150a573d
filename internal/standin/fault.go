package standin

import (
	"net/http"
	"sync"
	"time"
)

// Mode is what a faulty part does.
type Mode string

// The modes of a fault.
const (
	// Down answers 503 without doing anything.
	Down Mode = "Down"
	// Slow acts and answers after Millis, also when the caller gave up.
	Slow Mode = "Slow"
	// Lost takes effect and then breaks the connection.
	Lost Mode = "Lost"
	// Stale answers the lists as they stood when the fault began.
	Stale Mode = "Stale"
	// FailSwap refuses the next swap after half of its time.
	FailSwap Mode = "FailSwap"
	// LoseSwap activates and then breaks the connection.
	LoseSwap Mode = "LoseSwap"
	// Cut breaks a stream in its middle.
	Cut Mode = "Cut"
	// Crossed sends a chunk of another request.
	Crossed Mode = "Crossed"
	// Hide leaves the version out of each chunk.
	Hide Mode = "Hide"
	// CloseEarly resets the connection after reading the request.
	CloseEarly Mode = "CloseEarly"
)

// Fault is one fault of one part.
type Fault struct {
	// Part is "store", "orders", "list", "usage", "weights" or "engine".
	Part string
	// Mode "" ends the fault.
	Mode Mode
	// Millis is the delay of Slow.
	Millis int64
	// Count bounds how often it strikes; 0 is until it is ended.
	Count int
	// Methods, if set, limits the fault to these HTTP methods.
	Methods []string
	// From, if set, limits the fault to callers that present this name.
	From string
}

// faults holds at most one fault a part and caller.
type faults struct {
	mu sync.Mutex
	by map[string]*Fault
}

func (f *faults) set(x Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.by == nil {
		f.by = make(map[string]*Fault)
	}
	if x.Mode == "" {
		delete(f.by, x.Part+"/"+x.From)
		return
	}
	f.by[x.Part+"/"+x.From] = &x
}

// take returns the mode that strikes now, and the delay of Slow.
func (f *faults) take(part, method, from string) (Mode, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	x := f.by[part+"/"+from]
	if x == nil {
		x = f.by[part+"/"]
	}
	if x == nil || !x.covers(method) {
		return "", 0
	}
	if x.Count > 0 {
		x.Count--
		if x.Count == 0 {
			delete(f.by, x.Part+"/"+x.From)
		}
	}
	return x.Mode, time.Duration(x.Millis) * time.Millisecond
}

func (x *Fault) covers(method string) bool {
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

// wrap makes a handler suffer the faults of a part.
func (f *faults) wrap(part string, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		mode, d := f.take(part, r.Method, r.Header.Get("X-Instance"))
		switch mode {
		case Down:
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		case Slow:
			time.Sleep(d)
		case Lost:
			h(discard{header: make(http.Header)}, r)
			panic(http.ErrAbortHandler)
		}
		h(w, r)
	}
}

// discard is a response that nobody reads.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}
