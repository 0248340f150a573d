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
	"github.com/catkinhead/catkinhead/internal/decide"
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/internal/setting"
	"github.com/catkinhead/catkinhead/internal/task"
	"github.com/catkinhead/catkinhead/internal/ticket"
	"github.com/catkinhead/catkinhead/internal/trace"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// Outside is everything outside the process, behind interfaces.
type Outside struct {
	Store     platform.Store
	Orders    platform.Orders
	Instances platform.Instances
	Engine    platform.Engine
	Service   platform.Service
	Loads     platform.Loads
	Swaps     platform.Swaps
	Weights   platform.Weights
	Intake    platform.Intake
}

// engines joins what attempts need of a target.
type engines struct {
	platform.Engine
	platform.Loads
}

// Process is one running catkinhead process.
type Process struct {
	set      setting.Settings
	self     op.MemberInfo
	out      Outside
	engines  engines
	services platform.Service
	clock    clock.Clock
	log      *logrus.Entry
	loop     *Loop
	tasks    *task.Group
	calls    *calls
	steps    *steps
	tickets  *ticket.Book
	peers    *peers
	metrics  *metrics.Set
	waiting  waiting
	kept     keptCounters
	serial   atomic.Int64
	trace    *os.File
	cacheMu  sync.Mutex
	// cached is the newest revision on disk.
	cached    unit.Revision
	drainOnce sync.Once
}

// New returns a process that does not run yet. Settings must have been
// checked.
func New(set setting.Settings, out Outside, c clock.Clock, log *logrus.Logger) (*Process, error) {
	address := set.Advertise
	if address == "" {
		address = set.Listen
	}
	self := op.MemberInfo{
		Incarnation: unit.Incarnation(fmt.Sprintf("%s#%020d", set.Instance, time.Now().UnixMicro())),
		Address:     address, DataCentre: set.DataCentre,
	}
	p := &Process{
		set: set, self: self, out: out, clock: c,
		engines:  engines{out.Engine, out.Loads},
		services: out.Service,
		log:      log.WithFields(logrus.Fields{"Instance": set.Instance, "DataCentre": set.DataCentre}),
		calls:    newCalls(), steps: newSteps(),
		tickets: &ticket.Book{Self: self.Incarnation, Secret: []byte(set.FleetSecret), Clock: c},
		peers:   newPeers(set.FleetSecret),
	}
	window := clock.Of(set.Window)
	rec, err := p.recorder(window)
	if err != nil {
		return nil, err
	}
	state := decide.New(self, window)
	state.Admit.Policy = admit.Policies[set.Policy]
	p.loop = newLoop(c, state, rec, func(err error) {
		p.log.Error("recording ended: " + err.Error())
	})
	p.loop.do = p.do
	p.metrics = p.newMetrics()
	return p, nil
}

func (p *Process) recorder(window clock.Millis) (*trace.Writer, error) {
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

// Run starts the loop. It returns at once; Stop ends it.
func (p *Process) Run(ctx context.Context) {
	p.tasks = task.New(ctx)
	p.loadCache()
	p.tasks.Go(p.loop.Run)
}

// Stop ends all goroutines and waits for them.
func (p *Process) Stop() {
	p.tasks.Stop()
	if p.trace != nil {
		p.trace.Close()
	}
}

// Drain begins the planned stop: the process is no longer ready, gives its
// leases back and hands its steps over.
func (p *Process) Drain() {
	p.drainOnce.Do(func() {
		p.log.Info("planned stop begins")
		p.loop.Post(op.Drain{})
	})
}

// AwaitIdle waits until nothing is left to finish, or ctx ends; it returns
// whether nothing was left.
func (p *Process) AwaitIdle(ctx context.Context) bool {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		idle := false
		p.loop.Ask(func(now clock.Millis, s *decide.State) { idle = s.Idle(now) })
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

// do carries an effect out. What waits for the outside runs on its own and
// ends in an event.
func (p *Process) do(e op.Effect) {
	switch e := e.(type) {
	case op.Dispatch:
		p.dispatch(e)
	case op.Cancel:
		p.calls.cancel(e.Run)
	case op.Refuse:
		p.log.WithFields(logrus.Fields{
			"Request": e.Request, "Reason": e.Reason, "Outcome": e.Outcome.String(),
		}).Debug("refused")
		p.calls.end(e.Request, ending{refusal: &e})
	case op.Release:
		p.calls.end(e.Request, ending{})
	case op.StepOpened:
		p.logStep(e.Step, e.Reason).WithField("Epoch", e.Epoch).Info("step opened")
		p.steps.opened(e)
		p.waiting.answer(e.Call, e)
	case op.Deliver:
		p.waiting.answer(e.Call, e)
	case op.StepEnded:
		p.logStep(e.Step, e.Reason).WithField("Recorded", e.Recorded).Info("step closed")
		p.waiting.answer(e.Call, e)
	case op.DropStep:
		p.steps.drop(e)
	case op.Note:
		p.note(e)
	default:
		p.tasks.Go(func(ctx context.Context) { p.outside(ctx, e) })
	}
}

// logStep returns a log for a call about a step, with the reason if it was
// refused.
func (p *Process) logStep(id unit.StepID, why op.Reason) *logrus.Entry {
	log := p.log.WithFields(logrus.Fields{"Workspace": id.Workspace, "Step": id.Name})
	if why != "" {
		log = log.WithField("Refused", why)
	}
	return log
}

func (p *Process) note(n op.Note) {
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

// receipt proves to a later home that a sample was delivered.
func (p *Process) receipt(id unit.StepID, i int32, n unit.Tokens) []byte {
	m := hmac.New(sha256.New, []byte(p.set.FleetSecret))
	fmt.Fprintf(m, "receipt/%s/", id)
	_ = binary.Write(m, binary.BigEndian, []int64{int64(i), int64(n)})
	return m.Sum(nil)[:16]
}

// requestID returns a new id, unique to this incarnation.
func (p *Process) requestID() unit.Request {
	return unit.Request(fmt.Sprintf("%s!%d", p.self.Incarnation, p.serial.Add(1)))
}

// waiting finds the calls that wait for an effect, by number.
type waiting struct {
	mu sync.Mutex
	by map[int64]chan op.Effect
	n  int64
}

func (w *waiting) add() (int64, <-chan op.Effect) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.by == nil {
		w.by = make(map[int64]chan op.Effect)
	}
	w.n++
	ch := make(chan op.Effect, 1)
	w.by[w.n] = ch
	return w.n, ch
}

func (w *waiting) answer(n int64, e op.Effect) {
	w.mu.Lock()
	ch := w.by[n]
	delete(w.by, n)
	w.mu.Unlock()
	if ch != nil {
		ch <- e
	}
}

// reportCut logs what a planned stop leaves undone at its deadline.
func (p *Process) reportCut() {
	p.loop.Ask(func(now clock.Millis, s *decide.State) {
		p.log.WithFields(logrus.Fields{
			"Requests": len(s.Admit.Runs), "Steps": len(s.Steps.Steps), "LeasesHeld": s.Leases.HoldsAny(now),
		}).Error("the deadline of the planned stop passed")
	})
}

// PeerBytes is what was read and written on connections to peers.
func (p *Process) PeerBytes() int64 { return p.peers.bytes.Load() }
