package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/sirupsen/logrus"

	"github.com/catkinhead/catkinhead/internal/op"
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
	event := op.VersionOrdered{Target: o.Target, Model: o.Model, Version: o.Version, Result: callResult(err)}
	fields := logrus.Fields{
		"Target": o.Target, "Model": o.Model, "Version": o.Version, "Fence": o.Fence, "Result": event.Result,
		"TookMillis": p.clock.Now() - sent, "LeaseLeftMillis": o.SendBefore - sent,
	}
	if err != nil {
		fields["Error"] = err.Error()
	}
	p.log.WithFields(fields).Info("version ordered")
	p.apply(event)
}

// orderTargets orders a number of targets for a pool in a data centre.
func (p *Process) orderTargets(ctx context.Context, e op.OrderTargets) {
	o := e.Order
	sent := p.clock.Now()
	err := p.deps.Sizes.SendSize(ctx, o)
	event := op.TargetsOrdered{Pool: o.Pool, DataCentre: o.DataCentre, Result: callResult(err)}
	fields := logrus.Fields{
		"Pool": o.Pool, "DataCentre": o.DataCentre, "Count": o.Count, "Fence": o.Fence, "Result": event.Result,
		"TookMillis": p.clock.Now() - sent, "LeaseLeftMillis": o.SendBefore - sent,
	}
	if err != nil {
		fields["Error"] = err.Error()
	}
	p.log.WithFields(fields).Info("targets ordered")
	p.apply(event)
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
	err := p.deps.Counts.SendCounts(ctx, e.Report)
	result := callResult(err)
	total := int64(0)
	for _, n := range e.Report.Counts {
		total += n
	}
	fields := logrus.Fields{
		"Window": e.Report.Window, "Requests": total, "Fence": e.Report.Fence, "Result": result,
		"WallMillis": int64(p.clock.Wall()),
	}
	if err != nil {
		fields["Error"] = err.Error()
	}
	p.log.WithFields(fields).Info("window reported")
	p.apply(op.CountsSent{Window: e.Report.Window, Result: result})
}
