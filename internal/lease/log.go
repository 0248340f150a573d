package lease

import (
	"maps"
	"strconv"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// logGained logs that this instance holds a lease from now on, and which way led
// to it. WaitedMillis is the time since the former holder's record was first
// seen.
func logGained(scope unit.Scope, l *Lease, out *op.List) {
	logLease(out, "lease gained", scope, l, map[string]string{
		"Way": string(l.way), "WaitedMillis": formatMillis(l.waited),
	})
}

// logCalls logs a change of a lease together with the calls that may still be on
// their way to a receiver.
func logCalls(out *op.List, msg string, scope unit.Scope, l *Lease) {
	logLease(out, msg, scope, l, map[string]string{
		"InFlight": strconv.Itoa(l.Calls.InFlight), "Unanswered": strconv.Itoa(l.Calls.Unanswered),
		"SettledAtMillis": formatMillis(l.Calls.SettledAt),
	})
}

// logLease logs a change of a lease with the record and its revision as last
// seen.
func logLease(out *op.List, msg string, scope unit.Scope, l *Lease, more map[string]string) {
	fields := map[string]string{
		"Scope": string(scope), "Holder": string(l.Record.Holder), "Term": formatFence(l.Record.Fence),
		"Revision": strconv.FormatInt(int64(l.Revision), 10),
	}
	maps.Copy(fields, more)
	out.Add(op.Note{Level: "info", Message: msg, Fields: fields})
}

func formatFence(f unit.Fence) string { return strconv.FormatUint(uint64(f), 10) }

func formatMillis(m clock.Millis) string { return strconv.FormatInt(int64(m), 10) }
