package cli

import (
	"fmt"
	"slices"

	"github.com/catkinhead/catkinhead/pkg/spec"
)

// difference lists what changes from one configuration to another.
func difference(old, next spec.Config) []string {
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
	compare("workspace", texts(old.Workspaces, nameOfWorkspace), texts(next.Workspaces, nameOfWorkspace))
	compare("key", texts(old.Keys, nameOfKey), texts(next.Keys, nameOfKey))
	compare("route", texts(old.Routes, nameOfRoute), texts(next.Routes, nameOfRoute))
	compare("pool", texts(old.Pools, nameOfPool), texts(next.Pools, nameOfPool))
	return out
}

func nameOfWorkspace(w spec.Workspace) string { return string(w.Name) }
func nameOfKey(k spec.Key) string             { return string(k.ID) }
func nameOfRoute(r spec.Route) string         { return string(r.Name) }
func nameOfPool(p spec.Pool) string           { return string(p.Name) }

// texts maps the names of objects to their content as text.
func texts[T any](list []T, name func(T) string) map[string]string {
	out := make(map[string]string)
	for _, x := range list {
		out[name(x)] = fmt.Sprintf("%+v", x)
	}
	return out
}

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
