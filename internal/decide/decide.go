package decide

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinhead/catkinhead/internal/admit"
	"github.com/catkinhead/catkinhead/internal/config"
	"github.com/catkinhead/catkinhead/internal/fleet"
	"github.com/catkinhead/catkinhead/internal/lease"
	"github.com/catkinhead/catkinhead/internal/member"
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/internal/steer"
	"github.com/catkinhead/catkinhead/internal/step"
	"github.com/catkinhead/catkinhead/internal/usage"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// candidates is how many instances stand for a lease.
	candidates = 3
	// standEvery is the time between looks for which leases to stand.
	standEvery clock.Millis = 500
)

// State is all that an instance decides on.
type State struct {
	Members member.State
	Config  config.State
	Leases  lease.State
	Admit   *admit.State
	Steps   step.State
	Usage   usage.State
	Fleet   fleet.State
	Steer   steer.State
	// Listed are the targets of the platform's list.
	Listed []platform.TargetState
	// WallAt is the wall time at TickAt.
	WallAt, TickAt clock.Millis
	// WasFresh is whether keys were acted on at the last tick.
	WasFresh bool
	Draining bool
	// StandAt is when to look again for which leases to stand.
	StandAt clock.Millis
	Recent  Recent
}

// New returns the state of an instance at its start.
func New(self op.MemberInfo, window clock.Millis) *State {
	name := member.NameOf(self.Incarnation)
	return &State{
		Members: member.State{Self: self},
		Config:  config.State{Seed: xxhash.Sum64String(string(self.Incarnation))},
		Leases:  lease.State{Self: self.Incarnation},
		Admit:   admit.New(name),
		Steps:   step.State{Self: self.Incarnation},
		Usage: usage.State{
			Length: window,
			Own:    op.Counters{Source: "run:" + string(self.Incarnation)},
		},
	}
}

// Reduce takes an event and returns its effects.
func (s *State) Reduce(now clock.Millis, ev op.Event) op.List {
	var out op.List
	s.apply(now, ev, &out)
	out = s.handOver(now, out)
	s.Recent.note(now, out)
	return out
}

func (s *State) apply(now clock.Millis, ev op.Event, out *op.List) {
	switch e := ev.(type) {
	case op.Tick:
		s.tick(now, e, out)
	case op.Arrive:
		s.arrive(now, e.Request, out)
	case op.CallerGone:
		s.callerGone(now, e, out)
	case op.Finished:
		s.finished(now, e, out)
	case op.LeaseRead, op.LeaseWritten:
		s.Leases.Reduce(now, ev, out)
	case op.StateRead, op.StateChanged, op.Withdraw, op.WithdrawalsStored:
		s.configured(now, ev, out)
	case op.PeerHeard:
		s.peerHeard(now, e, out)
	case op.PeerSilent:
		s.Members.Reduce(now, ev, out)
	case op.LoadRead:
		if s.Admit.Loaded(now, e, out) {
			s.Members.Push(out)
		}
	case op.ListRead:
		s.listRead(now, e, out)
	case op.OpenStep:
		s.openStep(now, e, out)
	case op.PullSamples:
		s.pullSamples(now, e, out)
	case op.CloseStep:
		s.closeStep(now, e, out)
	case op.StepRead, op.StepSaved:
		s.Steps.Reduce(now, ev, s.stepView(now), out)
	case op.UsageKept:
		s.Usage.HandleUsageKept(e, out)
	case op.SealedRead, op.Gathered, op.WindowSealed, op.WindowReported:
		s.Usage.Reduce(now, ev, s.reporter(now), out)
	case op.IntentsRead, op.IntentsWritten, op.OrderSent:
		s.Fleet.Reduce(now, ev, s.fleetView(now), out)
	case op.SwapSent, op.VersionsRead:
		s.Steer.Reduce(now, ev, s.steerView(now), out)
	case op.Drain:
		s.drain(now, out)
	}
}

