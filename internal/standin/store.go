package standin

import (
	"io"
	"net/http"

	"github.com/catkinhead/catkinhead/pkg/platform"
)

// withStoreFaults counts calls to the object store and applies its faults.
func (p *Platform) withStoreFaults(h http.HandlerFunc) http.HandlerFunc {
	h = p.faults.inject("store", h)
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		p.storeCalls++
		if p.storeCallsBy == nil {
			p.storeCallsBy = make(map[string]int64)
		}
		p.storeCallsBy[r.Header.Get("X-Instance")]++
		p.mu.Unlock()
		h(w, r)
	}
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	o, err := p.objects.Get(r.Context(), r.PathValue("key"))
	writeResult(w, o, err)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<20))
	if err != nil {
		http.Error(w, "value above one megabyte or cut", http.StatusRequestEntityTooLarge)
		return
	}
	rev, err := p.objects.Put(r.Context(), r.PathValue("key"), b, revisionParam(r, "if"))
	writeResult(w, platform.Object{Revision: rev}, err)
}

func (p *Platform) deleteObject(w http.ResponseWriter, r *http.Request) {
	err := p.objects.Delete(r.Context(), r.PathValue("key"), revisionParam(r, "if"))
	writeResult(w, struct{}{}, err)
}

func (p *Platform) listObjects(w http.ResponseWriter, r *http.Request) {
	objs, err := p.objects.List(r.Context(), r.URL.Query().Get("prefix"))
	writeResult(w, objs, err)
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	rev, err := p.objects.Watch(r.Context(), r.URL.Query().Get("prefix"), revisionParam(r, "after"))
	writeResult(w, rev, err)
}
