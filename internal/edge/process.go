package edge

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/semaphore"

	"github.com/catkinhead/catkinhead/internal/build"
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/internal/taskgroup"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/platform/link"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// tickInterval is the time between tick events.
const tickInterval = 50 * time.Millisecond

// maintenanceTicks is the number of ticks in a round of maintenance. Once per
// round the targets' mean times between output events are compared, expired texts
// of ended jobs are dropped, the others are measured and closed
// jobs forgotten if they take too much, and unsaved texts of other jobs are stored.
const maintenanceTicks = 6

// ObjectStore is the part of the platform's object store that an instance uses.
type ObjectStore interface {
	platform.Store
	platform.Feed
}

// ObjectKinds names the kinds of stored objects that operators, targets and
// trainers write.
type ObjectKinds struct{ Configuration, Targets, Versions string }

// Dependencies holds the interfaces to everything outside the process.
type Dependencies struct {
	Store    ObjectStore
	Kinds    ObjectKinds
	Decoder  platform.Decoder
	Ingress  platform.Ingress
	Backends platform.Backends
	Orders   platform.VersionOrders
	Counts   platform.CountReporter
	Sizes    platform.SizeOrders
	// StoreCalls returns the number of calls sent to the store.
	StoreCalls func() int64
}

// Process is one running instance on a hosted platform.
type Process struct {
	environment platform.Environment
	deps        Dependencies
	clock       clock.Clock
	log         *logrus.Entry
	tasks       *taskgroup.Group
	metrics     *metrics.Set
	contents    *contentStore
	transport   *peerTransport
	// plan divides the memory, and rooms bound what requests take of it.
	plan MemoryPlan
	rooms
	gates gateWatches
	// loads bounds how many jobs are read from the store for callers at once.
	loads *semaphore.Weighted
	// mu guards state. Events are applied one at a time.
	mu    sync.Mutex
	state *State
	// mailboxes holds, by op.CallID, the channel through which each call in
	// progress receives its effects.
	mailboxes sync.Map
	nextID    atomic.Int64
	// runCancels holds, by the number of the run, the cancel function of each run
	// of an item in progress.
	runCancels sync.Map
	eventTimes eventTimeMeter
	// cancelVersionWatch stops the watch for wanted versions, which only the lease
	// holder needs; nil if there is none. Only the tick goroutine uses it.
	cancelVersionWatch context.CancelFunc
	// activeRequests counts the callers' requests in progress.
	activeRequests atomic.Int64
	// stopping is set during the graceful shutdown. Answers then end their
	// connections, so that callers go elsewhere with their next requests.
	stopping atomic.Bool
	relay    *Relay
	// mirrors holds, by kind, the copies of stored objects that this instance
	// serves to peers.
	mirrors map[string]*mirror
}

// New returns a process. Run starts it. Without a relay, which may be nil, the
// process serves neither relayed calls nor mirrors to peers. The error means that
// the socket for heartbeats could not be opened.
func New(environment platform.Environment, deps Dependencies, relay *Relay, c clock.Clock, log *logrus.Logger) (*Process, error) {
	plan := NewMemoryPlan(environment.Memory)
	self := unit.Incarnation(fmt.Sprintf("%s#%020d", environment.Instance, time.Now().UnixMicro()))
	p := &Process{
		plan: plan, rooms: newRooms(plan), contents: newContentStore(plan.Texts, plan.Jobs),
		loads:       semaphore.NewWeighted(newLoadLimit(plan, environment.Bounds)),
		environment: environment, deps: deps, clock: c, relay: relay,
		log:     log.WithFields(logrus.Fields{"Instance": environment.Instance}),
		state:   NewState(environment, self, c.Now()),
		mirrors: map[string]*mirror{deps.Kinds.Configuration: newMirror(), deps.Kinds.Targets: newMirror()},
	}
	var err error
	if p.transport, err = newPeerTransport(environment); err != nil {
		return nil, err
	}
	if relay != nil {
		relay.livePeers = p.livePeerAddresses
	}
	p.metrics = p.newMetrics()
	p.registerMemory()
	if relay != nil {
		relay.onCall = func(method, kind string, relayed bool) {
			p.metrics.GetOrCreateCounter(fmt.Sprintf("catkinhead_store_requests_total{method=%q,kind=%q,relayed=\"%t\"}", method, kind, relayed)).Inc()
		}
	}
	return p, nil
}

