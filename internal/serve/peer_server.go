package serve

import (
	"context"
	"net/http"

	"github.com/twitchtv/twirp"

	"github.com/catkinhead/catkinhead/internal/decide"
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/rpc"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// peerServer serves the calls of other instances.
type peerServer struct{ p *Process }

// Exchange merges a peer's knowledge (op.Knowledge) into the state and returns
// this instance's own.
func (s peerServer) Exchange(_ context.Context, k *rpc.Knowledge) (*rpc.Knowledge, error) {
	if k.GetFrom().GetIncarnation() == "" {
		return nil, twirp.RequiredArgumentError("from")
	}
	s.p.loop.Post(op.PeerHeard{Know: knowledgeFromRPC(k)})
	var own op.Knowledge
	if !s.p.loop.Query(func(now clock.Millis, st *decide.State) { own = st.Knowledge(now) }) {
		return nil, twirp.Unavailable.Error("instance has stopped")
	}
	return knowledgeToRPC(own), nil
}

// State returns the operators' state that this instance uses.
func (s peerServer) State(context.Context, *rpc.StateRequest) (*rpc.StateResponse, error) {
	out := &rpc.StateResponse{}
	s.p.loop.Query(func(_ clock.Millis, st *decide.State) {
		c := st.Config.State
		out.Revision, out.ConfigVersion, out.ConfigKey = int64(st.Config.Revision), c.ConfigVersion, c.ConfigKey
		out.Document = c.Document
		for _, k := range c.Withdrawn {
			out.Withdrawn = append(out.Withdrawn, string(k))
		}
		for p, v := range c.Active {
			out.Active = append(out.Active, &rpc.PoolVersion{Pool: string(p), Version: int64(v)})
		}
	})
	return out, nil
}

// Keep stores a copy of another instance's usage counters.
func (s peerServer) Keep(_ context.Context, c *rpc.UsageCounters) (*rpc.KeepResponse, error) {
	if err := s.p.checkSource(c.Source); err != nil {
		return nil, twirp.InvalidArgumentError("source", err.Error())
	}
	s.p.usageCopies.store(countersFromRPC([]*rpc.UsageCounters{c})[0], s.p.clock.Now())
	return &rpc.KeepResponse{}, nil
}

// Counters returns this instance's own usage counters and its copies of those of
// others.
func (s peerServer) Counters(context.Context, *rpc.CountersRequest) (*rpc.CountersResponse, error) {
	out := &rpc.CountersResponse{}
	for _, c := range s.p.knownCounters() {
		out.Counters = append(out.Counters, countersToRPC(c))
	}
	return out, nil
}

// Forward runs a call that another instance received, with a ticket that this
// incarnation issued.
func (s peerServer) Forward(ctx context.Context, r *rpc.ForwardRequest) (*rpc.ForwardResponse, error) {
	issuer, err := s.p.tickets.Issuer(r.Ticket, unit.Workspace(r.Workspace))
	if err != nil {
		return nil, twirp.InvalidArgumentError("ticket", err.Error())
	}
	if issuer != s.p.self.Incarnation {
		res := errorResult(http.StatusConflict, "TicketGone", unit.Unknown, "the incarnation that issued the ticket is gone")
		return newForwardResponse(res.Status, res.ContentType, res.Body, res.Outcome), nil
	}
	res := s.p.useTicket(ctx, r.Ticket, plainRequest{
		route: unit.Route(r.Route), keyHash: r.KeyHash,
		call: platform.Call{Path: r.Path, ContentType: r.ContentType, Body: r.Body},
	})
	return newForwardResponse(res.Status, res.ContentType, res.Body, res.Outcome), nil
}

// newForwardResponse returns the response for the result of a call.
func newForwardResponse(status int, contentType string, body []byte, o unit.Outcome) *rpc.ForwardResponse {
	return &rpc.ForwardResponse{Status: int32(status), ContentType: contentType, Body: body, Outcome: o.String()}
}
