package usage

import (
	"encoding/json"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// baseFor is how many windows a source that is gone stays in the base. It is
// longer than any instance keeps the counters of another.
const baseFor = 10_000

// body is a report as it is sent.
type body struct {
	Window unit.Window
	Lines  []op.UsageLine
}

// seal works out a window from the counters of all sources and the last window
// before it.
func seal(window unit.Window, last op.SealedWindow, all []op.Counters) (op.SealedWindow, error) {
	in := make(map[unit.Workspace]unit.Tokens)
	late := make(map[unit.Workspace]unit.Tokens)
	next := make(map[string]op.BaseLine)
	for source, line := range last.Base {
		if window-line.Since < baseFor {
			next[source] = line
		}
	}
	for source, c := range Merge(all) {
		next[source] = cover(c, next[source], window, in, late)
	}
	lines := []op.UsageLine{}
	for _, w := range sortedKeys(in) {
		lines = append(lines, op.UsageLine{Workspace: w, Tokens: in[w]})
	}
	for _, w := range sortedKeys(late) {
		lines = append(lines, op.UsageLine{Workspace: w, Tokens: late[w], Earlier: true})
	}
	b, err := json.Marshal(body{Window: window, Lines: lines})
	return op.SealedWindow{Seq: last.Seq + 1, Window: window, Body: b, Base: next}, err
}

// cover adds what a source has beyond its base to the window's lines, and
// returns the new base.
func cover(c op.Counters, old op.BaseLine, window unit.Window, in, late map[unit.Workspace]unit.Tokens) op.BaseLine {
	line := op.BaseLine{ByWorkspace: make(map[unit.Workspace]unit.Tokens), Since: old.Since}
	for w, n := range old.ByWorkspace {
		line.ByWorkspace[w] = n
	}
	if old.ByWorkspace == nil {
		line.Since = window
	}
	for _, x := range c.Workspaces {
		upTo, now := through(x, window)
		more := upTo - line.ByWorkspace[x.Workspace]
		if more <= 0 {
			continue
		}
		line.ByWorkspace[x.Workspace] = upTo
		line.Since = window
		now = min(now, more)
		if now > 0 {
			in[x.Workspace] += now
		}
		if more > now {
			late[x.Workspace] += more - now
		}
	}
	return line
}
