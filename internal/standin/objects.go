package standin

import (
	"context"
	"sort"
	"strings"
	"sync"

	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// Objects is an object store in memory. The zero value is empty and ready. It
// implements platform.Store, and serves as the small fake in tests.
type Objects struct {
	mu      sync.Mutex
	rev     unit.Revision
	byKey   map[string]platform.Object
	removed map[string]unit.Revision
	changed chan struct{}
}

// Get reads an object.
func (o *Objects) Get(_ context.Context, key string) (platform.Object, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	x, ok := o.byKey[key]
	if !ok {
		return platform.Object{}, platform.ErrNotFound
	}
	return x, nil
}

// Put writes an object conditionally.
func (o *Objects) Put(_ context.Context, key string, value []byte, ifRev unit.Revision) (unit.Revision, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byKey[key].Revision != ifRev {
		return 0, platform.ErrConflict
	}
	o.bump()
	o.byKey[key] = platform.Object{Key: key, Value: append([]byte(nil), value...), Revision: o.rev}
	return o.rev, nil
}

// Delete removes an object conditionally.
func (o *Objects) Delete(_ context.Context, key string, ifRev unit.Revision) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byKey[key].Revision != ifRev {
		return platform.ErrConflict
	}
	o.bump()
	delete(o.byKey, key)
	o.removed[key] = o.rev
	return nil
}

// List returns the objects under a prefix.
func (o *Objects) List(_ context.Context, prefix string) ([]platform.Object, error) {
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

// Watch waits for a change under a prefix.
func (o *Objects) Watch(ctx context.Context, prefix string, after unit.Revision) (unit.Revision, error) {
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

func (o *Objects) changedSince(prefix string, after unit.Revision) bool {
	for k, x := range o.byKey {
		if x.Revision > after && strings.HasPrefix(k, prefix) {
			return true
		}
	}
	for k, r := range o.removed {
		if r > after && strings.HasPrefix(k, prefix) {
			return true
		}
	}
	return false
}

func (o *Objects) bump() {
	o.rev++
	if o.byKey == nil {
		o.byKey = make(map[string]platform.Object)
		o.removed = make(map[string]unit.Revision)
	}
	if o.changed != nil {
		close(o.changed)
		o.changed = nil
	}
}
