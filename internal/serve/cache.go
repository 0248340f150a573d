package serve

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// cacheFile is the content of the cache file: the operators' state (see
// op.OperatorState) and its revision in the store.
type cacheFile struct {
	Revision unit.Revision
	State    op.OperatorState
}

func (p *Process) cachePath() string { return filepath.Join(p.set.Data, "state.json") }

// writeCache writes the state to disk. It replaces the file by renaming a new
// one, so that a crash leaves either the old or the new file.
func (p *Process) writeCache(e op.CacheState) {
	if p.set.Data == "" {
		return
	}
	p.cacheMu.Lock()
	defer p.cacheMu.Unlock()
	if e.Revision <= p.cachedRevision {
		return
	}
	p.cachedRevision = e.Revision
	b, err := json.Marshal(cacheFile(e))
	if err == nil {
		err = os.MkdirAll(p.set.Data, 0o700)
	}
	tmp := p.cachePath() + ".new"
	if err == nil {
		err = os.WriteFile(tmp, b, 0o600)
	}
	if err == nil {
		err = os.Rename(tmp, p.cachePath())
	}
	if err != nil {
		p.log.Error("cannot write the state cache: " + err.Error())
	}
}

// loadCache posts the state on disk as if a peer had sent it, since it does not
// count as read from the store.
func (p *Process) loadCache() {
	if p.set.Data == "" {
		return
	}
	b, err := os.ReadFile(p.cachePath())
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	var f cacheFile
	if err == nil {
		err = json.Unmarshal(b, &f)
	}
	if err == nil {
		err = f.State.Parse()
	}
	if err != nil {
		p.log.Error("cannot read the state cache: " + err.Error())
		return
	}
	p.loop.Post(op.StateRead{Result: op.Done, FromPeer: true, Revision: f.Revision, State: &f.State})
}
