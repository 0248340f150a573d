package edge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// firstEventTimeout bounds the time until a target sends the first event of
	// an item.
	firstEventTimeout = 1500 * time.Millisecond
	// nextEventTimeout is the time without an event after which a started stream
	// counts as stuck. It is far longer than the usual time between events, and
	// than it takes to load weights.
	nextEventTimeout = 1100 * time.Millisecond
	// maxRunTime bounds the time that a target is given for an item.
	maxRunTime clock.Millis = 30 * clock.Second
)

// errOldVersion ends a run in which the target's version is older than the item
// allows.
var errOldVersion = errors.New("version of the target is too old")

// errMixedVersions ends a run in which the version changed, if the item's text
// has to come from a single version.
var errMixedVersions = errors.New("version changed in a text that requires a single version")

const (
	// maxTextBytes bounds the text of an item as it is stored. A longer one would not fit
	// into a chunk of results.
	maxTextBytes = maxChunkBytes
	// maxFirstEvent is the largest ID that the first event of a text may have:
	// targets count events from 0 or from 1.
	maxFirstEvent = 1
	// eventOverhead is what an event adds to the text beside its data, in bytes. It
	// also bounds the number of empty events.
	eventOverhead = 16
)

// errNotStream ends a run whose successful answer is something else than a stream
// of events, errNoEvents one whose stream ends although no event was ever made.
var (
	errNotStream = errors.New("answer is not a stream of events")
	errNoEvents  = errors.New("stream ended without an event")
)

// errTextTooLong and errNoTextRoom end a run whose text breaks a bound. No event of such
// a text can be told from what the item asked for, so all are discarded.
var (
	errTextTooLong = fmt.Errorf("text of the item: %w", platform.ErrTooLong)
	errNoTextRoom  = errors.New("texts take too much memory")
)

// errRunReplaced ends a run after another run of the same item has started.
var errRunReplaced = errors.New("another run of the item has started")

// runItem starts a run of an item at a target. If the text is complete already, the
// run ends at once.
func (p *Process) runItem(e op.RunItem) {
	whole := false
	p.contents.withJob(e.Job, func(c *jobContent) { e.After, whole = c.beginRun(e.Item, e.Run) })
	p.startRun(e.Run, func(ctx context.Context, cancel func()) {
		if whole {
			p.log.WithFields(logrus.Fields{"Job": e.Job, "Item": e.Item, "Run": e.Run}).Info("item not run: its output is complete")
			p.apply(op.ItemRunEnded{Job: e.Job, Item: e.Item, Run: e.Run, Target: e.Target, End: op.ItemComplete, Last: e.After})
			return
		}
		p.executeRun(ctx, cancel, e)
	})
}

// startRun calls f in a goroutine, with a context that ends with the process, or
// when the run is stopped or moved.
func (p *Process) startRun(run int64, f func(ctx context.Context, cancel func())) {
	ctx, cancelCause := context.WithCancelCause(context.Background())
	cancel := func() { cancelCause(context.Canceled) }
	p.runCancels.Store(run, cancelCause)
	p.tasks.Go(func(processCtx context.Context) {
		defer p.runCancels.Delete(run)
		stop := context.AfterFunc(processCtx, cancel)
		defer stop()
		defer cancel()
		f(ctx, cancel)
	})
}

// stopItem cancels a run or an attempt of a reward call.
func (p *Process) stopItem(e op.StopItem) {
	if cancel, ok := p.runCancels.Load(e.Run); ok {
		cancel.(context.CancelCauseFunc)(context.Canceled)
	}
}

// errMoved is the cause with which a run is cancelled if its item is to resume
// at another target.
var errMoved = errors.New("item resumes at another target")

// moveItem cancels a run so that its item resumes at another target.
func (p *Process) moveItem(e op.MoveItem) {
	if cancel, ok := p.runCancels.Load(e.Run); ok {
		cancel.(context.CancelCauseFunc)(errMoved)
	}
}

