package steer

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
	// versionsEvery is the time between reads of the weight store a pool.
	versionsEvery clock.Millis = 2 * clock.Second
	// retryAfter is the pause before a target is ordered again.
	retryAfter clock.Millis = 500
)

// Scope returns the lease for steering a pool.
func Scope(p unit.Pool) unit.Scope { return unit.Scope("weights." + string(p)) }

// State is the steering of all pools this instance holds.
type State struct {
	Pools   map[unit.Pool]*Pool
	Targets map[unit.Target]*Target
}

// Pool is the newest published version of a pool.
type Pool struct {
	Newest  unit.Version
	Reading bool
	ReadAt  clock.Millis
}

// Target is what was last ordered of a target.
type Target struct {
	Busy   bool
	NextAt clock.Millis
}

// Grant is a pool's lease as it is held.
type Grant struct {
	Pool  unit.Pool
	Fence unit.Fence
	Until clock.Millis
}

// Seen is a target and the versions it reports.
type Seen struct {
	Target  unit.Target
	Pool    unit.Pool
	Address string
	Version unit.Version
	Staged  unit.Version
}

// View is what steer needs to know of the rest.
type View struct {
	Grants []Grant
	Active map[unit.Pool]unit.Version
	// Targets are those that have reported and do not leave, in order.
	Targets []Seen
}

// Reduce drives the pools whose lease is held.
func (s *State) Reduce(now clock.Millis, ev op.Event, v View, out *op.List) {
	s.prepare()
	switch e := ev.(type) {
	case op.Tick:
		for _, g := range v.Grants {
			s.tick(now, g, v, out)
		}
		s.forget(v)
	case op.VersionsRead:
		p := s.pool(e.Pool)
		p.Reading = false
		if e.Result == op.Done && len(e.Versions) > 0 {
			p.Newest = max(p.Newest, slices.Max(e.Versions))
		}
	case op.SwapSent:
		if t := s.Targets[e.Target]; t != nil {
			t.Busy = false
			t.NextAt = now + retryAfter
		}
	}
}

func (s *State) tick(now clock.Millis, g Grant, v View, out *op.List) {
	p := s.pool(g.Pool)
	if !p.Reading && now >= p.ReadAt {
		p.Reading = true
		p.ReadAt = now + versionsEvery
		out.Add(op.ReadVersions{Pool: g.Pool})
	}
	for _, x := range v.Targets {
		if x.Pool == g.Pool {
			s.order(now, g, p, x, v.Active[g.Pool], out)
		}
	}
}

// order sends the one order that a target needs next, if any.
func (s *State) order(now clock.Millis, g Grant, p *Pool, x Seen, active unit.Version, out *op.List) {
	swap := platform.Swap{Fence: g.Fence, SendBefore: min(g.Until, now+lease.OrderTime)}
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
	out.Add(op.SendSwap{Target: x.Target, Address: x.Address, Swap: swap})
}

func (s *State) forget(v View) {
	seen := make(map[unit.Target]bool)
	for _, x := range v.Targets {
		seen[x.Target] = true
	}
	maps.DeleteFunc(s.Targets, func(t unit.Target, _ *Target) bool { return !seen[t] })
}

func (s *State) prepare() {
	if s.Pools == nil {
		s.Pools = make(map[unit.Pool]*Pool)
		s.Targets = make(map[unit.Target]*Target)
	}
}

func (s *State) pool(name unit.Pool) *Pool {
	p := s.Pools[name]
	if p == nil {
		p = &Pool{}
		s.Pools[name] = p
	}
	return p
}
