package edge

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// retireWatchWait is how long a watch for retirements waits.
	retireWatchWait = 20 * time.Second
	// retirePause is the pause after a failed call.
	retirePause = 500 * time.Millisecond
)

// RetirementWatcher completes the retirement of an instance, which precedes its
// removal, as soon as it is requested: the instance keeps no data that would have
// to be moved first.
type RetirementWatcher struct {
	Feed platform.Feed
	Log  *logrus.Logger
	// Kind is the kind of the stored requests for retirements.
	Kind     string
	Instance unit.Instance
	// Complete tells the operator that the instance may be removed.
	Complete func(context.Context) error
	// completed is set once Complete has succeeded.
	completed bool
}

// Run watches for the instance's retirement until ctx ends.
func (r *RetirementWatcher) Run(ctx context.Context) {
	var rev unit.Revision
	for ctx.Err() == nil {
		next, err := r.poll(ctx, rev)
		if errors.Is(err, platform.ErrHistoryDiscarded) {
			rev = 0
			continue
		}
		if err == nil {
			rev = next
			continue
		}
		if ctx.Err() == nil {
			r.Log.WithField("Error", err.Error()).Warn("retirements not read")
		}
		select {
		case <-time.After(retirePause):
		case <-ctx.Done():
		}
	}
}

// poll lists the retirements if rev is 0, else it waits for changes after rev.
// It completes this instance's retirement and returns the revision to go on
// from.
func (r *RetirementWatcher) poll(ctx context.Context, rev unit.Revision) (unit.Revision, error) {
	var objects []platform.Object
	var next unit.Revision
	var err error
	if rev == 0 {
		objects, next, err = r.Feed.ListKind(ctx, r.Kind)
	} else {
		var changes []platform.Change
		changes, next, err = r.Feed.Follow(ctx, r.Kind, rev, retireWatchWait)
		for _, c := range changes {
			if !c.Deleted {
				objects = append(objects, c.Object)
			}
		}
	}
	if err != nil {
		return rev, err
	}
	for _, o := range objects {
		if objectName(o) != string(r.Instance) || r.completed {
			continue
		}
		if err := r.Complete(ctx); err != nil {
			return rev, err
		}
		r.completed = true
		r.Log.Info("retirement completed: this instance has no data to move")
	}
	return max(next, rev), nil
}