// run is one run of an item at a target.
type run struct {
	p         *Process
	e         op.RunItem
	startedAt clock.Millis
	version   unit.Version
	// lastEvent is the ID of the last event of the item's text, eventCount the
	// number of events that this run has added to it.
	lastEvent  int64
	eventCount int
	// stallTimer cancels the run if no event arrives in time.
	stallTimer *time.Timer
	// firstEventAt and lastEventAt are when the first and the last event arrived, 0
	// before the first one.
	firstEventAt, lastEventAt clock.Millis
	// request is the item's ID, which the target gets as the request's ID. group is
	// the item's group.
	request unit.Request
	group   string
}

// executeRun performs a run and applies its end as an event.
func (p *Process) executeRun(ctx context.Context, cancel func(), e op.RunItem) {
	r := &run{p: p, e: e, startedAt: p.clock.Now(), lastEvent: e.After}
	r.stallTimer = time.AfterFunc(firstEventTimeout, cancel)
	defer r.stallTimer.Stop()
	end, err := r.sendRequest(ctx)
	if end == op.ItemBroken && errors.Is(context.Cause(ctx), errMoved) {
		end, err = op.ItemMoved, nil
	}
	if end == op.ItemBroken && isTextUseless(err) {
		p.contents.withJob(e.Job, func(c *jobContent) { c.discardText(e.Item, e.Run) })
		r.lastEvent = -1
	}
	if end == op.ItemComplete {
		p.contents.withJob(e.Job, func(c *jobContent) {
			if t := &c.texts[e.Item]; t.run == e.Run {
				t.whole = true
			}
		})
	}
	r.logEnd(end, err)
	p.apply(op.ItemRunEnded{Job: e.Job, Item: e.Item, Run: e.Run, Target: e.Target, End: end, Last: r.lastEvent})
}

// isTextUseless reports whether the text of a run that ended with an error has to be
// started again.
func isTextUseless(err error) bool {
	return errors.Is(err, errMixedVersions) || errors.Is(err, platform.ErrTooLong) || errors.Is(err, errNoTextRoom)
}

// logEnd logs the end of the run and records its duration.
func (r *run) logEnd(end op.ItemEnd, err error) {
	fields := logrus.Fields{
		"Request": r.request, "Job": r.e.Job, "Item": r.e.Item, "Target": r.e.Target, "End": end, "After": r.e.After, "Last": r.lastEvent,
		"Version": r.version, "MinVersion": r.e.MinVersion, "TookMillis": r.p.clock.Now() - r.startedAt,
	}
	if r.group != "" {
		fields["Group"] = r.group
	}
	if r.firstEventAt > 0 {
		fields["FirstMillis"] = max(r.firstEventAt-r.startedAt, 1)
	}
	if err != nil {
		fields["Error"] = err.Error()
	}
	r.p.observeDuration("catkinhead_item_seconds", "end", string(end), r.startedAt)
	r.p.log.WithFields(fields).Info("item run ended")
}

// sendRequest sends the item to the target and reads the reply. It returns how
// the run ended.
func (r *run) sendRequest(ctx context.Context) (op.ItemEnd, error) {
	o, ok := r.buildRequest()
	r.request = o.Attempt
	if !ok {
		return op.ItemNotRun, errors.New("job content is no longer held")
	}
	reply, err := r.p.deps.Backends.Do(ctx, o)
	if err != nil {
		var f *platform.Failure
		if errors.As(err, &f) && f.Outcome == unit.NotRun && !f.Crashed && ctx.Err() == nil {
			return op.ItemNotRun, err
		}
		return op.ItemBroken, err
	}
	defer reply.Body.Close()
	switch reply.Status {
	case http.StatusOK:
		if !isEventStream(reply) {
			return op.ItemBroken, errNotStream
		}
		return r.readEvents(reply)
	case http.StatusUnprocessableEntity:
		return op.ItemImpossible, fmt.Errorf("target answered with status %d", reply.Status)
	case http.StatusInternalServerError:
		return op.ItemFailed, fmt.Errorf("target answered with status %d", reply.Status)
	default:
		return op.ItemBroken, fmt.Errorf("target answered with status %d", reply.Status)
	}
}

