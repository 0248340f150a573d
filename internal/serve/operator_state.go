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

// maxEditAttempts bounds the attempts at one change of the operators' state or
// of the stored orders.
const maxEditAttempts = 8

// errConfigChanged means that an operator based a change on an older
// configuration.
var errConfigChanged = errors.New("configuration has changed since it was read")

// readState reads the operators' state, and the configuration document if the
// state is newer than e.Have.
func (p *Process) readState(ctx context.Context, e op.ReadState) {
	asked := p.clock.Now()
	st, rev, err := p.readStateIfNewer(ctx, e.Have)
	p.loop.Post(op.StateRead{Result: resultOf(err), AskedAt: asked, Revision: rev, State: st})
}

// readStateIfNewer reads the operators' state with its configuration document,
// and returns it with its revision. The returned state is nil if the stored one
// is not newer than have.
func (p *Process) readStateIfNewer(ctx context.Context, have unit.Revision) (*op.OperatorState, unit.Revision, error) {
	var st op.OperatorState
	rev, err := p.readObject(ctx, stateKey, &st)
	if err != nil || rev <= have {
		return nil, rev, err
	}
	if st.ConfigKey != "" {
		o, err := p.deps.Store.Get(ctx, st.ConfigKey)
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

// watchState waits for a change of the operators' state. The store decides how
// long a watch may last. After a failed watch there is a pause of a second
// before the reducer may start another.
func (p *Process) watchState(ctx context.Context, e op.WatchState) {
	_, err := p.deps.Store.Watch(ctx, stateKey, e.After)
	if err != nil {
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
	p.loop.Post(op.StateChanged{Result: resultOf(err)})
}

// updateState changes the operators' state in the store by compare-and-swap, and
// returns the new state without its document. An error from change abandons the
// update. change must be idempotent: if the answer to a write is lost, the state
// is read and changed again.
func (p *Process) updateState(ctx context.Context, change func(*op.OperatorState) error) (op.OperatorState, error) {
	var lastErr error
	for range maxEditAttempts {
		var st op.OperatorState
		rev, err := p.readObject(ctx, stateKey, &st)
		if err != nil {
			return st, err
		}
		if err := change(&st); err != nil {
			return st, err
		}
		st.Document = nil
		_, err = p.writeObject(ctx, stateKey, st, rev)
		if err == nil {
			return st, nil
		}
		lastErr = err
		if !errors.Is(err, platform.ErrConflict) && ctx.Err() != nil {
			break
		}
	}
	return op.OperatorState{}, fmt.Errorf("change the operators' state: %w", lastErr)
}

func (p *Process) storeWithdrawals(ctx context.Context, keys []unit.KeyID) error {
	_, err := p.updateState(ctx, func(st *op.OperatorState) error {
		for _, k := range keys {
			if !slices.Contains(st.Withdrawn, k) {
				st.Withdrawn = append(st.Withdrawn, k)
			}
		}
		return nil
	})
	return err
}

// applyConfig stores a document under a new key, and then makes it the
// configuration if ifVersion, the version that the operator based it on, is still
// the current one. It returns the new version.
func (p *Process) applyConfig(ctx context.Context, doc []byte, ifVersion int64) (int64, error) {
	if _, err := spec.Parse(doc); err != nil {
		return 0, err
	}
	var nonce [6]byte
	if _, err := rand.Read(nonce[:]); err != nil {
		return 0, fmt.Errorf("read random bytes: %w", err)
	}
	key := fmt.Sprintf("config/%d-%s", ifVersion+1, hex.EncodeToString(nonce[:]))
	if _, err := p.deps.Store.Put(ctx, key, doc, 0); err != nil && !p.objectExists(ctx, key) {
		return 0, fmt.Errorf("store configuration: %w", err)
	}
	var old string
	st, err := p.updateState(ctx, func(st *op.OperatorState) error {
		if st.ConfigKey == key {
			return nil
		}
		if st.ConfigVersion != ifVersion {
			return fmt.Errorf("%w: it is at version %d, and version %d was seen", errConfigChanged, st.ConfigVersion, ifVersion)
		}
		old = st.ConfigKey
		st.ConfigVersion, st.ConfigKey = ifVersion+1, key
		return nil
	})
	if err != nil {
		return 0, err
	}
	p.deleteLater(old)
	return st.ConfigVersion, nil
}

// objectExists reports whether an object is stored. After a lost answer to the
// write that creates it, this tells whether the write took effect.
func (p *Process) objectExists(ctx context.Context, key string) bool {
	_, err := p.deps.Store.Get(ctx, key)
	return err == nil
}

// deleteLater deletes a replaced document after a minute, when no instance
// reads it any more.
func (p *Process) deleteLater(key string) {
	if key == "" {
		return
	}
	p.tasks.Go(func(ctx context.Context) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Minute):
		}
		if o, err := p.deps.Store.Get(ctx, key); err == nil {
			_ = p.deps.Store.Delete(ctx, key, o.Revision)
		}
	})
}

// errVersionBelowActive refuses to activate an older weight version than the
// active one.
var errVersionBelowActive = errors.New("version is not above the active one")

func (p *Process) activateVersion(ctx context.Context, pool unit.Pool, v unit.Version) error {
	_, err := p.updateState(ctx, func(st *op.OperatorState) error {
		if st.Active[pool] > v {
			return fmt.Errorf("%w: pool %s is at version %d", errVersionBelowActive, pool, st.Active[pool])
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

// addIntent adds an operator's order to the intents, which are the orders
// stored for a data centre. The holder of the data centre's order lease reads
// them and sends the orders.
func (p *Process) addIntent(ctx context.Context, dc unit.DataCentre, intent op.Intent) error {
	var lastErr error
	for range maxEditAttempts {
		var list []op.Intent
		rev, err := p.readObject(ctx, intentsKey(dc), &list)
		if err != nil {
			return err
		}
		if slices.ContainsFunc(list, func(y op.Intent) bool { return y.ID == intent.ID }) {
			return nil
		}
		_, lastErr = p.writeObject(ctx, intentsKey(dc), append(list, intent), rev)
		if lastErr == nil {
			return nil
		}
	}
	return fmt.Errorf("store order: %w", lastErr)
}
