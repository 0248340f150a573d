package admit

import (
	"maps"
	"slices"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// suspectTTL is how long after the last crash the content of a request stays
	// a suspect.
	suspectTTL clock.Millis = 600 * clock.Second
	// crashLimit is the number of crashes after which the content of callers'
	// requests is refused.
	crashLimit = 2
	// maxSuspects is the maximum number of suspects sent to a peer.
	maxSuspects = 256
	// suspectDelay is how long a suspect waits after a crash before it is
	// dispatched again. By then, if several targets were reclaimed at the same
	// time, all of them are known to be gone, and peers know the suspect.
	suspectDelay clock.Millis = 1500
	// maxSuspectDelay is the upper bound of suspectDelay, which doubles with each
	// crash beyond crashLimit.
	maxSuspectDelay clock.Millis = 6 * clock.Second
	// crashWindow is the time within which failed attempts on one target count
	// as a single crash.
	crashWindow clock.Millis = clock.Second
)

// Suspect is the crash record of a request content that was in flight when a
// target crashed.
type Suspect struct {
	Crashes int
	// At is the time of the last counted crash.
	At clock.Millis
	// Target is the target of the last crash that this instance counted.
	Target unit.Target
	// Cleared is set once a request with the content has completed on this
	// instance since At.
	Cleared bool
}

// recordCrash counts a crash of a target against the content of a run that was
// in flight there. If the run was not a suspect when it was last queued, the
// crash only counts if it is the content's first: several requests with this
// content may be in flight on targets that are reclaimed together, which does
// not show that the content is the cause.
func (s *State) recordCrash(now clock.Millis, run *Run, target unit.Target) {
	s.Counts.Crashes++
	if run.Fingerprint == 0 {
		return
	}
	x := s.Suspects[run.Fingerprint]
	if x == nil {
		x = &Suspect{}
		s.Suspects[run.Fingerprint] = x
	}
	if x.Target == target && now-x.At < crashWindow || x.Crashes > 0 && !run.Suspect {
		return
	}
	x.Crashes++
	x.At, x.Target, x.Cleared = now, target, false
}

// clearSuspect notes that a run has completed, so that its content is no longer
// isolated.
func (s *State) clearSuspect(run *Run) {
	if x := s.Suspects[run.Fingerprint]; x != nil {
		x.Cleared = true
	}
}

// recentSuspect returns the crash record of the content with a fingerprint, nil
// if there is none or it has expired.
func (s *State) recentSuspect(now clock.Millis, f unit.Fingerprint) *Suspect {
	x := s.Suspects[f]
	if x == nil || now-x.At >= suspectTTL {
		return nil
	}
	return x
}

// isSuspect reports whether the content with a fingerprint is to be isolated
// from other suspects.
func (s *State) isSuspect(now clock.Millis, f unit.Fingerprint) bool {
	x := s.recentSuspect(now, f)
	return x != nil && !x.Cleared
}

// isDelayed reports whether a suspect must still wait after its last crash.
func (s *State) isDelayed(now clock.Millis, run *Run) bool {
	x := s.Suspects[run.Fingerprint]
	return run.Suspect && x != nil && now-x.At < x.delay()
}

// delay returns how long the content waits after its last crash.
func (x *Suspect) delay() clock.Millis {
	doublings := min(max(x.Crashes-crashLimit, 0), 10)
	return min(suspectDelay<<doublings, maxSuspectDelay)
}

// crashLimitReached reports whether a request is refused because its content was
// in flight in so many crashes. A sample never is: it is owed, whatever happened
// to the targets that ran it.
func (s *State) crashLimitReached(now clock.Millis, r op.Request) bool {
	x := s.recentSuspect(now, r.Fingerprint)
	return r.Step.Name == "" && x != nil && x.Crashes >= crashLimit
}

// MergeSuspects merges crash records of a peer: the higher count wins, with its
// age. It reports whether any record changed.
func (s *State) MergeSuspects(now clock.Millis, records []op.Suspect) bool {
	changed := false
	for _, h := range records {
		if h.Age >= suspectTTL {
			continue
		}
		x := s.Suspects[h.Fingerprint]
		if x == nil {
			x = &Suspect{}
			s.Suspects[h.Fingerprint] = x
		}
		if h.Crashes > x.Crashes {
			x.Crashes, x.At, x.Cleared = h.Crashes, now-h.Age, false
			changed = true
		}
	}
	return changed
}

// SuspectsForPeers returns the crash records to send to peers.
func (s *State) SuspectsForPeers(now clock.Millis) []op.Suspect {
	var out []op.Suspect
	for _, f := range slices.Sorted(maps.Keys(s.Suspects)) {
		x := s.Suspects[f]
		if now-x.At < suspectTTL && len(out) < maxSuspects {
			out = append(out, op.Suspect{Fingerprint: f, Crashes: x.Crashes, Age: now - x.At})
		}
	}
	return out
}

// ExpireSuspects deletes expired crash records.
func (s *State) ExpireSuspects(now clock.Millis) {
	maps.DeleteFunc(s.Suspects, func(_ unit.Fingerprint, x *Suspect) bool { return now-x.At >= suspectTTL })
}
