package decide

import (
	"maps"
	"slices"

	"github.com/catkinhead/catkinhead/internal/fleet"
	"github.com/catkinhead/catkinhead/internal/steer"
	"github.com/catkinhead/catkinhead/internal/step"
	"github.com/catkinhead/catkinhead/internal/usage"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/spec"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// stepView returns what package step reads from other packages.
func (s *State) stepView(now clock.Millis) step.View {
	return step.View{Active: s.Admit.Active, Window: s.Usage.Window(s.Wall(now))}
}

// usageLease returns the state of the lease that makes an instance the reporter
// of usage.
func (s *State) usageLease(now clock.Millis) usage.Lease {
	fence, until, held := s.Leases.Holds(usage.Scope, now)
	return usage.Lease{Held: held, Fence: fence, Until: until}
}

// fleetView returns what package fleet reads from other packages.
func (s *State) fleetView(now clock.Millis) fleet.View {
	v := fleet.View{Listed: s.Listed}
	if s.Config.Index != nil {
		v.Pools = s.Config.Index.Pools
	}
	for _, dc := range s.dataCentres() {
		if fence, until, ok := s.Leases.Holds(fleet.Scope(dc), now); ok {
			v.Grants = append(v.Grants, fleet.Grant{DataCentre: dc, Fence: fence, Until: until})
		}
	}
	return v
}

// steerView returns what package steer reads from other packages. The targets
// are left out if this instance holds no lease of a pool, since they are not
// used then.
func (s *State) steerView(now clock.Millis) steer.View {
	v := steer.View{Active: s.Admit.Active}
	for _, p := range s.modelPools() {
		if fence, until, ok := s.Leases.Holds(steer.Scope(p), now); ok {
			v.Grants = append(v.Grants, steer.Grant{Pool: p, Fence: fence, Until: until})
		}
	}
	if len(v.Grants) == 0 {
		return v
	}
	for _, name := range slices.Sorted(maps.Keys(s.Admit.Targets)) {
		t := s.Admit.Targets[name]
		if t.Reported && !t.Leaving {
			v.Targets = append(v.Targets, steer.Seen{
				Target: name, Pool: t.Pool, Address: t.Address,
				Version: t.Load.Version, Staged: t.Load.Staged,
			})
		}
	}
	return v
}

// modelPools returns the names of the pools that serve models, sorted.
func (s *State) modelPools() []unit.Pool {
	if s.Config.Index == nil {
		return nil
	}
	var out []unit.Pool
	for name, p := range s.Config.Index.Pools {
		if p.Kind == spec.Model {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}
