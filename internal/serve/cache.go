package serve

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// cacheFile is the operators' state as it is kept on disk.
type cacheFile struct {
	Revision unit.Revision
	State    op.OperatorState
}

func (p *Process) cachePath() string { return filepath.Join(p.set.Data, "state.json") }

// cacheState writes the state to disk by renaming, so that a crash leaves the
// old file or the new one.
func (p *Process) cacheState(e op.CacheState) {
	if p.set.Data == "" {
		return
	}
	p.cacheMu.Lock()
	defer p.cacheMu.Unlock()
	if e.Revision <= p.cached {
		return
	}
	p.cached = e.Revision
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
		p.log.Error("state not kept on disk: " + err.Error())
	}
}

// loadCache offers the state on disk as a peer's would be.
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
		p.log.Error("state on disk is not usable: " + err.Error())
		return
	}
	p.loop.Post(op.StateRead{Result: op.Done, FromPeer: true, Revision: f.Revision, State: &f.State})
}
