package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/catkinhead/catkinhead/internal/forward"
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/internal/roster"
	"github.com/catkinhead/catkinhead/pkg/clock"
	base "github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/platform/link"
	"github.com/catkinhead/catkinhead/pkg/unit"
	"github.com/catkinhead/catkinhead/platform"
)

// cutBody is the body of the answers of cuttingTarget: a stream of three events.
const cutBody = "id: 0\ndata: a\n\nid: 1\ndata: b\n\nid: 2\ndata: c\n\n"

// cuttingTarget is a target that closes its connection in the middle of an answer,
// or after a complete one.
type cuttingTarget struct {
	address string
	mu      sync.Mutex
	answer  string
	// cutAt is how many bytes of the answer are sent; reset makes the connection end
	// with a reset.
	cutAt int
	reset bool
	asked int
}

// takeAsked returns how many requests came since it was last called.
func (c *cuttingTarget) takeAsked() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.asked
	c.asked = 0
	return n
}

// set sets what is answered from now on.
func (c *cuttingTarget) set(answer string, cutAt int, reset bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answer, c.cutAt, c.reset = answer, cutAt, reset
}

func newCuttingTarget(t *testing.T) *cuttingTarget {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	c := &cuttingTarget{address: ln.Addr().String()}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go c.serve(conn)
		}
	}()
	return c
}

// serve answers requests on a connection until an answer is cut.
func (c *cuttingTarget) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		c.mu.Lock()
		answer, cutAt, reset := c.answer, c.cutAt, c.reset
		c.asked++
		c.mu.Unlock()
		_, _ = io.WriteString(conn, answer[:cutAt])
		if cutAt == len(answer) {
			continue
		}
		if reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		return
	}
}

// cutFramings are the ways in which an answer tells its length.
var cutFramings = map[string]string{
	"length last":   "Content-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n",
	"length first":  "Content-Length: %d\r\nContent-Type: text/event-stream\r\n\r\n",
	"chunks":        "Transfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n\r\n",
	"end of stream": "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n",
}

// framedAnswer returns a complete answer to a request. One that ends with its
// connection has one byte more, which cutting leaves out.
func framedAnswer(framing string, attempt unit.Request) string {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: s\r\nX-Weight-Versions: 1\r\n", attempt)
	switch fields := cutFramings[framing]; framing {
	case "chunks":
		return head + fields + fmt.Sprintf("5\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", cutBody[:5], len(cutBody)-5, cutBody[5:])
	case "end of stream":
		return head + fields + cutBody + "."
	default:
		return head + fmt.Sprintf(fields, len(cutBody)) + cutBody
	}
}

// eachCut calls f for each place at which an answer can be cut.
func eachCut(attempt unit.Request, f func(name, answer string, cutAt int, reset bool)) {
	for framing := range cutFramings {
		answer := framedAnswer(framing, attempt)
		for cutAt := range answer {
			// A stream without a length ends with its connection: only a reset tells that
			// it was cut.
			reset := framing == "end of stream"
			f(fmt.Sprintf("%s, cut at %d of %d", framing, cutAt, len(answer)), answer, cutAt, reset)
		}
	}
}

// cutProcess returns an instance with a plain and a streaming route to a target.
func cutProcess(t *testing.T, address string) (*Process, *httptest.Server) {
	t.Helper()
	p := testProcess(&memoryStore{})
	p.metrics = metrics.NewSet()
	p.deps.Backends = platform.NewBackends(clock.System{}, time.Second)
	p.deps.Ingress = platform.Ingress{}
	split := []base.WeightedPool{{Pool: "p", Weight: 1}}
	p.apply(op.ConfigurationChanged{Revision: 1, Configuration: base.Configuration{Version: 1, Routes: []base.RouteRule{
		{Name: "live", Host: "h.example", PathPrefix: "/live/", Streaming: true, MaxAttempts: 1, Timeout: 5000, Split: split},
		{Name: "page", Host: "h.example", PathPrefix: "/page/", Repeat: base.Idempotent, MaxAttempts: 1, Timeout: 5000, Split: split},
	}, Pools: map[unit.Pool]base.PoolRule{"p": {Name: "p"}}}})
	p.apply(op.StoreAnswered{AskedAt: p.clock.Now()})
	p.apply(op.TargetsListed{Entries: []base.TargetEntry{{Target: "t", Pool: "p", Address: address, Slots: 4}}})
	srv := httptest.NewServer(p)
	t.Cleanup(srv.Close)
	return p, srv
}

// callRaw sends a request over HTTP/1.0 or HTTP/1.1 and returns the answer as the
// caller sees it: the status, the body, and whether it is complete.
func callRaw(t *testing.T, address, path, version string) (status int, body string, complete bool) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(conn, "POST %s HTTP/%s\r\nHost: h.example\r\nX-Attempt-Id: a1\r\nContent-Length: 1\r\n\r\nx", path, version)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", false
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return res.StatusCode, string(b), err == nil
}

// forgetFailures makes an instance use its target, and forward the request, as if
// neither had failed.
func forgetFailures(p *Process) {
	p.withState(func(now clock.Millis, s *State) {
		s.Forward = forward.State{}
		entry := s.Roster.Targets["t"].TargetEntry
		s.Roster = roster.State{}
		s.Roster.Upsert(now, entry)
	})
}

