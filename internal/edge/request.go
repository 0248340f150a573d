package edge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/catkinhead/catkinhead/internal/budget"
	"github.com/catkinhead/catkinhead/internal/forward"
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/platform/link"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// maxBufferedReply is the longest reply that is read completely before it is
	// forwarded, in bytes. If such a reply breaks off, another attempt can
	// replace it.
	maxBufferedReply = 256 << 10
	// mailboxSize is the number of effects that a request's channel holds. A few
	// are enough: a request gets its next effect only after the end of the attempt
	// that the previous one started.
	mailboxSize = 4
)

// crashProbeTime is how long a target whose connection broke has to take a new one. One
// that does not has crashed.
const crashProbeTime = 100 * time.Millisecond

// deliver hands an effect to the goroutine of a request, unless the request has
// ended.
func (p *Process) deliver(id op.CallID, e op.Effect) {
	mailbox, ok := p.mailboxes.Load(id)
	if !ok {
		return
	}
	select {
	case mailbox.(chan op.Effect) <- e:
	default:
		p.log.WithField("Call", id).Error("mailbox of a request is full")
	}
}

// callerRequest is an HTTP request of a caller in progress.
type callerRequest struct {
	p         *Process
	id        op.CallID
	mailbox   chan op.Effect
	w         http.ResponseWriter
	r         *http.Request
	headers   platform.RequestHeaders
	body      []byte
	startedAt clock.Millis
	// hold is what the request takes of the room for bodies.
	hold *budget.Hold
}

// ServeHTTP handles the requests of callers.
func (p *Process) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.activeRequests.Add(1)
	defer p.activeRequests.Add(-1)
	cr := &callerRequest{
		p: p, id: op.CallID(p.nextID.Add(1)), mailbox: make(chan op.Effect, mailboxSize), w: w, r: r,
		headers: p.deps.Ingress.ParseHeaders(r.Header), startedAt: p.clock.Now(),
	}
	cr.hold = cr.openHold()
	defer cr.hold.Close()
	call := p.deps.Ingress.ParseJobCall(r)
	if cr.refuseStranger(call) || !cr.readBody() {
		return
	}
	p.mailboxes.Store(cr.id, cr.mailbox)
	defer p.mailboxes.Delete(cr.id)
	received := cr.received(call)
	received.Fingerprint = cr.fingerprint()
	p.apply(received)
	cr.serve(call)
}

// received returns the event of the request, without what depends on its body.
func (cr *callerRequest) received(call platform.JobRequest) op.RequestReceived {
	return op.RequestReceived{
		Call: cr.id, Host: cr.r.Host, Path: cr.r.URL.Path, Head: cr.headers, Batch: call.Call != platform.NoJobCall,
	}
}

// refuseStranger refuses a request without a route or a key before its body is read, unless
// that is short, and reports whether it has.
func (cr *callerRequest) refuseStranger(call platform.JobRequest) bool {
	if n := cr.r.ContentLength; n >= 0 && n <= budget.Small {
		return false
	}
	var refusal op.Respond
	refused := false
	cr.p.withState(func(now clock.Millis, s *State) {
		refusal, refused = forward.Refusal(cr.received(call), s.forwardView(now))
	})
	if refused {
		cr.respond(refusal)
	}
	return refused
}

