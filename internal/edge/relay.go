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
	// relayPath is the path under which peers accept calls to the store.
	relayPath = "/v1/store/"
	// relayDuration is how long calls go through peers after a direct call to the
	// store failed or was answered with status 429 or 503.
	relayDuration = clock.Second
	// maxRelayBodyBytes bounds the body of a relayed call, in bytes. The store's
	// objects are at most a megabyte.
	maxRelayBodyBytes = 4 << 20
	// relayTimeout bounds a relayed call, in addition to the sender's own limit.
	// It is not in use.
	relayTimeout = 35 * time.Second
)

// Relay is an HTTP transport for calls to the store. It makes them directly,
// and through peers for a while after a direct call failed. It never repeats a
// call: that is decided by the caller.
type Relay struct {
	clock  clock.Clock
	host   string
	direct http.RoundTripper
	// livePeers returns the addresses of the peers that calls may go through; New
	// sets it.
	livePeers func() []string
	// relayUntil is the time by clock, in milliseconds, until which calls go through
	// peers. peerIndex selects the peers in turn.
	relayUntil atomic.Int64
	peerIndex  atomic.Uint64
	// onCall is called before each call; it may be nil.
	onCall func(method, kind string, relayed bool)
}

// NewRelay returns a transport for the store at host, which includes the port. It
// makes all calls with direct, those to peers too.
func NewRelay(c clock.Clock, host string, direct http.RoundTripper) *Relay {
	return &Relay{clock: c, host: host, direct: direct}
}

// RoundTrip makes one call, directly or through a peer.
func (r *Relay) RoundTrip(req *http.Request) (*http.Response, error) {
	peer := r.nextPeer()
	if r.onCall != nil {
		r.onCall(req.Method, metricKind(req.URL.Path), peer != "")
	}
	if peer != "" {
		return r.direct.RoundTrip(viaPeer(req, peer))
	}
	res, err := r.direct.RoundTrip(req)
	if err != nil || res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests {
		r.relayUntil.Store(int64(r.clock.Now() + relayDuration))
	}
	return res, err
}

// metricKind returns the kind of objects that a call is about, for metrics: the
// kinds of results are reported as one, without the job's ID.
func metricKind(path string) string {
	parts := strings.Split(strings.TrimPrefix(path, "/"), "/")
	if len(parts) < 2 {
		return ""
	}
	kind, _, _ := strings.Cut(parts[1], "-")
	return kind
}

// nextPeer returns the address of the peer to call through, empty for a direct
// call.
func (r *Relay) nextPeer() string {
	if r.livePeers == nil || int64(r.clock.Now()) >= r.relayUntil.Load() {
		return ""
	}
	live := r.livePeers()
	if len(live) == 0 {
		return ""
	}
	return live[r.peerIndex.Add(1)%uint64(len(live))]
}

// viaPeer returns a request to the store as a request to a peer's relay.
func viaPeer(req *http.Request, peer string) *http.Request {
	out := req.Clone(req.Context())
	out.URL = &url.URL{Scheme: "http", Host: peer, Opaque: relayPath + strings.TrimPrefix(req.URL.EscapedPath(), "/"), RawQuery: req.URL.RawQuery}
	out.Host = peer
	return out
}

// Handler serves the relayed calls of peers by making them directly.
func (r *Relay) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, in *http.Request) {
		path := "/" + strings.TrimPrefix(in.URL.EscapedPath(), relayPath)
		req, err := http.NewRequestWithContext(in.Context(), in.Method, "http://"+r.host, http.MaxBytesReader(w, in.Body, maxRelayBodyBytes))
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		req.URL = &url.URL{Scheme: "http", Host: r.host, Opaque: path, RawQuery: in.URL.RawQuery}
		req.ContentLength = in.ContentLength
		req.Header.Set("Content-Type", "application/json")
		res, err := r.direct.RoundTrip(req)
		if err != nil {
			// The call may have taken effect, which no status would express.
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
