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
	// Bound is the age of knowledge beyond which keys are not acted on.
	Bound clock.Millis = 3500
	// relayEvery is the time between a relay's reads of the store.
	relayEvery clock.Millis = clock.Second
	// fallbackAfter is the age at which an instance that is no relay reads the
	// store itself.
	fallbackAfter clock.Millis = 2 * clock.Second
	// maxDoublings bounds the pause after failed reads to eight times the first.
	maxDoublings = 3
	// storeEvery is the time between tries to store withdrawals.
	storeEvery clock.Millis = clock.Second
	// othersStoreAfter is how long a withdrawal is left to relays.
	othersStoreAfter clock.Millis = 10 * clock.Second
)

// State is the operators' state in force. The zero value has none.
type State struct {
	Revision  unit.Revision
	State     op.OperatorState
	Index     *spec.Index `json:"-"`
	Withdrawn map[unit.KeyID]bool
	// Pending are withdrawals that the store is not known to hold.
	Pending map[unit.KeyID]bool
	// AnchorAt is the time whose state of the store is included here.
	AnchorAt clock.Millis
	Anchored bool
	// Seed spreads the reads of different instances; Fails counts reads that
	// failed one after another.
	Seed     uint64
	Fails    int
	Reading  bool
	ReadAt   clock.Millis
	Watching bool
	Storing  bool
	StoreAt  clock.Millis
	// PendingAt is when there was last nothing pending.
	PendingAt clock.Millis
	// Heard is the highest revision that a peer told of.
	Heard unit.Revision
	// Started is set once the state was shown to be current, after which an
	// older one can no longer come into force.
	Started bool
}

// Change says what an event changed.
type Change struct {
	// Applied is set when a newer state came into force.
	Applied bool
	// Withdrawn lists keys that just ended.
	Withdrawn []unit.KeyID
}

// News tells whether peers should hear at once.
func (c Change) News() bool { return c.Applied || len(c.Withdrawn) > 0 }

// Reduce handles reads of the state, withdrawals and peers' knowledge. Relay
// tells whether this instance reads the store for its data centre.
func (s *State) Reduce(now clock.Millis, ev op.Event, relay bool, out *op.List) Change {
	switch e := ev.(type) {
	case op.Tick:
		s.tick(now, relay, out)
	case op.StateRead:
		s.pace(now, e, relay)
		return s.read(e, out)
	case op.StateChanged:
		s.Watching = false
		if e.Result == op.Done {
			s.ReadAt = now
			s.readStore(now, out)
		}
	case op.PeerHeard:
		return s.heard(e, out)
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

func (s *State) tick(now clock.Millis, relay bool, out *op.List) {
	if relay && !s.Watching && s.Revision > 0 {
		s.Watching = true
		out.Add(op.WatchState{After: s.Revision})
	}
	silent := !s.Anchored || now-s.AnchorAt >= fallbackAfter
	if (relay || silent) && now >= s.ReadAt {
		s.readStore(now, out)
	}
	if len(s.Pending) == 0 {
		s.PendingAt = now
	}
	due := relay || now-s.PendingAt >= othersStoreAfter
	if len(s.Pending) > 0 && due && !s.Storing && now >= s.StoreAt {
		s.Storing = true
		s.StoreAt = now + storeEvery
		out.Add(op.StoreWithdrawals{Keys: s.PendingKeys()})
	}
}

func (s *State) readStore(now clock.Millis, out *op.List) {
	if s.Reading {
		return
	}
	s.Reading = true
	s.ReadAt = now + relayEvery
	out.Add(op.ReadState{Have: s.Revision})
}

// pace makes an instance that is no relay read a store that fails less and
// less often, each at its own time, so that the fleet does not come back all
// at once.
func (s *State) pace(now clock.Millis, e op.StateRead, relay bool) {
	switch {
	case e.FromPeer:
	case e.Result == op.Done || relay:
		s.Fails = 0
	default:
		s.Fails++
		longest := relayEvery << min(s.Fails, maxDoublings)
		s.Seed = s.Seed*6364136223846793005 + 1442695040888963407
		s.ReadAt = now + longest/2 + clock.Millis(s.Seed>>33)%(longest/2)
	}
}

func (s *State) read(e op.StateRead, out *op.List) Change {
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
			"Revision": text(e.Revision), "ConfigVersion": text(e.State.ConfigVersion),
		}})
	}
	if !e.FromPeer && e.Revision <= s.Revision {
		s.anchor(e.AskedAt)
	}
	return c
}

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

func (s *State) heard(e op.PeerHeard, out *op.List) Change {
	c := s.withdraw(e.Know.Withdrawn, true)
	s.Heard = max(s.Heard, e.Know.Revision)
	if e.Know.Revision > s.Revision {
		out.Add(op.FetchState{Instance: instanceOf(e), Address: e.Know.From.Address})
		return c
	}
	if e.Asked && e.Know.AnchorAge >= 0 {
		s.anchor(e.AskedAt - e.Know.AnchorAge)
	}
	return c
}

func (s *State) anchor(at clock.Millis) {
	if !s.Anchored || at > s.AnchorAt {
		s.Anchored, s.AnchorAt = true, at
	}
}

// withdraw ends keys. It is monotone: no event brings a key back.
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

// PendingKeys returns the withdrawals that the store may lack, in order.
func (s *State) PendingKeys() []unit.KeyID { return slices.Sorted(maps.Keys(s.Pending)) }

// Age is how old the store's state is that is included here; -1 is never read.
func (s *State) Age(now clock.Millis) clock.Millis {
	if !s.Anchored {
		return -1
	}
	return max(now-s.AnchorAt, 0)
}

// Fresh tells whether keys may be acted on. Majority tells whether a majority
// of the fleet was asked within Bound.
func (s *State) Fresh(now clock.Millis, majority bool) bool {
	return s.Started && s.recent(now, majority)
}

// Settle sets Started once what is in force was shown to be current.
func (s *State) Settle(now clock.Millis, majority bool) {
	if s.recent(now, majority) && s.Revision >= s.Heard {
		s.Started = true
	}
}

func (s *State) recent(now clock.Millis, majority bool) bool {
	return s.Index != nil && (majority || s.Anchored && now-s.AnchorAt < Bound)
}

// Key finds a key by hash and refuses those that may not be used.
func (s *State) Key(hash string, fresh bool) (spec.Key, op.Reason) {
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
