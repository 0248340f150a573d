package edge

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// defaultBody bounds bodies before the first configuration, in bytes.
	defaultBody = 32 << 20
	// bodyTimeout bounds the reading of a body: callers that stay within the
	// configuration's limits send faster.
	bodyTimeout = 10 * time.Second
	// wholeBytes is up to which length an answer is read whole before it is
	// passed on, so that a broken one can be replaced by another attempt.
	wholeBytes = 256 << 10
	// mailbox holds the effects of one request; each waits for the one before.
	mailbox = 4
)

// deliver hands an effect to the goroutine of a request, if it still waits.
func (p *Process) deliver(id op.CallID, e op.Effect) {
	box, ok := p.calls.Load(id)
	if !ok {
		return
	}
	select {
	case box.(chan op.Effect) <- e:
	default:
		p.log.WithField("Call", id).Error("mailbox of a request is full")
	}
}

// front is one caller's request.
type front struct {
	p     *Process
	id    op.CallID
	box   chan op.Effect
	w     http.ResponseWriter
	r     *http.Request
	head  platform.Head
	body  []byte
	began clock.Millis
}

// ServeHTTP serves callers.
func (p *Process) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.active.Add(1)
	defer p.active.Add(-1)
	f := &front{
		p: p, id: op.CallID(p.nextID.Add(1)), box: make(chan op.Effect, mailbox), w: w, r: r,
		head: p.out.Ingress.Head(r.Header), began: p.clock.Now(),
	}
	if !f.read() {
		return
	}
	p.calls.Store(f.id, f.box)
	defer p.calls.Delete(f.id)
	call := p.out.Ingress.Batch(r)
	p.apply(op.Asked{Call: f.id, Host: r.Host, Path: r.URL.Path, Head: f.head, Batch: call.Call != platform.NoBatchCall, Fingerprint: f.fingerprint()})
	f.serve(call)
}

