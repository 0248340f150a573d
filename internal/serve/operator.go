package serve

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/catkinhead/catkinhead/internal/decide"
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/rpc"
	"github.com/catkinhead/catkinhead/pkg/spec"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// operatorTime bounds an operator's change of the store.
const operatorTime = 8 * time.Second

// operatorServer answers operators.
type operatorServer struct{ *Process }

// GetConfig returns the configuration in force here.
func (p operatorServer) GetConfig(context.Context, *rpc.GetConfigRequest) (*rpc.ConfigDocument, error) {
	out := &rpc.ConfigDocument{}
	p.loop.Ask(func(_ clock.Millis, s *decide.State) {
		out.Version, out.Document = s.Config.State.ConfigVersion, s.Config.State.Document
	})
	return out, nil
}

// ApplyConfig replaces the configuration and waits a moment for it to be in
// force everywhere; Lagging lists the instances not known to have it by then.
func (p operatorServer) ApplyConfig(ctx context.Context, r *rpc.ApplyConfigRequest) (*rpc.ApplyConfigResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTime)
	defer cancel()
	v, err := p.applyConfig(ctx, r.Document, r.IfVersion)
	if err != nil {
		return nil, operatorError(err)
	}
	p.refresh(ctx)
	return &rpc.ApplyConfigResponse{Version: v, Lagging: p.lagging(ctx, v)}, nil
}

// lagging asks for who is behind until nobody is or time runs out.
func (p *Process) lagging(ctx context.Context, version int64) []string {
	var listed []unit.Instance
	// Without the list, the members known are all that can be asked for.
	states, _ := p.out.Instances.Instances(ctx)
	for _, x := range states {
		if !x.Leaving {
			listed = append(listed, x.Instance)
		}
	}
	for {
		var behind []unit.Instance
		own := false
		p.loop.Ask(func(now clock.Millis, s *decide.State) {
			behind = s.Members.Lagging(now, version, listed)
			own = s.Config.State.ConfigVersion >= version
		})
		if own && len(behind) == 0 {
			return nil
		}
		select {
		case <-time.After(50 * time.Millisecond):
		case <-ctx.Done():
			out := []string{}
			for _, i := range behind {
				out = append(out, string(i))
			}
			return out
		}
	}
}

// refresh reads the operators' state at once, after a change made here.
func (p *Process) refresh(ctx context.Context) {
	st, rev, err := p.fetchOperatorState(ctx, 0)
	if err == nil && st != nil {
		p.loop.Post(op.StateRead{Result: op.Done, FromPeer: true, Revision: rev, State: st})
	}
}

// WithdrawKey ends a key here at once, in the store, and at every peer.
func (p operatorServer) WithdrawKey(ctx context.Context, r *rpc.WithdrawKeyRequest) (*rpc.WithdrawKeyResponse, error) {
	if r.KeyId == "" {
		return nil, twirp.RequiredArgumentError("key_id")
	}
	key := unit.KeyID(r.KeyId)
	p.loop.Post(op.Withdraw{Key: key})
	ctx, cancel := context.WithTimeout(ctx, operatorTime)
	defer cancel()
	stored := make(chan error)
	go func() { stored <- p.storeWithdrawals(ctx, []unit.KeyID{key}) }()
	confirmed, members := p.tellAll(ctx)
	out := &rpc.WithdrawKeyResponse{Stored: <-stored == nil, Confirmed: int32(confirmed), Members: int32(members)}
	if !out.Stored && 2*confirmed <= members {
		return nil, twirp.Unavailable.Errorf(
			"the withdrawal is in force at %d of %d instances and is still being told on, but neither the store nor a majority has it; try again",
			confirmed, members)
	}
	p.refresh(ctx)
	return out, nil
}

