package usage

import (
	"maps"
	"slices"
	"strings"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// maxWindowsPerWorkspace is the number of newest windows for which a
// workspace's counter keeps a separate figure.
const maxWindowsPerWorkspace = 8

// Add adds tokens to a workspace's counter for a window. Tokens for a window
// older than the newest one are counted in the newest.
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
	if len(x.Windows) > maxWindowsPerWorkspace {
		x.Windows = slices.Delete(x.Windows, 0, len(x.Windows)-maxWindowsPerWorkspace)
	}
}

// Clone returns a deep copy of counters.
func Clone(c op.Counters) op.Counters {
	c.Workspaces = slices.Clone(c.Workspaces)
	for i := range c.Workspaces {
		c.Workspaces[i].Windows = slices.Clone(c.Workspaces[i].Windows)
	}
	return c
}

// Sum returns the total tokens of a source. Counters only grow, so the copy
// with the higher sum is the newer one.
func Sum(c op.Counters) unit.Tokens {
	var n unit.Tokens
	for _, w := range c.Workspaces {
		n += w.Total
	}
	return n
}

// Merge returns the newest copy of each source.
func Merge(all []op.Counters) map[string]op.Counters {
	out := make(map[string]op.Counters)
	for _, c := range all {
		if old, ok := out[c.Source]; !ok || Sum(c) > Sum(old) {
			out[c.Source] = c
		}
	}
	return out
}

// countThrough returns the tokens counted up to the end of a window, and those
// counted in the window itself.
func countThrough(x op.WorkspaceTokens, window unit.Window) (upTo, in unit.Tokens) {
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
