package serve

import (
	"context"
	"encoding/json"
	"errors"
	"strings"

	"github.com/catkinhead/catkinhead/internal/decide"
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/internal/usage"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/rpc"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// chainKept is the number of sealed windows that stay in the store.
	chainKept = 64
	// stepKeptWindows is how many windows a closed step's record stays, so
	// that no step can be opened under its name.
	stepKeptWindows = 1440
)

// reported is how far reports were taken.
type reported struct {
	Seq    int64
	Window unit.Window
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
