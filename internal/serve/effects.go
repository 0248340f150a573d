package serve

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// runEffect carries out an effect that waits for I/O, and posts its result as
// an event.
func (p *Process) runEffect(ctx context.Context, e op.Effect) {
	switch e := e.(type) {
	case op.ReadLease:
		p.readLease(ctx, e)
	case op.WriteLease:
		p.writeLease(ctx, e)
	case op.ReadState:
		p.readState(ctx, e)
	case op.WatchState:
		p.watchState(ctx, e)
	case op.StoreWithdrawals:
		p.loop.Post(op.WithdrawalsStored{Result: resultOf(p.storeWithdrawals(ctx, e.Keys)), Keys: e.Keys})
	case op.CacheState:
		p.writeCache(e)
	case op.Exchange:
		p.exchange(ctx, e)
	case op.FetchState:
		p.fetchPeerState(ctx, e)
	case op.ReadLoad:
		l, err := p.deps.Loads.Load(ctx, e.Address)
		p.loop.Post(op.LoadRead{Target: e.Target, Result: resultOf(err), Load: l})
	case op.ReadList:
		p.readList(ctx)
	case op.ReadStep:
		p.readStep(ctx, e)
	case op.SaveStep:
		p.saveStep(ctx, e)
	case op.KeepUsage:
		p.copyUsage(ctx, e)
	case op.ReadSealed:
		p.readLastSealed(ctx)
	case op.Gather:
		p.gatherCounters(ctx, e)
	case op.Seal:
		p.sealWindow(ctx, e)
	case op.Report:
		p.reportWindow(ctx, e)
	case op.MarkReported:
		p.markReported(ctx, e)
	case op.ReadIntents:
		p.readIntents(ctx, e)
	case op.WriteIntents:
		_, err := p.writeObject(ctx, intentsKey(e.DataCentre), e.Intents, e.IfRev)
		p.loop.Post(op.IntentsWritten{DataCentre: e.DataCentre, Result: resultOf(err)})
	case op.SendOrder:
		p.sendOrder(ctx, e)
	case op.SendSwap:
		err := p.deps.Swaps.Swap(ctx, e.Address, e.Swap)
		p.loop.Post(op.SwapSent{Pool: e.Pool, Target: e.Target, Version: e.Swap.Version, Result: resultOf(err)})
	case op.ReadVersions:
		vs, err := p.deps.Weights.Versions(ctx, e.Pool)
		p.loop.Post(op.VersionsRead{Pool: e.Pool, Result: resultOf(err), Versions: vs})
	default:
		panic(fmt.Sprintf("unknown effect %T", e))
	}
}

// resultOf maps the error of a call to the results that the reducer
// distinguishes.
func resultOf(err error) op.Result {
	var f *platform.Failure
	switch {
	case err == nil:
		return op.Done
	case errors.Is(err, platform.ErrConflict):
		return op.Conflict
	case errors.Is(err, platform.ErrStaleFence), errors.Is(err, platform.ErrLeaseEnded):
		return op.Refused
	case errors.As(err, &f) && f.Outcome == unit.NotRun:
		return op.Refused
	default:
		return op.Lost
	}
}

// readObject decodes a stored object into v. If there is no such object, v
// stays unchanged and the revision is 0.
func (p *Process) readObject(ctx context.Context, key string, v any) (unit.Revision, error) {
	o, err := p.deps.Store.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("read %s: %w", key, err)
	}
	if err := json.Unmarshal(o.Value, v); err != nil {
		return 0, fmt.Errorf("decode %s: %w", key, err)
	}
	return o.Revision, nil
}

// writeObject stores v as JSON if the object still has revision ifRev; 0 means
// that there is no object. It returns the new revision.
func (p *Process) writeObject(ctx context.Context, key string, v any, ifRev unit.Revision) (unit.Revision, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return 0, fmt.Errorf("encode %s: %w", key, err)
	}
	rev, err := p.deps.Store.Put(ctx, key, b, ifRev)
	if err != nil {
		return 0, fmt.Errorf("write %s: %w", key, err)
	}
	return rev, nil
}

func leaseKey(s unit.Scope) string         { return "lease/" + string(s) }
func stepKey(id unit.StepID) string        { return stepPrefix + id.String() }
func intentsKey(dc unit.DataCentre) string { return "intents/" + string(dc) }
func sealedWindowKey(seq int64) string     { return fmt.Sprintf("usage/chain/%012d", seq) }

const (
	stateKey    = "state"
	stepPrefix  = "step/"
	reportedKey = "usage/reported"
)

func (p *Process) readLease(ctx context.Context, e op.ReadLease) {
	var r op.LeaseRecord
	rev, err := p.readObject(ctx, leaseKey(e.Scope), &r)
	p.loop.Post(op.LeaseRead{Scope: e.Scope, Result: resultOf(err), Record: r, Revision: rev})
}

func (p *Process) writeLease(ctx context.Context, e op.WriteLease) {
	sent := p.clock.Now()
	rev, err := p.writeObject(ctx, leaseKey(e.Scope), e.Record, e.IfRev)
	p.loop.Post(op.LeaseWritten{
		Scope: e.Scope, Result: resultOf(err), Record: e.Record, Revision: rev, SentAt: sent,
	})
}

// readList reads the platform's lists of targets and instances.
func (p *Process) readList(ctx context.Context) {
	ts, err := p.deps.Instances.Targets(ctx)
	if err != nil {
		p.loop.Post(op.ListRead{Result: resultOf(err)})
		return
	}
	is, err := p.deps.Instances.Instances(ctx)
	p.loop.Post(op.ListRead{Result: resultOf(err), Targets: ts, Instances: is})
}

func (p *Process) readStep(ctx context.Context, e op.ReadStep) {
	var r op.StepRecord
	rev, err := p.readObject(ctx, stepKey(e.Step), &r)
	p.loop.Post(op.StepRead{Step: e.Step, Result: resultOf(err), Record: r, Revision: rev})
}

func (p *Process) saveStep(ctx context.Context, e op.SaveStep) {
	rev, err := p.writeObject(ctx, stepKey(e.Step), e.Record, e.IfRev)
	p.loop.Post(op.StepSaved{Step: e.Step, Result: resultOf(err), Record: e.Record, Revision: rev})
}

func (p *Process) readIntents(ctx context.Context, e op.ReadIntents) {
	var list []op.Intent
	rev, err := p.readObject(ctx, intentsKey(e.DataCentre), &list)
	p.loop.Post(op.IntentsRead{DataCentre: e.DataCentre, Result: resultOf(err), Intents: list, Revision: rev})
}

// sendOrder sends an order to the platform after the pause OrderPause, a
// setting for tests.
func (p *Process) sendOrder(ctx context.Context, e op.SendOrder) {
	select {
	case <-time.After(p.set.OrderPause):
	case <-ctx.Done():
		return
	}
	err := p.deps.Orders.Send(ctx, e.Order)
	if err != nil {
		p.log.WithFields(map[string]any{"Order": e.Order.ID, "Term": e.Order.Fence}).Warn("order not taken: " + err.Error())
	}
	p.loop.Post(op.OrderSent{DataCentre: e.Order.DataCentre, ID: e.Order.ID, Result: resultOf(err)})
}
