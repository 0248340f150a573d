package standin

import (
	"context"
	"sort"
	"strings"
	"sync"

	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// MemoryStore is an object store in memory that implements platform.Store. The
// zero value is empty and ready to use.
type MemoryStore struct {
	mu        sync.Mutex
	rev       unit.Revision
	byKey     map[string]platform.Object
	removedAt map[string]unit.Revision
	// changed, if set, is closed at the next write or removal.
	changed chan struct{}
}

// Get returns an object.
func (o *MemoryStore) Get(_ context.Context, key string) (platform.Object, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	x, ok := o.byKey[key]
	if !ok {
		return platform.Object{}, platform.ErrNotFound
	}
	return x, nil
}

// Put writes an object if its revision is ifRev.
func (o *MemoryStore) Put(_ context.Context, key string, value []byte, ifRev unit.Revision) (unit.Revision, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byKey[key].Revision != ifRev {
		return 0, platform.ErrConflict
	}
	o.nextRevision()
	o.byKey[key] = platform.Object{Key: key, Value: append([]byte(nil), value...), Revision: o.rev}
	return o.rev, nil
}

// Delete removes an object if its revision is ifRev.
func (o *MemoryStore) Delete(_ context.Context, key string, ifRev unit.Revision) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byKey[key].Revision != ifRev {
		return platform.ErrConflict
	}
	o.nextRevision()
	delete(o.byKey, key)
	o.removedAt[key] = o.rev
	return nil
}

// List returns the objects under a prefix, in key order.
func (o *MemoryStore) List(_ context.Context, prefix string) ([]platform.Object, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := []platform.Object{}
	for k, x := range o.byKey {
		if strings.HasPrefix(k, prefix) {
			out = append(out, x)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, nil
}

// Watch waits until an object under a prefix has a change that is newer than
// the revision after, and returns the store's revision.
func (o *MemoryStore) Watch(ctx context.Context, prefix string, after unit.Revision) (unit.Revision, error) {
	for {
		o.mu.Lock()
		rev, hit := o.rev, o.changedSince(prefix, after)
		if o.changed == nil {
			o.changed = make(chan struct{})
		}
		ch := o.changed
		o.mu.Unlock()
		if hit {
			return rev, nil
		}
		select {
		case <-ch:
		case <-ctx.Done():
			return after, ctx.Err()
		}
	}
}

// changedSince tells whether an object under a prefix was written or removed
// after a revision. The caller holds o.mu.
func (o *MemoryStore) changedSince(prefix string, after unit.Revision) bool {
	for k, x := range o.byKey {
		if x.Revision > after && strings.HasPrefix(k, prefix) {
			return true
		}
	}
	for k, r := range o.removedAt {
		if r > after && strings.HasPrefix(k, prefix) {
			return true
		}
	}
	return false
}

// nextRevision increments the revision and wakes all watches. The caller holds
// o.mu.
func (o *MemoryStore) nextRevision() {
	o.rev++
	if o.byKey == nil {
		o.byKey = make(map[string]platform.Object)
		o.removedAt = make(map[string]unit.Revision)
	}
	if o.changed != nil {
		close(o.changed)
		o.changed = nil
	}
}
