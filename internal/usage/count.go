package usage

import (
	"maps"
	"slices"
	"strings"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// keptWindows is how many windows a counter tells apart.
const keptWindows = 8

// Add counts tokens of a workspace in a window.
func Add(c *op.Counters, w unit.Workspace, n unit.Tokens, window unit.Window) {
	if n <= 0 {
		return
	}
	i, ok := slices.BinarySearchFunc(c.Workspaces, w, func(x op.WorkspaceTokens, w unit.Workspace) int {
		return strings.Compare(string(x.Workspace), string(w))
	})
	if !ok {
		c.Workspaces = slices.Insert(c.Workspaces, i, op.WorkspaceTokens{Workspace: w})
	}
	x := &c.Workspaces[i]
	x.Total += n
	last := len(x.Windows) - 1
	if last >= 0 && x.Windows[last].Window >= window {
		x.Windows[last].Tokens += n
		return
	}
	x.Windows = append(x.Windows, op.WindowTokens{Window: window, Tokens: n})
	if len(x.Windows) > keptWindows {
		x.Windows = slices.Delete(x.Windows, 0, len(x.Windows)-keptWindows)
	}
}

// Clone copies counters.
func Clone(c op.Counters) op.Counters {
	c.Workspaces = slices.Clone(c.Workspaces)
	for i := range c.Workspaces {
		c.Workspaces[i].Windows = slices.Clone(c.Workspaces[i].Windows)
	}
	return c
}

// Sum is all tokens of a source, by which copies of it are ordered.
func Sum(c op.Counters) unit.Tokens {
	var n unit.Tokens
	for _, w := range c.Workspaces {
		n += w.Total
	}
	return n
}

// Merge keeps the highest copy of each source.
func Merge(all []op.Counters) map[string]op.Counters {
	out := make(map[string]op.Counters)
	for _, c := range all {
		if old, ok := out[c.Source]; !ok || Sum(c) > Sum(old) {
			out[c.Source] = c
		}
	}
	return out
}

// through is the tokens counted up to the end of a window, and in it.
func through(x op.WorkspaceTokens, window unit.Window) (upTo, in unit.Tokens) {
	upTo = x.Total
	for _, w := range x.Windows {
		switch {
		case w.Window > window:
			upTo -= w.Tokens
		case w.Window == window:
			in = w.Tokens
		}
	}
	return upTo, in
}

func sortedKeys[K ~string, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
