package edge

import (
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/catkinhead/catkinhead/pkg/clock"
)

const (
	// relayPath is where peers take calls to the store.
	relayPath = "/v1/store/"
	// relayFor is how long calls go through peers after the store did not
	// answer directly.
	relayFor = clock.Second
	// relayBody bounds a relayed body, in bytes: the store's objects are at
	// most a megabyte.
	relayBody = 4 << 20
	// relayTimeout bounds a relayed call beyond what its sender allows.
	relayTimeout = 35 * time.Second
)

// Relay sends calls to the store directly, and through peers for a while after
// that failed. It repeats nothing: whoever made the call decides on that.
type Relay struct {
	clock  clock.Clock
	host   string
	direct http.RoundTripper
	// peers returns the addresses of live peers.
	peers func() []string
	// until is when the store is tried directly again.
	until atomic.Int64
	turn  atomic.Uint64
	// observe is told of each call; it may be nil.
	observe func(method, kind string, relayed bool)
}

// NewRelay returns a transport for the store at a host.
func NewRelay(c clock.Clock, host string, direct http.RoundTripper) *Relay {
	return &Relay{clock: c, host: host, direct: direct}
}

// RoundTrip makes one call.
func (r *Relay) RoundTrip(req *http.Request) (*http.Response, error) {
	peer := r.peer()
	if r.observe != nil {
		r.observe(req.Method, kindOf(req.URL.Path), peer != "")
	}
	if peer != "" {
		return r.direct.RoundTrip(through(req, peer))
	}
	res, err := r.direct.RoundTrip(req)
	if err != nil || res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests {
		r.until.Store(int64(r.clock.Now() + relayFor))
	}
	return res, err
}

// kindOf returns the kind of objects that a call is about, without the job in
// the names of kinds of results.
func kindOf(path string) string {
	parts := strings.Split(strings.TrimPrefix(path, "/"), "/")
	if len(parts) < 2 {
		return ""
	}
	kind, _, _ := strings.Cut(parts[1], "-")
	return kind
}

// peer returns the peer to go through, empty to go directly.
func (r *Relay) peer() string {
	if r.peers == nil || int64(r.clock.Now()) >= r.until.Load() {
		return ""
	}
	live := r.peers()
	if len(live) == 0 {
		return ""
	}
	return live[r.turn.Add(1)%uint64(len(live))]
}

func through(req *http.Request, peer string) *http.Request {
	out := req.Clone(req.Context())
	out.URL = &url.URL{Scheme: "http", Host: peer, Opaque: relayPath + strings.TrimPrefix(req.URL.EscapedPath(), "/"), RawQuery: req.URL.RawQuery}
	out.Host = peer
	return out
}

// Handler makes peers' calls to the store directly.
func (r *Relay) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, in *http.Request) {
		path := "/" + strings.TrimPrefix(in.URL.EscapedPath(), relayPath)
		req, err := http.NewRequestWithContext(in.Context(), in.Method, "http://"+r.host, http.MaxBytesReader(w, in.Body, relayBody))
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		req.URL = &url.URL{Scheme: "http", Host: r.host, Opaque: path, RawQuery: in.URL.RawQuery}
		req.ContentLength = in.ContentLength
		req.Header.Set("Content-Type", "application/json")
		res, err := r.direct.RoundTrip(req)
		if err != nil {
			// The call may have taken effect: a status would promise too much.
			panic(http.ErrAbortHandler)
		}
		defer res.Body.Close()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(res.StatusCode)
		if _, err := io.Copy(w, res.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
	})
}
