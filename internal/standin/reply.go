package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// revisionParam returns a revision from the query; 0 if it is missing.
func revisionParam(r *http.Request, name string) unit.Revision {
	n, _ := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	return unit.Revision(n)
}

// readJSON decodes the request body into v. On failure it responds with status
// 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, 4<<20))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		http.Error(w, fmt.Sprintf("body: %v", err), http.StatusBadRequest)
		return false
	}
	return true
}

// writeResult responds with v, or with the status code that matches err.
func writeResult(w http.ResponseWriter, v any, err error) {
	switch {
	case errors.Is(err, platform.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, platform.ErrConflict):
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		writeJSON(w, v)
	}
}

// writeJSON responds with v as JSON.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
