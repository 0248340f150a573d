package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/catkinhead/catkinhead/internal/budget"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// mirrorPath is the path under which watchers serve their mirrors to peers,
	// followed by a kind.
	mirrorPath = "/v1/mirror/"
	// maxMirrorChanges is the number of changes that a mirror keeps. A peer that
	// needs older ones has to list again.
	maxMirrorChanges = 512
	// maxMirrorAge is the age of a mirror's state up to which a watcher answers
	// peers with it. If it is older, the peers have to ask the store.
	maxMirrorAge clock.Millis = 1350
	// maxMirrorBytes bounds an answer of a mirror, in bytes.
	maxMirrorBytes = 4 << 20
)

// mirror is a copy of the stored objects of one kind, with the latest changes.
// A watcher serves it to peers, which then need not watch the store themselves.
type mirror struct {
	mu      sync.Mutex
	objects map[string]platform.Object
	changes []platform.Change
	// historyStart is the revision after which all changes are kept, asOf the
	// newest known revision.
	historyStart, asOf unit.Revision
	// confirmedAt is the time up to which all changes are known.
	confirmedAt clock.Millis
	// loaded is set once the objects were listed.
	loaded bool
	// changed is closed and replaced when the objects change.
	changed chan struct{}
}

func newMirror() *mirror { return &mirror{changed: make(chan struct{})} }

// replace sets the objects to those of a complete list.
func (m *mirror) replace(objects []platform.Object, asOf unit.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.objects = make(map[string]platform.Object, len(objects))
	for _, o := range objects {
		m.objects[o.Key] = o
	}
	m.changes, m.historyStart, m.asOf, m.loaded = nil, asOf, asOf, true
	m.notifyWaiters()
}

// applyChanges applies the changes up to a revision.
func (m *mirror) applyChanges(changes []platform.Change, asOf unit.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range changes {
		if c.Deleted || c.Marked {
			delete(m.objects, c.Object.Key)
		} else {
			m.objects[c.Object.Key] = c.Object
		}
		m.changes = append(m.changes, c)
	}
	if excess := len(m.changes) - maxMirrorChanges; excess > 0 {
		m.historyStart = m.changes[excess-1].Object.Revision
		m.changes = append([]platform.Change(nil), m.changes[excess:]...)
	}
	if asOf > m.asOf {
		m.asOf = asOf
	}
	if len(changes) > 0 {
		m.notifyWaiters()
	}
}

// confirm records that all changes up to a time are known.
func (m *mirror) confirm(at clock.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.confirmedAt = max(m.confirmedAt, at)
}

// notifyWaiters ends the waits for a change. m.mu must be held.
func (m *mirror) notifyWaiters() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// mirrorAnswer is a watcher's answer to a peer.
type mirrorAnswer struct {
	// Objects is set in the answer to a list, Changes in that to a watch.
	Objects []platform.Object `json:",omitempty"`
	Changes []platform.Change `json:",omitempty"`
	AsOf    unit.Revision
	// AgeMillis is how long ago the state was last confirmed to be complete.
	AgeMillis clock.Millis
}

// list returns all objects. It returns false if they are not loaded or too old.
func (m *mirror) list(now clock.Millis) (mirrorAnswer, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := mirrorAnswer{AsOf: m.asOf, AgeMillis: now - m.confirmedAt}
	if !m.loaded || a.AgeMillis > maxMirrorAge {
		return a, false
	}
	for _, o := range m.objects {
		a.Objects = append(a.Objects, o)
	}
	return a, true
}

// changesAfter returns the changes after a revision, and a channel that is
// closed at the next change. The error is errMirrorStale if the mirror is not
// loaded or too old, and ErrHistoryDiscarded if some of the changes are no
// longer kept.
func (m *mirror) changesAfter(now clock.Millis, rev unit.Revision) (mirrorAnswer, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := mirrorAnswer{AsOf: max(m.asOf, rev), AgeMillis: now - m.confirmedAt}
	if !m.loaded || a.AgeMillis > maxMirrorAge {
		return a, nil, errMirrorStale
	}
	if rev < m.historyStart {
		return a, nil, platform.ErrHistoryDiscarded
	}
	for _, c := range m.changes {
		if c.Object.Revision > rev {
			a.Changes = append(a.Changes, c)
		}
	}
	return a, m.changed, nil
}

