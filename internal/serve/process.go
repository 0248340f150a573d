package serve

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/catkinhead/catkinhead/internal/admit"
	"github.com/catkinhead/catkinhead/internal/budget"
	"github.com/catkinhead/catkinhead/internal/decide"
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/internal/setting"
	"github.com/catkinhead/catkinhead/internal/taskgroup"
	"github.com/catkinhead/catkinhead/internal/ticket"
	"github.com/catkinhead/catkinhead/internal/trace"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// Dependencies are the clients for everything outside the process. Engine,
// Service, Loads and Swaps call targets; the others call the platform.
type Dependencies struct {
	Store         platform.Store
	Orders        platform.Orders
	Instances     platform.Instances
	Engine        platform.Engine
	Service       platform.Service
	Loads         platform.Loads
	Swaps         platform.Swaps
	Weights       platform.Weights
	UsageReporter platform.UsageReporter
}

// engineClient combines the interfaces that attempts call on a target.
type engineClient struct {
	platform.Engine
	platform.Loads
}

// Process is one running instance: the loop that owns the state, the goroutines
// that carry out effects, and the HTTP handlers.
type Process struct {
	set setting.Settings
	// self describes this incarnation to its peers.
	self     op.MemberInfo
	deps     Dependencies
	engines  engineClient
	services platform.Service
	clock    clock.Clock
	log      *logrus.Entry
	loop     *Loop
	tasks    *taskgroup.Group
	calls    *callRegistry
	steps    *stepContents
	tickets  *ticket.Registry
	peers    *peerClients
	metrics  *metrics.Set
	// bodies is the room for bodies of calls.
	bodies      *budget.Budget
	replies     replyWaiters
	usageCopies usageCopies
	// lastRequest is the number in the newest request id.
	lastRequest atomic.Int64
	// trace is the file that events are recorded in, or nil.
	trace   *os.File
	cacheMu sync.Mutex
	// cachedRevision is the newest revision that writeCache tried to write.
	// cacheMu guards it and the file.
	cachedRevision unit.Revision
	drainOnce      sync.Once
	// stopping is set during the graceful shutdown. Answers then end their
	// connections, so that callers go elsewhere with their next requests.
	stopping atomic.Bool
}

// New returns a process that Run starts. The settings must have passed Check. New
// fails if it cannot create the trace file or write the file's header.
func New(set setting.Settings, deps Dependencies, c clock.Clock, log *logrus.Logger) (*Process, error) {
	address := set.Advertise
	if address == "" {
		address = set.Listen
	}
	self := op.MemberInfo{
		Incarnation: unit.Incarnation(fmt.Sprintf("%s#%020d", set.Instance, time.Now().UnixMicro())),
		Address:     address, DataCentre: set.DataCentre,
	}
	p := &Process{
		set: set, self: self, deps: deps, clock: c,
		engines:  engineClient{deps.Engine, deps.Loads},
		services: deps.Service,
		log:      log.WithFields(logrus.Fields{"Instance": set.Instance, "DataCentre": set.DataCentre}),
		calls:    newCallRegistry(), steps: newStepContents(),
		tickets: &ticket.Registry{Self: self.Incarnation, Secret: []byte(set.FleetSecret), Clock: c},
		peers:   newPeerClients(set.FleetSecret), bodies: newBodyBudget(set),
	}
	window := clock.FromDuration(set.Window)
	rec, err := p.newTraceWriter(window)
	if err != nil {
		return nil, err
	}
	state := decide.New(self, window)
	state.Admit.Policy = admit.Policies[set.Policy]
	p.loop = newLoop(c, state, rec, func(err error) {
		p.log.Error("recording of events stopped: " + err.Error())
	})
	p.loop.execute = p.execute
	p.metrics = p.newMetrics()
	return p, nil
}

// newTraceWriter creates the trace file. It returns nil if recording is off.
func (p *Process) newTraceWriter(window clock.Millis) (*trace.Writer, error) {
	if p.set.Record == "" {
		return nil, nil
	}
	f, err := os.Create(p.set.Record)
	if err != nil {
		return nil, fmt.Errorf("create trace: %w", err)
	}
	p.trace = f
	return trace.NewWriter(f, trace.Header{Self: p.self, Window: window, Policy: p.set.Policy})
}

// Run loads the cached state, starts the loop and returns. Stop ends the loop.
func (p *Process) Run(ctx context.Context) {
	p.tasks = taskgroup.New(ctx)
	p.loadCache()
	p.tasks.Go(p.loop.Run)
}

// Stop cancels all goroutines and waits for them to return.
func (p *Process) Stop() {
	p.tasks.Stop()
	if p.trace != nil {
		p.trace.Close()
	}
}

// Drain starts the graceful shutdown: the process reports that it is not ready,
// releases its leases and stops serving its steps, which trainers then open on
// other instances. Drain does not wait for the end; AwaitIdle does. Further calls
// do nothing.
func (p *Process) Drain() {
	p.drainOnce.Do(func() {
		p.log.Info("planned stop begins")
		p.stopping.Store(true)
		p.loop.Post(op.Drain{RefuseAfter: clock.FromDuration(p.set.DrainLag), CutAfter: clock.FromDuration(p.set.DrainDeadline)})
	})
}

