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
	// configurationWait is how long a watch of the configuration waits: each
	// end confirms that nothing has changed, well within the bound of
	// withdrawn keys.
	configurationWait = 2 * time.Second
	// targetsWait keeps a silent connection from hiding a leaving target for
	// longer than its drain.
	targetsWait = 3 * time.Second
	// versionsWait and instancesWait bound how long a silent connection may
	// hide what is less urgent.
	versionsWait  = 4 * time.Second
	instancesWait = 25 * time.Second
	// gather is the pause after changes of targets, which come in groups: each
	// call to the store is paid for.
	gather = 150 * time.Millisecond
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
	lost   bool
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
	asked := f.p.clock.Now()
	if rev == 0 {
		objects, next, err := f.p.out.Store.ListKind(ctx, f.kind)
		if err != nil {
			return 0, err
		}
		f.listed(objects)
		f.confirm(asked)
		return next, nil
	}
	changes, next, err := f.p.out.Store.Follow(ctx, f.kind, rev, f.wait)
	if err != nil {
		return rev, err
	}
	for _, c := range changes {
		f.changed(c)
	}
	if wait := clock.Of(f.wait); len(changes) == 0 && f.p.clock.Now()-asked >= wait {
		// The store looked for changes until the end of the wait.
		asked += wait
	}
	f.confirm(asked)
	if len(changes) > 0 && f.gather > 0 {
		sleep(ctx, f.gather)
	}
	return max(next, rev), nil
}

// sleep waits, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (f *feed) confirm(asked clock.Millis) {
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
	f := &feed{p: p, kind: p.out.Kinds.Configuration, wait: configurationWait}
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
	f := &feed{p: p, kind: p.out.Kinds.Targets, wait: targetsWait, gather: gather}
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
