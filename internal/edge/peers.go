package edge

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gin-gonic/gin"
	"github.com/sirupsen/logrus"

	"github.com/catkinhead/catkinhead/internal/budget"
	"github.com/catkinhead/catkinhead/internal/listen"
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/platform/link"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// instancesKind is the kind of the stored addresses of the instances.
	instancesKind = "instances"
	// maxHeartbeatBytes bounds an incoming heartbeat, in bytes.
	maxHeartbeatBytes = 60 << 10
	// peerTimeout bounds a call to a peer, in addition to the wait that the call
	// asks for.
	peerTimeout = 700 * time.Millisecond
	// maxPeerAnswerBytes bounds a peer's answer to a call about a job, in bytes.
	maxPeerAnswerBytes = 4 << 20
	// registerPause is the pause after a failed registration.
	registerPause = 500 * time.Millisecond
)

// peerTransport connects an instance to its peers: heartbeats as UDP datagrams,
// and calls over HTTP.
type peerTransport struct {
	heartbeats *net.UDPConn
	http       *http.Client
}

func newPeerTransport(environment platform.Environment) (*peerTransport, error) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(environment.IP), Port: environment.PeerPort})
	if err != nil {
		return nil, fmt.Errorf("listen for heartbeats: %w", err)
	}
	return &peerTransport{heartbeats: conn, http: link.NewReadingClient(4, nil, nil)}, nil
}

func (x *peerTransport) close() { x.heartbeats.Close() }

// sendHeartbeats sends a heartbeat to a list of addresses.
func (p *Process) sendHeartbeats(e op.SendHeartbeats) {
	b, left, err := encodeHeartbeat(e.Heartbeat)
	if err != nil {
		p.log.WithField("Error", err.Error()).Error("heartbeat not encoded")
		return
	}
	if left != "" {
		p.log.WithFields(logrus.Fields{"Bytes": len(b), "LeftOut": left}).Error("heartbeat has no room for all that there is to tell")
	}
	for _, address := range e.Addresses {
		to, err := netip.ParseAddrPort(address)
		if err != nil {
			p.log.WithFields(logrus.Fields{"Address": address, "Error": err.Error()}).Warn("address of a peer is not valid")
			continue
		}
		// Datagrams may be lost anyway, and the next heartbeat follows soon.
		_, _ = p.transport.heartbeats.WriteToUDPAddrPort(b, to)
	}
}

const (
	// A heartbeat that would be too long names longOrphans jobs without an owner and the
	// demands of longDemands models at most.
	longOrphans = 32
	longDemands = 16
)

// encodeHeartbeat encodes a heartbeat. What would make it too long to be received is left
// out, and named: peers would take this instance for dead.
func encodeHeartbeat(h op.Heartbeat) (b []byte, left string, err error) {
	shorten := []struct {
		name string
		do   func()
	}{
		{"", func() {}},
		{"Orphans", func() { h.Orphans = h.Orphans[:min(len(h.Orphans), longOrphans)] }},
		{"Orphans, Demands", func() { h.Demands = largestDemands(h.Demands) }},
		{"Orphans, Demands, Counts, Crashes", func() { h.Counts, h.Crashes = nil, nil }},
	}
	for _, s := range shorten {
		s.do()
		b, err = cbor.Marshal(h)
		if err != nil || len(b) <= maxHeartbeatBytes {
			return b, s.name, err
		}
	}
	return b, "too long all the same", nil
}

// largestDemands returns the demands of those models that have the most open items.
func largestDemands(ds []op.Demand) []op.Demand {
	out := slices.SortedFunc(slices.Values(ds), func(a, b op.Demand) int { return cmp.Compare(b.Open, a.Open) })
	return out[:min(len(out), longDemands)]
}