// AwaitIdle waits until the work that a graceful shutdown must finish is done
// (decide.State.Idle), or until ctx ends. It reports whether the work is done.
func (p *Process) AwaitIdle(ctx context.Context) bool {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		idle := false
		p.loop.Query(func(now clock.Millis, s *decide.State) { idle = s.Idle(now) })
		if idle {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-tick.C:
		}
	}
}

// execute carries out an effect. An effect that waits for I/O runs in its own
// goroutine and posts its result as an event.
func (p *Process) execute(e op.Effect) {
	switch e := e.(type) {
	case op.Dispatch:
		p.dispatch(e)
	case op.Cancel:
		p.calls.cancelAttempt(e.Run)
	case op.Refuse:
		p.log.WithFields(logrus.Fields{
			"Request": e.Request, "Reason": e.Reason, "Outcome": e.Outcome.String(),
		}).Debug("refused")
		p.calls.finish(e.Request, callResult{refusal: &e})
	case op.Release:
		p.calls.finish(e.Request, callResult{})
	case op.StepOpened:
		p.stepLog(e.Step, e.Reason).WithField("Epoch", e.Epoch).Info("answered OpenStep")
		p.steps.confirm(e)
		p.replies.resolve(e.Call, e)
	case op.Deliver:
		p.replies.resolve(e.Call, e)
	case op.StepEnded:
		p.stepLog(e.Step, e.Reason).WithField("Recorded", e.Recorded).Info("answered CloseStep")
		p.replies.resolve(e.Call, e)
	case op.DropStep:
		p.steps.drop(e)
	case op.Note:
		p.logNote(e)
	default:
		p.tasks.Go(func(ctx context.Context) { p.runEffect(ctx, e) })
	}
}

// stepLog returns a log entry for the answer to a call about a step, with the
// reason if the call was refused.
func (p *Process) stepLog(id unit.StepID, reason op.Reason) *logrus.Entry {
	log := p.log.WithFields(logrus.Fields{"Workspace": id.Workspace, "Step": id.Name})
	if reason != "" {
		log = log.WithField("Refused", reason)
	}
	return log
}

// logNote writes the log line of a Note, at level info if its level is not
// valid.
func (p *Process) logNote(n op.Note) {
	level, err := logrus.ParseLevel(n.Level)
	if err != nil {
		level = logrus.InfoLevel
	}
	log := p.log
	for k, v := range n.Fields {
		log = log.WithField(k, v)
	}
	log.Log(level, n.Message)
}

// receipt returns a MAC which proves, also to a later owner of the step, that
// sample i was delivered with n tokens.
func (p *Process) receipt(id unit.StepID, i int32, n unit.Tokens) []byte {
	m := hmac.New(sha256.New, []byte(p.set.FleetSecret))
	fmt.Fprintf(m, "receipt/%s/", id)
	_ = binary.Write(m, binary.BigEndian, []int64{int64(i), int64(n)})
	return m.Sum(nil)[:16]
}

// newRequestID returns an id that no other request of this or another
// incarnation has.
func (p *Process) newRequestID() unit.Request {
	return unit.Request(fmt.Sprintf("%s!%d", p.self.Incarnation, p.lastRequest.Add(1)))
}

// replyWaiters maps the numbers of calls to the handlers that wait for the
// effects that answer them.
type replyWaiters struct {
	mu      sync.Mutex
	waiters map[int64]chan op.Effect
	// lastCall is the number of the newest call.
	lastCall int64
}

// register returns a new call number and the channel on which the reply to that
// call arrives.
func (w *replyWaiters) register() (int64, <-chan op.Effect) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waiters == nil {
		w.waiters = make(map[int64]chan op.Effect)
	}
	w.lastCall++
	ch := make(chan op.Effect, 1)
	w.waiters[w.lastCall] = ch
	return w.lastCall, ch
}

// resolve delivers the reply to call n. It ignores calls that are unknown or
// already answered.
func (w *replyWaiters) resolve(n int64, e op.Effect) {
	w.mu.Lock()
	ch := w.waiters[n]
	delete(w.waiters, n)
	w.mu.Unlock()
	if ch != nil {
		ch <- e
	}
}

// logUnfinished logs how much work a graceful shutdown abandons at its deadline.
func (p *Process) logUnfinished() {
	p.loop.Query(func(now clock.Millis, s *decide.State) {
		p.log.WithFields(logrus.Fields{
			"Requests": len(s.Admit.Runs), "Steps": len(s.Steps.Steps), "LeasesHeld": s.Leases.AnyHeld(now),
		}).Error("planned stop: the deadline passed with work in flight")
	})
}

// PeerBytes returns how many bytes were read and written on the connections that
// this process opened to peers.
func (p *Process) PeerBytes() int64 { return p.peers.bytes.Load() }