// fingerprint identifies the content of the request and its caller.
func (f *front) fingerprint() unit.Fingerprint {
	h := xxhash.New()
	for _, part := range []string{f.r.Method, f.r.Host, f.r.RequestURI, f.head.Key} {
		// Writing to a hash does not fail.
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(f.body)
	return unit.Fingerprint(h.Sum64())
}

// read reads the body within the configuration's limits.
func (f *front) read() bool {
	limit := int64(defaultBody)
	f.p.ask(func(_ clock.Millis, s *State) {
		if s.Table != nil && s.Table.Limits.BodyBytes > 0 {
			limit = int64(s.Table.Limits.BodyBytes)
		}
	})
	rc := http.NewResponseController(f.w)
	if f.r.ContentLength != 0 {
		// A connection that cannot take a deadline is bounded by the server's.
		_ = rc.SetReadDeadline(time.Now().Add(bodyTimeout))
	}
	body, err := io.ReadAll(http.MaxBytesReader(f.w, f.r.Body, limit))
	if f.r.ContentLength != 0 {
		_ = rc.SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		f.respond(op.Respond{Status: http.StatusRequestEntityTooLarge, Reason: op.BadJob, Outcome: unit.NotRun})
		return false
	case err != nil:
		f.w.Header().Set("Connection", "close")
		f.respond(op.Respond{Status: http.StatusRequestTimeout, Reason: op.AskedAway, Outcome: unit.NotRun})
		return false
	}
	f.body = body
	return true
}

// serve waits for the decisions on the request and carries them out.
func (f *front) serve(call platform.BatchRequest) {
	for {
		select {
		case e := <-f.box:
			if f.carryOut(e, call) {
				return
			}
		case <-f.r.Context().Done():
			f.p.apply(op.Left{Call: f.id})
			f.log("caller left", logrus.Fields{})
			return
		}
	}
}

// carryOut returns true after the last effect.
func (f *front) carryOut(e op.Effect, call platform.BatchRequest) bool {
	switch e := e.(type) {
	case op.Respond:
		f.respond(e)
	case op.PassOn:
		f.p.apply(f.attempt(e))
		return f.r.Context().Err() == nil && f.done()
	case op.TakeJob:
		f.takeJob(e)
	case op.ServeBatch:
		f.serveBatch(e, call)
	}
	return true
}

// done tells whether no further decision will come: the attempt's end made no
// new one.
func (f *front) done() bool { return len(f.box) == 0 }

// respond answers with a status of our own.
func (f *front) respond(e op.Respond) {
	h := f.w.Header()
	f.p.out.Ingress.Refuse(h, f.head.Attempt, e.RetryAfter)
	h.Set("Content-Length", "0")
	f.w.WriteHeader(e.Status)
	f.p.observe("catkinhead_request_seconds", "outcome", string(e.Reason), f.began)
	f.log("request refused", logrus.Fields{
		"Status": e.Status, "Reason": e.Reason, "Outcome": e.Outcome.String(), "Route": e.Route,
		"Attempts": e.Attempts, "ConfigurationAgeMillis": e.KnownFor, "RetryAfterMillis": e.RetryAfter,
	})
}

func (f *front) log(msg string, fields logrus.Fields) {
	fields["Request"] = f.head.Attempt
	fields["TookMillis"] = f.p.clock.Now() - f.began
	f.p.log.WithFields(fields).Info(msg)
}

// attempt sends the request to a target and passes the answer on.
func (f *front) attempt(e op.PassOn) op.Passed {
	sent := f.p.clock.Now()
	end := op.Passed{Call: f.id, Target: e.Target, SentAt: sent}
	ctx, cancel := context.WithTimeout(f.r.Context(), (e.Until - sent).Duration())
	defer cancel()
	reply, err := f.p.out.Backends.Do(ctx, platform.Outgoing{
		Attempt: f.head.Attempt, Target: e.Target, Address: e.Address, Method: f.r.Method, Host: f.r.Host,
		URI: f.r.RequestURI, Header: f.r.Header, Body: f.body, Workspace: e.Workspace,
		Left: e.Deadline - sent, After: f.head.After,
	})
	if err == nil {
		err = f.pass(reply, e.Streaming, &end)
		end.Outcome = unit.Ran
	}
	var failure *platform.Failure
	if errors.As(err, &failure) {
		end.Outcome, end.Leaving = failure.Outcome, failure.Leaving
		end.Crashed = failure.Crashed && ctx.Err() == nil
	}
	end.Whole = err == nil
	f.logAttempt(e, end, sent, err)
	return end
}

func (f *front) logAttempt(e op.PassOn, end op.Passed, sent clock.Millis, err error) {
	fields := logrus.Fields{
		"Route": e.Route, "Target": e.Target, "Attempt": e.Attempt, "Outcome": end.Outcome.String(),
		"Whole": end.Whole, "AttemptMillis": f.p.clock.Now() - sent, "LeftMillis": e.Deadline - sent,
	}
	if err != nil {
		fields["Error"] = err.Error()
	} else {
		f.p.observe("catkinhead_request_seconds", "outcome", "Served", f.began)
	}
	f.log("attempt ended", fields)
}

// pass hands a target's answer to the caller. A short one is read whole first.
func (f *front) pass(reply *platform.Reply, streaming bool, end *op.Passed) error {
	defer reply.Body.Close()
	if !streaming && reply.Length >= 0 && reply.Length <= wholeBytes {
		body, err := io.ReadAll(reply.Body)
		if err != nil {
			return &platform.Failure{Outcome: unit.Unknown, Err: err}
		}
		f.head200(reply)
		end.Begun = true
		_, err = f.w.Write(body)
		return err
	}
	if !streaming && reply.Length < 0 {
		return f.passUnsized(reply, end)
	}
	f.head200(reply)
	end.Begun = true
	return f.copy(reply.Body)
}

// passUnsized passes on an answer whose length shows only at its end.
func (f *front) passUnsized(reply *platform.Reply, end *op.Passed) error {
	body, err := io.ReadAll(io.LimitReader(reply.Body, wholeBytes))
	if err != nil {
		return &platform.Failure{Outcome: unit.Unknown, Err: err}
	}
	if len(body) < wholeBytes {
		reply.Length = int64(len(body))
	}
	f.head200(reply)
	end.Begun = true
	if _, err := f.w.Write(body); err != nil || reply.Length >= 0 {
		return err
	}
	return f.copy(reply.Body)
}

func (f *front) head200(reply *platform.Reply) {
	h := f.w.Header()
	for k, vs := range reply.Header {
		h[k] = vs
	}
	if reply.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(reply.Length, 10))
	}
	f.w.WriteHeader(reply.Status)
}

// copy passes a body on as it arrives. A body that breaks off breaks the
// connection to the caller, so that it does not look whole.
func (f *front) copy(body io.Reader) error {
	rc := http.NewResponseController(f.w)
	buf := make([]byte, 8<<10)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, werr := f.w.Write(buf[:n]); werr != nil {
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
			panic(http.ErrAbortHandler)
		}
	}
}
