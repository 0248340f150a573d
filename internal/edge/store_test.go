package edge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/semaphore"

	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// memoryStore is an object store in memory whose writes can be made to fail.
type memoryStore struct {
	mu      sync.Mutex
	objects map[string]platform.Object
	rev     unit.Revision
	// beforePut is called before each write. An error that it returns is the
	// answer to the write, which then is not done.
	beforePut func(key string) error
	// beforeGet is called before each read; it may be nil.
	beforeGet func(key string)
}

func (m *memoryStore) Get(_ context.Context, key string) (platform.Object, error) {
	if m.beforeGet != nil {
		m.beforeGet(key)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.objects[key]
	if !ok {
		return o, platform.ErrNotFound
	}
	return o, nil
}

func (m *memoryStore) Put(_ context.Context, key string, value []byte, ifRev unit.Revision) (unit.Revision, error) {
	if m.beforePut != nil {
		if err := m.beforePut(key); err != nil {
			return 0, err
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.objects[key].Revision != ifRev {
		return 0, platform.ErrConflict
	}
	m.rev++
	if m.objects == nil {
		m.objects = make(map[string]platform.Object)
	}
	m.objects[key] = platform.Object{Key: key, Value: value, Revision: m.rev}
	return m.rev, nil
}

func (m *memoryStore) Delete(context.Context, string, unit.Revision) error { return nil }

func (m *memoryStore) List(context.Context, string) ([]platform.Object, error) { return nil, nil }

func (m *memoryStore) Watch(context.Context, string, unit.Revision) (unit.Revision, error) {
	return 0, nil
}

func (m *memoryStore) ListStale(ctx context.Context, kind string) ([]platform.Object, unit.Revision, error) {
	return m.ListKind(ctx, kind)
}

func (m *memoryStore) ListKind(context.Context, string) ([]platform.Object, unit.Revision, error) {
	return nil, 0, nil
}

func (m *memoryStore) WalkKind(context.Context, string, func(platform.Object)) error { return nil }

func (m *memoryStore) Follow(context.Context, string, unit.Revision, time.Duration) ([]platform.Change, unit.Revision, error) {
	return nil, 0, nil
}

// testProcess returns a process without goroutines and peers.
func testProcess(store ObjectStore) *Process {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &Process{
		deps: Dependencies{Store: store}, clock: clock.System{}, log: logrus.NewEntry(log), contents: newContentStore(0, 0),
		loads: semaphore.NewWeighted(defaultLoads), rooms: newRooms(MemoryPlan{}),
		state: NewState(platform.Environment{Instance: "a"}, "a#1", 0),
	}
}

// errAnswerLost is the error of a write without an answer, which may have taken
// effect.
var errAnswerLost = &platform.Failure{Outcome: unit.Unknown, Err: errors.New("no answer")}

// TestStoreJobReportsWhetherThisWriteCreatedTheJob guards against two owners of
// a job: after a write without an answer, only the instance whose write created
// the job may count as its creator.
func TestStoreJobReportsWhetherThisWriteCreatedTheJob(t *testing.T) {
	record := jobRecord{Writer: "a#1", Try: 7, Body: []byte(`{}`)}
	job := platform.Job{ID: "j"}
	tests := map[string]struct {
		// first is called at the first write, whose answer is lost.
		first func(*memoryStore)
		want  bool
	}{
		"first write took effect": {func(m *memoryStore) {
			_, _ = m.Put(context.Background(), "jobs/j", []byte(`{"Writer":"a#1","Try":7}`), 0)
		}, true},
		"another instance created the job": {func(m *memoryStore) {
			_, _ = m.Put(context.Background(), "jobs/j", []byte(`{"Writer":"b#1","Try":7}`), 0)
		}, false},
		"same instance, another submission": {func(m *memoryStore) {
			_, _ = m.Put(context.Background(), "jobs/j", []byte(`{"Writer":"a#1","Try":6}`), 0)
		}, false},
		"first write had no effect": {func(*memoryStore) {}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			store := &memoryStore{}
			calls := 0
			store.beforePut = func(string) error {
				calls++
				if calls > 1 {
					return nil
				}
				store.beforePut = nil
				tt.first(store)
				return errAnswerLost
			}
			p := testProcess(store)
			w, err := p.newJobWrite(record, job)
			if err != nil {
				t.Fatal(err)
			}
			err = w.retry(context.Background(), p.clock.Now()+acceptTimeout, w.try(context.Background()))
			if err != nil || w.created != tt.want {
				t.Errorf("created %v, %v; want %v", w.created, err, tt.want)
			}
			if w.tries < 2 {
				t.Errorf("%d attempts although the first answer was lost: the instance would own the job without a claim", w.tries)
			}
		})
	}
}

// TestReaderWaitsForResultsOnly checks that a reader waits for a result, and is
// not answered with an empty page after a write of parts.
func TestReaderWaitsForResultsOnly(t *testing.T) {
	p := testProcess(&memoryStore{})
	p.deps.Ingress = lengthIngress{}
	c := newJobContent(jobRecord{Workspace: "w"}, testItems(2))
	c.claimed = true
	p.contents.put("j", c)
	answers := make(chan jobAnswer, 1)
	go func() {
		answers <- p.answerLocally(context.Background(), "w", platform.JobRequest{Call: platform.ReadResults, Job: "j"}, 5000, &pageRoom{hold: p.bodies.Open("", nil)})
	}()
	time.Sleep(20 * time.Millisecond)
	p.contents.withJob("j", func(c *jobContent) {
		c.addChunk(0, chunkRecord{Parts: []partRecord{{ID: "i0", Events: []string{"one"}}}})
	})
	select {
	case a := <-answers:
		t.Fatalf("answered %q after a write without results", a.body)
	case <-time.After(50 * time.Millisecond):
	}
	p.contents.withJob("j", func(c *jobContent) { c.addChunk(1, chunkRecord{Results: []platform.Result{{ID: "i0", Text: "x"}}}) })
	if a := <-answers; string(a.body) != "1" {
		t.Errorf("answered %q", a.body)
	}
}

// lengthIngress encodes a page as its number of results.
type lengthIngress struct{ platform.Ingress }

func (lengthIngress) Results(_, _ int, rs []platform.Result) ([]byte, error) {
	return []byte(fmt.Sprint(len(rs))), nil
}

// TestBrokenRelayedCallIsNoSuccess guards against an empty answer of status 200
// for a relayed call whose connection to the store broke: the sender would
// believe that the call succeeded.
func TestBrokenRelayedCallIsNoSuccess(t *testing.T) {
	broken := roundTripper(func(*http.Request) (*http.Response, error) { return nil, errors.New("reset") })
	relay := NewRelay(clock.System{}, "127.0.0.1:1", broken)
	p := testProcess(&memoryStore{})
	p.relay = relay
	srv := httptest.NewServer(p.PeerHandler())
	defer srv.Close()
	res, err := http.Get(srv.URL + relayPath + "objects/jobs/j")
	if err == nil {
		t.Errorf("status %d for a call without an answer", res.StatusCode)
		res.Body.Close()
	}
}

func TestRelayUsesPeersAfterFailure(t *testing.T) {
	var hosts []string
	fails := true
	direct := roundTripper(func(r *http.Request) (*http.Response, error) {
		hosts = append(hosts, r.URL.Host)
		if fails {
			return nil, errors.New("reset")
		}
		return relayedAnswer(r.URL.Opaque), nil
	})
	relay := NewRelay(clock.System{}, "store:1", direct)
	relay.livePeers = func() []string { return []string{"peer:2"} }
	req, err := http.NewRequest(http.MethodGet, "http://store:1/objects/a/b?x=1", nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := relay.RoundTrip(req); err == nil {
		t.Error("no error although the direct call failed")
	}
	fails = false
	res, err := relay.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	path, _ := io.ReadAll(res.Body)
	if strings.Join(hosts, " ") != "store:1 peer:2" || string(path) != relayPath+"objects/a/b" {
		t.Errorf("calls went to %v for %s", hosts, path)
	}
}

// roundTripper makes a function an http.RoundTripper.
type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// relayRequest returns a request to the store that has a second.
func relayRequest(t *testing.T) *http.Request {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	t.Cleanup(cancel)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://store:1/objects/a/b", nil)
	if err != nil {
		t.Fatal(err)
	}
	return req
}

// silentStore is a transport on which only peers answer, after peerDelay. It
// records the hosts of the calls.
func silentStore(hosts *[]string, peerDelay time.Duration) roundTripper {
	return func(r *http.Request) (*http.Response, error) {
		*hosts = append(*hosts, r.URL.Host)
		if strings.HasPrefix(r.URL.Host, "store") {
			<-r.Context().Done()
			return nil, r.Context().Err()
		}
		time.Sleep(peerDelay)
		return relayedAnswer(""), nil
	}
}

// relayedAnswer returns an answer of the store that a peer passes on.
func relayedAnswer(body string) *http.Response {
	return &http.Response{
		StatusCode: http.StatusOK, Header: http.Header{relayedHeader: {"1"}}, Body: io.NopCloser(strings.NewReader(body)),
	}
}

// TestAnswerOfAnotherProcessIsNotTheStores guards against "no such job" (LOST) and "exists
// already" from whatever answers at the address of a peer that is gone.
func TestAnswerOfAnotherProcessIsNotTheStores(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusNotFound, http.StatusConflict, http.StatusGone} {
		other := roundTripper(func(*http.Request) (*http.Response, error) {
			return &http.Response{StatusCode: status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("{}"))}, nil
		})
		relay := NewRelay(clock.System{}, "store:1", other)
		if res, err := relay.callPeer(relayRequest(t), "peer:2"); !errors.Is(err, errNotRelayed) {
			t.Errorf("status %d was believed: %v, %v", status, res, err)
		}
	}
}

// TestRelayLeavesASilentStoreInTime guards against a caller that gives up before
// the first call to the store has failed: callers wait for a second.
func TestRelayLeavesASilentStoreInTime(t *testing.T) {
	var hosts []string
	relay := NewRelay(clock.System{}, "store:1", silentStore(&hosts, 0))
	relay.livePeers = func() []string { return []string{"peer:2"} }
	startedAt := time.Now()
	if _, err := relay.RoundTrip(relayRequest(t)); !errors.Is(err, errNoAnswer) {
		t.Errorf("got %v", err)
	}
	if _, err := relay.RoundTrip(relayRequest(t)); err != nil {
		t.Errorf("through a peer: %v", err)
	}
	if took := time.Since(startedAt); took > 600*time.Millisecond {
		t.Errorf("took %s", took)
	}
	if got := strings.Join(hosts, " "); got != "store:1 peer:2" {
		t.Errorf("calls went to %s", got)
	}
}

func TestRelayDurationGrowsWithFailures(t *testing.T) {
	c := &clock.Manual{}
	relay := NewRelay(c, "store:1", roundTripper(func(*http.Request) (*http.Response, error) { return nil, errors.New("reset") }))
	relay.livePeers = func() []string { return []string{"peer:2"} }
	for _, want := range []clock.Millis{relayDuration, 2 * relayDuration, 4 * relayDuration, maxRelayDuration, maxRelayDuration} {
		if _, err := relay.callStore(relayRequest(t)); err == nil {
			t.Fatal("no error")
		}
		relay.recordFailure()
		relay.recordFailure()
		if got := clock.Millis(relay.relayUntil.Load()) - c.Now(); got != want {
			t.Errorf("calls go through peers for %d ms, want %d", got, want)
		}
		c.Advance(want)
	}
	relay.recordSuccess()
	relay.recordFailure()
	if got := clock.Millis(relay.relayUntil.Load()) - c.Now(); got != relayDuration {
		t.Errorf("after a success: %d ms", got)
	}
}

// TestRelayWaitsLongerForASlowStore guards against leaving a store that is slow
// for everyone: answers through peers show that.
func TestRelayWaitsLongerForASlowStore(t *testing.T) {
	var hosts []string
	relay := NewRelay(clock.System{}, "store:1", silentStore(&hosts, 200*time.Millisecond))
	relay.livePeers = func() []string { return []string{"peer:2"} }
	for range 3 {
		if _, err := relay.callPeer(relayRequest(t), "peer:2"); err != nil {
			t.Fatal(err)
		}
	}
	if limit := relay.answerLimit(); limit < 400 {
		t.Errorf("the limit is %d ms although answers take 200 ms", limit)
	}
}
