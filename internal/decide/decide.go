package decide

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinhead/catkinhead/internal/admit"
	"github.com/catkinhead/catkinhead/internal/config"
	"github.com/catkinhead/catkinhead/internal/lease"
	"github.com/catkinhead/catkinhead/internal/member"
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/internal/provision"
	"github.com/catkinhead/catkinhead/internal/step"
	"github.com/catkinhead/catkinhead/internal/usage"
	"github.com/catkinhead/catkinhead/internal/weights"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// candidatesPerLease is how many instances try to acquire a lease.
	candidatesPerLease = 3
	// candidacyInterval is the time between decisions on which leases this
	// instance should try to acquire.
	candidacyInterval clock.Millis = 500
)

// State is the complete state on which an instance bases its decisions.
type State struct {
	Members member.State
	Config  config.State
	Leases  lease.State
	Admit   *admit.State
	Steps   step.State
	Usage   usage.State
	// Fleet holds the orders to start and stop targets, Steer the rollout of new
	// weights.
	Fleet provision.State
	Steer weights.State
	// Listed holds the targets in the platform's list.
	Listed []platform.TargetState
	// WallAt is the wall-clock time of the last tick, and TickAt its time on
	// the instance's own clock.
	WallAt, TickAt clock.Millis
	// WasFresh is whether callers' keys were accepted at the last update.
	WasFresh bool
	// Draining is set once a graceful shutdown has begun.
	Draining bool
	// RefuseAt is when requests are refused that may not end before CutAt, the end of
	// the graceful shutdown. CutAt is 0 if there is none.
	RefuseAt, CutAt clock.Millis
	// StandAt is when to decide next which leases this instance should try to
	// acquire.
	StandAt clock.Millis
	// Recent holds the latest decisions on requests, for state dumps.
	Recent Recent
}

// New returns the initial state of an instance. window is the length of a usage
// window.
func New(self op.MemberInfo, window clock.Millis) *State {
	name := member.InstanceOf(self.Incarnation)
	return &State{
		Members: member.State{Self: self},
		Config:  config.State{Seed: xxhash.Sum64String(string(self.Incarnation))},
		Leases:  lease.State{Self: self.Incarnation, Address: self.Address},
		Admit:   admit.New(name),
		Steps:   step.State{Self: self.Incarnation},
		Usage: usage.State{
			Length: window,
			Own:    op.Counters{Source: "run:" + string(self.Incarnation)},
		},
	}
}

// Reduce applies an event and returns the effects that the caller must carry
// out.
func (s *State) Reduce(now clock.Millis, ev op.Event) op.List {
	var out op.List
	s.endLeaseCall(now, ev)
	s.handleEvent(now, ev, &out)
	out = s.resolveInternalEffects(now, out)
	s.startLeaseCalls(out)
	s.Recent.record(now, out)
	return out
}

// handleEvent passes an event to the packages that it concerns.
func (s *State) handleEvent(now clock.Millis, ev op.Event, out *op.List) {
	switch e := ev.(type) {
	case op.Tick:
		s.tick(now, e, out)
	case op.Arrive:
		s.admitRequest(now, e.Request, out)
	case op.CallerGone:
		s.cancelRequest(now, e, out)
	case op.Finished:
		s.finishAttempt(now, e, out)
	case op.LeaseRead, op.LeaseWritten:
		s.Leases.Reduce(now, ev, out)
	case op.StateRead, op.StateChanged, op.Withdraw, op.WithdrawalsStored:
		s.updateOperatorState(now, ev, out)
	case op.PeerHeard:
		s.mergePeerKnowledge(now, e, out)
	case op.PeerSilent:
		s.Members.Reduce(now, ev, out)
	case op.LoadRead:
		if s.Admit.HandleLoadRead(now, e, out) {
			s.Members.StartExtraExchanges(out)
		}
	case op.ListRead:
		s.updatePlatformList(now, e, out)
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
		s.Usage.Reduce(now, ev, s.usageLease(now), out)
	case op.IntentsRead, op.IntentsWritten, op.OrderSent:
		s.Fleet.Reduce(now, ev, s.provisionView(now), out)
	case op.SwapSent, op.VersionsRead:
		s.Steer.Reduce(now, ev, s.weightsView(now), out)
	case op.Drain:
		s.startDrain(now, e, out)
	}
}

