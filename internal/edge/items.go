package edge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// stallAfter is how long a target may take to begin an item, and
	// stallBetween the silence after which a stream that has begun is taken to
	// be stuck: far more than the pause between events, and than a load of
	// weights takes.
	stallAfter   = 1500 * time.Millisecond
	stallBetween = 1100 * time.Millisecond
	// longestRun bounds the time that a target is given for an item.
	longestRun clock.Millis = 30 * clock.Second
)

// errOldVersion means that events were made under a version that is too old.
var errOldVersion = errors.New("target has too old a version")

// errMixedVersions means that events of two versions met in a text that allows
// only one.
var errMixedVersions = errors.New("version changed in a text of a single version")

// errOtherRun means that another run of the item has begun.
var errOtherRun = errors.New("another run of the item has begun")

// runItem starts a run of an item.
func (p *Process) runItem(e op.RunItem) {
	ctx, cancelCause := context.WithCancelCause(context.Background())
	cancel := func() { cancelCause(context.Canceled) }
	p.runs.Store(e.Run, cancelCause)
	p.content.with(e.Job, func(c *jobContent) { c.texts[e.Item].run = e.Run })
	p.tasks.Go(func(own context.Context) {
		defer p.runs.Delete(e.Run)
		stop := context.AfterFunc(own, cancel)
		defer stop()
		defer cancel()
		p.runOnce(ctx, cancel, e)
	})
}

func (p *Process) stopItem(e op.StopItem) {
	if cancel, ok := p.runs.Load(e.Run); ok {
		cancel.(context.CancelCauseFunc)(context.Canceled)
	}
}

// errMoved ends a run whose item goes on at another target.
var errMoved = errors.New("item goes on at another target")

func (p *Process) moveItem(e op.MoveItem) {
	if cancel, ok := p.runs.Load(e.Run); ok {
		cancel.(context.CancelCauseFunc)(errMoved)
	}
}

// paces adds up the times between events by target.
type paces struct {
	mu  sync.Mutex
	sum map[unit.Target]pace
}

type pace struct {
	millis clock.Millis
	events int
}

// paceEvents is the least number of events of a round from which a pace is
// told.
const paceEvents = 3

func (x *paces) add(t unit.Target, millis clock.Millis) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.sum == nil {
		x.sum = make(map[unit.Target]pace)
	}
	s := x.sum[t]
	x.sum[t] = pace{s.millis + millis, s.events + 1}
}

// take returns the means of the round that ends now.
func (x *paces) take() op.Paces {
	x.mu.Lock()
	defer x.mu.Unlock()
	e := op.Paces{Millis: make(map[unit.Target]float64, len(x.sum))}
	for t, s := range x.sum {
		if s.events >= paceEvents {
			e.Millis[t] = float64(s.millis) / float64(s.events)
		}
	}
	x.sum = nil
	return e
}

// run is one run of an item at a target.
type run struct {
	p       *Process
	e       op.RunItem
	began   clock.Millis
	version unit.Version
	last    int64
	events  int
	stall   *time.Timer
	// at is when the last event came.
	at clock.Millis
	// request is the item's id, as its target knows it.
	request unit.Request
}

func (p *Process) runOnce(ctx context.Context, cancel func(), e op.RunItem) {
	r := &run{p: p, e: e, began: p.clock.Now(), last: e.After}
	r.stall = time.AfterFunc(stallAfter, cancel)
	defer r.stall.Stop()
	end, err := r.do(ctx)
	if end == op.ItemBroken && errors.Is(context.Cause(ctx), errMoved) {
		end, err = op.ItemMoved, nil
	}
	if end == op.ItemBroken && errors.Is(err, errMixedVersions) {
		p.content.with(e.Job, func(c *jobContent) {
			if c.texts[e.Item].run == e.Run {
				c.texts[e.Item] = text{last: -1, run: e.Run}
			}
		})
		r.last = -1
	}
	r.logEnd(end, err)
	p.apply(op.ItemEnded{Job: e.Job, Item: e.Item, Run: e.Run, Target: e.Target, End: end, Last: r.last})
}

func (r *run) logEnd(end op.ItemEnd, err error) {
	fields := logrus.Fields{
		"Request": r.request, "Job": r.e.Job, "Item": r.e.Item, "Target": r.e.Target, "End": end, "After": r.e.After, "Last": r.last,
		"Version": r.version, "MinVersion": r.e.MinVersion, "TookMillis": r.p.clock.Now() - r.began,
	}
	if err != nil {
		fields["Error"] = err.Error()
	}
	r.p.observe("catkinhead_item_seconds", "end", string(end), r.began)
	r.p.log.WithFields(fields).Info("item run ended")
}

