package route

import (
	"testing"

	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// table returns a table with overlapping path prefixes and the key k.
func table() *Table {
	return New(platform.Configuration{
		Keyed: true, Keys: map[string]unit.Workspace{"k": "w"},
		Routes: []platform.RouteRule{
			{Name: "all", Host: "h.example", PathPrefix: "/"},
			{Name: "short", Host: "h.example", PathPrefix: "/a/"},
			{Name: "long", Host: "h.example", PathPrefix: "/a/b/"},
			{Name: "other", Host: "Other.example", PathPrefix: "/a/"},
		},
	}, 3)
}

func TestMatch(t *testing.T) {
	tests := map[string]struct {
		host, path string
		want       unit.Route
	}{
		"longest prefix":   {"h.example", "/a/b/c", "long"},
		"shorter prefix":   {"h.example", "/a/c", "short"},
		"prefix of a word": {"h.example", "/a/bc", "short"},
		"without slash":    {"h.example", "/a", "all"},
		"with a port":      {"h.example:80", "/a/c", "short"},
		"letter case":      {"OTHER.example", "/a/x", "other"},
		"no prefix":        {"other.example", "/b/", ""},
		"no host":          {"none.example", "/a/", ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r, ok := table().Match(tt.host, tt.path)
			if r.Name != tt.want || ok != (tt.want != "") {
				t.Errorf("got %q, %v", r.Name, ok)
			}
		})
	}
}

func TestWorkspace(t *testing.T) {
	if w, ok := table().Workspace("k"); !ok || w != "w" {
		t.Errorf("got %s, %v", w, ok)
	}
	if _, ok := table().Workspace(""); ok {
		t.Error("an empty key was accepted")
	}
	open := New(platform.Configuration{}, 1)
	if w, ok := open.Workspace(""); !ok || w != "" {
		t.Errorf("without keys: got %q, %v", w, ok)
	}
}

func BenchmarkMatch(b *testing.B) {
	t := table()
	for b.Loop() {
		t.Match("h.example:80", "/a/b/c")
	}
}
