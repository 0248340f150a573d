package serve

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/catkinhead/catkinhead/internal/member"
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform/link"
	"github.com/catkinhead/catkinhead/pkg/rpc"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// peerTimeout bounds a call to another instance that exchanges knowledge or
	// reads its state or counters.
	peerTimeout = time.Second
	// maxIdlePeerConns and idleConnTimeout bound the idle connections to peers,
	// which would otherwise grow with the fleet.
	maxIdlePeerConns = 16
	idleConnTimeout  = 10 * time.Second
	// secretHeader carries the fleet secret in calls between instances.
	secretHeader = "X-Catkinhead-Fleet"
)

// peerClients holds the Twirp clients for other instances, by address.
type peerClients struct {
	// bytes counts what was read and written on connections to peers.
	bytes     *atomic.Int64
	header    http.Header
	http      *http.Client
	mu        sync.Mutex
	byAddress map[string]rpc.Peer
}

func newPeerClients(secret string) *peerClients {
	n := &atomic.Int64{}
	return &peerClients{
		bytes:     n,
		header:    http.Header{secretHeader: {secret}},
		http:      link.NewKeepingClient(link.Idle{PerHost: 2, Total: maxIdlePeerConns, Timeout: idleConnTimeout}, n),
		byAddress: make(map[string]rpc.Peer),
	}
}

// client returns the client for an address, and creates it at first use.
func (ps *peerClients) client(address string) rpc.Peer {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	c := ps.byAddress[address]
	if c == nil {
		c = rpc.NewPeerProtobufClient("http://"+address, ps.http)
		ps.byAddress[address] = c
	}
	return c
}

// callContext returns a context that adds the fleet secret to a call and bounds
// it by d.
func (ps *peerClients) callContext(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, err := twirp.WithHTTPRequestHeaders(ctx, ps.header)
	if err != nil {
		panic("cannot set the header of the fleet secret: " + err.Error())
	}
	return context.WithTimeout(ctx, d)
}

// exchange is one gossip exchange: it sends this instance's knowledge to a peer
// and receives the peer's. If another instance answers at the address, its
// knowledge is used, and the peer that was asked is reported as unreachable
// (PeerSilent).
func (p *Process) exchange(ctx context.Context, e op.Exchange) {
	asked := p.clock.Now()
	ctx, cancel := p.peers.callContext(ctx, peerTimeout)
	defer cancel()
	k, err := p.peers.client(e.Address).Exchange(ctx, knowledgeToRPC(e.Know))
	if err != nil {
		p.loop.Post(op.PeerSilent{Instance: e.Instance})
		return
	}
	know := knowledgeFromRPC(k)
	p.loop.Post(op.PeerHeard{Know: know, Asked: true, AskedAt: asked})
	if e.Instance != instanceOf(know.From.Incarnation) {
		p.loop.Post(op.PeerSilent{Instance: e.Instance})
	}
}

// fetchPeerState reads the operators' state from a peer. It posts no event if
// that fails.
func (p *Process) fetchPeerState(ctx context.Context, e op.FetchState) {
	ctx, cancel := p.peers.callContext(ctx, peerTimeout)
	defer cancel()
	r, err := p.peers.client(e.Address).State(ctx, &rpc.StateRequest{})
	if err != nil {
		return
	}
	st := &op.OperatorState{
		ConfigVersion: r.ConfigVersion, ConfigKey: r.ConfigKey,
		Active: make(map[unit.Pool]unit.Version), Document: r.Document,
	}
	for _, k := range r.Withdrawn {
		st.Withdrawn = append(st.Withdrawn, unit.KeyID(k))
	}
	for _, a := range r.Active {
		st.Active[unit.Pool(a.Pool)] = unit.Version(a.Version)
	}
	if err := st.Parse(); err != nil {
		p.log.Error("cannot parse the state of a peer: " + err.Error())
		return
	}
	p.loop.Post(op.StateRead{Result: op.Done, FromPeer: true, Revision: unit.Revision(r.Revision), State: st})
}

func memberToRPC(m op.MemberInfo) *rpc.Member {
	return &rpc.Member{
		Incarnation: string(m.Incarnation), Address: m.Address, DataCentre: string(m.DataCentre),
		Beat: m.Beat, Leaving: m.Leaving, ConfigVersion: m.ConfigVersion,
	}
}

func memberFromRPC(m *rpc.Member) op.MemberInfo {
	return op.MemberInfo{
		Incarnation: unit.Incarnation(m.GetIncarnation()), Address: m.GetAddress(),
		DataCentre: unit.DataCentre(m.GetDataCentre()), Beat: m.GetBeat(),
		Leaving: m.GetLeaving(), ConfigVersion: m.GetConfigVersion(),
	}
}

func knowledgeToRPC(k op.Knowledge) *rpc.Knowledge {
	out := &rpc.Knowledge{From: memberToRPC(k.From), AnchorAge: int64(k.AnchorAge), Revision: int64(k.Revision)}
	for _, m := range k.Members {
		out.Members = append(out.Members, memberToRPC(m))
	}
	for _, w := range k.Withdrawn {
		out.Withdrawn = append(out.Withdrawn, string(w))
	}
	for _, s := range k.Suspects {
		out.Suspects = append(out.Suspects, &rpc.Suspect{
			Fingerprint: uint64(s.Fingerprint), Crashes: int32(s.Crashes), Age: int64(s.Age),
		})
	}
	for _, t := range k.Leaving {
		out.Leaving = append(out.Leaving, string(t))
	}
	return out
}

func knowledgeFromRPC(k *rpc.Knowledge) op.Knowledge {
	out := op.Knowledge{
		From: memberFromRPC(k.GetFrom()), AnchorAge: clock.Millis(k.AnchorAge), Revision: unit.Revision(k.Revision),
	}
	for _, m := range k.Members {
		out.Members = append(out.Members, memberFromRPC(m))
	}
	for _, w := range k.Withdrawn {
		out.Withdrawn = append(out.Withdrawn, unit.KeyID(w))
	}
	for _, s := range k.Suspects {
		out.Suspects = append(out.Suspects, op.Suspect{
			Fingerprint: unit.Fingerprint(s.Fingerprint), Crashes: int(s.Crashes), Age: clock.Millis(s.Age),
		})
	}
	for _, t := range k.Leaving {
		out.Leaving = append(out.Leaving, unit.Target(t))
	}
	return out
}

func instanceOf(i unit.Incarnation) unit.Instance { return member.InstanceOf(i) }
