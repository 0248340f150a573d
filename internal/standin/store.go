package standin

import (
	"io"
	"net/http"

	"github.com/catkinhead/catkinhead/pkg/platform"
)

// store counts and applies the faults of the object API.
func (p *Platform) store(h http.HandlerFunc) http.HandlerFunc {
	h = p.faults.wrap("store", h)
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		p.calls++
		if p.byCaller == nil {
			p.byCaller = make(map[string]int64)
		}
		p.byCaller[r.Header.Get("X-Instance")]++
		p.mu.Unlock()
		h(w, r)
	}
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	o, err := p.objects.Get(r.Context(), r.PathValue("key"))
	answer(w, o, err)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<20))
	if err != nil {
		http.Error(w, "value above one megabyte or cut", http.StatusRequestEntityTooLarge)
		return
	}
	rev, err := p.objects.Put(r.Context(), r.PathValue("key"), b, revOf(r, "if"))
	answer(w, platform.Object{Revision: rev}, err)
}

func (p *Platform) deleteObject(w http.ResponseWriter, r *http.Request) {
	err := p.objects.Delete(r.Context(), r.PathValue("key"), revOf(r, "if"))
	answer(w, struct{}{}, err)
}

func (p *Platform) listObjects(w http.ResponseWriter, r *http.Request) {
	objs, err := p.objects.List(r.Context(), r.URL.Query().Get("prefix"))
	answer(w, objs, err)
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	rev, err := p.objects.Watch(r.Context(), r.URL.Query().Get("prefix"), revOf(r, "after"))
	answer(w, rev, err)
}
