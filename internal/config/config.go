package config

import (
	"maps"
	"slices"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/spec"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// FreshnessLimit bounds the age of the last proof of freshness (see the
	// package comment): callers' keys are accepted only while it is younger.
	FreshnessLimit clock.Millis = 3500
	// readInterval is the time between reads of the state from the store.
	readInterval clock.Millis = clock.Second
	// fallbackReadAge is the age of the state at which an instance that is not
	// a relay reads the store itself.
	fallbackReadAge clock.Millis = 2 * clock.Second
	// maxBackoffDoublings limits the backoff after failed reads to 8 times
	// readInterval.
	maxBackoffDoublings = 3
	// storeRetryInterval is the time between attempts to store withdrawals.
	storeRetryInterval clock.Millis = clock.Second
	// nonRelayStoreDelay is how long a withdrawal must be pending before an
	// instance that is not a relay stores it. It keeps the whole fleet from
	// writing at once after an outage of the store.
	nonRelayStoreDelay clock.Millis = 10 * clock.Second
)

// State holds the operators' state in force and what is needed to keep it
// current. The zero value has no state in force.
type State struct {
	// Revision and State are the operators' state in force. Index is built from
	// its configuration.
	Revision unit.Revision
	State    op.OperatorState
	Index    *spec.Index `json:"-"`
	// Withdrawn holds all withdrawn keys that this instance knows of, including
	// those that the store may not hold yet.
	Withdrawn map[unit.KeyID]bool
	// Pending holds the withdrawals that are not known to be in the store. Each
	// is removed once a state that includes it is applied.
	Pending map[unit.KeyID]bool
	// AnchorAt is the latest time as of which the state in force is known to
	// include everything that the store held. It is valid if Anchored is set.
	AnchorAt clock.Millis
	Anchored bool
	// Seed is the state of the random number generator that spreads the retries
	// of different instances over time. Fails counts consecutive failed reads.
	Seed  uint64
	Fails int
	// Reading, Watching and Storing are set while the respective store call is
	// in flight; ReadAt and StoreAt are the earliest times of the next read and
	// write.
	Reading  bool
	ReadAt   clock.Millis
	Watching bool
	Storing  bool
	StoreAt  clock.Millis
	// PendingAt is the last time at which no withdrawal was pending.
	PendingAt clock.Millis
	// Heard is the highest revision that a peer has reported.
	Heard unit.Revision
	// Started is set once the state in force has been shown to be current at
	// least once after the start. Keys are not accepted before.
	Started bool
}

// Change describes how an event changed the state in force.
type Change struct {
	// Applied is set if a newer revision came into force.
	Applied bool
	// Withdrawn lists the keys that this event withdrew.
	Withdrawn []unit.KeyID
}

// ShouldTellPeers reports whether peers should be told of the change without
// waiting for the next round of exchanges.
func (c Change) ShouldTellPeers() bool { return c.Applied || len(c.Withdrawn) > 0 }

// Reduce handles ticks, reads of the state, withdrawals and knowledge received
// from peers. relay says whether this instance is one of those that read the
// store on behalf of their data centre.
func (s *State) Reduce(now clock.Millis, ev op.Event, relay bool, out *op.List) Change {
	switch e := ev.(type) {
	case op.Tick:
		s.tick(now, relay, out)
	case op.StateRead:
		s.updateReadBackoff(now, e, relay)
		return s.handleRead(e, out)
	case op.StateChanged:
		s.Watching = false
		if e.Result == op.Done {
			s.ReadAt = now
			s.readStore(now, out)
		}
	case op.PeerHeard:
		return s.mergeKnowledge(e, out)
	case op.Withdraw:
		if len(s.Pending) == 0 {
			s.PendingAt = now
		}
		return s.withdraw([]unit.KeyID{e.Key}, true)
	case op.WithdrawalsStored:
		s.Storing = false
	}
	return Change{}
}

// tick starts the store calls that are due: watching and reading the state, and
// storing pending withdrawals.
func (s *State) tick(now clock.Millis, relay bool, out *op.List) {
	if relay && !s.Watching && s.Revision > 0 {
		s.Watching = true
		out.Add(op.WatchState{After: s.Revision})
	}
	outdated := !s.Anchored || now-s.AnchorAt >= fallbackReadAge
	if (relay || outdated) && now >= s.ReadAt {
		s.readStore(now, out)
	}
	if len(s.Pending) == 0 {
		s.PendingAt = now
	}
	due := relay || now-s.PendingAt >= nonRelayStoreDelay
	if len(s.Pending) > 0 && due && !s.Storing && now >= s.StoreAt {
		s.Storing = true
		s.StoreAt = now + storeRetryInterval
		out.Add(op.StoreWithdrawals{Keys: s.PendingKeys()})
	}
}

// readStore starts a read of the state unless one is in flight.
func (s *State) readStore(now clock.Millis, out *op.List) {
	if s.Reading {
		return
	}
	s.Reading = true
	s.ReadAt = now + readInterval
	out.Add(op.ReadState{Have: s.Revision})
}

// updateReadBackoff schedules the next read after a failed one, with exponential
// backoff and jitter so that the instances do not all read at once when the store
// recovers. A successful read resets the backoff. Relays keep the regular interval.
func (s *State) updateReadBackoff(now clock.Millis, e op.StateRead, relay bool) {
	switch {
	case e.FromPeer:
	case e.Result == op.Done || relay:
		s.Fails = 0
	default:
		s.Fails++
		maxPause := readInterval << min(s.Fails, maxBackoffDoublings)
		s.Seed = s.Seed*6364136223846793005 + 1442695040888963407
		s.ReadAt = now + maxPause/2 + clock.Millis(s.Seed>>33)%(maxPause/2)
	}
}

