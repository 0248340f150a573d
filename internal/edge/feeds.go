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
	// sharedWait is how long a watch of the configuration or of the targets
	// waits. Each end confirms that nothing has changed, and others share the
	// watch, so a silent connection must be found well within the 2 s in which
	// a change is to be acted on.
	sharedWait = 800 * time.Millisecond
	// confirmSlack is kept of the age up to which a watcher answers: a watch that
	// ends early confirms only what was so when it began, so the next one waits
	// for what is left of that age.
	confirmSlack clock.Millis = 150
	// leastConfirm is the least wait of a watch.
	leastConfirm clock.Millis = 200
	// mirrorWait is how long a call to a watcher waits, mirrorSlack how much
	// longer it may take.
	mirrorWait  = 400 * time.Millisecond
	mirrorSlack = 300 * time.Millisecond
	// versionsWait bounds how long a silent connection may hide a version.
	versionsWait = 4 * time.Second
	// asideFor is how long the store is asked after a watcher failed.
	asideFor = 3 * clock.Second
	// gather is the pause after changes of targets, which come in groups: each
	// call to the store is paid for.
	gather = 250 * time.Millisecond
	// feedPause is the pause after a failed call; it doubles up to feedPauseMost.
	feedPause     = 100 * time.Millisecond
	feedPauseMost = 400 * time.Millisecond
)

// feed follows the objects of one kind.
type feed struct {
	p    *Process
	kind string
	wait time.Duration
	// listed takes a whole list, changed one change.
	listed  func([]platform.Object)
	changed func(platform.Change)
	// heard is told that all changes up to a time are known; it may be nil.
	heard func(askedAt clock.Millis)
	// gather is the pause after changes, so that the next call brings several.
	gather time.Duration
	// mirror is what this instance shows to others, nil if the kind is not
	// shared.
	mirror *mirror
	lost   bool
	// confirmedAt is up to when all changes are known.
	confirmedAt clock.Millis
	// aside is until when the store is asked although there is a watcher.
	aside clock.Millis
}

// run lists the objects and then waits for changes, until ctx ends.
func (f *feed) run(ctx context.Context) {
	var rev unit.Revision
	pause := feedPause
	for ctx.Err() == nil {
		next, err := f.step(ctx, rev)
		if err == nil {
			rev, pause = next, feedPause
			f.regained()
			continue
		}
		if errors.Is(err, platform.ErrHistoryGone) {
			f.p.log.WithFields(logrus.Fields{"Kind": f.kind, "Revision": rev}).Info("changes are no longer kept; listing again")
			rev = 0
			continue
		}
		f.failed(ctx, err)
		sleep(ctx, pause)
		pause = min(pause*2, feedPauseMost)
	}
}

func (f *feed) step(ctx context.Context, rev unit.Revision) (unit.Revision, error) {
	if f.mirror != nil && f.p.clock.Now() >= f.aside {
		if address := f.p.watcher(); address != "" {
			next, err := f.stepMirror(ctx, address, rev)
			if err == nil || errors.Is(err, platform.ErrHistoryGone) {
				return next, err
			}
			f.aside = f.p.clock.Now() + asideFor
			f.p.log.WithFields(logrus.Fields{"Kind": f.kind, "Watcher": address, "Error": err.Error()}).Info("watcher passed over")
		}
	}
	return f.stepStore(ctx, rev)
}

// stepMirror asks a watcher instead of the store.
func (f *feed) stepMirror(ctx context.Context, address string, rev unit.Revision) (unit.Revision, error) {
	asked := f.p.clock.Now()
	after := rev
	if rev == 0 {
		after = -1
	}
	a, err := f.p.askMirror(ctx, address, f.kind, after, mirrorWait)
	if err != nil {
		return 0, err
	}
	if rev == 0 {
		f.listed(a.Objects)
		f.mirror.listed(a.Objects, a.AsOf)
	}
	for _, c := range a.Changes {
		f.changed(c)
	}
	f.mirror.followed(a.Changes, a.AsOf)
	if wait := clock.Of(mirrorWait); rev > 0 && len(a.Changes) == 0 && f.p.clock.Now()-asked >= wait {
		asked += wait
	}
	f.confirm(asked - a.AgeMillis)
	return max(a.AsOf, rev), nil
}

func (f *feed) stepStore(ctx context.Context, rev unit.Revision) (unit.Revision, error) {
	asked := f.p.clock.Now()
	if rev == 0 {
		objects, next, err := f.p.out.Store.ListKind(ctx, f.kind)
		if err != nil {
			return 0, err
		}
		f.listed(objects)
		if f.mirror != nil {
			f.mirror.listed(objects, next)
		}
		f.confirm(asked)
		return next, nil
	}
	wait := f.wait
	if f.mirror != nil {
		wait = min(wait, waitAfter(asked-f.confirmedAt).Duration())
	}
	changes, next, err := f.p.out.Store.Follow(ctx, f.kind, rev, wait)
	if err != nil {
		return rev, err
	}
	for _, c := range changes {
		f.changed(c)
	}
	if f.mirror != nil {
		f.mirror.followed(changes, next)
	}
	if wait := clock.Of(wait); len(changes) == 0 && f.p.clock.Now()-asked >= wait {
		// The store looked for changes until the end of the wait.
		asked += wait
	}
	f.confirm(asked)
	if len(changes) > 0 && f.gather > 0 {
		sleep(ctx, f.gather)
	}
	return max(next, rev), nil
}