// errMirrorStale means that a watcher's mirror is not loaded or too old.
var errMirrorStale = errors.New("mirror of the watcher is not loaded or too old")

// serveMirror answers peers that use this instance as their watcher. A call
// without a revision lists all objects.
func (p *Process) serveMirror(w http.ResponseWriter, r *http.Request) {
	m := p.mirrors[r.URL.Path[len(mirrorPath):]]
	if m == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	after, err := strconv.ParseInt(r.URL.Query().Get("After"), 10, 64)
	var a mirrorAnswer
	if err != nil {
		var ok bool
		if a, ok = m.list(p.clock.Now()); !ok {
			err = errMirrorStale
		} else {
			err = nil
		}
	} else {
		a, err = p.waitForChanges(r, m, unit.Revision(after))
	}
	switch {
	case errors.Is(err, platform.ErrHistoryDiscarded):
		w.WriteHeader(http.StatusGone)
	case err != nil:
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		p.writeMirror(w, r, a)
	}
}

// bytes returns about what the answer takes when it is encoded.
func (a mirrorAnswer) bytes() int64 {
	n := 0
	for _, o := range a.Objects {
		n += len(o.Key) + len(o.Value)
	}
	for _, c := range a.Changes {
		n += len(c.Object.Key) + len(c.Object.Value)
	}
	// Values are encoded as base64.
	return int64(n) * 3 / 2
}

// writeMirror sends an answer, if there is room for it.
func (p *Process) writeMirror(w http.ResponseWriter, r *http.Request, a mirrorAnswer) {
	hold := p.openPeerHold(r.Context())
	defer hold.Close()
	if n := a.bytes(); n > budget.Small && hold.Grow(r.Context(), n) != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	hold.Wait()
	if err := json.NewEncoder(w).Encode(a); err != nil {
		p.log.WithField("Error", err.Error()).Debug("mirror answer not written")
	}
}

// waitForChanges returns the changes after a revision. If there are none, it
// waits for the next one as long as the call asks for.
func (p *Process) waitForChanges(r *http.Request, m *mirror, after unit.Revision) (mirrorAnswer, error) {
	wait, err := strconv.ParseInt(r.URL.Query().Get("WaitMillis"), 10, 64)
	if err != nil || wait < 0 {
		wait = 0
	}
	a, changed, err := m.changesAfter(p.clock.Now(), after)
	if err != nil || len(a.Changes) > 0 || wait == 0 {
		return a, err
	}
	select {
	case <-changed:
	case <-time.After(clock.Millis(wait).Duration()):
	case <-r.Context().Done():
		return a, r.Context().Err()
	}
	a, _, err = m.changesAfter(p.clock.Now(), after)
	return a, err
}

// queryWatcher asks a watcher for changes after a revision, or for all objects
// if the revision is negative. If there are no changes, the watcher waits up to
// wait for one. The error is platform.ErrHistoryDiscarded if the watcher no longer
// keeps some of the changes.
func (p *Process) queryWatcher(ctx context.Context, address, kind string, after unit.Revision, wait time.Duration) (mirrorAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+mirrorSlack)
	defer cancel()
	u := "http://" + address + mirrorPath + url.PathEscape(kind)
	if after >= 0 {
		u += fmt.Sprintf("?After=%d&WaitMillis=%d", after, wait.Milliseconds())
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return mirrorAnswer{}, fmt.Errorf("make request: %w", err)
	}
	res, err := p.transport.http.Do(req)
	if err != nil {
		return mirrorAnswer{}, fmt.Errorf("ask watcher: %w", err)
	}
	defer res.Body.Close()
	switch res.StatusCode {
	case http.StatusOK:
	case http.StatusGone:
		return mirrorAnswer{}, platform.ErrHistoryDiscarded
	default:
		return mirrorAnswer{}, errMirrorStale
	}
	var a mirrorAnswer
	if err := json.NewDecoder(io.LimitReader(res.Body, maxMirrorBytes)).Decode(&a); err != nil {
		return mirrorAnswer{}, fmt.Errorf("decode answer of watcher: %w", err)
	}
	return a, nil
}

// watcherAddress returns the address of the peer that watches the store for
// this instance, empty if this instance watches the store itself.
func (p *Process) watcherAddress() string {
	address := ""
	p.withState(func(now clock.Millis, s *State) { address = s.Heartbeats.WatcherAddress(now) })
	return address
}