// fingerprint returns a hash of the request's content and its key.
func (cr *callerRequest) fingerprint() unit.Fingerprint {
	h := xxhash.New()
	for _, part := range []string{cr.r.Method, cr.r.Host, cr.r.RequestURI, cr.headers.Key} {
		// Writes to a hash never fail.
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(cr.body)
	return unit.Fingerprint(h.Sum64())
}

// serve carries out the effects of the request until its last one, or until the
// caller disconnects.
func (cr *callerRequest) serve(call platform.JobRequest) {
	for {
		select {
		case e := <-cr.mailbox:
			if cr.handleEffect(e, call) {
				return
			}
		case <-cr.r.Context().Done():
			cr.p.apply(op.CallerDisconnected{Call: cr.id})
			cr.log("caller disconnected", logrus.Fields{})
			return
		}
	}
}

// handleEffect carries out an effect. It returns true if it was the last one of
// the request. If the caller disconnected during an attempt, it returns false, so
// that serve reports that.
func (cr *callerRequest) handleEffect(e op.Effect, call platform.JobRequest) bool {
	switch e := e.(type) {
	case op.Respond:
		cr.respond(e)
	case op.ForwardRequest:
		ended := cr.attempt(e)
		cr.p.apply(ended)
		if ended.Begun && !ended.Whole && cr.r.Context().Err() == nil {
			link.AbortAnswer(cr.w, cr.r)
		}
		return cr.r.Context().Err() == nil && cr.noEffectQueued()
	case op.AcceptJob:
		cr.acceptJob(e)
	case op.ServeJobCall:
		cr.serveJobCall(e, call)
	}
	return true
}

// noEffectQueued reports whether no effect is queued: the end of the last attempt
// led to no other attempt and to no refusal.
func (cr *callerRequest) noEffectQueued() bool { return len(cr.mailbox) == 0 }

// respond answers with a status of this instance, not with a target's reply.
func (cr *callerRequest) respond(e op.Respond) {
	h := cr.w.Header()
	cr.p.deps.Ingress.SetResponseHeaders(h, cr.headers.Attempt, e.RetryAfter)
	h.Set("Content-Length", "0")
	cr.writeStatus(e.Status)
	cr.p.observeDuration("catkinhead_request_seconds", "outcome", string(e.Reason), cr.startedAt)
	cr.log("request refused", logrus.Fields{
		"Status": e.Status, "Reason": e.Reason, "Outcome": e.Outcome.String(), "Route": e.Route,
		"Attempts": e.Attempts, "ConfigurationAgeMillis": e.KnownFor, "RetryAfterMillis": e.RetryAfter,
	})
}

// log writes a log line with the request's ID and the time since its start.
func (cr *callerRequest) log(msg string, fields logrus.Fields) {
	fields["Request"] = cr.headers.Attempt
	fields["TookMillis"] = cr.p.clock.Now() - cr.startedAt
	cr.p.log.WithFields(fields).Info(msg)
}

// attempt sends the request to a target and forwards the reply.
func (cr *callerRequest) attempt(e op.ForwardRequest) op.AttemptEnded {
	sent := cr.p.clock.Now()
	ended := op.AttemptEnded{Call: cr.id, Target: e.Target, SentAt: sent}
	ctx, cancel := context.WithTimeout(cr.r.Context(), (e.Until - sent).Duration())
	defer cancel()
	reply, err := cr.p.deps.Backends.Do(ctx, platform.TargetRequest{
		Attempt: cr.headers.Attempt, Target: e.Target, Address: e.Address, Method: cr.r.Method, Host: cr.r.Host,
		URI: cr.r.RequestURI, Header: cr.r.Header, Body: cr.body, Workspace: e.Workspace,
		Once: e.Once, Left: e.Deadline - sent, After: cr.headers.After,
	})
	if err == nil {
		err = cr.forwardReply(reply, e.Streaming, &ended)
		ended.Outcome = unit.Ran
	}
	var failure *platform.Failure
	if errors.As(err, &failure) {
		ended.Outcome, ended.Leaving = failure.Outcome, failure.Leaving
		ended.Crashed = failure.Crashed && ctx.Err() == nil && !link.Reachable(ctx, e.Address, crashProbeTime)
	}
	ended.Whole = err == nil
	cr.logAttempt(e, ended, sent, err)
	return ended
}

// logAttempt logs the end of an attempt. If the attempt succeeded, it also
// records the duration of the request.
func (cr *callerRequest) logAttempt(e op.ForwardRequest, ended op.AttemptEnded, sent clock.Millis, err error) {
	fields := logrus.Fields{
		"Route": e.Route, "Target": e.Target, "Attempt": e.Attempt, "Outcome": ended.Outcome.String(),
		"Whole": ended.Whole, "Crashed": ended.Crashed, "AttemptMillis": cr.p.clock.Now() - sent, "LeftMillis": e.Deadline - sent,
	}
	if err != nil {
		fields["Error"] = err.Error()
	} else {
		cr.p.observeDuration("catkinhead_request_seconds", "outcome", "Served", cr.startedAt)
	}
	cr.log("attempt ended", fields)
}

// forwardReply sends a target's reply to the caller. A short reply is read completely
// first, if there is room for it. One that turns out to be short gets a Content-Length.
func (cr *callerRequest) forwardReply(reply *platform.Reply, streaming bool, ended *op.AttemptEnded) error {
	defer reply.Body.Close()
	held := cr.heldBytes(reply, streaming)
	if held > budget.Small {
		if cr.hold.TryGrow(held) {
			defer cr.hold.Shrink(held)
		} else {
			held = budget.Small
		}
	}
	body, whole, err := readStart(reply, held)
	if err != nil {
		return &platform.Failure{Outcome: unit.Unknown, Crashed: brokeOff(err), Err: err}
	}
	if whole && reply.Length < 0 {
		reply.Length = int64(len(body))
	}
	cr.writeHead(reply)
	ended.Begun = true
	if err := cr.write(body); err != nil || whole {
		return err
	}
	return cr.streamBody(reply.Body)
}

// brokeOff reports whether an error of a reply's body means that its connection ended.
func brokeOff(err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// heldBytes returns how much of a reply is held back, in bytes: all of a short one, as
// much of one whose length is not known, and nothing of a stream or a long one.
func (cr *callerRequest) heldBytes(reply *platform.Reply, streaming bool) int64 {
	switch {
	case streaming || reply.Length > maxBufferedReply:
		return 0
	case reply.Length < 0:
		return maxBufferedReply
	default:
		return reply.Length
	}
}

// readStart reads up to n bytes of a reply, and reports whether these are all.
func readStart(reply *platform.Reply, n int64) (body []byte, whole bool, err error) {
	if n == 0 {
		return nil, reply.Length == 0, nil
	}
	body, err = io.ReadAll(io.LimitReader(reply.Body, n))
	if err != nil {
		return nil, false, err
	}
	return body, int64(len(body)) < n || int64(len(body)) == reply.Length, nil
}

// writeHead sends the status and the headers of a reply.
func (cr *callerRequest) writeHead(reply *platform.Reply) {
	h := cr.w.Header()
	for k, vs := range reply.Header {
		h[k] = vs
	}
	if reply.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(reply.Length, 10))
	}
	cr.writeStatus(reply.Status)
}

// writeStatus sends the status and the headers of an answer. During the graceful
// shutdown the connection ends with the answer.
func (cr *callerRequest) writeStatus(status int) {
	if cr.p.stopping.Load() {
		cr.w.Header().Set("Connection", "close")
	}
	cr.w.WriteHeader(status)
}

// write sends a part of the answer's body. The request waits for its caller meanwhile.
func (cr *callerRequest) write(b []byte) error {
	cr.hold.Wait()
	defer cr.hold.Done()
	_, err := cr.w.Write(b)
	return err
}

// streamBody forwards a body as it arrives. The error tells that the body broke
// off, or that the caller left.
func (cr *callerRequest) streamBody(body io.Reader) error {
	rc := http.NewResponseController(cr.w)
	buf := make([]byte, 8<<10)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if werr := cr.write(buf[:n]); werr != nil {
				return werr
			}
			if ferr := rc.Flush(); ferr != nil {
				return ferr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return &platform.Failure{Outcome: unit.Unknown, Crashed: brokeOff(err), Err: fmt.Errorf("read reply: %w", err)}
		}
	}
}
