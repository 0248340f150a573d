package forward

import (
	"maps"

	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// crashLimit is the number of crashed targets after which requests with the
	// same fingerprint are refused. Such a fingerprint is called suspect.
	crashLimit = 3
	// crashRetention is how long a fingerprint stays suspect after the crash that
	// made it so. One request is then a trial: if it crashes its target too, the
	// fingerprint is suspect for twice as long, up to maxCrashRetention.
	crashRetention    clock.Millis = 20 * clock.Second
	maxCrashRetention clock.Millis = 60 * 60 * clock.Second
	// maxCrashEntries is the maximum number of fingerprints for which crashes are
	// counted.
	maxCrashEntries = 256
	// retryAfterSuspect is the Retry-After hint for requests with a suspect
	// fingerprint.
	retryAfterSuspect clock.Millis = 10 * clock.Second
)

// crashCount counts the targets that requests with the same fingerprint seem to
// have crashed.
type crashCount struct {
	count int
	// lastAt is the time of the last crash.
	lastAt clock.Millis
}

// retention returns how long after the last crash the count applies.
func (c crashCount) retention() clock.Millis {
	longer := min(max(c.count-crashLimit, 0), 10)
	return min(crashRetention<<longer, maxCrashRetention)
}

// applies reports whether the count says something about requests that come now.
func (c crashCount) applies(now clock.Millis) bool { return now <= c.lastAt+c.retention() }

// forgotten reports whether the count can be dropped: nobody has tried such a request
// for a long time.
func (c crashCount) forgotten(now clock.Millis) bool { return now > c.lastAt+2*c.retention() }

// suspect reports whether a fingerprint has reached the crash limit, including the
// crashes that peers report.
func (s *State) suspect(now clock.Millis, fingerprint unit.Fingerprint, v View) bool {
	n := v.Crashes[fingerprint]
	if c := s.crashes[fingerprint]; c.applies(now) {
		n += c.count
	}
	return n >= crashLimit
}

// recordCrash counts a crash of a target for a fingerprint, and drops forgotten
// counts.
func (s *State) recordCrash(now clock.Millis, fingerprint unit.Fingerprint) {
	if s.crashes == nil {
		s.crashes = make(map[unit.Fingerprint]crashCount)
	}
	maps.DeleteFunc(s.crashes, func(_ unit.Fingerprint, c crashCount) bool { return c.forgotten(now) })
	c, known := s.crashes[fingerprint]
	if !known && len(s.crashes) >= maxCrashEntries {
		return
	}
	if _, ok := s.suspects[fingerprint]; ok {
		c.count = max(c.count, crashLimit)
	}
	s.crashes[fingerprint] = crashCount{c.count + 1, now}
}

// ObserveCrashes remembers which fingerprints are suspect by the counts that the peers
// report. When such a request is tried again later, at this instance, one more crash
// makes it suspect at once.
func (s *State) ObserveCrashes(now clock.Millis, reported map[unit.Fingerprint]int) {
	maps.DeleteFunc(s.suspects, func(_ unit.Fingerprint, at clock.Millis) bool { return now > at+maxCrashRetention })
	for f := range reported {
		if !s.suspect(now, f, View{Crashes: reported}) {
			continue
		}
		if s.suspects == nil {
			s.suspects = make(map[unit.Fingerprint]clock.Millis)
		}
		if _, known := s.suspects[f]; known || len(s.suspects) < maxCrashEntries {
			s.suspects[f] = now
		}
	}
}

// clearCrashes forgets the crashes of a fingerprint after such a request was served.
func (s *State) clearCrashes(fingerprint unit.Fingerprint) {
	delete(s.crashes, fingerprint)
	delete(s.suspects, fingerprint)
}

// Crashes returns how many targets the requests with each fingerprint seem to have
// crashed recently, as counted by this instance.
func (s *State) Crashes(now clock.Millis) map[unit.Fingerprint]int {
	out := make(map[unit.Fingerprint]int)
	for f, c := range s.crashes {
		if c.applies(now) {
			out[f] = c.count
		}
	}
	return out
}
