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

// operatorTimeout bounds an operator's change of the store, including the wait
// for other instances.
const operatorTimeout = 8 * time.Second

// operatorServer serves the calls of operators.
type operatorServer struct{ *Process }

// GetConfig returns the configuration that this instance uses.
func (p operatorServer) GetConfig(context.Context, *rpc.GetConfigRequest) (*rpc.ConfigDocument, error) {
	out := &rpc.ConfigDocument{}
	p.loop.Query(func(_ clock.Millis, s *decide.State) {
		out.Version, out.Document = s.Config.State.ConfigVersion, s.Config.State.Document
	})
	return out, nil
}

// ApplyConfig replaces the configuration and waits until all instances use it
// or operatorTimeout has passed. Lagging lists the instances that are not known
// to use it by then.
func (p operatorServer) ApplyConfig(ctx context.Context, r *rpc.ApplyConfigRequest) (*rpc.ApplyConfigResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	v, err := p.applyConfig(ctx, r.Document, r.IfVersion)
	if err != nil {
		return nil, operatorError(err)
	}
	p.reloadState(ctx)
	return &rpc.ApplyConfigResponse{Version: v, Lagging: p.waitForConfig(ctx, v)}, nil
}

// waitForConfig waits until all instances use a version of the configuration.
// If ctx ends first, it returns those not known to use it.
func (p *Process) waitForConfig(ctx context.Context, version int64) []string {
	var listed []unit.Instance
	// Without the platform's list, only the known members are waited for.
	states, _ := p.deps.Instances.Instances(ctx)
	for _, x := range states {
		if !x.Leaving {
			listed = append(listed, x.Instance)
		}
	}
	for {
		var lagging []unit.Instance
		applied := false
		p.loop.Query(func(now clock.Millis, s *decide.State) {
			lagging = s.Members.InstancesNotKnownToHaveConfig(now, version, listed)
			applied = s.Config.State.ConfigVersion >= version
		})
		if applied && len(lagging) == 0 {
			return nil
		}
		select {
		case <-time.After(50 * time.Millisecond):
		case <-ctx.Done():
			out := []string{}
			for _, i := range lagging {
				out = append(out, string(i))
			}
			return out
		}
	}
}

// reloadState reads the operators' state immediately after this instance
// changed it in the store. If that fails, it posts no event. FromPeer is set
// because the reducer did not ask for this read.
func (p *Process) reloadState(ctx context.Context) {
	st, rev, err := p.readStateIfNewer(ctx, 0)
	if err == nil && st != nil {
		p.loop.Post(op.StateRead{Result: op.Done, FromPeer: true, Revision: rev, State: st})
	}
}

// WithdrawKey withdraws a key here immediately, in the store, and at every peer.
// It succeeds if the store or a majority of the known instances has the
// withdrawal.
func (p operatorServer) WithdrawKey(ctx context.Context, r *rpc.WithdrawKeyRequest) (*rpc.WithdrawKeyResponse, error) {
	if r.KeyId == "" {
		return nil, twirp.RequiredArgumentError("key_id")
	}
	key := unit.KeyID(r.KeyId)
	p.loop.Post(op.Withdraw{Key: key})
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	stored := make(chan error)
	go func() { stored <- p.storeWithdrawals(ctx, []unit.KeyID{key}) }()
	confirmed, members := p.exchangeWithAll(ctx)
	out := &rpc.WithdrawKeyResponse{Stored: <-stored == nil, Confirmed: int32(confirmed), Members: int32(members)}
	if !out.Stored && 2*confirmed <= members {
		return nil, twirp.Unavailable.Errorf(
			"the withdrawal is in force at %d of %d instances and is still being told on, but neither the store nor a majority has it; try again",
			confirmed, members)
	}
	p.reloadState(ctx)
	return out, nil
}

// exchangeWithAll exchanges knowledge (op.Knowledge) with every known member.
// It returns how many members have this instance's knowledge and how many
// members there are; both include this instance.
func (p *Process) exchangeWithAll(ctx context.Context) (confirmed, members int) {
	var know op.Knowledge
	var addresses []string
	p.loop.Query(func(now clock.Millis, s *decide.State) {
		know = s.Knowledge(now)
		for _, m := range s.Members.Members {
			addresses = append(addresses, m.Address)
		}
	})
	answers := make(chan bool)
	for _, a := range addresses {
		go func() {
			c, cancel := p.peers.callContext(ctx, peerTimeout)
			defer cancel()
			_, err := p.peers.client(a).Exchange(c, knowledgeToRPC(know))
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

// Activate sets the weight version that the targets of a pool should run.
func (p operatorServer) Activate(ctx context.Context, r *rpc.ActivateRequest) (*rpc.ActivateResponse, error) {
	pool, v := unit.Pool(r.Pool), unit.Version(r.Version)
	known := false
	p.loop.Query(func(_ clock.Millis, s *decide.State) {
		known = s.Config.Index != nil && s.Config.Index.Pools[pool].Kind == spec.Model
	})
	if !known {
		return nil, twirp.NotFound.Errorf("%q is no model pool", r.Pool)
	}
	if v < 1 {
		return nil, twirp.InvalidArgumentError("version", "is below 1")
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	if err := p.activateVersion(ctx, pool, v); err != nil {
		return nil, operatorError(err)
	}
	p.reloadState(ctx)
	return &rpc.ActivateResponse{Version: int64(v)}, nil
}

// OrderTarget stores an order to start or stop a target. The holder of the data
// centre's order lease (package provision) sends it to the platform.
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
	intent := op.Intent{
		ID: fmt.Sprintf("%s.%s.%s.%d", kind, target, p.set.Instance, nonce), Kind: kind,
		Target: unit.Target(target), Pool: unit.Pool(r.Pool),
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	if err := p.addIntent(ctx, unit.DataCentre(r.DataCentre), intent); err != nil {
		return nil, operatorError(err)
	}
	return &rpc.OrderTargetResponse{OrderId: intent.ID, Target: target}, nil
}

// Drain starts the graceful shutdown of this instance.
func (p operatorServer) Drain(context.Context, *rpc.DrainRequest) (*rpc.DrainResponse, error) {
	p.Process.Drain()
	return &rpc.DrainResponse{}, nil
}

// Dump returns the state of the process as JSON.
func (p operatorServer) Dump(context.Context, *rpc.DumpRequest) (*rpc.DumpResponse, error) {
	b, err := p.dump()
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &rpc.DumpResponse{Json: b}, nil
}

// operatorError converts the error of a change of the store to a Twirp error.
func operatorError(err error) error {
	var faults spec.Faults
	switch {
	case errors.As(err, &faults):
		return twirp.InvalidArgumentError("document", "has faults:\n"+faults.Error())
	case errors.Is(err, errConfigChanged), errors.Is(err, errVersionBelowActive):
		return twirp.FailedPrecondition.Error(err.Error())
	default:
		return twirp.Unavailable.Errorf("the platform's store did not take the change: %v", err)
	}
}
