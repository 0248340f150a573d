package edge

import (
	"encoding/json"
	"net/http"

	"github.com/gin-gonic/gin"

	"github.com/catkinhead/catkinhead/pkg/clock"
)

// ReadyHandler tells the load balancer whether to send callers to this
// instance: 200 if it is ready, else 503.
func (p *Process) ReadyHandler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	g := gin.New()
	g.NoRoute(func(c *gin.Context) {
		ready := false
		p.withState(func(now clock.Millis, s *State) { ready = s.Ready(now) })
		if ready {
			c.Status(http.StatusOK)
		} else {
			c.Status(http.StatusServiceUnavailable)
		}
		c.Writer.WriteHeaderNow()
	})
	return g
}

// WriteMetrics writes the metrics in the text format of Prometheus.
func (p *Process) WriteMetrics(w http.ResponseWriter, _ *http.Request) {
	p.metrics.WritePrometheus(w)
}

// WriteDump writes the state's Dump as JSON.
func (p *Process) WriteDump(w http.ResponseWriter, _ *http.Request) {
	var b []byte
	var err error
	p.withState(func(_ clock.Millis, s *State) { b, err = json.MarshalIndent(s.Dump(), "", "  ") })
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(b); err != nil {
		p.log.WithField("Error", err.Error()).Warn("dump not written")
	}
}
