package serve

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/catkinhead/catkinhead/internal/decide"
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/internal/usage"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/rpc"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// copyTimeout bounds the call that copies counters to one peer.
	copyTimeout = 250 * time.Millisecond
	// maxCopyPeers is the number of peers tried for one copy.
	maxCopyPeers = 3
	// copyMaxAge is how long a copy is kept after its last update. The totals in
	// sealed windows are kept for longer.
	copyMaxAge = 3600 * clock.Second
)

// usageCopies holds the latest usage counters that other instances copied here,
// by source: "run:" and an incarnation, or "step:" and the id of a step.
type usageCopies struct {
	mu       sync.Mutex
	bySource map[string]usageCopy
}

type usageCopy struct {
	op.Counters
	updatedAt clock.Millis
}

// store keeps a copy if its total is above that of the stored one. Counters
// only grow, so the larger total is the newer.
func (u *usageCopies) store(c op.Counters, now clock.Millis) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.bySource == nil {
		u.bySource = make(map[string]usageCopy)
	}
	if old, ok := u.bySource[c.Source]; !ok || usage.Sum(c) > usage.Sum(old.Counters) {
		u.bySource[c.Source] = usageCopy{Counters: c, updatedAt: now}
	}
}

// all returns the copies younger than copyMaxAge and deletes the others.
func (u *usageCopies) all(now clock.Millis) []op.Counters {
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []op.Counters
	for source, c := range u.bySource {
		if now-c.updatedAt >= copyMaxAge {
			delete(u.bySource, source)
			continue
		}
		out = append(out, c.Counters)
	}
	return out
}

// copyUsage copies counters to one peer. If no peer accepts them, the answers
// that wait for the copy are released all the same, and a metric counts the
// missing copy.
func (p *Process) copyUsage(ctx context.Context, e op.KeepUsage) {
	kept := false
	for _, m := range p.copyPeers(e.Counters.Source) {
		c, cancel := p.peers.callContext(ctx, copyTimeout)
		_, err := p.peers.client(m.Address).Keep(c, countersToRPC(e.Counters))
		cancel()
		if err == nil {
			kept = true
			break
		}
	}
	if !kept {
		p.counter("catkinhead_usage_copies_missing_total").Inc()
	}
	p.loop.Post(op.UsageKept{Kept: kept, Releases: e.Releases})
}

// copyPeers returns the peers to try for copies of a source, in order. The
// order changes only when instances join, leave or die.
func (p *Process) copyPeers(source string) []op.MemberInfo {
	var out []op.MemberInfo
	p.loop.Query(func(_ clock.Millis, s *decide.State) {
		out = s.Members.RankedPeers(source, maxCopyPeers)
	})
	return out
}

// knownCounters returns this instance's own counters and its copies of those of
// others.
func (p *Process) knownCounters() []op.Counters {
	out := p.usageCopies.all(p.clock.Now())
	p.loop.Query(func(_ clock.Millis, s *decide.State) { out = append(out, usage.Clone(s.Usage.Own)) })
	return out
}

// checkSource rejects counters from a peer that claim to be this incarnation's
// own.
func (p *Process) checkSource(source string) error {
	if source == "run:"+string(p.self.Incarnation) {
		return fmt.Errorf("source %q is this incarnation's own", source)
	}
	return nil
}

func countersToRPC(c op.Counters) *rpc.UsageCounters {
	out := &rpc.UsageCounters{Source: c.Source}
	for _, w := range c.Workspaces {
		x := &rpc.WorkspaceUsage{Workspace: string(w.Workspace), Total: int64(w.Total)}
		for _, n := range w.Windows {
			x.Windows = append(x.Windows, &rpc.WindowTokens{Window: int64(n.Window), Tokens: int64(n.Tokens)})
		}
		out.Workspaces = append(out.Workspaces, x)
	}
	return out
}

func countersFromRPC(list []*rpc.UsageCounters) []op.Counters {
	var out []op.Counters
	for _, c := range list {
		x := op.Counters{Source: c.Source}
		for _, w := range c.Workspaces {
			y := op.WorkspaceTokens{Workspace: unit.Workspace(w.Workspace), Total: unit.Tokens(w.Total)}
			for _, n := range w.Windows {
				y.Windows = append(y.Windows, op.WindowTokens{Window: unit.Window(n.Window), Tokens: unit.Tokens(n.Tokens)})
			}
			x.Workspaces = append(x.Workspaces, y)
		}
		out = append(out, x)
	}
	return out
}
