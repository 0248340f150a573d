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
	// peerTime bounds an exchange between instances.
	peerTime = time.Second
	// idlePeers and idleTime bound the connections kept to peers, which would
	// otherwise grow with the fleet.
	idlePeers = 16
	idleTime  = 10 * time.Second
	// secretHeader carries the fleet secret.
	secretHeader = "X-Catkinhead-Fleet"
)

// peers keeps the clients to other instances.
type peers struct {
	// bytes counts what was read and written on connections to peers.
	bytes  *atomic.Int64
	header http.Header
	http   *http.Client
	mu     sync.Mutex
	by     map[string]rpc.Peer
}

func newPeers(secret string) *peers {
	n := &atomic.Int64{}
	return &peers{
		bytes:  n,
		header: http.Header{secretHeader: {secret}},
		http: &http.Client{Transport: &http.Transport{
			DialContext: link.CountingDial(n), MaxIdleConnsPerHost: 2, MaxIdleConns: idlePeers, IdleConnTimeout: idleTime,
		}},
		by: make(map[string]rpc.Peer),
	}
}

func (ps *peers) at(address string) rpc.Peer {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	c := ps.by[address]
	if c == nil {
		c = rpc.NewPeerProtobufClient("http://"+address, ps.http)
		ps.by[address] = c
	}
	return c
}

// context adds the fleet secret to outgoing calls.
func (ps *peers) context(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, err := twirp.WithHTTPRequestHeaders(ctx, ps.header)
	if err != nil {
		panic("fleet header is reserved: " + err.Error())
	}
	return context.WithTimeout(ctx, d)
}

func (p *Process) exchange(ctx context.Context, e op.Exchange) {
	asked := p.clock.Now()
	ctx, cancel := p.peers.context(ctx, peerTime)
	defer cancel()
	k, err := p.peers.at(e.Address).Exchange(ctx, knowledgeOut(e.Know))
	if err != nil {
		p.loop.Post(op.PeerSilent{Instance: e.Instance})
		return
	}
	know := knowledgeIn(k)
	p.loop.Post(op.PeerHeard{Know: know, Asked: true, AskedAt: asked})
	if e.Instance != instanceOf(know.From.Incarnation) {
		p.loop.Post(op.PeerSilent{Instance: e.Instance})
	}
}

func (p *Process) fetchState(ctx context.Context, e op.FetchState) {
	ctx, cancel := p.peers.context(ctx, peerTime)
	defer cancel()
	r, err := p.peers.at(e.Address).State(ctx, &rpc.StateRequest{})
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
		p.log.Error("a peer's state is not usable: " + err.Error())
		return
	}
	p.loop.Post(op.StateRead{Result: op.Done, FromPeer: true, Revision: unit.Revision(r.Revision), State: st})
}

func memberOut(m op.MemberInfo) *rpc.Member {
	return &rpc.Member{
		Incarnation: string(m.Incarnation), Address: m.Address, DataCentre: string(m.DataCentre),
		Beat: m.Beat, Leaving: m.Leaving, ConfigVersion: m.ConfigVersion,
	}
}

func memberIn(m *rpc.Member) op.MemberInfo {
	return op.MemberInfo{
		Incarnation: unit.Incarnation(m.GetIncarnation()), Address: m.GetAddress(),
		DataCentre: unit.DataCentre(m.GetDataCentre()), Beat: m.GetBeat(),
		Leaving: m.GetLeaving(), ConfigVersion: m.GetConfigVersion(),
	}
}

func knowledgeOut(k op.Knowledge) *rpc.Knowledge {
	out := &rpc.Knowledge{From: memberOut(k.From), AnchorAge: int64(k.AnchorAge), Revision: int64(k.Revision)}
	for _, m := range k.Members {
		out.Members = append(out.Members, memberOut(m))
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

func knowledgeIn(k *rpc.Knowledge) op.Knowledge {
	out := op.Knowledge{
		From: memberIn(k.GetFrom()), AnchorAge: clock.Millis(k.AnchorAge), Revision: unit.Revision(k.Revision),
	}
	for _, m := range k.Members {
		out.Members = append(out.Members, memberIn(m))
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

func instanceOf(i unit.Incarnation) unit.Instance { return member.NameOf(i) }
