package lease

import (
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
)

// handleWritten applies the result of a conditional write: a new term, a lost
// lease, or an unknown outcome.
func (s *State) handleWritten(now clock.Millis, l *Lease, e op.LeaseWritten, out *op.List) {
	l.Busy = false
	switch e.Result {
	case op.Done:
		gained := !l.Held && e.Record.Holder == s.Self
		l.Known, l.Record, l.Revision, l.SeenAt = true, e.Record, e.Revision, now
		l.Until = e.SentAt + s.Times.orDefault().Duration
		l.Held = e.Record.Holder == s.Self && now < l.Until && !l.Releasing
		l.NextAt = now + s.Times.orDefault().RenewEvery
		switch {
		case gained && l.Held:
			s.startTerm(l)
			logGained(e.Scope, l, out)
		case e.Record.Holder == "":
			l.Releasing = false
			logCalls(out, "lease released", e.Scope, l)
		}
	case op.Conflict:
		if l.Held {
			l.end(now)
			logCalls(out, "lease lost", e.Scope, l)
		}
		l.Known = false
		l.NextAt = now + retryDelay
	default:
		s.handleUnknownWrite(now, e, l, out)
	}
}

// startTerm starts to count the calls under the lease. Those of a former process of
// this instance are not known; they can arrive until Grace after the start of this
// one, time 0.
func (s *State) startTerm(l *Lease) {
	l.Calls.Unanswered = 0
	if l.way == ownInstance {
		l.Calls.SettledAt = max(l.Calls.SettledAt, s.Times.orDefault().Grace)
	}
}

// handleUnknownWrite handles a write that may or may not have taken effect.
// After a renewal, the current term remains valid until its end, and the write
// is tried again with the same revision after retryDelay. If the first write
// did take effect, the second conflicts, and the object is read again. Once no
// more than a quarter of Duration is left, the lease is given up instead, so
// that the object is read before the next write. An attempt to acquire the
// lease or to release it is followed by a read.
func (s *State) handleUnknownWrite(now clock.Millis, e op.LeaseWritten, l *Lease, out *op.List) {
	l.NextAt = now + retryDelay
	if l.Releasing {
		l.Known = false
	}
	if l.Held && now+s.Times.orDefault().Duration/4 >= l.Until {
		l.end(now)
		logCalls(out, "lease given up: its renewal is not confirmed", e.Scope, l)
	}
}