func (s *State) tick(now clock.Millis, e op.Tick, out *op.List) {
	s.WallAt, s.TickAt = e.Wall, now
	s.Members.Self.Beat++
	s.Members.Reduce(now, e, out)
	s.Config.Reduce(now, e, s.Members.IsRelay(), out)
	s.checkFresh(now, out)
	if now >= s.StandAt {
		s.StandAt = now + standEvery
		s.wantLeases(now)
	}
	s.Leases.Reduce(now, e, out)
	s.Admit.Peers = max(len(s.Members.Live()), 1)
	s.Admit.Poll(now, out)
	s.Admit.Expire(now, out)
	s.Admit.ForgetSuspects(now)
	s.Steps.Reduce(now, e, s.stepView(now), out)
	s.Usage.Reduce(now, e, s.reporter(now), out)
	s.Fleet.Reduce(now, e, s.fleetView(now), out)
	s.Steer.Reduce(now, e, s.steerView(now), out)
}

// checkFresh breaks off everything that rests on keys once they may no longer
// be acted on.
func (s *State) checkFresh(now clock.Millis, out *op.List) {
	s.Config.ConfirmCurrent(now, s.majority(now))
	fresh := s.Fresh(now)
	if s.WasFresh && !fresh {
		out.Add(op.Note{Level: "warning", Message: "keys are not fresh; keyed requests are refused"})
		s.Admit.CutKeys(now, nil, op.NotFresh, out)
		s.Steps.Pause(nil)
	}
	s.WasFresh = fresh
}

// Fresh tells whether keys may be acted on now.
func (s *State) Fresh(now clock.Millis) bool {
	return s.Config.Fresh(now, s.majority(now))
}

// majority tells whether a majority of the fleet was asked lately.
func (s *State) majority(now clock.Millis) bool {
	return s.Members.MajorityContactedSince(now - config.FreshnessLimit)
}

// Ready tells whether callers should be sent here.
func (s *State) Ready(now clock.Millis) bool { return !s.Draining && s.Fresh(now) }

// Wall is the wall time at now.
func (s *State) Wall(now clock.Millis) clock.Millis { return s.WallAt + now - s.TickAt }

// wantLeases stands for the leases of which this instance is a candidate, and
// keeps those it holds.
func (s *State) wantLeases(now clock.Millis) {
	for _, scope := range s.scopes() {
		_, _, held := s.Leases.Holds(scope, now)
		stand := held || s.Members.IsCandidate(scope, candidates)
		s.Leases.Want(scope, stand && !s.Draining)
	}
}

// scopes lists the leases of the fleet. Their number grows with data centres
// and pools, not with targets.
func (s *State) scopes() []unit.Scope {
	scopes := []unit.Scope{usage.Scope}
	for _, dc := range s.centres() {
		scopes = append(scopes, fleet.Scope(dc))
	}
	for _, p := range s.modelPools() {
		scopes = append(scopes, steer.Scope(p))
	}
	return scopes
}

// centres lists the data centres in which targets stand or are wanted.
func (s *State) centres() []unit.DataCentre {
	set := make(map[unit.DataCentre]bool)
	for _, dc := range s.Members.Roster.Centres {
		set[dc] = true
	}
	for _, t := range s.Listed {
		set[t.DataCentre] = true
	}
	if s.Config.Index != nil {
		for _, p := range s.Config.Index.Pools {
			for _, n := range p.Counts {
				set[n.DataCentre] = true
			}
		}
	}
	delete(set, "")
	return slices.Sorted(maps.Keys(set))
}

func (s *State) drain(now clock.Millis, out *op.List) {
	s.Draining = true
	s.Members.Self.Leaving = true
	s.wantLeases(now)
	s.Leases.Reduce(now, op.Tick{Wall: s.Wall(now)}, out)
	s.Steps.Reduce(now, op.Drain{}, s.stepView(now), out)
	s.Usage.Flush(out)
	s.Members.Push(out)
}

// Idle tells whether nothing is left that a planned stop must wait for.
func (s *State) Idle(now clock.Millis) bool {
	return s.Admit.Idle() && s.Steps.Idle() && s.Usage.Idle() && !s.Leases.HoldsAny(now)
}
