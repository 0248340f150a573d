package serve

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/catkinhead/catkinhead/internal/decide"
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/internal/ticket"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/rpc"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// ticketHeader carries the ticket (package ticket) of a request that must
	// run at most once.
	ticketHeader = "Idempotency-Key"
	// forwardTimeout bounds a call forwarded to another instance.
	forwardTimeout = 65 * time.Second
	// livenessInterval is the time between checks whether a peer is still live.
	livenessInterval = 250 * time.Millisecond
)

// plainRequest is a call to a plain service (a target that is not a model) as
// received from the caller.
type plainRequest struct {
	route   unit.Route
	keyHash string
	call    platform.Call
}

// servePlain serves a call to a plain service. With a ticket, the call is
// forwarded to the incarnation that issued the ticket and runs there at most
// once.
func (p *Process) servePlain(c *gin.Context) {
	body, err := io.ReadAll(c.Request.Body)
	if err != nil {
		writeError(c, http.StatusRequestEntityTooLarge, "BadRequest", unit.NotRun, "the body was cut or is above 4 MiB")
		return
	}
	r := plainRequest{
		route: unit.Route(c.Param("route")), keyHash: keyHashFrom(c.Request.Context()),
		call: platform.Call{
			Path: cleanPath(c.Param("path")), ContentType: c.GetHeader("Content-Type"), Body: body,
		},
	}
	if containsKey(c, string(body)+r.call.Path+r.call.ContentType) {
		writeError(c, http.StatusBadRequest, "BadRequest", unit.NotRun, errKeyInBody.Error())
		return
	}
	t := c.GetHeader(ticketHeader)
	if t == "" {
		p.writeResult(c, p.submitPlain(c.Request.Context(), r))
		return
	}
	p.servePlainWithTicket(c, r, t)
}

// servePlainWithTicket runs a call here if this incarnation issued its ticket,
// and forwards it to the issuer otherwise.
func (p *Process) servePlainWithTicket(c *gin.Context, r plainRequest, t string) {
	var w unit.Workspace
	var reason op.Reason
	p.loop.Query(func(now clock.Millis, s *decide.State) { w, reason = s.WorkspaceForRoute(now, r.keyHash, r.route) })
	if reason != "" {
		writeRefusal(c, op.Refuse{Reason: reason, Outcome: unit.NotRun})
		return
	}
	issuer, err := p.tickets.Issuer(t, w)
	if err != nil {
		writeError(c, http.StatusBadRequest, "BadTicket", unit.NotRun, err.Error())
		return
	}
	if issuer != p.self.Incarnation {
		p.writeResult(c, p.forward(c.Request.Context(), issuer, t, w, r))
		return
	}
	p.writeResult(c, p.useTicket(c.Request.Context(), t, r))
}

// useTicket runs the request of a ticket here, or waits for the result of an
// earlier use. The run continues if the caller disconnects, so that a retry
// with the ticket gets its result.
func (p *Process) useTicket(ctx context.Context, t string, r plainRequest) ticket.Result {
	res, err := p.tickets.Use(ctx, t, func() ticket.Result {
		return p.submitPlain(context.WithoutCancel(ctx), r)
	})
	switch {
	case errors.Is(err, ticket.ErrUnknown):
		return errorResult(http.StatusConflict, "TicketGone", unit.Unknown, err.Error())
	case err != nil:
		return errorResult(http.StatusGatewayTimeout, "Deadline", unit.Unknown, err.Error())
	}
	return res
}

