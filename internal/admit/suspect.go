package admit

import (
	"maps"
	"slices"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// suspectFor is how long a crash is held against a content.
	suspectFor clock.Millis = 600 * clock.Second
	// guiltyAt is the number of crashes after which a content is refused.
	guiltyAt = 2
	// maxSuspects bounds what peers are told.
	maxSuspects = 256
	// holdOff is how long a suspect waits after a crash, so that targets that
	// are reclaimed together are all seen to be gone, and peers have heard.
	holdOff clock.Millis = 1500
	// sameCrash is the time within which broken runs on one target are from
	// one crash.
	sameCrash clock.Millis = clock.Second
)

// Suspect is a content that was in flight when a target crashed.
type Suspect struct {
	Crashes int
	At      clock.Millis
	// Target of the newest crash seen here.
	Target unit.Target
	// Cleared is set once the content ran to its end here.
	Cleared bool
}

// crashed counts a crash against a run's content. Only the first crash counts
// for a run that was no suspect when it began: copies of one content that run
// on targets that are reclaimed together prove nothing.
func (s *State) crashed(now clock.Millis, run *Run, target unit.Target) {
	s.Counts.Crashes++
	if run.Fingerprint == 0 {
		return
	}
	x := s.Suspects[run.Fingerprint]
	if x == nil {
		x = &Suspect{}
		s.Suspects[run.Fingerprint] = x
	}
	if x.Target == target && now-x.At < sameCrash || x.Crashes > 0 && !run.Suspect {
		return
	}
	x.Crashes++
	x.At, x.Target, x.Cleared = now, target, false
}

func (s *State) cleared(run *Run) {
	if x := s.Suspects[run.Fingerprint]; x != nil {
		x.Cleared = true
	}
}

func (s *State) suspect(now clock.Millis, f unit.Fingerprint) *Suspect {
	x := s.Suspects[f]
	if x == nil || now-x.At >= suspectFor {
		return nil
	}
	return x
}

func (s *State) suspected(now clock.Millis, f unit.Fingerprint) bool {
	x := s.suspect(now, f)
	return x != nil && !x.Cleared
}

// heldOff tells whether a run must wait for the crash it was in to settle.
func (s *State) heldOff(now clock.Millis, run *Run) bool {
	x := s.Suspects[run.Fingerprint]
	return run.Suspect && x != nil && now-x.At < holdOff
}

func (s *State) guilty(now clock.Millis, f unit.Fingerprint) bool {
	x := s.suspect(now, f)
	return x != nil && x.Crashes >= guiltyAt
}

// HeardSuspects merges a peer's counts; the higher one stands, with its age. It
// returns whether anything was new.
func (s *State) HeardSuspects(now clock.Millis, heard []op.Suspect) bool {
	news := false
	for _, h := range heard {
		if h.Age >= suspectFor {
			continue
		}
		x := s.Suspects[h.Fingerprint]
		if x == nil {
			x = &Suspect{}
			s.Suspects[h.Fingerprint] = x
		}
		if h.Crashes > x.Crashes {
			x.Crashes, x.At, x.Cleared = h.Crashes, now-h.Age, false
			news = true
		}
	}
	return news
}

// TellSuspects returns the counts that peers should hear.
func (s *State) TellSuspects(now clock.Millis) []op.Suspect {
	var out []op.Suspect
	for _, f := range slices.Sorted(maps.Keys(s.Suspects)) {
		x := s.Suspects[f]
		if now-x.At < suspectFor && len(out) < maxSuspects {
			out = append(out, op.Suspect{Fingerprint: f, Crashes: x.Crashes, Age: now - x.At})
		}
	}
	return out
}

// ForgetSuspects drops those whose time is over.
func (s *State) ForgetSuspects(now clock.Millis) {
	maps.DeleteFunc(s.Suspects, func(_ unit.Fingerprint, x *Suspect) bool { return now-x.At >= suspectFor })
}
