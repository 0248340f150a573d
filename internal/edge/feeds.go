package edge

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// sharedWatchWait bounds a watch of the configuration or of the targets. The
	// end of each watch confirms that nothing else has changed, and peers share
	// the result, so a dead connection must be detected well within the 2 s in
	// which a change has to take effect.
	sharedWatchWait = 800 * time.Millisecond
	// watchEndMargin is the time that has to be left at the end of a watch until
	// the mirror's state is as old as maxMirrorAge. A watch that a change ends early
	// confirms only the state at its start, so the next watch has to be shorter.
	watchEndMargin clock.Millis = 150
	// minWatchWait is the shortest wait of a watch.
	minWatchWait clock.Millis = 200
	// mirrorWatchWait is how long a watch through a watcher's mirror waits,
	// mirrorSlack how much longer the call may take. A watcher is a peer that
	// watches the store and shares what it reads; see mirror.
	mirrorWatchWait = 400 * time.Millisecond
	mirrorSlack     = 300 * time.Millisecond
	// versionsWatchWait bounds a watch of the versions that trainers want, and
	// so how long a dead connection may delay a new version.
	versionsWatchWait = 4 * time.Second
	// watcherBackoff is the time after a failure of the watcher in which the store
	// is asked directly.
	watcherBackoff = 3 * clock.Second
	// targetBatchPause is the pause after changes of targets. Changes come in
	// groups and each call to the store is charged for, so the next call should
	// return several of them.
	targetBatchPause = 250 * time.Millisecond
	// feedPause is the pause after a failed call; it doubles up to maxFeedPause.
	feedPause    = 100 * time.Millisecond
	maxFeedPause = 400 * time.Millisecond
)

// feed follows the objects of one kind. It lists them once and then
// watches for changes.
type feed struct {
	p    *Process
	kind string
	// wait is the longest wait of a watch.
	wait time.Duration
	// onList is called with each complete list, onChange with each change.
	onList   func([]platform.Object)
	onChange func(platform.Change)
	// onConfirm is called with the time up to which all changes are known; it may
	// be nil.
	onConfirm func(upTo clock.Millis)
	// batchPause is the pause after changes, so that the next call returns
	// several.
	batchPause time.Duration
	// mirror is the copy that this instance serves to peers, nil if the kind is
	// not shared.
	mirror *mirror
	// failing is set while calls fail.
	failing bool
	// confirmedAt is the time up to which all changes are known.
	confirmedAt clock.Millis
	// bypassWatcherUntil is until when the store is asked although there is a
	// watcher.
	bypassWatcherUntil clock.Millis
}

// run lists the objects and then follows changes until ctx ends.
func (f *feed) run(ctx context.Context) {
	var rev unit.Revision
	pause := feedPause
	for ctx.Err() == nil {
		next, err := f.poll(ctx, rev)
		if err == nil {
			rev, pause = next, feedPause
			f.reportRecovery()
			continue
		}
		if errors.Is(err, platform.ErrHistoryDiscarded) {
			f.p.log.WithFields(logrus.Fields{"Kind": f.kind, "Revision": rev}).Info("the store has discarded changes; listing again")
			rev = 0
			continue
		}
		f.reportFailure(ctx, err)
		sleep(ctx, pause)
		pause = min(pause*2, maxFeedPause)
	}
}

// poll lists the objects if rev is 0, else it waits for changes after rev. It
// asks the watcher if this instance uses one, and the store if that fails. It
// returns the revision to continue from.
func (f *feed) poll(ctx context.Context, rev unit.Revision) (unit.Revision, error) {
	if f.mirror != nil && f.p.clock.Now() >= f.bypassWatcherUntil {
		if address := f.p.watcherAddress(); address != "" {
			next, err := f.pollWatcher(ctx, address, rev)
			if err == nil || errors.Is(err, platform.ErrHistoryDiscarded) {
				return next, err
			}
			f.bypassWatcherUntil = f.p.clock.Now() + watcherBackoff
			f.p.log.WithFields(logrus.Fields{"Kind": f.kind, "Watcher": address, "Error": err.Error()}).Info("watcher passed over")
		}
	}
	return f.pollStore(ctx, rev)
}

