package rig2

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Mode is how the store treats the calls of a machine.
type Mode int32

// The modes of an Access.
const (
	// Serving answers calls.
	Serving Mode = iota
	// Busy answers all calls with 503.
	Busy
	// Silent reads calls and answers nothing.
	Silent
)

const (
	// answerTime is the time that the store takes for an answer.
	answerTime = 4 * time.Millisecond
	// maxItems and maxPageBytes bound a page of a list.
	maxItems     = 500
	maxPageBytes = 1 << 20
)

// Store is a stand-in of the platform's metadata store. It keeps its whole history.
type Store struct {
	mu      sync.Mutex
	rev     int64
	objects map[string]*Object
	events  []storeEvent
	changed chan struct{}
	record  *Record
}

// Object is an object of the store.
type Object struct {
	Metadata struct {
		Name       string   `json:"name"`
		Rev        int64    `json:"rev"`
		Created    int64    `json:"created"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
	kind   string
}

type storeEvent struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// NewStore returns an empty store.
func NewStore(r *Record) *Store {
	return &Store{rev: 100, objects: make(map[string]*Object), changed: make(chan struct{}), record: r}
}

// Access is the way of one machine to the store.
type Access struct {
	Address string
	mode    atomic.Int32
	store   *Store
	server  *http.Server
}

// SetMode sets how the store treats the calls of the machine from now on.
func (a *Access) SetMode(m Mode) { a.mode.Store(int32(m)) }

// Listen opens a way to the store.
func (s *Store) Listen() (*Access, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for the store: %w", err)
	}
	a := &Access{Address: ln.Addr().String(), store: s}
	a.server = &http.Server{Handler: a, ReadHeaderTimeout: time.Minute}
	go func() { _ = a.server.Serve(ln) }()
	return a, nil
}

// Close ends the way to the store.
func (a *Access) Close() { _ = a.server.Close() }

// ServeHTTP answers a call of the machine, or treats it as the mode says.
func (a *Access) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	switch Mode(a.mode.Load()) {
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Silent:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	a.store.serve(w, r)
}

// Set writes the spec of an object, as an operator, a worker or a trainer does.
func (s *Store) Set(kind, name, spec string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, func(o *Object) { o.Spec = json.RawMessage(spec) })
	if s.record != nil {
		s.record.Add("store: %s/%s written and acknowledged: %.300s", kind, name, strings.ReplaceAll(spec, "\n", " "))
	}
}

// Remove removes an object, as a worker that leaves does with its entry.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.objects[kind+"/"+name]
	if old == nil {
		return
	}
	delete(s.objects, kind+"/"+name)
	s.rev++
	gone := *old
	gone.Metadata.Rev = s.rev
	s.addEvent(storeEvent{Object: gone, Deleted: true})
	if s.record != nil {
		s.record.Add("store: %s/%s removed", kind, name)
	}
}

// Names returns the names of the objects of a kind.
func (s *Store) Names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, o := range s.objects {
		if o.kind == kind {
			out = append(out, o.Metadata.Name)
		}
	}
	slices.Sort(out)
	return out
}

// put changes an object, which is created if there is none. s.mu must be held.
func (s *Store) put(kind, name string, change func(*Object)) *Object {
	s.rev++
	o := &Object{kind: kind, Spec: json.RawMessage("null"), Status: json.RawMessage("null")}
	if old := s.objects[kind+"/"+name]; old != nil {
		*o = *old
	} else {
		o.Metadata.Created = s.rev
	}
	change(o)
	o.Metadata.Name, o.Metadata.Rev = name, s.rev
	s.objects[kind+"/"+name] = o
	s.addEvent(storeEvent{Object: *o})
	return o
}

func (s *Store) addEvent(e storeEvent) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	name, isStatus := strings.CutSuffix(name, "/status")
	q := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && name == "" && q.Get("watch") != "":
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, q.Get("after"))
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o := s.objects[kind+"/"+name]
		s.mu.Unlock()
		if o == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answerJSON(w, http.StatusOK, o)
	default:
		s.write(w, r, kind, name, isStatus)
	}
}

func (s *Store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	items, size, more := []*Object{}, 0, false
	names := []string{}
	for _, o := range s.objects {
		if o.kind == kind && o.Metadata.Name > after {
			names = append(names, o.Metadata.Name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		o := s.objects[kind+"/"+name]
		size += len(o.Spec) + len(o.Status) + 200
		if len(items) > 0 && (len(items) >= maxItems || size > maxPageBytes) {
			more = true
			break
		}
		items = append(items, o)
	}
	answer := map[string]any{"items": items, "more_pages": more, "as_of": s.rev}
	s.mu.Unlock()
	answerJSON(w, http.StatusOK, answer)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	limit := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []storeEvent{}
		for _, e := range s.events {
			if e.Object.kind == kind && e.Object.Metadata.Rev > after {
				events = append(events, e)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answerJSON(w, http.StatusOK, map[string]any{"events": events, "as_of": rev})
			return
		}
		select {
		case <-changed:
		case <-limit:
			answerJSON(w, http.StatusOK, map[string]any{"events": events, "as_of": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string, isStatus bool) {
	var in Object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	} else {
		in.Metadata.Rev, _ = strconv.ParseInt(r.URL.Query().Get("rev"), 10, 64)
	}
	s.mu.Lock()
	old := s.objects[kind+"/"+name]
	status, o := http.StatusOK, old
	switch {
	case r.Method == http.MethodPost && old != nil, old != nil && in.Metadata.Rev != 0 && in.Metadata.Rev != old.Metadata.Rev:
		status = http.StatusConflict
	case r.Method != http.MethodPost && old == nil:
		status = http.StatusNotFound
	case r.Method == http.MethodDelete:
		delete(s.objects, kind+"/"+name)
		s.rev++
		gone := *old
		gone.Metadata.Rev = s.rev
		s.addEvent(storeEvent{Object: gone, Deleted: true})
	case isStatus:
		o = s.put(kind, name, func(o *Object) { o.Status = in.Status })
	default:
		o = s.put(kind, name, func(o *Object) { o.Spec, o.Metadata.Finalizers = in.Spec, in.Metadata.Finalizers })
	}
	s.mu.Unlock()
	if s.record != nil && (kind == "jobs" || strings.HasPrefix(kind, "results-") || kind == "leases") {
		s.record.Add("store: %s %s/%s (%d bytes) from a machine: %d", r.Method, kind, name, len(in.Spec), status)
	}
	if o == nil {
		w.WriteHeader(status)
		return
	}
	answerJSON(w, status, o)
}

func answerJSON(w http.ResponseWriter, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	// An error means that the caller has closed the connection.
	_, _ = w.Write(b)
}
