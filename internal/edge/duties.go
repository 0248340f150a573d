package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/sirupsen/logrus"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// leasesKind is the kind of the stored leases.
	leasesKind = "leases"
	// windowsKind is the kind of the sealed usage counts, one object per window.
	windowsKind = "windows"
)

// readLease reads a lease from the store.
func (p *Process) readLease(ctx context.Context, e op.ReadLease) {
	event := op.LeaseRead{Scope: e.Scope, Result: op.Done}
	o, err := p.deps.Store.Get(ctx, leasesKind+"/"+string(e.Scope))
	if err == nil {
		event.Revision = o.Revision
		err = json.Unmarshal(o.Value, &event.Record)
	}
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		event.Result = op.Lost
		p.log.WithFields(logrus.Fields{"Scope": e.Scope, "Error": err.Error()}).Warn("lease not read")
	}
	p.apply(event)
}

// writeLease writes a lease if it is still at the revision e.IfRev.
func (p *Process) writeLease(ctx context.Context, e op.WriteLease) {
	event := op.LeaseWritten{Scope: e.Scope, Record: e.Record, SentAt: p.clock.Now()}
	value, err := json.Marshal(e.Record)
	if err == nil {
		event.Revision, err = p.deps.Store.Put(ctx, leasesKind+"/"+string(e.Scope), value, e.IfRev)
	}
	event.Result = callResult(err)
	if err != nil {
		p.log.WithFields(logrus.Fields{"Scope": e.Scope, "Result": event.Result, "Error": err.Error()}).Warn("lease not written")
	}
	p.apply(event)
}

// callResult classifies the error of a call. Refused means that the call certainly
// had no effect, Lost that it may have had one.
func callResult(err error) op.Result {
	switch {
	case err == nil:
		return op.Done
	case errors.Is(err, platform.ErrConflict):
		return op.Conflict
	case notRun(err), errors.Is(err, platform.ErrLeaseEnded), errors.Is(err, platform.ErrStaleFence):
		return op.Refused
	}
	return op.Lost
}

// orderVersion orders a target to load a version of a model.
func (p *Process) orderVersion(ctx context.Context, e op.OrderVersion) {
	o := e.Order
	sent := p.clock.Now()
	err := p.deps.Orders.SendVersion(ctx, o)
	p.logLeaseCall("version ordered", leaseCall{o.Fence, sent, o.SendBefore, err}, logrus.Fields{
		"Target": o.Target, "Model": o.Model, "Version": o.Version,
	})
	p.apply(op.VersionOrdered{Target: o.Target, Model: o.Model, Version: o.Version, Result: callResult(err)})
}

// orderTargets orders a number of targets for a pool in a data centre.
func (p *Process) orderTargets(ctx context.Context, e op.OrderTargets) {
	o := e.Order
	sent := p.clock.Now()
	err := p.deps.Sizes.SendSize(ctx, o)
	p.logLeaseCall("targets ordered", leaseCall{o.Fence, sent, o.SendBefore, err}, logrus.Fields{
		"Pool": o.Pool, "DataCentre": o.DataCentre, "Count": o.Count,
	})
	p.apply(op.TargetsOrdered{Pool: o.Pool, DataCentre: o.DataCentre, Result: callResult(err)})
}

// leaseCall is a call under the duties lease that has ended.
type leaseCall struct {
	fence unit.Fence
	// sent is when the call began. It was not written from sendBefore on.
	sent, sendBefore clock.Millis
	err              error
}

// logLeaseCall logs the end of a call under the lease and counts it. Answered
// tells whether the receiver has certainly taken notice of the call, or will
// never get it; Held whether this instance still held the lease then.
func (p *Process) logLeaseCall(msg string, c leaseCall, fields logrus.Fields) {
	result := callResult(c.err)
	var held bool
	p.withState(func(now clock.Millis, s *State) { _, _, held = s.Leases.Held(dutiesScope, now) })
	fields["Fence"], fields["Result"] = c.fence, result
	fields["TookMillis"], fields["LeaseLeftMillis"] = p.clock.Now()-c.sent, c.sendBefore-c.sent
	fields["Answered"], fields["Held"] = result != op.Lost, held
	if c.err != nil {
		fields["Error"] = c.err.Error()
	}
	p.log.WithFields(fields).Info(msg)
	p.observeDuration("catkinhead_lease_call_seconds", "result", string(result), c.sent)
}

// windowRecord is the sealed usage counts of a window as they are stored.
type windowRecord struct {
	Counts map[unit.Workspace]int64
}

// sealCounts stores a window's usage counts unless it was sealed before. The
// event that it applies holds the counts that are in the store.
func (p *Process) sealCounts(ctx context.Context, e op.SealCounts) {
	event := op.CountsSealed{Window: e.Window, Result: op.Done, Counts: e.Counts}
	key := fmt.Sprintf("%s/%d", windowsKind, e.Window)
	value, err := json.Marshal(windowRecord{e.Counts})
	if err == nil {
		_, err = p.deps.Store.Put(ctx, key, value, 0)
	}
	if errors.Is(err, platform.ErrConflict) {
		var object platform.Object
		var sealed windowRecord
		if object, err = p.deps.Store.Get(ctx, key); err == nil {
			err = json.Unmarshal(object.Value, &sealed)
			event.Counts = sealed.Counts
		}
	}
	if err != nil {
		event.Result = op.Lost
		p.log.WithFields(logrus.Fields{"Window": e.Window, "Error": err.Error()}).Warn("window not sealed")
	}
	p.apply(event)
}

// sendCounts reports the usage counts of a sealed window to the platform's usage
// endpoint.
func (p *Process) sendCounts(ctx context.Context, e op.SendCounts) {
	r := e.Report
	sent := p.clock.Now()
	err := p.deps.Counts.SendCounts(ctx, r)
	total := int64(0)
	for _, n := range r.Counts {
		total += n
	}
	p.logLeaseCall("window reported", leaseCall{r.Fence, sent, r.SendBefore, err}, logrus.Fields{
		"Window": r.Window, "Requests": total, "WallMillis": int64(p.clock.Wall()),
	})
	p.apply(op.CountsSent{Window: r.Window, Result: callResult(err)})
}