// Run starts the process's goroutines and returns. Stop ends them.
func (p *Process) Run(ctx context.Context) {
	p.tasks = taskgroup.New(ctx)
	p.tasks.Go(p.tick)
	p.tasks.Go(p.receiveHeartbeats)
	p.tasks.Go(p.followConfiguration)
	p.tasks.Go(p.followTargets)
	p.tasks.Go(p.discoverPeers)
}

// Stop ends all goroutines and waits for them.
func (p *Process) Stop() {
	p.transport.close()
	p.tasks.Stop()
}

// tick sends a tick event every tickInterval until ctx ends. See
// maintenanceTicks for what it does once per round.
func (p *Process) tick(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for n := 0; ; n++ {
		p.apply(op.Tick{Wall: p.clock.Wall()})
		if n%maintenanceTicks == 0 {
			if e := p.eventTimes.collect(); len(e.Millis) > 0 {
				p.apply(e)
			}
			p.logGates()
			p.contents.dropExpiredTexts(p.clock.Now())
			for _, job := range p.contents.measure() {
				p.log.WithField("Job", job).Info("closed job is forgotten: jobs take too much memory")
				p.apply(op.JobSurplus{Job: job})
			}
			for _, job := range p.contents.unsavedJobs() {
				p.apply(op.JobOutputUnsaved{Job: job})
			}
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// apply applies an event to the state and carries out the effects. No effect
// blocks.
func (p *Process) apply(ev op.Event) {
	p.mu.Lock()
	effects := p.state.Reduce(p.clock.Now(), ev)
	p.mu.Unlock()
	for _, e := range effects {
		p.runEffect(e)
	}
}

// withState calls f with the state. No event is applied meanwhile, so f must not
// call apply.
func (p *Process) withState(f func(now clock.Millis, s *State)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.clock.Now(), p.state)
}

// runEffect carries out an effect. What may block runs in a goroutine of its
// own.
func (p *Process) runEffect(e op.Effect) {
	switch e := e.(type) {
	case op.ForwardRequest:
		p.deliver(e.Call, e)
	case op.Respond:
		p.deliver(e.Call, e)
	case op.AcceptJob:
		p.deliver(e.Call, e)
	case op.ServeJobCall:
		p.deliver(e.Call, e)
	case op.JobEnded:
		p.deliver(e.Call, e)
	case op.RunItem:
		p.runItem(e)
	case op.SendRewardCall:
		p.sendRewardCall(e)
	case op.StopItem:
		p.stopItem(e)
	case op.AppendChunk:
		p.tasks.Go(func(ctx context.Context) { p.appendChunk(ctx, e) })
	case op.ResultsListed:
		p.log.WithFields(logrus.Fields{"Job": e.Job, "Items": len(e.Chunk.Items), "Listed": e.Total, "Ended": e.Chunk.Ended}).Info("results listed")
	case op.MoveItem:
		p.moveItem(e)
	case op.JobClaimed:
		p.contents.withJob(e.Job, func(c *jobContent) { c.claimed = true })
		p.log.WithField("Job", e.Job).Info("job claimed")
	case op.ForgetJob:
		p.log.WithFields(logrus.Fields{"Job": e.Job, "Epoch": e.Epoch}).Info("job content dropped: this instance no longer owns the job")
		p.contents.forgetJob(e.Job, e.Epoch)
	case op.TakeOverJob:
		p.tasks.Go(func(ctx context.Context) { p.takeOverJob(ctx, e) })
	case op.CompareJobs:
		p.tasks.Go(func(ctx context.Context) { p.compareJobs(ctx, e) })
	case op.ListJobs:
		p.tasks.Go(p.listJobs)
	case op.SendHeartbeats:
		p.sendHeartbeats(e)
	case op.ReadLease:
		p.tasks.Go(func(ctx context.Context) { p.readLease(ctx, e) })
	case op.WriteLease:
		p.tasks.Go(func(ctx context.Context) { p.writeLease(ctx, e) })
	case op.OrderVersion:
		p.tasks.Go(func(ctx context.Context) { p.orderVersion(ctx, e) })
	case op.OrderTargets:
		p.tasks.Go(func(ctx context.Context) { p.orderTargets(ctx, e) })
	case op.SealCounts:
		p.tasks.Go(func(ctx context.Context) { p.sealCounts(ctx, e) })
	case op.SendCounts:
		p.tasks.Go(func(ctx context.Context) { p.sendCounts(ctx, e) })
	case op.DutiesLeaseChanged:
		p.dutiesLeaseChanged(e)
	case op.Note:
		p.logNote(e)
	}
}

// logNote writes the log line that the reducer asks for. An unknown level is
// logged as info.
func (p *Process) logNote(e op.Note) {
	fields := make(logrus.Fields, len(e.Fields))
	for k, v := range e.Fields {
		fields[k] = v
	}
	level, err := logrus.ParseLevel(e.Level)
	if err != nil {
		level = logrus.InfoLevel
	}
	p.log.WithFields(fields).Log(level, e.Message)
}

// Drain starts the graceful shutdown. Idle reports whether it is complete.
func (p *Process) Drain() {
	p.log.Info("planned stop begins")
	p.stopping.Store(true)
	p.apply(op.Drain{})
}

// Idle reports whether a graceful shutdown has no more requests and jobs to
// wait for, and the lease is released.
func (p *Process) Idle() bool {
	idle := false
	p.withState(func(now clock.Millis, s *State) {
		idle = s.Forward.Idle() && s.Batch.Idle() && !s.Leases.AnyHeld(now)
	})
	return idle && p.activeRequests.Load() == 0
}

// livePeerAddresses returns the addresses of the live peers that are not
// draining.
func (p *Process) livePeerAddresses() []string {
	var out []string
	p.withState(func(now clock.Millis, s *State) {
		for _, peer := range s.Heartbeats.LivePeers(now) {
			if !peer.Leaving {
				out = append(out, peer.Address)
			}
		}
	})
	return out
}

// newMetrics registers the gauges, which are read from the current state.
func (p *Process) newMetrics() *metrics.Set {
	set := metrics.NewSet()
	set.NewGauge(build.Current().Metric(), func() float64 { return 1 })
	set.NewGauge("catkinhead_store_calls_total", func() float64 { return float64(p.deps.StoreCalls()) })
	set.NewGauge("catkinhead_silent_connections_total", func() float64 { return float64(link.Silences()) })
	set.NewGauge("catkinhead_requests_running", func() float64 { return float64(p.activeRequests.Load()) })
	set.NewGauge("catkinhead_configuration_age_seconds", func() float64 {
		age := 0.0
		p.withState(func(now clock.Millis, s *State) { age = float64(s.Age(now)) / float64(clock.Second) })
		return age
	})
	set.NewGauge("catkinhead_targets", func() float64 {
		n := 0
		p.withState(func(_ clock.Millis, s *State) { n = len(s.Roster.Targets) })
		return float64(n)
	})
	set.NewGauge("catkinhead_duties_held", func() float64 {
		held := 0.0
		p.withState(func(now clock.Millis, s *State) {
			if _, _, ok := s.Leases.Held(dutiesScope, now); ok {
				held = 1
			}
		})
		return held
	})
	set.NewGauge("catkinhead_lease_calls_in_flight", func() float64 {
		n := 0
		p.withState(func(_ clock.Millis, s *State) {
			if l := s.Leases.Leases[dutiesScope]; l != nil {
				n = l.Calls.InFlight
			}
		})
		return float64(n)
	})
	return set
}

// observeDuration adds the time from since until now to the histogram with a
// name and one label.
func (p *Process) observeDuration(name, label, value string, since clock.Millis) {
	full := fmt.Sprintf("%s{%s=%q}", name, label, value)
	p.metrics.GetOrCreateHistogram(full).Update((p.clock.Now() - since).Duration().Seconds())
}