// receiveHeartbeats applies incoming heartbeats until the socket is closed.
func (p *Process) receiveHeartbeats(ctx context.Context) {
	buf := make([]byte, maxHeartbeatBytes)
	for ctx.Err() == nil {
		n, _, err := p.transport.heartbeats.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		var h op.Heartbeat
		if err := cbor.Unmarshal(buf[:n], &h); err != nil || h.Instance == "" {
			p.log.WithField("Bytes", n).Warn("received a datagram that is not a heartbeat")
			continue
		}
		p.apply(op.HeartbeatReceived{Heartbeat: h})
	}
}

// instanceRecord is the address of an instance as it is stored.
type instanceRecord struct{ Address string }

// discoverPeers registers this instance in the store, and then reads the
// addresses of the others from time to time.
func (p *Process) discoverPeers(ctx context.Context) {
	for ctx.Err() == nil {
		err := p.register(ctx)
		if err == nil {
			break
		}
		p.log.WithField("Error", err.Error()).Warn("instance not registered")
		select {
		case <-time.After(registerPause):
		case <-ctx.Done():
		}
	}
	for n := 0; ctx.Err() == nil; n++ {
		p.listInstances(ctx)
		sleep(ctx, instanceListPauses[min(n, len(instanceListPauses)-1)])
	}
}

// instanceListPauses are the pauses after the first, second and later reads of
// the instances' addresses; the last one repeats. The pauses start short, since
// most instances start at about the same time and a list may be seconds old.
// They may grow, since an instance that starts later sends heartbeats to the
// others.
var instanceListPauses = []time.Duration{
	400 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second, time.Minute,
}

// listInstances reads the addresses of the instances.
func (p *Process) listInstances(ctx context.Context) {
	objects, _, err := p.deps.Store.ListStale(ctx, instancesKind)
	if err != nil {
		p.log.WithField("Error", err.Error()).Warn("instances not listed")
		return
	}
	e := op.PeersListed{Peers: make(map[unit.Instance]string)}
	for _, o := range objects {
		p.addPeerRecord(o, e.Peers)
	}
	p.apply(e)
}

// addPeerRecord adds the address in a stored record to a map.
func (p *Process) addPeerRecord(o platform.Object, into map[unit.Instance]string) {
	var r instanceRecord
	if err := json.Unmarshal(o.Value, &r); err != nil {
		p.log.WithFields(logrus.Fields{"Object": o.Key, "Error": err.Error()}).Warn("instance record could not be decoded")
		return
	}
	into[unit.Instance(objectName(o))] = r.Address
}

// objectName returns an object's key without its kind.
func objectName(o platform.Object) string {
	_, name, _ := strings.Cut(o.Key, "/")
	return name
}

// register stores this instance's address, unless it is stored already.
func (p *Process) register(ctx context.Context) error {
	key := instancesKind + "/" + string(p.environment.Instance)
	value, err := json.Marshal(instanceRecord{Address: p.state.PeerAddress()})
	if err != nil {
		return fmt.Errorf("encode record: %w", err)
	}
	_, err = p.deps.Store.Put(ctx, key, value, 0)
	if errors.Is(err, platform.ErrConflict) {
		err = p.updateRegistration(ctx, key, value)
	}
	if err != nil {
		return fmt.Errorf("register: %w", err)
	}
	return nil
}

// updateRegistration replaces the address that an earlier start stored, if it
// differs.
func (p *Process) updateRegistration(ctx context.Context, key string, value []byte) error {
	o, err := p.deps.Store.Get(ctx, key)
	if err != nil || bytes.Equal(bytes.TrimSpace(o.Value), value) {
		return err
	}
	_, err = p.deps.Store.Put(ctx, key, value, o.Revision)
	return err
}