// handleRead applies a state that was read from the store or elsewhere (see
// op.StateRead) if it has a higher revision than the one in force and no lower
// configuration version. A read from the store also proves how recent the state
// in force is, unless it found a newer state that was not applied.
func (s *State) handleRead(e op.StateRead, out *op.List) Change {
	if !e.FromPeer {
		s.Reading = false
	}
	if e.Result != op.Done {
		return Change{}
	}
	var c Change
	if e.State != nil && e.Revision > s.Revision && e.State.ConfigVersion >= s.State.ConfigVersion {
		c = s.apply(e)
		out.Add(op.CacheState{Revision: s.Revision, State: s.State})
		out.Add(op.Note{Level: "info", Message: "operators' state in force", Fields: map[string]string{
			"Revision": formatInt(e.Revision), "ConfigVersion": formatInt(e.State.ConfigVersion),
		}})
	}
	if !e.FromPeer && e.Revision <= s.Revision {
		s.advanceAnchor(e.AskedAt)
	}
	return c
}

// apply puts a newer state in force.
func (s *State) apply(e op.StateRead) Change {
	s.Revision = e.Revision
	s.State = *e.State
	if s.State.Parsed != nil {
		s.Index = spec.NewIndex(*s.State.Parsed)
	}
	c := s.withdraw(e.State.Withdrawn, false)
	for _, k := range e.State.Withdrawn {
		delete(s.Pending, k)
	}
	c.Applied = true
	return c
}

// mergeKnowledge applies a peer's withdrawals and fetches the peer's state if
// it is newer. Otherwise, if this instance started the exchange, the age that
// the peer reports for its copy also bounds the age of the state here.
func (s *State) mergeKnowledge(e op.PeerHeard, out *op.List) Change {
	c := s.withdraw(e.Know.Withdrawn, true)
	s.Heard = max(s.Heard, e.Know.Revision)
	if e.Know.Revision > s.Revision {
		out.Add(op.FetchState{Instance: instanceOf(e), Address: e.Know.From.Address})
		return c
	}
	if e.Asked && e.Know.AnchorAge >= 0 {
		s.advanceAnchor(e.AskedAt - e.Know.AnchorAge)
	}
	return c
}

// advanceAnchor records that the state in force includes what the store held at
// a time.
func (s *State) advanceAnchor(at clock.Millis) {
	if !s.Anchored || at > s.AnchorAt {
		s.Anchored, s.AnchorAt = true, at
	}
}

// withdraw marks keys as withdrawn and returns those that were not withdrawn
// before. pending says whether the store may not hold the withdrawals yet. No
// event ever makes a withdrawn key valid again.
func (s *State) withdraw(keys []unit.KeyID, pending bool) Change {
	var c Change
	for _, k := range keys {
		if s.Withdrawn[k] {
			continue
		}
		if s.Withdrawn == nil {
			s.Withdrawn = make(map[unit.KeyID]bool)
			s.Pending = make(map[unit.KeyID]bool)
		}
		s.Withdrawn[k] = true
		if pending {
			s.Pending[k] = true
		}
		c.Withdrawn = append(c.Withdrawn, k)
	}
	return c
}

// PendingKeys returns the withdrawals that the store may not hold yet, sorted.
func (s *State) PendingKeys() []unit.KeyID { return slices.Sorted(maps.Keys(s.Pending)) }

// Age returns the time since the latest moment as of which the state in force
// is known to include everything that the store held, or -1 if there is none.
func (s *State) Age(now clock.Millis) clock.Millis {
	if !s.Anchored {
		return -1
	}
	return max(now-s.AnchorAt, 0)
}

// Fresh reports whether keys may be accepted. majority says whether this
// instance has contacted a majority of the fleet within FreshnessLimit.
func (s *State) Fresh(now clock.Millis, majority bool) bool {
	return s.Started && s.isCurrent(now, majority)
}

// ConfirmCurrent sets Started if the state in force is shown to be current and
// no peer has reported a higher revision.
func (s *State) ConfirmCurrent(now clock.Millis, majority bool) {
	if s.isCurrent(now, majority) && s.Revision >= s.Heard {
		s.Started = true
	}
}

// isCurrent reports whether one of the two conditions for freshness holds (see
// the package comment).
func (s *State) isCurrent(now clock.Millis, majority bool) bool {
	return s.Index != nil && (majority || s.Anchored && now-s.AnchorAt < FreshnessLimit)
}

// LookupKey returns the key with the given hash, or the reason why it is not
// accepted. fresh says whether keys may be accepted at all (see Fresh).
func (s *State) LookupKey(hash string, fresh bool) (spec.Key, op.Reason) {
	if hash == "" {
		return spec.Key{}, op.NoKey
	}
	if s.Index == nil {
		return spec.Key{}, op.NoConfig
	}
	k, ok := s.Index.Keys[hash]
	switch {
	case !ok:
		return spec.Key{}, op.BadKey
	case s.Withdrawn[k.ID]:
		return spec.Key{}, op.Withdrawn
	case !fresh:
		return spec.Key{}, op.NotFresh
	}
	return k, ""
}
