package serve

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/catkinhead/catkinhead/internal/decide"
	"github.com/catkinhead/catkinhead/internal/member"
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/internal/usage"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
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
	// chainKept is the number of sealed windows that stay in the store.
	chainKept = 64
)

// reported is how far reports were taken.
type reported struct {
	Seq    int64
	Window unit.Window
}

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

// gather collects counters from the live instances and from the records of
// steps. An instance that does not answer is covered by the copies of others
// or by a later window.
func (p *Process) gather(ctx context.Context, e op.Gather) {
	objs, err := p.out.Store.List(ctx, stepPrefix)
	if err != nil {
		p.loop.Post(op.Gathered{Window: e.Window, Result: result(err)})
		return
	}
	all := p.counters()
	for _, o := range objs {
		var r op.StepRecord
		if err := json.Unmarshal(o.Value, &r); err != nil {
			p.log.Error("step record " + o.Key + " is not usable: " + err.Error())
			continue
		}
		all = append(all, r.Usage)
	}
	all = append(all, p.gatherPeers(ctx)...)
	p.loop.Post(op.Gathered{Window: e.Window, Result: op.Done, Counters: all})
}

func (p *Process) gatherPeers(ctx context.Context) []op.Counters {
	var members []op.MemberInfo
	p.loop.Ask(func(_ clock.Millis, s *decide.State) { members = s.Members.Live() })
	answers := make(chan []op.Counters)
	for _, m := range members {
		go func() {
			c, cancel := p.peers.context(ctx, peerTime)
			defer cancel()
			var got []op.Counters
			if m.Incarnation != p.self.Incarnation {
				if r, err := p.peers.at(m.Address).Counters(c, &rpc.CountersRequest{}); err == nil {
					got = countersIn(r.Counters)
				}
			}
			answers <- got
		}()
	}
	var all []op.Counters
	for range members {
		all = append(all, <-answers...)
	}
	return all
}

// readSealed finds the newest sealed window, from the one last reported on.
func (p *Process) readSealed(ctx context.Context) {
	var done reported
	_, err := p.read(ctx, reportedKey, &done)
	if err != nil {
		p.loop.Post(op.SealedRead{Result: result(err)})
		return
	}
	last, err := p.sealed(ctx, done.Seq)
	for err == nil {
		var next *op.SealedWindow
		seq := int64(1)
		if last != nil {
			seq = last.Seq + 1
		}
		next, err = p.sealed(ctx, seq)
		if next == nil {
			break
		}
		last = next
	}
	p.loop.Post(op.SealedRead{Result: result(err), Last: last, Reported: done.Window})
}

// sealed reads one link of the chain, nil if it is not there.
func (p *Process) sealed(ctx context.Context, seq int64) (*op.SealedWindow, error) {
	var w op.SealedWindow
	rev, err := p.read(ctx, chainKey(seq), &w)
	if err != nil || rev == 0 {
		return nil, err
	}
	return &w, nil
}

func (p *Process) seal(ctx context.Context, e op.Seal) {
	_, err := p.put(ctx, chainKey(e.Sealed.Seq), e.Sealed, 0)
	p.loop.Post(op.WindowSealed{Result: result(err), Window: e.Sealed.Window})
}

func (p *Process) report(ctx context.Context, e op.Report) {
	err := p.out.Intake.Report(ctx, e.Window, e.Fence, e.Body, e.SendBefore)
	p.loop.Post(op.WindowReported{
		Window: e.Window, Result: result(err), Different: errors.Is(err, platform.ErrDifferent),
	})
}

// markReported notes how far reports were taken, and removes what is no longer
// needed: old windows, and closed steps that were reported whole.
func (p *Process) markReported(ctx context.Context, e op.MarkReported) {
	var old reported
	rev, err := p.read(ctx, reportedKey, &old)
	if err == nil && old.Seq < e.Seq {
		_, err = p.put(ctx, reportedKey, reported(e), rev)
	}
	if err != nil {
		p.log.Warn("report not noted: " + err.Error())
		return
	}
	p.remove(ctx, chainKey(e.Seq-chainKept))
	p.removeSteps(ctx, e.Seq)
}

func (p *Process) remove(ctx context.Context, key string) {
	if o, err := p.out.Store.Get(ctx, key); err == nil {
		_ = p.out.Store.Delete(ctx, key, o.Revision)
	}
}

// removeSteps deletes closed steps whose tokens are all in a reported window.
func (p *Process) removeSteps(ctx context.Context, seq int64) {
	w, err := p.sealed(ctx, seq)
	if err != nil || w == nil {
		return
	}
	for source, line := range w.Base {
		name, ok := strings.CutPrefix(source, "step:")
		if !ok || w.Window-line.Since < stepKeptWindows {
			continue
		}
		var r op.StepRecord
		rev, err := p.read(ctx, stepPrefix+name, &r)
		if err == nil && r.Closed && usage.Sum(r.Usage) == line.Sum() {
			_ = p.out.Store.Delete(ctx, stepPrefix+name, rev)
		}
	}
}

// stepKeptWindows is how many windows a closed step's record stays, so that a
// step cannot be opened under its name.
const stepKeptWindows = 1440

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

func instanceOf(i unit.Incarnation) unit.Instance { return member.NameOf(i) }

// checkSource refuses counters that claim to be ours.
func (p *Process) checkSource(source string) error {
	if source == "run:"+string(p.self.Incarnation) {
		return fmt.Errorf("source %q is this incarnation's own", source)
	}
	return nil
}
