package serve

import (
	"maps"
	"net/http"
	"slices"

	"github.com/gin-gonic/gin"

	"github.com/catkinhead/catkinhead/internal/decide"
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// model is an entry of a modelList: a route that the caller may name as its
// model.
type model struct {
	ID      unit.Route `json:"id"`
	Object  string     `json:"object"`
	OwnedBy string     `json:"owned_by"`
}

// modelList is the response of the OpenAI API to a request for the models.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

// models lists the routes that the caller's workspace may use.
func (p *Process) models(c *gin.Context) {
	p.withKey(c)
	list := modelList{Object: "list", Data: []model{}}
	var reason op.Reason
	hash := keyHashFrom(c.Request.Context())
	p.loop.Query(func(now clock.Millis, s *decide.State) {
		var w unit.Workspace
		if w, reason = s.WorkspaceOfKey(now, hash); reason != "" {
			return
		}
		for _, name := range slices.Sorted(maps.Keys(s.Config.Index.Routes)) {
			if s.Config.Index.Routes[name].Allows(w) {
				list.Data = append(list.Data, model{ID: name, Object: "model", OwnedBy: "catkinhead"})
			}
		}
	})
	if reason != "" {
		writeRefusal(c, op.Refuse{Reason: reason, Outcome: unit.NotRun})
		return
	}
	c.JSON(http.StatusOK, list)
}