// tick advances everything that depends on time. The order matters: whether
// keys are accepted and which leases are held is updated before the packages
// that rely on it.
func (s *State) tick(now clock.Millis, e op.Tick, out *op.List) {
	s.WallAt, s.TickAt = e.Wall, now
	s.Members.Self.Beat++
	s.Members.Reduce(now, e, out)
	s.Config.Reduce(now, e, s.Members.IsRelay(), out)
	s.updateFreshness(now, out)
	if now >= s.StandAt {
		s.StandAt = now + candidacyInterval
		s.updateLeaseCandidacy(now)
	}
	s.Leases.Reduce(now, e, out)
	s.Admit.Peers = max(len(s.Members.LiveMembers()), 1)
	s.Admit.Poll(now, out)
	s.Admit.Expire(now, out)
	s.Admit.ExpireSuspects(now)
	s.Steps.Reduce(now, e, s.stepView(now), out)
	s.Usage.Reduce(now, e, s.usageLease(now), out)
	s.Fleet.Reduce(now, e, s.provisionView(now), out)
	s.Steer.Reduce(now, e, s.weightsView(now), out)
}

// updateFreshness updates whether callers' keys are accepted. Once they no
// longer are, it refuses all requests that were admitted with a key and pauses
// all steps.
func (s *State) updateFreshness(now clock.Millis, out *op.List) {
	s.Config.ConfirmCurrent(now, s.majorityContacted(now))
	fresh := s.KeysFresh(now)
	if s.WasFresh && !fresh {
		out.Add(op.Note{Level: "warning", Message: "keys are not fresh; keyed requests are refused"})
		s.Admit.RefuseKeys(now, nil, op.NotFresh, out)
		s.Steps.Pause(nil)
	}
	s.WasFresh = fresh
}

// KeysFresh reports whether callers' keys may be accepted.
func (s *State) KeysFresh(now clock.Millis) bool {
	return s.Config.Fresh(now, s.majorityContacted(now))
}

// majorityContacted reports whether this instance has contacted a majority of
// the fleet within config.FreshnessLimit.
func (s *State) majorityContacted(now clock.Millis) bool {
	return s.Members.MajorityContactedSince(now - config.FreshnessLimit)
}

// Ready reports whether callers should be routed to this instance.
func (s *State) Ready(now clock.Millis) bool { return !s.Draining && s.KeysFresh(now) }

// Wall converts a time on the instance's own clock to wall-clock time.
func (s *State) Wall(now clock.Millis) clock.Millis { return s.WallAt + now - s.TickAt }

// updateLeaseCandidacy decides which leases to acquire or keep: those already
// held and those for which this instance is a candidate. While draining it
// wants none, so that held leases are released.
func (s *State) updateLeaseCandidacy(now clock.Millis) {
	for _, scope := range s.leaseScopes() {
		_, _, held := s.Leases.Held(scope, now)
		wanted := held || s.Members.IsCandidate(scope, candidatesPerLease)
		s.Leases.SetWanted(scope, wanted && !s.Draining)
	}
}

// leaseScopes lists all leases of the fleet. Their number grows with the data
// centres and pools, not with the targets.
func (s *State) leaseScopes() []unit.Scope {
	scopes := []unit.Scope{usage.LeaseScope}
	for _, dc := range s.dataCentres() {
		scopes = append(scopes, provision.LeaseScope(dc))
	}
	for _, p := range s.modelPools() {
		scopes = append(scopes, weights.LeaseScope(p))
	}
	return scopes
}

// dataCentres lists the data centres that contain instances or listed targets,
// or for which target counts are configured.
func (s *State) dataCentres() []unit.DataCentre {
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

// startDrain begins a graceful shutdown: it releases the leases, drains the
// steps, copies the usage counters to a peer and tells peers that this instance
// is leaving.
func (s *State) startDrain(now clock.Millis, e op.Drain, out *op.List) {
	s.Draining = true
	if e.CutAfter > 0 {
		s.RefuseAt, s.CutAt = now+e.RefuseAfter, now+e.CutAfter
	}
	s.Members.Self.Leaving = true
	s.updateLeaseCandidacy(now)
	s.Leases.Reduce(now, op.Tick{Wall: s.Wall(now)}, out)
	s.Steps.Reduce(now, op.Drain{}, s.stepView(now), out)
	s.Usage.Flush(out)
	s.Members.StartExtraExchanges(out)
}

// Idle reports whether nothing is left that a graceful shutdown must wait for.
func (s *State) Idle(now clock.Millis) bool {
	return s.Admit.Idle() && s.Steps.Idle() && s.Usage.Idle() && !s.Leases.AnyHeld(now)
}
