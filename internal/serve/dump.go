package serve

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gin-gonic/gin"

	"github.com/catkinhead/catkinhead/internal/build"
	"github.com/catkinhead/catkinhead/internal/decide"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform/wire"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// dumpDocument is the JSON document of a state dump. Fresh says whether
// callers' keys are accepted now, Ready whether callers should be routed to
// this instance.
type dumpDocument struct {
	Build      build.Info
	Instance   unit.Instance
	DataCentre unit.DataCentre
	Now        clock.Millis
	Ready      bool
	Fresh      bool
	State      *decide.State
}

// dump returns the whole state as JSON. It contains hashes of keys, never keys.
func (p *Process) dump() ([]byte, error) {
	var b []byte
	var err error
	p.loop.Query(func(now clock.Millis, s *decide.State) {
		b, err = json.MarshalIndent(dumpDocument{
			Build:    build.Current(),
			Instance: p.set.Instance, DataCentre: p.set.DataCentre, Now: now,
			Ready: s.Ready(now), Fresh: s.KeysFresh(now), State: s,
		}, "", "  ")
	})
	if err != nil {
		return nil, fmt.Errorf("encode state: %w", err)
	}
	return b, nil
}

func (p *Process) serveDump(c *gin.Context) {
	b, err := p.dump()
	if err != nil {
		writeError(c, http.StatusInternalServerError, "Internal", unit.NotRun, err.Error())
		return
	}
	c.Data(http.StatusOK, "application/json", b)
}

// newMetrics returns the gauges and counters of the process. Gauges read the
// state through the loop.
func (p *Process) newMetrics() *metrics.Set {
	set := metrics.NewSet()
	set.NewGauge(build.Current().Metric(), func() float64 { return 1 })
	gauge := func(name string, f func(clock.Millis, *decide.State) float64) {
		set.NewGauge(name, func() float64 {
			var v float64
			p.loop.Query(func(now clock.Millis, s *decide.State) { v = f(now, s) })
			return v
		})
	}
	gauge("catkinhead_ready", func(now clock.Millis, s *decide.State) float64 { return boolToFloat(s.Ready(now)) })
	gauge("catkinhead_keys_fresh", func(now clock.Millis, s *decide.State) float64 { return boolToFloat(s.KeysFresh(now)) })
	gauge("catkinhead_config_version", func(_ clock.Millis, s *decide.State) float64 { return float64(s.Config.State.ConfigVersion) })
	gauge("catkinhead_store_age_seconds", func(now clock.Millis, s *decide.State) float64 {
		return s.Config.Age(now).Duration().Seconds()
	})
	gauge("catkinhead_members_live", func(_ clock.Millis, s *decide.State) float64 { return float64(len(s.Members.LiveMembers())) })
	gauge("catkinhead_requests", func(_ clock.Millis, s *decide.State) float64 { return float64(len(s.Admit.Runs)) })
	gauge("catkinhead_steps", func(_ clock.Millis, s *decide.State) float64 { return float64(len(s.Steps.Steps)) })
	gauge("catkinhead_admitted_total", func(_ clock.Millis, s *decide.State) float64 { return float64(s.Admit.Counts.Admitted) })
	gauge("catkinhead_refused_total", func(_ clock.Millis, s *decide.State) float64 { return float64(s.Admit.Counts.Refused) })
	gauge("catkinhead_retried_total", func(_ clock.Millis, s *decide.State) float64 { return float64(s.Admit.Counts.Retried) })
	gauge("catkinhead_crashes_total", func(_ clock.Millis, s *decide.State) float64 { return float64(s.Admit.Counts.Crashes) })
	gauge("catkinhead_leases_held", func(now clock.Millis, s *decide.State) float64 {
		n := 0
		for scope := range s.Leases.Leases {
			if _, _, ok := s.Leases.Held(scope, now); ok {
				n++
			}
		}
		return float64(n)
	})
	gauge("catkinhead_reports_different_total", func(_ clock.Millis, s *decide.State) float64 { return float64(s.Usage.Different) })
	set.NewGauge("catkinhead_peer_bytes_total", func() float64 { return float64(p.peers.bytes.Load()) })
	if e, ok := p.deps.Loads.(*wire.Engines); ok {
		set.NewGauge("catkinhead_load_bytes_total", func() float64 { return float64(e.LoadBytes.Load()) })
	}
	if w, ok := p.deps.Store.(*wire.Platform); ok {
		set.NewGauge("catkinhead_platform_bytes_total", func() float64 { return float64(w.Bytes.Load()) })
		set.NewGauge("catkinhead_store_calls_total", func() float64 { return float64(w.Calls.Load()) })
	}
	return set
}

// counter returns the counter with a name, and creates it at first use.
func (p *Process) counter(name string) *metrics.Counter { return p.metrics.GetOrCreateCounter(name) }

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