// pollWatcher lists or watches like poll, through a watcher's mirror.
func (f *feed) pollWatcher(ctx context.Context, address string, rev unit.Revision) (unit.Revision, error) {
	askedAt := f.p.clock.Now()
	after := rev
	if rev == 0 {
		after = -1
	}
	a, err := f.p.queryWatcher(ctx, address, f.kind, after, mirrorWatchWait)
	if err != nil {
		return 0, err
	}
	if rev == 0 {
		f.onList(a.Objects)
		f.mirror.replace(a.Objects, a.AsOf)
	}
	for _, c := range a.Changes {
		f.onChange(c)
	}
	f.mirror.applyChanges(a.Changes, a.AsOf)
	if wait := clock.FromDuration(mirrorWatchWait); rev > 0 && len(a.Changes) == 0 && f.p.clock.Now()-askedAt >= wait {
		// The watcher looked for changes until the end of the wait.
		askedAt += wait
	}
	f.confirm(askedAt - a.AgeMillis)
	return max(a.AsOf, rev), nil
}

// pollStore lists or watches like poll, in the store itself.
func (f *feed) pollStore(ctx context.Context, rev unit.Revision) (unit.Revision, error) {
	askedAt := f.p.clock.Now()
	if rev == 0 {
		objects, next, err := f.p.deps.Store.ListKind(ctx, f.kind)
		if err != nil {
			return 0, err
		}
		f.onList(objects)
		if f.mirror != nil {
			f.mirror.replace(objects, next)
		}
		f.confirm(askedAt)
		return next, nil
	}
	wait := f.wait
	if f.mirror != nil {
		wait = min(wait, watchWait(askedAt-f.confirmedAt).Duration())
	}
	changes, next, err := f.p.deps.Store.Follow(ctx, f.kind, rev, wait)
	if err != nil {
		return rev, err
	}
	for _, c := range changes {
		f.onChange(c)
	}
	if f.mirror != nil {
		f.mirror.applyChanges(changes, next)
	}
	if wait := clock.FromDuration(wait); len(changes) == 0 && f.p.clock.Now()-askedAt >= wait {
		// The store looked for changes until the end of the wait.
		askedAt += wait
	}
	f.confirm(askedAt)
	if len(changes) > 0 && f.batchPause > 0 {
		sleep(ctx, f.batchPause)
	}
	return max(next, rev), nil
}

