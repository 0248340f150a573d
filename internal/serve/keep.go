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
	// keepTime bounds the copy of counters to one peer.
	keepTime = 250 * time.Millisecond
	// keepTries is the number of peers tried for a copy.
	keepTries = 3
	// keptFor is how long another incarnation's counters are kept. The base
	// of sealed windows remembers them for longer.
	keptFor = 3600 * clock.Second
)

// keptCounters holds counters of other sources.
type keptCounters struct {
	mu sync.Mutex
	by map[string]keptCounter
}

type keptCounter struct {
	op.Counters
	at clock.Millis
}

// keep stores a copy if it is the newest.
func (k *keptCounters) keep(c op.Counters, now clock.Millis) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.by == nil {
		k.by = make(map[string]keptCounter)
	}
	if old, ok := k.by[c.Source]; !ok || usage.Sum(c) > usage.Sum(old.Counters) {
		k.by[c.Source] = keptCounter{Counters: c, at: now}
	}
}

// all returns the copies that are not too old.
func (k *keptCounters) all(now clock.Millis) []op.Counters {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []op.Counters
	for source, c := range k.by {
		if now-c.at >= keptFor {
			delete(k.by, source)
			continue
		}
		out = append(out, c.Counters)
	}
	return out
}

// keepUsage copies counters to one peer. With no peer left to take them the
// answers go out all the same, and a metric says so.
func (p *Process) keepUsage(ctx context.Context, e op.KeepUsage) {
	kept := false
	for _, m := range p.keepers(e.Counters.Source) {
		c, cancel := p.peers.context(ctx, keepTime)
		_, err := p.peers.at(m.Address).Keep(c, countersOut(e.Counters))
		cancel()
		if err == nil {
			kept = true
			break
		}
	}
	if !kept {
		p.count("catkinhead_usage_copies_missing_total").Inc()
	}
	p.loop.Post(op.UsageKept{Kept: kept, Releases: e.Releases})
}

// keepers returns the peers that may keep a source's counters, the same ones
// as long as they live.
func (p *Process) keepers(source string) []op.MemberInfo {
	var out []op.MemberInfo
	p.loop.Ask(func(_ clock.Millis, s *decide.State) {
		out = s.Members.Nearest(source, keepTries)
	})
	return out
}

// counters returns all counters known here: its own and those kept.
func (p *Process) counters() []op.Counters {
	out := p.kept.all(p.clock.Now())
	p.loop.Ask(func(_ clock.Millis, s *decide.State) { out = append(out, usage.Clone(s.Usage.Own)) })
	return out
}

// checkSource refuses counters that claim to be ours.
func (p *Process) checkSource(source string) error {
	if source == "run:"+string(p.self.Incarnation) {
		return fmt.Errorf("source %q is this incarnation's own", source)
	}
	return nil
}

func countersOut(c op.Counters) *rpc.UsageCounters {
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

func countersIn(list []*rpc.UsageCounters) []op.Counters {
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