// waitAfter returns how long a watch may wait so that what is known does not
// grow too old meanwhile, given its age.
func waitAfter(age clock.Millis) clock.Millis {
	return max(mirrorAge-confirmSlack-age, leastConfirm)
}

// sleep waits, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (f *feed) confirm(asked clock.Millis) {
	f.confirmedAt = max(f.confirmedAt, asked)
	if f.mirror != nil {
		f.mirror.confirm(asked)
	}
	if f.heard != nil {
		f.heard(asked)
	}
}

func (f *feed) failed(ctx context.Context, err error) {
	if f.lost || ctx.Err() != nil {
		return
	}
	f.lost = true
	f.p.log.WithFields(logrus.Fields{"Kind": f.kind, "Error": err.Error()}).Warn("store lost")
	f.p.apply(op.StoreSilent{})
}

func (f *feed) regained() {
	if f.lost {
		f.lost = false
		f.p.log.WithField("Kind", f.kind).Info("store regained")
	}
}

func (p *Process) followConfiguration(ctx context.Context) {
	take := func(o platform.Object) {
		c, err := p.out.Source.Configuration(o)
		if err != nil {
			p.log.WithFields(logrus.Fields{"Object": o.Key, "Revision": o.Revision, "Error": err.Error()}).Error("configuration is not readable")
			return
		}
		p.apply(op.TableChanged{Configuration: c, Revision: o.Revision})
	}
	f := &feed{
		p: p, kind: p.out.Kinds.Configuration, wait: sharedWait,
		mirror: p.mirrors[p.out.Kinds.Configuration],
	}
	f.listed = func(objects []platform.Object) {
		for _, o := range objects {
			take(o)
		}
	}
	f.changed = func(c platform.Change) {
		if !c.Deleted {
			take(c.Object)
		}
	}
	f.heard = func(asked clock.Millis) { p.apply(op.StoreHeard{AskedAt: asked}) }
	f.run(ctx)
}

func (p *Process) followTargets(ctx context.Context) {
	f := &feed{
		p: p, kind: p.out.Kinds.Targets, wait: sharedWait, gather: gather,
		mirror: p.mirrors[p.out.Kinds.Targets],
	}
	f.listed = func(objects []platform.Object) {
		var e op.TargetsListed
		for _, o := range objects {
			if t, ok := p.target(o); ok {
				e.Entries = append(e.Entries, t)
			}
		}
		p.log.WithFields(logrus.Fields{"Entries": len(objects), "Targets": len(e.Entries)}).Info("targets listed")
		p.apply(e)
	}
	f.changed = func(c platform.Change) {
		t, ok := p.target(c.Object)
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

func targetName(o platform.Object) unit.Target {
	return unit.Target(nameOf(o))
}

// target decodes an entry; one that is not readable names no target.
func (p *Process) target(o platform.Object) (platform.TargetEntry, bool) {
	t, err := p.out.Source.Target(o)
	if err != nil {
		p.log.WithFields(logrus.Fields{"Object": o.Key, "Revision": o.Revision, "Error": err.Error()}).Warn("entry names no target")
		return t, false
	}
	return t, true
}

// dutiesChanged starts or ends what only the holder of the lease follows.
func (p *Process) dutiesChanged(e op.DutiesChanged) {
	if p.endDuties != nil {
		p.endDuties()
		p.endDuties = nil
	}
	if !e.Held {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.endDuties = cancel
	p.tasks.Go(func(own context.Context) {
		stop := context.AfterFunc(own, cancel)
		defer stop()
		defer cancel()
		p.followVersions(ctx)
	})
}

func (p *Process) followVersions(ctx context.Context) {
	take := func(o platform.Object) {
		m, v, err := p.out.Source.Wanted(o)
		if err != nil {
			p.log.WithFields(logrus.Fields{"Object": o.Key, "Error": err.Error()}).Error("version is not readable")
			return
		}
		p.log.WithFields(logrus.Fields{"Model": m, "Version": v, "Revision": o.Revision}).Info("version wanted")
		p.apply(op.VersionWanted{Model: m, Version: v})
	}
	f := &feed{p: p, kind: p.out.Kinds.Versions, wait: versionsWait}
	f.listed = func(objects []platform.Object) {
		for _, o := range objects {
			take(o)
		}
	}
	f.changed = func(c platform.Change) {
		if !c.Deleted {
			take(c.Object)
		}
	}
	f.run(ctx)
}
