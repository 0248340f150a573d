package edge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform/link"
)

const (
	// relayPath is the path under which peers accept calls to the store.
	relayPath = "/v1/store/"
	// relayedHeader is set on each answer that a peer passes on from the store. Another
	// process at the peer's address does not speak for the store.
	relayedHeader = "Catkinhead-Relayed"
	// relayDuration is how long calls go through peers after a direct call to the
	// store failed or was answered with status 429 or 503. It doubles with each
	// consecutive failure, up to maxRelayDuration.
	relayDuration    = clock.Second
	maxRelayDuration = 8 * clock.Second
	// A direct call whose answer does not begin within answerFactor times the usual
	// time has failed. The limit is between minAnswerTime and maxAnswerTime, which is
	// also the time that calls have as a whole. Calls that have more time wait for
	// changes and are not limited.
	answerFactor  = 4
	minAnswerTime = clock.Millis(300)
	maxAnswerTime = clock.Second
	// answerTimeWeight is the weight of the previous mean in the mean time of
	// answers, that of a new one is 1.
	answerTimeWeight = 3
	// maxRelayBodyBytes bounds the body of a relayed call, in bytes. The store's
	// objects are at most a megabyte.
	maxRelayBodyBytes = 4 << 20
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
	mu         sync.Mutex
	// failures counts the consecutive failures of direct calls, those during
	// relayDuration as one. answerTime is the mean time until the store's answers
	// begin, those through peers included.
	failures   int
	answerTime clock.Millis
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
		return r.callPeer(req, peer)
	}
	res, err := r.callStore(req)
	switch {
	case err != nil && errors.Is(req.Context().Err(), context.Canceled):
		// The caller has given up, which says nothing about the store.
	case err != nil || res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests:
		r.recordFailure()
	default:
		r.recordSuccess()
	}
	return res, err
}

// errNotRelayed means that an answer with any status, 404 too, does not come from the
// store.
var errNotRelayed = errors.New("answer is not one of the store")

// callPeer makes a call through a peer. If that fails, the next call is made
// directly.
func (r *Relay) callPeer(req *http.Request, peer string) (*http.Response, error) {
	startedAt := r.clock.Now()
	res, err := r.direct.RoundTrip(viaPeer(req, peer))
	if err != nil {
		r.relayUntil.Store(0)
		return nil, fmt.Errorf("call store through %s: %w", peer, err)
	}
	if res.Header.Get(relayedHeader) == "" {
		r.relayUntil.Store(0)
		res.Body.Close()
		return nil, fmt.Errorf("call store through %s: %w", peer, errNotRelayed)
	}
	if !waitsForChanges(req) {
		r.recordAnswer(r.clock.Now() - startedAt)
	}
	return res, nil
}

// errNoAnswer ends a direct call whose answer does not begin in time.
var errNoAnswer = errors.New("store does not answer")

// callStore makes a call directly. It fails if the answer does not begin within
// the usual time: the way to the store may be cut for this instance only.
func (r *Relay) callStore(req *http.Request) (*http.Response, error) {
	if r.livePeers == nil || waitsForChanges(req) {
		return r.direct.RoundTrip(req)
	}
	ctx, cancel := context.WithCancelCause(req.Context())
	startedAt := r.clock.Now()
	timer := time.AfterFunc(r.answerLimit().Duration(), func() { cancel(errNoAnswer) })
	res, err := r.direct.RoundTrip(req.WithContext(ctx))
	timer.Stop()
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = fmt.Errorf("%w: %w", cause, err)
		}
		cancel(nil)
		return nil, err
	}
	r.recordAnswer(r.clock.Now() - startedAt)
	res.Body = &cancelledBody{res.Body, func() { cancel(nil) }}
	return res, nil
}

// cancelledBody calls cancel when the body is closed.
type cancelledBody struct {
	io.ReadCloser
	cancel func()
}

// Close closes the body.
func (b *cancelledBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// waitsForChanges reports whether a call has more time than one that the store
// answers at once.
func waitsForChanges(req *http.Request) bool {
	deadline, ok := req.Context().Deadline()
	return ok && time.Until(deadline) > maxAnswerTime.Duration()
}

// answerLimit returns the time within which the answer to a direct call has to
// begin.
func (r *Relay) answerLimit() clock.Millis {
	r.mu.Lock()
	defer r.mu.Unlock()
	return min(max(answerFactor*r.answerTime, minAnswerTime), maxAnswerTime)
}

// recordAnswer records the time until an answer of the store began.
func (r *Relay) recordAnswer(took clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answerTime = (answerTimeWeight*r.answerTime + took) / (answerTimeWeight + 1)
}

// recordSuccess records that a direct call succeeded.
func (r *Relay) recordSuccess() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = 0
}

// recordFailure makes calls go through peers for a while after a direct call
// failed.
func (r *Relay) recordFailure() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	if int64(now) < r.relayUntil.Load() {
		return
	}
	r.relayUntil.Store(int64(now + min(relayDuration<<min(r.failures, 8), maxRelayDuration)))
	r.failures++
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
			link.AbortAnswer(w, in)
			return
		}
		defer res.Body.Close()
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set(relayedHeader, "1")
		w.WriteHeader(res.StatusCode)
		if _, err := io.Copy(w, res.Body); err != nil {
			link.AbortAnswer(w, in)
		}
	})
}