// isEventStream reports whether the body of a reply is a stream of events.
func isEventStream(reply *platform.Reply) bool {
	mediaType, _, err := mime.ParseMediaType(reply.Header.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}

// buildRequest returns the request to the target. It returns false if the job's
// content is no longer held.
func (r *run) buildRequest() (platform.TargetRequest, bool) {
	var o platform.TargetRequest
	now := r.p.clock.Now()
	ok := r.p.contents.withJob(r.e.Job, func(c *jobContent) {
		it := c.job.Items[r.e.Item]
		r.group = it.Group
		o = platform.TargetRequest{
			Attempt: unit.Request(it.ID), Target: r.e.Target, Address: r.e.Address, Method: http.MethodPost,
			Host: c.record.Host, URI: it.Path, Header: make(http.Header, len(it.Headers)), Body: it.Body,
			Workspace: c.record.Workspace, Left: max(min(r.e.Until-now, maxRunTime), 1), After: r.e.After,
		}
		for k, v := range it.Headers {
			o.Header.Set(k, v)
		}
	})
	return o, ok
}

// readEvents adds the events of a stream to the item's text as they arrive.
func (r *run) readEvents(reply *platform.Reply) (op.ItemEnd, error) {
	r.version = reply.Version
	if end, err := r.checkVersion(); err != nil {
		return end, err
	}
	events := r.p.deps.Backends.Events(reply.Body)
	for {
		ev, err := events.Next()
		if err == io.EOF && r.lastEvent < 0 {
			return op.ItemBroken, errNoEvents
		}
		if err == io.EOF {
			return op.ItemComplete, nil
		}
		if err != nil {
			return op.ItemBroken, err
		}
		r.stallTimer.Reset(nextEventTimeout)
		r.recordEventTime()
		if ev.Version > 0 {
			r.version = ev.Version
		}
		if end, err := r.checkVersion(); err != nil {
			return end, err
		}
		if err := r.keepEvent(ev); err != nil {
			return op.ItemBroken, err
		}
	}
}

// recordEventTime records the time since the previous event.
func (r *run) recordEventTime() {
	now := r.p.clock.Now()
	if r.firstEventAt == 0 {
		r.firstEventAt = now
	}
	if r.lastEventAt > 0 {
		r.p.eventTimes.add(r.e.Target, now-r.lastEventAt)
	}
	r.lastEventAt = now
}

// checkVersion returns an error if the target's version is older than the item
// allows.
func (r *run) checkVersion() (op.ItemEnd, error) {
	if r.version < r.e.MinVersion {
		return op.ItemOldVersion, errOldVersion
	}
	return "", nil
}

// keepEvent adds an event to the item's text. It returns an error if the event
// does not follow the last one, if this run may not add it, or if the text breaks a
// bound.
func (r *run) keepEvent(ev platform.Event) error {
	if r.lastEvent < 0 && ev.ID > maxFirstEvent || r.lastEvent >= 0 && ev.ID != r.lastEvent+1 {
		return fmt.Errorf("got event %d after event %d", ev.ID, r.lastEvent)
	}
	var err error
	ok := r.p.contents.withJob(r.e.Job, func(c *jobContent) {
		t := &c.texts[r.e.Item]
		if t.run != r.e.Run || t.lastEvent != r.lastEvent {
			err = errRunReplaced
			return
		}
		if r.e.SingleVersion && len(t.versions) > 0 && t.versions[0] != r.version {
			err = errMixedVersions
			return
		}
		if !t.continued {
			t.startLineage(fmt.Sprintf("%s/%d", r.p.state.Self, r.e.Run))
		}
		data := string(ev.Data)
		if err = r.p.contents.grow(t, encodedSize(data)+eventOverhead); err != nil {
			return
		}
		t.events = append(t.events, data)
		t.lastEvent = ev.ID
		if !slices.Contains(t.versions, r.version) {
			t.versions = append(t.versions, r.version)
		}
	})
	if !ok {
		return errors.New("job content is no longer held")
	}
	if err != nil {
		return err
	}
	r.lastEvent = ev.ID
	r.eventCount++
	if r.eventCount == 1 {
		r.p.firstEventArrived(r)
	}
	return nil
}

// firstEventArrived records how long the target took to send the first event of
// a run, and the target's version.
func (p *Process) firstEventArrived(r *run) {
	p.metrics.GetOrCreateHistogram("catkinhead_item_first_event_seconds").Update((p.clock.Now() - r.startedAt).Duration().Seconds())
	p.apply(op.VersionReported{Target: r.e.Target, Model: r.e.Model, Version: r.version})
}
