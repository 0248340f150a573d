package route

import (
	"net"
	"strings"

	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// Table is a configuration indexed by host.
type Table struct {
	platform.Configuration
	// Revision is the store's revision of the configuration.
	Revision unit.Revision
	byHost   map[string][]platform.RouteRule
	byName   map[unit.Route]platform.RouteRule
}

// New indexes a configuration.
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

// Match returns the rule of the host with the longest prefix of the path.
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

// Host tells whether any route has the host.
func (t *Table) Host(host string) bool { return len(t.byHost[hostName(host)]) > 0 }

// Route returns the rule of a name.
func (t *Table) Route(name unit.Route) (platform.RouteRule, bool) {
	r, ok := t.byName[name]
	return r, ok
}

// Workspace returns the workspace of a key. Without workspaces in the
// configuration every request is allowed.
func (t *Table) Workspace(key string) (unit.Workspace, bool) {
	if !t.Keyed {
		return "", true
	}
	w, ok := t.Keys[key]
	return w, ok
}

func hostName(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}
