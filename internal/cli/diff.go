package cli

import (
	"fmt"
	"slices"

	"github.com/catkinhead/catkinhead/pkg/spec"
)

// diffConfigs lists the objects that differ between two configurations, one a
// line: "+" for added, "-" for removed and "~" for changed ones.
func diffConfigs(old, next spec.Config) []string {
	var out []string
	compare := func(what string, a, b map[string]string) {
		for _, k := range sortedUnion(a, b) {
			switch {
			case a[k] == "":
				out = append(out, "+ "+what+" "+k)
			case b[k] == "":
				out = append(out, "- "+what+" "+k)
			case a[k] != b[k]:
				out = append(out, "~ "+what+" "+k)
			}
		}
	}
	compare("workspace", contentByName(old.Workspaces, workspaceName), contentByName(next.Workspaces, workspaceName))
	compare("key", contentByName(old.Keys, keyName), contentByName(next.Keys, keyName))
	compare("route", contentByName(old.Routes, routeName), contentByName(next.Routes, routeName))
	compare("pool", contentByName(old.Pools, poolName), contentByName(next.Pools, poolName))
	return out
}

func workspaceName(w spec.Workspace) string { return string(w.Name) }
func keyName(k spec.Key) string             { return string(k.ID) }
func routeName(r spec.Route) string         { return string(r.Name) }
func poolName(p spec.Pool) string           { return string(p.Name) }

// contentByName maps the name of each object to its content formatted as text,
// which is only used to detect changes.
func contentByName[T any](list []T, name func(T) string) map[string]string {
	out := make(map[string]string)
	for _, x := range list {
		out[name(x)] = fmt.Sprintf("%+v", x)
	}
	return out
}

// sortedUnion returns the keys of both maps in order.
func sortedUnion(a, b map[string]string) []string {
	var out []string
	for k := range a {
		out = append(out, k)
	}
	for k := range b {
		if _, ok := a[k]; !ok {
			out = append(out, k)
		}
	}
	slices.Sort(out)
	return out
}