func (r *run) do(ctx context.Context) (op.ItemEnd, error) {
	o, ok := r.outgoing()
	r.request = o.Attempt
	if !ok {
		return op.ItemNotRun, errors.New("job is gone")
	}
	reply, err := r.p.out.Backends.Do(ctx, o)
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
		return r.read(reply)
	case http.StatusUnprocessableEntity:
		return op.ItemImpossible, fmt.Errorf("target answered %d", reply.Status)
	case http.StatusInternalServerError:
		return op.ItemFailed, fmt.Errorf("target answered %d", reply.Status)
	default:
		return op.ItemBroken, fmt.Errorf("target answered %d", reply.Status)
	}
}

func (r *run) outgoing() (platform.Outgoing, bool) {
	var o platform.Outgoing
	now := r.p.clock.Now()
	ok := r.p.content.with(r.e.Job, func(c *jobContent) {
		it := c.job.Items[r.e.Item]
		o = platform.Outgoing{
			Attempt: unit.Request(it.ID), Target: r.e.Target, Address: r.e.Address, Method: http.MethodPost,
			Host: c.record.Host, URI: it.Path, Header: make(http.Header, len(it.Headers)), Body: it.Body,
			Workspace: c.record.Workspace, Left: max(min(r.e.Until-now, longestRun), 1), After: r.e.After,
		}
		for k, v := range it.Headers {
			o.Header.Set(k, v)
		}
	})
	return o, ok
}

// read keeps the events of a stream as they come.
func (r *run) read(reply *platform.Reply) (op.ItemEnd, error) {
	r.version = reply.Version
	if end, err := r.checkVersion(); err != nil {
		return end, err
	}
	events := r.p.out.Backends.Events(reply.Body)
	for {
		ev, err := events.Next()
		if err == io.EOF {
			return op.ItemWhole, nil
		}
		if err != nil {
			return op.ItemBroken, err
		}
		r.stall.Reset(stallBetween)
		r.pace()
		if ev.Version > 0 {
			r.version = ev.Version
		}
		if end, err := r.checkVersion(); err != nil {
			return end, err
		}
		if err := r.keep(ev); err != nil {
			return op.ItemBroken, err
		}
	}
}

// pace notes the time since the event before.
func (r *run) pace() {
	now := r.p.clock.Now()
	if r.at > 0 {
		r.p.paces.add(r.e.Target, now-r.at)
	}
	r.at = now
}

func (r *run) checkVersion() (op.ItemEnd, error) {
	if r.version < r.e.MinVersion {
		return op.ItemOldVersion, errOldVersion
	}
	return "", nil
}

// keep adds an event to the item's text.
func (r *run) keep(ev platform.Event) error {
	if r.last >= 0 && ev.ID != r.last+1 {
		return fmt.Errorf("event %d follows event %d", ev.ID, r.last)
	}
	var err error
	ok := r.p.content.with(r.e.Job, func(c *jobContent) {
		t := &c.texts[r.e.Item]
		if t.run != r.e.Run || t.last != r.last {
			err = errOtherRun
			return
		}
		if r.e.SingleVersion && len(t.versions) > 0 && t.versions[0] != r.version {
			err = errMixedVersions
			return
		}
		if len(t.events) == 0 {
			t.line = fmt.Sprintf("%s/%d", r.p.state.Self, r.e.Run)
		}
		t.events = append(t.events, string(ev.Data))
		t.last = ev.ID
		if !slices.Contains(t.versions, r.version) {
			t.versions = append(t.versions, r.version)
		}
	})
	if !ok {
		return errors.New("job is gone")
	}
	if err != nil {
		return err
	}
	r.last = ev.ID
	r.events++
	if r.events == 1 {
		r.p.firstEvent(r)
	}
	return nil
}

// firstEvent notes how long the target took to begin, and its version.
func (p *Process) firstEvent(r *run) {
	p.metrics.GetOrCreateHistogram("catkinhead_item_first_event_seconds").Update((p.clock.Now() - r.began).Duration().Seconds())
	p.apply(op.VersionSeen{Target: r.e.Target, Model: r.e.Model, Version: r.version})
}
