package usage

import (
	"encoding/json"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// baseRetentionWindows is the number of windows for which a source that no
// longer changes stays in the base, which holds the tokens reported so far by
// source. It exceeds the time for which any instance keeps the counters of
// another, so that no such copy is reported again after its source was removed
// from the base. A source that itself still exists then is reported again: an
// instance that has counted nothing for so long, or a step whose record is still
// in the store.
const baseRetentionWindows = 10_000

// reportBody is the JSON document sent to the usage endpoint.
type reportBody struct {
	Window unit.Window
	Lines  []op.UsageLine
}

// buildSealedWindow computes the report of a window and the new base from the
// counters of all sources and the previous sealed window. The error is that of
// encoding the report.
func buildSealedWindow(window unit.Window, last op.SealedWindow, all []op.Counters) (op.SealedWindow, error) {
	current := make(map[unit.Workspace]unit.Tokens)
	late := make(map[unit.Workspace]unit.Tokens)
	next := make(map[string]op.BaseLine)
	for source, line := range last.Base {
		if window-line.Since < baseRetentionWindows {
			next[source] = line
		}
	}
	for source, c := range Merge(all) {
		next[source] = addUnreported(c, next[source], window, current, late)
	}
	lines := []op.UsageLine{}
	for _, w := range sortedKeys(current) {
		lines = append(lines, op.UsageLine{Workspace: w, Tokens: current[w]})
	}
	for _, w := range sortedKeys(late) {
		lines = append(lines, op.UsageLine{Workspace: w, Tokens: late[w], Earlier: true})
	}
	b, err := json.Marshal(reportBody{Window: window, Lines: lines})
	return op.SealedWindow{Seq: last.Seq + 1, Window: window, Body: b, Base: next}, err
}

// addUnreported adds the tokens of a source that are not in its base to the
// lines of the report, and returns the source's new base. Tokens counted in the
// window itself go to current, those of earlier windows to late.
func addUnreported(c op.Counters, old op.BaseLine, window unit.Window, current, late map[unit.Workspace]unit.Tokens) op.BaseLine {
	line := op.BaseLine{ByWorkspace: make(map[unit.Workspace]unit.Tokens), Since: old.Since}
	for w, n := range old.ByWorkspace {
		line.ByWorkspace[w] = n
	}
	if old.ByWorkspace == nil {
		line.Since = window
	}
	for _, x := range c.Workspaces {
		upTo, inWindow := countThrough(x, window)
		more := upTo - line.ByWorkspace[x.Workspace]
		if more <= 0 {
			continue
		}
		line.ByWorkspace[x.Workspace] = upTo
		line.Since = window
		inWindow = min(inWindow, more)
		if inWindow > 0 {
			current[x.Workspace] += inWindow
		}
		if more > inWindow {
			late[x.Workspace] += more - inWindow
		}
	}
	return line
}
