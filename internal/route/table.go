package route

import (
	"net"
	"strings"

	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// Table is a configuration with its routes indexed by host and by name.
type Table struct {
	platform.Configuration
	// Revision is the store's revision of the configuration.
	Revision unit.Revision
	byHost   map[string][]platform.RouteRule
	byName   map[unit.Route]platform.RouteRule
}

// New returns the table of a configuration.
func New(c platform.Configuration, rev unit.Revision) *Table {
	t := &Table{
		Configuration: c, Revision: rev,
		byHost: make(map[string][]platform.RouteRule), byName: make(map[unit.Route]platform.RouteRule, len(c.Routes)),
	}
	for _, r := range c.Routes {
		t.byName[r.Name] = r
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	return t
}

// Match returns, of the rules for a host, the one with the longest path prefix
// that matches the path. The letter case and the port of the host are ignored. It
// returns false if no rule matches.
func (t *Table) Match(host, path string) (platform.RouteRule, bool) {
	var best platform.RouteRule
	found := false
	for _, r := range t.byHost[hostName(host)] {
		if !strings.HasPrefix(path, r.PathPrefix) {
			continue
		}
		if !found || len(r.PathPrefix) > len(best.PathPrefix) {
			best, found = r, true
		}
	}
	return best, found
}

// RouteByName returns the rule with a name, and whether there is one.
func (t *Table) RouteByName(name unit.Route) (platform.RouteRule, bool) {
	r, ok := t.byName[name]
	return r, ok
}

// Workspace returns the workspace that a key belongs to, and whether the key is
// valid. If the configuration requires no keys, every key is valid and belongs
// to the empty workspace.
func (t *Table) Workspace(key string) (unit.Workspace, bool) {
	if !t.Keyed {
		return "", true
	}
	w, ok := t.Keys[key]
	return w, ok
}

// hostName returns a host in lower case without its port.
func hostName(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}