// TestCutAnswerNeverLooksComplete guards against a caller that gets an answer with an
// empty or a short body as if it were whole (MIXED, ORDER), after a target has closed
// the connection in the middle of the head or of the body.
func TestCutAnswerNeverLooksComplete(t *testing.T) {
	target := newCuttingTarget(t)
	p, srv := cutProcess(t, target.address)
	address := strings.TrimPrefix(srv.URL, "http://")
	for _, path := range []string{"/live/x", "/page/x"} {
		for _, version := range []string{"1.0", "1.1"} {
			wrong, cuts := 0, 0
			eachCut("a1", func(name, answer string, cutAt int, reset bool) {
				target.set(answer, cutAt, reset)
				forgetFailures(p)
				cuts++
				status, body, complete := callRaw(t, address, path, version)
				if complete && status < 300 && body != cutBody {
					wrong++
					t.Logf("%s over HTTP/%s, %s: status %d with %d bytes looks complete", path, version, name, status, len(body))
				}
			})
			if asked := target.takeAsked(); asked != cuts {
				t.Errorf("%s over HTTP/%s: the target was asked %d times for %d answers", path, version, asked, cuts)
			}
			if wrong > 0 {
				t.Errorf("%s over HTTP/%s: %d of %d cut answers look complete", path, version, wrong, cuts)
			}
		}
	}
}

// TestCutAnswerOnUsedConnectionNeverLooksComplete is the same on a connection on
// which the target has answered before.
func TestCutAnswerOnUsedConnectionNeverLooksComplete(t *testing.T) {
	target := newCuttingTarget(t)
	backends := platform.NewBackends(clock.System{}, time.Second)
	ask := func() (string, error) {
		reply, err := backends.Do(context.Background(), base.TargetRequest{
			Attempt: "a1", Target: "t", Address: target.address, Method: http.MethodPost, URI: "/x", Body: []byte("x"), After: -1,
		})
		if err != nil {
			return "", err
		}
		defer reply.Body.Close()
		b, err := io.ReadAll(reply.Body)
		return string(b), err
	}
	eachCut("a1", func(name, answer string, cutAt int, reset bool) {
		whole := framedAnswer("length last", "a1")
		target.set(whole, len(whole), false)
		if body, err := ask(); err != nil || body != cutBody {
			t.Fatalf("%s: whole answer %q: %v", name, body, err)
		}
		target.set(answer, cutAt, reset)
		if body, err := ask(); err == nil && body != cutBody {
			t.Errorf("%s: %d bytes look complete", name, len(body))
		}
	})
}

// TestCutAnswerIsNoOutputOfItem guards against an item that is complete with a part of
// its output, and against a score from a cut answer to a reward call.
func TestCutAnswerIsNoOutputOfItem(t *testing.T) {
	target := newCuttingTarget(t)
	item := testItems(1).Items[0].ID
	eachCut(unit.Request(item), func(name, answer string, cutAt int, reset bool) {
		target.set(answer, cutAt, reset)
		p := testProcess(&memoryStore{})
		p.metrics = metrics.NewSet()
		p.deps.Backends = platform.NewBackends(clock.System{}, time.Second)
		c := newJobContent(jobRecord{}, testItems(1))
		c.texts[0].run = 1
		p.contents.put(testJob, c)
		e := op.RunItem{Job: testJob, Run: 1, After: -1, Address: target.address, Until: p.clock.Now() + 30*clock.Second}
		r := &run{p: p, e: e, startedAt: p.clock.Now(), lastEvent: -1, stallTimer: time.NewTimer(time.Hour)}
		if end, _ := r.sendRequest(context.Background()); end == op.ItemComplete && len(c.texts[0].events) != 3 {
			t.Errorf("%s: complete with %d events", name, len(c.texts[0].events))
		}
	})
}

// TestCutAnswerGivesNoScore guards against a score from a reward call whose answer was
// cut.
func TestCutAnswerGivesNoScore(t *testing.T) {
	target := newCuttingTarget(t)
	p := rewardProcess(platform.NewBackends(clock.System{}, time.Second))
	eachCut("s0", func(name, answer string, cutAt int, reset bool) {
		target.set(answer, cutAt, reset)
		e := op.SendRewardCall{Job: testJob, Address: target.address, Until: p.clock.Now() + clock.Second}
		if _, score, err := p.attemptRewardCall(context.Background(), e); err == nil || score != "" {
			t.Errorf("%s: score %q", name, score)
		}
	})
}

// TestCutAnswerOfStoreOrPeerNeverLooksComplete is the same for answers of the store
// that a peer relays, and for those of the owner of a job.
func TestCutAnswerOfStoreOrPeerNeverLooksComplete(t *testing.T) {
	target := newCuttingTarget(t)
	relay := httptest.NewServer(NewRelay(clock.System{}, target.address, link.NewClient(1, true, nil).Transport).Handler())
	defer relay.Close()
	p := testProcess(&memoryStore{})
	p.transport = &peerTransport{http: link.NewClient(1, true, nil)}
	p.apply(op.HeartbeatReceived{Heartbeat: op.Heartbeat{
		Instance: "b", Incarnation: "b#1", Seq: 1, Address: target.address, Next: 100_000, Jobs: []op.JobStatus{{ID: testJob, Epoch: 2}},
	}})
	eachCut("a1", func(name, answer string, cutAt int, reset bool) {
		target.set(answer, cutAt, reset)
		if body, err := get(relay.URL + relayPath + "objects/x"); err == nil && body != cutBody {
			t.Errorf("relayed, %s: %d bytes look complete", name, len(body))
		}
		a := p.forwardToOwner(context.Background(), "w", base.JobRequest{Call: base.ReadResults, Job: testJob}, 0, &pageRoom{hold: p.bodies.Open("", nil)})
		if a.status != 0 && string(a.body) != cutBody {
			t.Errorf("of the owner, %s: status %d with %d bytes", name, a.status, len(a.body))
		}
	})
	if target.takeAsked() == 0 {
		t.Error("nothing was asked")
	}
}

// get returns the body of a complete and successful answer.
func get(url string) (string, error) {
	res, err := http.Get(url)
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err == nil && res.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", res.StatusCode)
	}
	return string(b), err
}