// tellAll exchanges knowledge with every known member, and counts those that
// answered, this one included.
func (p *Process) tellAll(ctx context.Context) (confirmed, members int) {
	var know op.Knowledge
	var addresses []string
	p.loop.Ask(func(now clock.Millis, s *decide.State) {
		know = s.Know(now)
		for _, m := range s.Members.Members {
			addresses = append(addresses, m.Address)
		}
	})
	answers := make(chan bool)
	for _, a := range addresses {
		go func() {
			c, cancel := p.peers.context(ctx, peerTime)
			defer cancel()
			_, err := p.peers.at(a).Exchange(c, knowledgeOut(know))
			answers <- err == nil
		}()
	}
	confirmed = 1
	for range addresses {
		if <-answers {
			confirmed++
		}
	}
	return confirmed, len(addresses) + 1
}

// Activate makes a version the one wanted on a pool.
func (p operatorServer) Activate(ctx context.Context, r *rpc.ActivateRequest) (*rpc.ActivateResponse, error) {
	pool, v := unit.Pool(r.Pool), unit.Version(r.Version)
	known := false
	p.loop.Ask(func(_ clock.Millis, s *decide.State) {
		known = s.Config.Index != nil && s.Config.Index.Pools[pool].Kind == spec.Model
	})
	if !known {
		return nil, twirp.NotFound.Errorf("%q is no model pool", r.Pool)
	}
	if v < 1 {
		return nil, twirp.InvalidArgumentError("version", "is below 1")
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTime)
	defer cancel()
	if err := p.activate(ctx, pool, v); err != nil {
		return nil, operatorError(err)
	}
	p.refresh(ctx)
	return &rpc.ActivateResponse{Version: int64(v)}, nil
}

// OrderTarget stores an order; the holder of the data centre's lease sends it.
func (p operatorServer) OrderTarget(ctx context.Context, r *rpc.OrderTargetRequest) (*rpc.OrderTargetResponse, error) {
	kind := platform.OrderKind(r.Kind)
	switch {
	case kind != platform.Start && kind != platform.Stop:
		return nil, twirp.InvalidArgumentError("kind", "is neither Start nor Stop")
	case r.DataCentre == "" || r.Pool == "":
		return nil, twirp.InvalidArgumentError("data_centre", "and pool are needed")
	case kind == platform.Stop && r.Target == "":
		return nil, twirp.RequiredArgumentError("target")
	}
	nonce := time.Now().UnixMicro()
	target := r.Target
	if target == "" {
		target = fmt.Sprintf("%s-%s.%d", r.Pool, p.set.Instance, nonce)
	}
	x := op.Intent{
		ID: fmt.Sprintf("%s.%s.%s.%d", kind, target, p.set.Instance, nonce), Kind: kind,
		Target: unit.Target(target), Pool: unit.Pool(r.Pool),
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTime)
	defer cancel()
	if err := p.addIntent(ctx, unit.DataCentre(r.DataCentre), x); err != nil {
		return nil, operatorError(err)
	}
	return &rpc.OrderTargetResponse{OrderId: x.ID, Target: target}, nil
}

// Drain begins the planned stop.
func (p operatorServer) Drain(context.Context, *rpc.DrainRequest) (*rpc.DrainResponse, error) {
	p.Process.Drain()
	return &rpc.DrainResponse{}, nil
}

// Dump returns the state of the process.
func (p operatorServer) Dump(context.Context, *rpc.DumpRequest) (*rpc.DumpResponse, error) {
	b, err := p.dump()
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &rpc.DumpResponse{Json: b}, nil
}

func operatorError(err error) error {
	var faults spec.Faults
	switch {
	case errors.As(err, &faults):
		return twirp.InvalidArgumentError("document", "has faults:\n"+faults.Error())
	case errors.Is(err, errOldVersion), errors.Is(err, errVersion):
		return twirp.FailedPrecondition.Error(err.Error())
	default:
		return twirp.Unavailable.Errorf("the platform's store did not take the change: %v", err)
	}
}
