package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gin-gonic/gin"
	"github.com/sirupsen/logrus"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/platform/link"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// instancesKind holds the address of each instance.
	instancesKind = "instances"
	// maxHeartbeatBytes bounds a heartbeat.
	maxHeartbeatBytes = 60 << 10
	// peerTimeout bounds a call to a peer, beyond the wait that it asks for.
	peerTimeout = 700 * time.Millisecond
	// maxPeerAnswerBytes bounds the answer of a peer, in bytes.
	maxPeerAnswerBytes = 4 << 20
	// registerPause is the pause after a failed registration.
	registerPause = 500 * time.Millisecond
)

// peerTransport is the traffic between instances: heartbeats in datagrams, and calls.
type peerTransport struct {
	heartbeats *net.UDPConn
	http       *http.Client
}

func newPeerTransport(site platform.Site) (*peerTransport, error) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(site.IP), Port: site.PeerPort})
	if err != nil {
		return nil, fmt.Errorf("listen for heartbeats: %w", err)
	}
	return &peerTransport{heartbeats: conn, http: link.Client(4, true, nil)}, nil
}

func (x *peerTransport) close() { x.heartbeats.Close() }

func (p *Process) sendHeartbeats(e op.SendBeats) {
	b, err := cbor.Marshal(e.Beat)
	if err != nil {
		p.log.WithField("Error", err.Error()).Error("heartbeat not encoded")
		return
	}
	for _, address := range e.Addresses {
		to, err := netip.ParseAddrPort(address)
		if err != nil {
			p.log.WithFields(logrus.Fields{"Address": address, "Error": err.Error()}).Warn("peer has no usable address")
			continue
		}
		// A datagram may be lost in any case; the next one follows soon.
		_, _ = p.transport.heartbeats.WriteToUDPAddrPort(b, to)
	}
}

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
		var b op.Beat
		if err := cbor.Unmarshal(buf[:n], &b); err != nil || b.Instance == "" {
			p.log.WithField("Bytes", n).Warn("datagram is no heartbeat")
			continue
		}
		p.apply(op.BeatHeard{Beat: b})
	}
}

// instanceRecord is an instance as it stands in the store.
type instanceRecord struct{ Address string }

// discoverPeers registers this instance and learns of the others.
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

// instanceListPauses are the pauses between readings of the instances, which may be
// seconds old. All start at about the same time; those that come later tell the
// others themselves.
var instanceListPauses = []time.Duration{
	400 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second, time.Minute,
}

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

func (p *Process) addPeerRecord(o platform.Object, into map[unit.Instance]string) {
	var r instanceRecord
	if err := json.Unmarshal(o.Value, &r); err != nil {
		p.log.WithFields(logrus.Fields{"Object": o.Key, "Error": err.Error()}).Warn("record of an instance is not readable")
		return
	}
	into[unit.Instance(objectName(o))] = r.Address
}

func objectName(o platform.Object) string {
	_, name, _ := strings.Cut(o.Key, "/")
	return name
}

// register writes this instance's address, unless it stands there.
func (p *Process) register(ctx context.Context) error {
	key := instancesKind + "/" + string(p.site.Instance)
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

// updateRegistration replaces the record of an earlier start, if it differs.
func (p *Process) updateRegistration(ctx context.Context, key string, value []byte) error {
	o, err := p.deps.Store.Get(ctx, key)
	if err != nil || bytes.Equal(bytes.TrimSpace(o.Value), value) {
		return err
	}
	_, err = p.deps.Store.Put(ctx, key, value, o.Revision)
	return err
}

// forwardToOwner passes a call about a job on to its owner. An answer of status 0
// means that no owner could answer.
func (p *Process) forwardToOwner(ctx context.Context, w unit.Workspace, call platform.BatchRequest, wait clock.Millis) jobAnswer {
	var address string
	p.withState(func(now clock.Millis, s *State) {
		if peer, ok := s.Beats.Owner(now, call.Job); ok {
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
	body, err := io.ReadAll(io.LimitReader(res.Body, maxPeerAnswerBytes))
	if err != nil || res.StatusCode == http.StatusGone {
		return jobAnswer{}
	}
	return jobAnswer{status: res.StatusCode, body: body}
}

// PeerHandler serves peers: calls about jobs, and calls to the store for peers
// that cannot reach it.
func (p *Process) PeerHandler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	g := gin.New()
	g.Use(gin.Recovery())
	g.POST("/v1/jobs/:job", p.servePeerJob)
	g.POST("/v1/jobs/:job/kept", p.servePeerKeptTexts)
	if p.relay == nil {
		return g
	}
	// The relay and the watches stand outside of the router, whose recovery would
	// turn a call that is broken off into an empty success.
	mux := http.NewServeMux()
	mux.Handle("/", g)
	mux.Handle(relayPath, p.relay.Handler())
	mux.HandleFunc(mirrorPath, p.serveMirror)
	return mux
}

func (p *Process) servePeerJob(c *gin.Context) {
	number := func(name string) int {
		n, err := strconv.Atoi(c.Query(name))
		if err != nil {
			return 0
		}
		return n
	}
	call := platform.BatchRequest{
		Call: platform.BatchCall(number("Call")), Job: c.Param("job"), Item: c.Query("Item"), From: number("From"),
	}
	a := p.answerLocally(c.Request.Context(), unit.Workspace(c.Query("Workspace")), call, clock.Millis(number("WaitMillis")))
	if a.status == 0 {
		a.status = http.StatusGone
	}
	c.Data(a.status, "application/octet-stream", a.body)
}
