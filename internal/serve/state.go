package serve

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/spec"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// editTries bounds the tries of one change of the operators' state.
const editTries = 8

// errOldVersion means that an operator acted on an older state.
var errOldVersion = errors.New("configuration has changed since it was read")

// readState reads the operators' state, and its document if it is new.
func (p *Process) readState(ctx context.Context, e op.ReadState) {
	asked := p.clock.Now()
	st, rev, err := p.fetchOperatorState(ctx, e.Have)
	p.loop.Post(op.StateRead{Result: result(err), AskedAt: asked, Revision: rev, State: st})
}

// fetchOperatorState returns nil for a state not newer than have.
func (p *Process) fetchOperatorState(ctx context.Context, have unit.Revision) (*op.OperatorState, unit.Revision, error) {
	var st op.OperatorState
	rev, err := p.read(ctx, stateKey, &st)
	if err != nil || rev <= have {
		return nil, rev, err
	}
	if st.ConfigKey != "" {
		o, err := p.out.Store.Get(ctx, st.ConfigKey)
		if err != nil {
			return nil, 0, fmt.Errorf("read configuration: %w", err)
		}
		st.Document = o.Value
	}
	if err := st.Parse(); err != nil {
		return nil, 0, err
	}
	return &st, rev, nil
}

// watchState waits for a change. The store ends a watch by its own rules; a
// failed one is begun again after a pause.
func (p *Process) watchState(ctx context.Context, e op.WatchState) {
	_, err := p.out.Store.Watch(ctx, stateKey, e.After)
	if err != nil {
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
	p.loop.Post(op.StateChanged{Result: result(err)})
}

// edit changes the operators' state in the store by compare and swap. The
// change returns an error to give up. A write whose answer was lost is read
// back; every change is idempotent.
func (p *Process) edit(ctx context.Context, change func(*op.OperatorState) error) (op.OperatorState, error) {
	var last error
	for range editTries {
		var st op.OperatorState
		rev, err := p.read(ctx, stateKey, &st)
		if err != nil {
			return st, err
		}
		if err := change(&st); err != nil {
			return st, err
		}
		st.Document = nil
		_, err = p.put(ctx, stateKey, st, rev)
		if err == nil {
			return st, nil
		}
		last = err
		if !errors.Is(err, platform.ErrConflict) && ctx.Err() != nil {
			break
		}
	}
	return op.OperatorState{}, fmt.Errorf("change the operators' state: %w", last)
}

func (p *Process) storeWithdrawals(ctx context.Context, keys []unit.KeyID) error {
	_, err := p.edit(ctx, func(st *op.OperatorState) error {
		for _, k := range keys {
			if !slices.Contains(st.Withdrawn, k) {
				st.Withdrawn = append(st.Withdrawn, k)
			}
		}
		return nil
	})
	return err
}

// applyConfig stores a document under a name of its own, and then makes it
// the configuration if the operator saw the current one.
func (p *Process) applyConfig(ctx context.Context, doc []byte, ifVersion int64) (int64, error) {
	if _, err := spec.Parse(doc); err != nil {
		return 0, err
	}
	var nonce [6]byte
	if _, err := rand.Read(nonce[:]); err != nil {
		return 0, fmt.Errorf("read random bytes: %w", err)
	}
	key := fmt.Sprintf("config/%d-%s", ifVersion+1, hex.EncodeToString(nonce[:]))
	if _, err := p.out.Store.Put(ctx, key, doc, 0); err != nil && !p.stored(ctx, key) {
		return 0, fmt.Errorf("store configuration: %w", err)
	}
	var old string
	st, err := p.edit(ctx, func(st *op.OperatorState) error {
		if st.ConfigKey == key {
			return nil
		}
		if st.ConfigVersion != ifVersion {
			return fmt.Errorf("%w: it is at version %d, and version %d was seen", errOldVersion, st.ConfigVersion, ifVersion)
		}
		old = st.ConfigKey
		st.ConfigVersion, st.ConfigKey = ifVersion+1, key
		return nil
	})
	if err != nil {
		return 0, err
	}
	p.removeLater(old)
	return st.ConfigVersion, nil
}

// stored tells whether a write whose answer was lost took effect.
func (p *Process) stored(ctx context.Context, key string) bool {
	_, err := p.out.Store.Get(ctx, key)
	return err == nil
}

// removeLater deletes a replaced document once nobody reads it any more.
func (p *Process) removeLater(key string) {
	if key == "" {
		return
	}
	p.tasks.Go(func(ctx context.Context) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Minute):
		}
		if o, err := p.out.Store.Get(ctx, key); err == nil {
			_ = p.out.Store.Delete(ctx, key, o.Revision)
		}
	})
}

var errVersion = errors.New("version is not above the active one")

func (p *Process) activate(ctx context.Context, pool unit.Pool, v unit.Version) error {
	_, err := p.edit(ctx, func(st *op.OperatorState) error {
		if st.Active[pool] > v {
			return fmt.Errorf("%w: pool %s is at version %d", errVersion, pool, st.Active[pool])
		}
		active := maps.Clone(st.Active)
		if active == nil {
			active = make(map[unit.Pool]unit.Version)
		}
		active[pool] = v
		st.Active = active
		return nil
	})
	return err
}

// addIntent puts an operator's order into the store, where the holder of the
// data centre's lease finds it.
func (p *Process) addIntent(ctx context.Context, dc unit.DataCentre, x op.Intent) error {
	var last error
	for range editTries {
		var list []op.Intent
		rev, err := p.read(ctx, intentsKey(dc), &list)
		if err != nil {
			return err
		}
		if slices.ContainsFunc(list, func(y op.Intent) bool { return y.ID == x.ID }) {
			return nil
		}
		_, last = p.put(ctx, intentsKey(dc), append(list, x), rev)
		if last == nil {
			return nil
		}
	}
	return fmt.Errorf("store order: %w", last)
}
