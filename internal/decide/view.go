package decide

import (
	"maps"
	"slices"

	"github.com/catkinhead/catkinhead/internal/provision"
	"github.com/catkinhead/catkinhead/internal/step"
	"github.com/catkinhead/catkinhead/internal/usage"
	"github.com/catkinhead/catkinhead/internal/weights"
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
	fence, until, held := s.Leases.Held(usage.LeaseScope, now)
	return usage.Lease{Held: held, Fence: fence, Until: until}
}

// provisionView returns what package provision reads from other packages.
func (s *State) provisionView(now clock.Millis) provision.View {
	v := provision.View{Listed: s.Listed}
	if s.Config.Index != nil {
		v.Pools = s.Config.Index.Pools
	}
	for _, dc := range s.dataCentres() {
		if fence, until, ok := s.Leases.Held(provision.LeaseScope(dc), now); ok {
			v.HeldLeases = append(v.HeldLeases, provision.HeldLease{DataCentre: dc, Fence: fence, Until: until})
		}
	}
	return v
}

// weightsView returns what package weights reads from other packages. The
// targets are left out if this instance holds no lease of a pool, since they
// are not used then.
func (s *State) weightsView(now clock.Millis) weights.View {
	v := weights.View{Active: s.Admit.Active}
	for _, p := range s.modelPools() {
		if fence, until, ok := s.Leases.Held(weights.LeaseScope(p), now); ok {
			v.HeldLeases = append(v.HeldLeases, weights.HeldLease{Pool: p, Fence: fence, Until: until})
		}
	}
	if len(v.HeldLeases) == 0 {
		return v
	}
	for _, name := range slices.Sorted(maps.Keys(s.Admit.Targets)) {
		t := s.Admit.Targets[name]
		if t.Reported && !t.Leaving {
			v.Targets = append(v.Targets, weights.TargetVersions{
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