// forwardToOwner forwards a call about a job to the peer that owns the job.
// Status 0 means that there is no such peer, or that it gave no answer. That there is
// no such job is for the store to say, not for what answers at the owner's address.
func (p *Process) forwardToOwner(ctx context.Context, w unit.Workspace, call platform.JobRequest, wait clock.Millis, room *pageRoom) jobAnswer {
	var address string
	p.withState(func(now clock.Millis, s *State) {
		if peer, ok := s.Heartbeats.Owner(now, call.Job); ok {
			address = peer.Address
		}
	})
	if address == "" {
		return jobAnswer{}
	}
	limit := wait.Duration() + peerTimeout
	if call.Call == platform.EndJob {
		limit = endJobTimeout.Duration() + peerTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	q := url.Values{}
	q.Set("Workspace", string(w))
	q.Set("Call", strconv.Itoa(int(call.Call)))
	q.Set("Item", call.Item)
	q.Set("From", strconv.Itoa(call.From))
	q.Set("WaitMillis", strconv.FormatInt(int64(wait), 10))
	u := "http://" + address + "/v1/jobs/" + url.PathEscape(call.Job) + "?" + q.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u, nil)
	if err != nil {
		return jobAnswer{}
	}
	res, err := p.transport.http.Do(req)
	if err != nil {
		p.log.WithFields(logrus.Fields{"Job": call.Job, "Owner": address, "Error": err.Error()}).Warn("owner did not answer")
		return jobAnswer{}
	}
	defer res.Body.Close()
	if !room.take(res.ContentLength) {
		return jobAnswer{status: http.StatusServiceUnavailable, err: budget.ErrNoRoom}
	}
	body, err := link.ReadAnswer(res, maxPeerAnswerBytes)
	if err != nil {
		p.log.WithFields(logrus.Fields{"Job": call.Job, "Owner": address, "Error": err.Error()}).Warn("answer of the owner is not complete")
		return jobAnswer{}
	}
	if res.StatusCode == http.StatusGone || res.StatusCode == http.StatusNotFound {
		return jobAnswer{}
	}
	return jobAnswer{status: res.StatusCode, body: body}
}

// PeerHandler serves the calls of peers: those about jobs and for kept texts and,
// with a relay, those for mirrors and those to be relayed to the store.
func (p *Process) PeerHandler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	g := gin.New()
	g.Use(gin.Recovery())
	g.POST("/v1/jobs/:job", p.servePeerJob)
	g.POST("/v1/jobs/:job/kept", p.servePeerKeptTexts)
	if p.relay == nil {
		return g
	}
	// The relay and the mirrors are not behind the gin router: its recovery
	// would turn an aborted call into an empty success.
	mux := http.NewServeMux()
	mux.Handle("/", g)
	mux.Handle(relayPath, p.relay.Handler())
	mux.HandleFunc(mirrorPath, p.serveMirror)
	return mux
}

// openPeerHold returns the hold of a peer's call on the room for such calls.
func (p *Process) openPeerHold(ctx context.Context) *budget.Hold {
	return p.peerCalls.Open("", func() { listen.CloseConnection(ctx) })
}

// servePeerJob answers a call about a job that a peer forwarded, with 410 if
// this instance has no answer.
func (p *Process) servePeerJob(c *gin.Context) {
	queryInt := func(name string) int {
		n, err := strconv.Atoi(c.Query(name))
		if err != nil {
			return 0
		}
		return n
	}
	call := platform.JobRequest{
		Call: platform.JobCall(queryInt("Call")), Job: c.Param("job"), Item: c.Query("Item"), From: queryInt("From"),
	}
	w, ctx := unit.Workspace(c.Query("Workspace")), c.Request.Context()
	hold := p.openPeerHold(ctx)
	defer hold.Close()
	room := &pageRoom{hold: hold}
	a := p.answerLocally(ctx, w, call, clock.Millis(queryInt("WaitMillis")), room)
	if errors.Is(a.err, budget.ErrNoRoom) && room.await(ctx) == nil {
		a = p.answerLocally(ctx, w, call, 0, room)
	}
	if a.status == 0 {
		a.status = http.StatusGone
	}
	hold.Wait()
	c.Data(a.status, "application/octet-stream", a.body)
}
