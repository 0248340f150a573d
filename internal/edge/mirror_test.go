package edge

import (
	"errors"
	"testing"

	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// change returns a change of an object.
func change(key string, rev unit.Revision, deleted bool) platform.Change {
	return platform.Change{Object: platform.Object{Key: key, Revision: rev}, Deleted: deleted}
}

func TestMirrorListAndChanges(t *testing.T) {
	m := newMirror()
	if _, ok := m.list(0); ok {
		t.Error("an empty mirror answers")
	}
	m.replace([]platform.Object{{Key: "k/a", Revision: 3}}, 5)
	m.confirm(1000)
	m.applyChanges([]platform.Change{change("k/b", 6, false), change("k/a", 7, true)}, 7)
	a, ok := m.list(1500)
	if !ok || len(a.Objects) != 1 || a.Objects[0].Key != "k/b" || a.AsOf != 7 || a.AgeMillis != 500 {
		t.Errorf("got %+v, %v", a, ok)
	}
	if got, _, err := m.changesAfter(1500, 6); err != nil || len(got.Changes) != 1 || !got.Changes[0].Deleted {
		t.Errorf("got %+v, %v", got, err)
	}
	if _, _, err := m.changesAfter(1500, 4); !errors.Is(err, platform.ErrHistoryDiscarded) {
		t.Errorf("got %v for changes that are not kept", err)
	}
}

// TestStaleMirrorDoesNotAnswer guards against peers that miss changes because
// their watcher cannot reach the store.
func TestStaleMirrorDoesNotAnswer(t *testing.T) {
	m := newMirror()
	m.replace(nil, 5)
	m.confirm(0)
	if _, ok := m.list(maxMirrorAge); !ok {
		t.Error("no answer within the maximum age")
	}
	if _, ok := m.list(maxMirrorAge + 1); ok {
		t.Error("answers beyond the maximum age")
	}
	if _, _, err := m.changesAfter(maxMirrorAge+1, 5); err == nil {
		t.Error("answers a watch beyond the maximum age")
	}
}

func TestMirrorDropsOldChanges(t *testing.T) {
	m := newMirror()
	m.replace(nil, 1)
	m.confirm(0)
	for rev := unit.Revision(2); rev < maxMirrorChanges+100; rev++ {
		m.applyChanges([]platform.Change{change("k/a", rev, false)}, rev)
	}
	if _, _, err := m.changesAfter(0, 50); !errors.Is(err, platform.ErrHistoryDiscarded) {
		t.Errorf("got %v", err)
	}
	a, _, err := m.changesAfter(0, maxMirrorChanges)
	if err != nil || a.Changes[0].Object.Revision != maxMirrorChanges+1 {
		t.Errorf("got %+v, %v", a.Changes, err)
	}
}

func TestMirrorNotifiesWaiters(t *testing.T) {
	m := newMirror()
	m.replace(nil, 1)
	m.confirm(0)
	_, changed, err := m.changesAfter(0, 1)
	if err != nil {
		t.Fatal(err)
	}
	m.applyChanges(nil, 2)
	select {
	case <-changed:
		t.Error("waiters were notified without a change")
	default:
	}
	m.applyChanges([]platform.Change{change("k/a", 3, false)}, 3)
	select {
	case <-changed:
	default:
		t.Error("waiters were not notified of a change")
	}
}

// TestWatchWaitKeepsMirrorFresh checks that a mirror does not get too old
// during a watch, which would send the peers to the store.
func TestWatchWaitKeepsMirrorFresh(t *testing.T) {
	for _, age := range []clock.Millis{0, 300, 700, 1000} {
		if wait := watchWait(age); age+wait > maxMirrorAge-watchEndMargin {
			t.Errorf("a state of age %d grows to age %d", age, age+wait)
		}
	}
	if wait := watchWait(2 * maxMirrorAge); wait != minWatchWait {
		t.Errorf("waits %d", wait)
	}
}