// forward sends a call with a ticket to the incarnation that issued the ticket.
// If that incarnation is gone or does not answer, it is unknown whether the
// call ran, and it is not run here.
func (p *Process) forward(ctx context.Context, to unit.Incarnation, t string, w unit.Workspace, r plainRequest) ticket.Result {
	address := ""
	p.loop.Query(func(_ clock.Millis, s *decide.State) {
		if m := s.Members.Members[instanceOf(to)]; m != nil && m.Incarnation == to {
			address = m.Address
		}
	})
	if address == "" {
		return errorResult(http.StatusConflict, "TicketGone", unit.Unknown,
			"the instance that issued the ticket is gone; the request may have run and is not run again")
	}
	ctx, cancel := p.peers.callContext(ctx, forwardTimeout)
	defer cancel()
	p.tasks.Go(func(context.Context) { p.cancelWhenDead(ctx, cancel, to) })
	res, err := p.peers.client(address).Forward(ctx, &rpc.ForwardRequest{
		Ticket: t, Workspace: string(w), Route: string(r.route), Path: r.call.Path,
		ContentType: r.call.ContentType, Body: r.call.Body, KeyHash: r.keyHash,
	})
	if err != nil {
		return errorResult(http.StatusBadGateway, "TicketUnreachable", unit.Unknown,
			"the instance that issued the ticket does not answer; the request may have run and is not run again")
	}
	return ticket.Result{
		Status: int(res.Status), ContentType: res.ContentType, Body: res.Body, Outcome: parseOutcome(res.Outcome),
	}
}

// cancelWhenDead cancels a call to a peer once the peer's incarnation is no
// longer live.
func (p *Process) cancelWhenDead(ctx context.Context, cancel func(), peer unit.Incarnation) {
	tick := time.NewTicker(livenessInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		live := false
		p.loop.Query(func(now clock.Millis, s *decide.State) { live = s.Members.IsLive(now, peer) })
		if !live {
			cancel()
			return
		}
	}
}

// submitPlain submits a call to the reducer and waits for its end. If ctx ends
// first, the call is cancelled.
func (p *Process) submitPlain(ctx context.Context, r plainRequest) ticket.Result {
	call := &pendingCall{id: p.newRequestID(), plain: &r.call, result: make(chan callResult, 1)}
	p.calls.add(call)
	defer p.calls.remove(call.id)
	p.loop.Post(op.Arrive{Request: op.Request{
		ID: call.id, Route: r.route, KeyHash: r.keyHash, Class: op.Live, Cost: 1, Plain: true,
		Fingerprint: fingerprint(string(r.route), r.call.Path+"\x00"+string(r.call.Body)),
	}})
	select {
	case e := <-call.result:
		if e.refusal != nil {
			return refusalResult(*e.refusal)
		}
	case <-ctx.Done():
		p.loop.Post(op.CallerGone{Request: call.id})
		return errorResult(http.StatusGatewayTimeout, "Cancelled", unit.Unknown, "the caller left")
	}
	a := call.finalAnswer().plain
	return ticket.Result{Status: a.Status, ContentType: a.ContentType, Body: a.Body, Outcome: unit.Ran}
}

func (p *Process) writeResult(c *gin.Context, r ticket.Result) {
	c.Header(outcomeHeader, r.Outcome.String())
	c.Data(r.Status, r.ContentType, r.Body)
}

// refusalResult returns the result of a call that the reducer refused.
func refusalResult(r op.Refuse) ticket.Result {
	return errorResult(httpStatus(r.Reason), string(r.Reason), r.Outcome, reasonText[r.Reason])
}

// errorResult returns an error as the result of a call.
func errorResult(status int, code string, o unit.Outcome, msg string) ticket.Result {
	body := errorJSON(code, o, msg)
	return ticket.Result{Status: status, ContentType: "application/json", Body: body, Outcome: o}
}

// cleanPath removes empty, "." and ".." segments and escapes the others, so
// that the path stays below its route.
func cleanPath(path string) string {
	var parts []string
	for part := range strings.SplitSeq(path, "/") {
		if part != "" && part != "." && part != ".." {
			parts = append(parts, url.PathEscape(part))
		}
	}
	return strings.Join(parts, "/")
}

// parseOutcome is the inverse of Outcome.String. An unknown text gives Unknown.
func parseOutcome(s string) unit.Outcome {
	switch s {
	case unit.NotRun.String():
		return unit.NotRun
	case unit.Ran.String():
		return unit.Ran
	default:
		return unit.Unknown
	}
}