// watchWait returns how long a watch may wait so that a mirror's state, which is
// of the given age now, does not get too old meanwhile. The result is at least
// minWatchWait, even if that is too long.
func watchWait(age clock.Millis) clock.Millis {
	return max(maxMirrorAge-watchEndMargin-age, minWatchWait)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// confirm records that all changes up to a time are known.
func (f *feed) confirm(upTo clock.Millis) {
	f.confirmedAt = max(f.confirmedAt, upTo)
	if f.mirror != nil {
		f.mirror.confirm(upTo)
	}
	if f.onConfirm != nil {
		f.onConfirm(upTo)
	}
}

// reportFailure reports a failed call unless the call before failed too.
func (f *feed) reportFailure(ctx context.Context, err error) {
	if f.failing || ctx.Err() != nil {
		return
	}
	f.failing = true
	f.p.log.WithFields(logrus.Fields{"Kind": f.kind, "Error": err.Error()}).Warn("store lost")
	f.p.apply(op.StoreUnreachable{})
}

// reportRecovery logs the first successful call after failed ones.
func (f *feed) reportRecovery() {
	if f.failing {
		f.failing = false
		f.p.log.WithField("Kind", f.kind).Info("store answers again")
	}
}

// followConfiguration applies the configurations in the store until ctx ends.
func (p *Process) followConfiguration(ctx context.Context) {
	// undecoded is set while the newest configuration could not be decoded.
	undecoded := false
	applyObject := func(o platform.Object) {
		c, err := p.deps.Decoder.Configuration(o)
		undecoded = err != nil
		if err != nil {
			p.metrics.GetOrCreateCounter("catkinhead_configurations_undecoded_total").Inc()
			p.log.WithFields(logrus.Fields{"Object": o.Key, "Revision": o.Revision, "Error": err.Error()}).Error("configuration could not be decoded; the former one stays in force and is not confirmed")
			return
		}
		p.apply(op.ConfigurationChanged{Configuration: c, Revision: o.Revision})
	}
	f := &feed{
		p: p, kind: p.deps.Kinds.Configuration, wait: sharedWatchWait,
		mirror: p.mirrors[p.deps.Kinds.Configuration],
	}
	f.onList = func(objects []platform.Object) {
		for _, o := range objects {
			applyObject(o)
		}
	}
	f.onChange = func(c platform.Change) {
		if !c.Deleted {
			applyObject(c.Object)
		}
	}
	f.onConfirm = func(upTo clock.Millis) { p.apply(op.StoreAnswered{AskedAt: upTo, Undecoded: undecoded}) }
	f.run(ctx)
}

// followTargets applies the target entries in the store until ctx ends.
func (p *Process) followTargets(ctx context.Context) {
	f := &feed{
		p: p, kind: p.deps.Kinds.Targets, wait: sharedWatchWait, batchPause: targetBatchPause,
		mirror: p.mirrors[p.deps.Kinds.Targets],
	}
	f.onList = func(objects []platform.Object) {
		var e op.TargetsListed
		for _, o := range objects {
			if t, ok := p.decodeTarget(o); ok {
				e.Entries = append(e.Entries, t)
			}
		}
		p.log.WithFields(logrus.Fields{"Entries": len(objects), "Targets": len(e.Entries)}).Info("targets listed")
		p.apply(e)
	}
	f.onChange = func(c platform.Change) {
		t, ok := p.decodeTarget(c.Object)
		if !ok || c.Deleted || c.Marked {
			t = platform.TargetEntry{Target: targetName(c.Object)}
			p.log.WithField("Target", t.Target).Info("target removed")
			p.apply(op.TargetChanged{Entry: t, Removed: true})
			return
		}
		p.log.WithFields(logrus.Fields{
			"Target": t.Target, "Pool": t.Pool, "Leaving": t.Leaving, "Models": t.Models, "Revision": c.Object.Revision,
		}).Info("target changed")
		p.apply(op.TargetChanged{Entry: t})
	}
	f.run(ctx)
}

// targetName returns the target that an object describes.
func targetName(o platform.Object) unit.Target {
	return unit.Target(objectName(o))
}

// decodeTarget decodes a target entry. It returns false if that fails.
func (p *Process) decodeTarget(o platform.Object) (platform.TargetEntry, bool) {
	t, err := p.deps.Decoder.Target(o)
	if err != nil {
		p.log.WithFields(logrus.Fields{"Object": o.Key, "Revision": o.Revision, "Error": err.Error()}).Warn("target entry could not be decoded")
		return t, false
	}
	return t, true
}

// dutiesLeaseChanged starts or stops the watch for wanted versions, which only
// the lease holder needs.
func (p *Process) dutiesLeaseChanged(e op.DutiesLeaseChanged) {
	if p.cancelVersionWatch != nil {
		p.cancelVersionWatch()
		p.cancelVersionWatch = nil
	}
	if !e.Held {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancelVersionWatch = cancel
	p.tasks.Go(func(processCtx context.Context) {
		stop := context.AfterFunc(processCtx, cancel)
		defer stop()
		defer cancel()
		p.followVersions(ctx)
	})
}

// followVersions applies, until ctx ends, the wanted versions that trainers
// write to the store.
func (p *Process) followVersions(ctx context.Context) {
	applyObject := func(o platform.Object) {
		m, v, err := p.deps.Decoder.RequestedVersion(o)
		if err != nil {
			p.log.WithFields(logrus.Fields{"Object": o.Key, "Error": err.Error()}).Error("wanted version could not be decoded")
			return
		}
		p.log.WithFields(logrus.Fields{"Model": m, "Version": v, "Revision": o.Revision}).Info("version wanted")
		p.apply(op.VersionWanted{Model: m, Version: v})
	}
	f := &feed{p: p, kind: p.deps.Kinds.Versions, wait: versionsWatchWait}
	f.onList = func(objects []platform.Object) {
		for _, o := range objects {
			applyObject(o)
		}
	}
	f.onChange = func(c platform.Change) {
		if !c.Deleted {
			applyObject(c.Object)
		}
	}
	f.run(ctx)
}
