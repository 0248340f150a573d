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
	// ticketHeader carries the ticket of a request that must run at most once.
	ticketHeader = "Idempotency-Key"
	// forwardTime bounds a call passed to another instance.
	forwardTime = 65 * time.Second
	// liveCheck is the time between looks whether a peer still lives.
	liveCheck = 250 * time.Millisecond
)

// plainRequest is a call to a plain service, as it came in.
type plainRequest struct {
	route   unit.Route
	keyHash string
	call    platform.Call
}

// plainCall serves a call to a plain service. With a ticket it goes to the
// incarnation that issued it, and runs there at most once.
func (p *Process) plainCall(c *gin.Context) {
	p.withKey(c)
	body, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, maxCallBody))
	if err != nil {
		fail(c, http.StatusRequestEntityTooLarge, "BadRequest", unit.NotRun, "the body was cut or is above 4 MiB")
		return
	}
	r := plainRequest{
		route: unit.Route(c.Param("route")), keyHash: keyFrom(c.Request.Context()),
		call: platform.Call{
			Path: cleanPath(c.Param("path")), ContentType: c.GetHeader("Content-Type"), Body: body,
		},
	}
	if carriesKey(c, string(body)+r.call.Path+r.call.ContentType) {
		fail(c, http.StatusBadRequest, "BadRequest", unit.NotRun, errKeyInBody.Error())
		return
	}
	t := c.GetHeader(ticketHeader)
	if t == "" {
		p.writeResult(c, p.runCall(c.Request.Context(), r))
		return
	}
	p.ticketCall(c, r, t)
}

func (p *Process) ticketCall(c *gin.Context, r plainRequest, t string) {
	var w unit.Workspace
	var why op.Reason
	p.loop.Ask(func(now clock.Millis, s *decide.State) { w, why = s.Authorise(now, r.keyHash, r.route) })
	if why != "" {
		refused(c, op.Refuse{Reason: why, Outcome: unit.NotRun})
		return
	}
	issuer, err := p.tickets.Issuer(t, w)
	if err != nil {
		fail(c, http.StatusBadRequest, "BadTicket", unit.NotRun, err.Error())
		return
	}
	if issuer != p.self.Incarnation {
		p.writeResult(c, p.forward(c.Request.Context(), issuer, t, w, r))
		return
	}
	p.writeResult(c, p.useTicket(c.Request.Context(), t, r))
}

// useTicket runs a ticket's request here, or waits for its result. The run
// goes on if the caller leaves, so that a resend finds its end.
func (p *Process) useTicket(ctx context.Context, t string, r plainRequest) ticket.Result {
	res, err := p.tickets.Use(ctx, t, func() ticket.Result {
		return p.runCall(context.WithoutCancel(ctx), r)
	})
	switch {
	case errors.Is(err, ticket.ErrGone):
		return errorResult(http.StatusConflict, "TicketGone", unit.Unknown, err.Error())
	case err != nil:
		return errorResult(http.StatusGatewayTimeout, "Deadline", unit.Unknown, err.Error())
	}
	return res
}

// forward passes a ticketed call to the incarnation that issued the ticket. If
// that is gone or silent, nobody knows whether the call ran, and it is not run
// here.
func (p *Process) forward(ctx context.Context, to unit.Incarnation, t string, w unit.Workspace, r plainRequest) ticket.Result {
	address := ""
	p.loop.Ask(func(_ clock.Millis, s *decide.State) {
		if m := s.Members.Members[instanceOf(to)]; m != nil && m.Incarnation == to {
			address = m.Address
		}
	})
	if address == "" {
		return errorResult(http.StatusConflict, "TicketGone", unit.Unknown,
			"the instance that issued the ticket is gone; the request may have run and is not run again")
	}
	ctx, cancel := p.peers.context(ctx, forwardTime)
	defer cancel()
	p.tasks.Go(func(context.Context) { p.whileLive(ctx, cancel, to) })
	res, err := p.peers.at(address).Forward(ctx, &rpc.ForwardRequest{
		Ticket: t, Workspace: string(w), Route: string(r.route), Path: r.call.Path,
		ContentType: r.call.ContentType, Body: r.call.Body, KeyHash: r.keyHash,
	})
	if err != nil {
		return errorResult(http.StatusBadGateway, "TicketUnreachable", unit.Unknown,
			"the instance that issued the ticket does not answer; the request may have run and is not run again")
	}
	return ticket.Result{
		Status: int(res.Status), ContentType: res.ContentType, Body: res.Body, Outcome: outcomeIn(res.Outcome),
	}
}

// whileLive ends a call to a peer once that incarnation shows no life.
func (p *Process) whileLive(ctx context.Context, end func(), peer unit.Incarnation) {
	tick := time.NewTicker(liveCheck)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		live := false
		p.loop.Ask(func(now clock.Millis, s *decide.State) { live = s.Members.IsLive(now, peer) })
		if !live {
			end()
			return
		}
	}
}

// runCall runs a call once and waits for its end.
func (p *Process) runCall(ctx context.Context, r plainRequest) ticket.Result {
	x := &call{id: p.requestID(), plain: &r.call, ends: make(chan ending, 1)}
	p.calls.add(x)
	defer p.calls.remove(x.id)
	p.loop.Post(op.Arrive{Request: op.Request{
		ID: x.id, Route: r.route, KeyHash: r.keyHash, Class: op.Live, Cost: 1, Plain: true,
		Fingerprint: fingerprint(string(r.route), r.call.Path+"\x00"+string(r.call.Body)),
	}})
	select {
	case e := <-x.ends:
		if e.refusal != nil {
			return refusalResult(*e.refusal)
		}
	case <-ctx.Done():
		p.loop.Post(op.CallerGone{Request: x.id})
		return errorResult(http.StatusGatewayTimeout, "Cancelled", unit.Unknown, "the caller left")
	}
	a := x.get().plain
	return ticket.Result{Status: a.Status, ContentType: a.ContentType, Body: a.Body, Outcome: unit.Ran}
}

func (p *Process) writeResult(c *gin.Context, r ticket.Result) {
	c.Header(outcomeHeader, r.Outcome.String())
	c.Data(r.Status, r.ContentType, r.Body)
}

func refusalResult(r op.Refuse) ticket.Result {
	return errorResult(statusOf(r.Reason), string(r.Reason), r.Outcome, meaning[r.Reason])
}

func errorResult(status int, code string, o unit.Outcome, msg string) ticket.Result {
	body := errorJSON(code, o, msg)
	return ticket.Result{Status: status, ContentType: "application/json", Body: body, Outcome: o}
}

// cleanPath keeps a path below the route it came on.
func cleanPath(path string) string {
	var parts []string
	for part := range strings.SplitSeq(path, "/") {
		if part != "" && part != "." && part != ".." {
			parts = append(parts, url.PathEscape(part))
		}
	}
	return strings.Join(parts, "/")
}

func outcomeIn(s string) unit.Outcome {
	switch s {
	case unit.NotRun.String():
		return unit.NotRun
	case unit.Ran.String():
		return unit.Ran
	default:
		return unit.Unknown
	}
}
