package weights

import (
	"maps"
	"slices"
	"strconv"

	"github.com/catkinhead/catkinhead/internal/lease"
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// readVersionsInterval is the interval between reads of a pool's published
	// versions from the weight store.
	readVersionsInterval clock.Millis = 2 * clock.Second
	// orderPause is the minimum time between the end of an order to a target
	// and the next one.
	orderPause clock.Millis = 500
)

// LeaseScope returns the name of the lease whose holder orders the versions of
// a pool.
func LeaseScope(p unit.Pool) unit.Scope { return unit.Scope("weights." + string(p)) }

// State is the rollout state of the pools whose lease this instance holds or
// has held.
type State struct {
	Pools   map[unit.Pool]*Pool
	Targets map[unit.Target]*Target
}

// Pool tracks the published versions of a pool.
type Pool struct {
	// Newest is the newest published version; 0 is unknown.
	Newest unit.Version
	// Reading is set while the versions are being read; ReadAt is when the next
	// read is due.
	Reading bool
	ReadAt  clock.Millis
}

// Target tracks the orders to a target.
type Target struct {
	// Busy is set while an order is in flight; NextAt is the earliest time of
	// the next one.
	Busy   bool
	NextAt clock.Millis
}

// HeldLease is the lease of a pool, held by this instance until Until.
type HeldLease struct {
	Pool  unit.Pool
	Fence unit.Fence
	Until clock.Millis
}

// TargetVersions is a target with the versions from its last load report.
type TargetVersions struct {
	Target  unit.Target
	Pool    unit.Pool
	Address string
	// Version is the version that the target serves, Staged the newest one that
	// it has staged.
	Version unit.Version
	Staged  unit.Version
}

// View holds the state of other packages that rollouts depend on.
type View struct {
	HeldLeases []HeldLease
	// Active is the version that each pool should serve.
	Active map[unit.Pool]unit.Version
	// Targets are the targets that have reported and are not leaving, sorted.
	Targets []TargetVersions
}

// Reduce handles ticks and the results of reading versions and sending orders.
// On each tick it sends the orders that are due for the pools whose lease is
// held.
func (s *State) Reduce(now clock.Millis, ev op.Event, v View, out *op.List) {
	s.init()
	switch e := ev.(type) {
	case op.Tick:
		for _, g := range v.HeldLeases {
			s.tick(now, g, v, out)
		}
		s.deleteUnseen(v)
	case op.VersionsRead:
		p := s.pool(e.Pool)
		p.Reading = false
		if e.Result == op.Done && len(e.Versions) > 0 {
			p.Newest = max(p.Newest, slices.Max(e.Versions))
		}
	case op.SwapSent:
		if t := s.Targets[e.Target]; t != nil {
			t.Busy = false
			t.NextAt = now + orderPause
		}
	}
}

// tick reads the published versions of a pool if that is due, and sends orders
// to its targets.
func (s *State) tick(now clock.Millis, g HeldLease, v View, out *op.List) {
	p := s.pool(g.Pool)
	if !p.Reading && now >= p.ReadAt {
		p.Reading = true
		p.ReadAt = now + readVersionsInterval
		out.Add(op.ReadVersions{Pool: g.Pool})
	}
	for _, x := range v.Targets {
		if x.Pool == g.Pool {
			s.sendDueOrder(now, g, p, x, v.Active[g.Pool], out)
		}
	}
}

// sendDueOrder sends the next order that a target needs, if any, unless one is in
// flight or the pause after the last one is not over. Activating the version to
// serve goes before staging the newest one.
func (s *State) sendDueOrder(now clock.Millis, g HeldLease, p *Pool, x TargetVersions, active unit.Version, out *op.List) {
	swap := platform.Swap{Fence: g.Fence, SendBefore: min(g.Until, now+lease.MaxOrderTime)}
	switch {
	case x.Version < active:
		swap.Version, swap.Activate = active, true
	case x.Staged < p.Newest:
		swap.Version = p.Newest
	default:
		return
	}
	t := s.Targets[x.Target]
	if t == nil {
		t = &Target{}
		s.Targets[x.Target] = t
	}
	if t.Busy || now < t.NextAt {
		return
	}
	t.Busy = true
	swap.ID = string(x.Target) + "." + strconv.FormatInt(int64(swap.Version), 10)
	out.Add(op.SendSwap{Pool: x.Pool, Target: x.Target, Address: x.Address, Swap: swap})
}

// deleteUnseen deletes the state of targets that are not in the view any more.
func (s *State) deleteUnseen(v View) {
	seen := make(map[unit.Target]bool)
	for _, x := range v.Targets {
		seen[x.Target] = true
	}
	maps.DeleteFunc(s.Targets, func(t unit.Target, _ *Target) bool { return !seen[t] })
}

// init makes the zero State usable.
func (s *State) init() {
	if s.Pools == nil {
		s.Pools = make(map[unit.Pool]*Pool)
		s.Targets = make(map[unit.Target]*Target)
	}
}

// pool returns the state of a pool, which it creates if needed.
func (s *State) pool(name unit.Pool) *Pool {
	p := s.Pools[name]
	if p == nil {
		p = &Pool{}
		s.Pools[name] = p
	}
	return p
}
