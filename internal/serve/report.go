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
	// sealedWindowsKept is the number of sealed usage windows (package usage)
	// that stay in the store.
	sealedWindowsKept = 64
	// stepRetentionWindows is how long a closed step's record is kept, in
	// windows after the last change of its reported tokens, so that no step can
	// be opened under its name in that time.
	stepRetentionWindows = 1440
)

// reportProgress is the object stored under reportedKey. It identifies the last
// reported window: Seq is its sequence number in the chain of sealed windows.
type reportProgress struct {
	Seq    int64
	Window unit.Window
}

// gatherCounters collects usage counters from the live instances and from the
// records of steps. The usage of an instance that does not answer is taken from
// copies at other instances, or is reported with a later window.
func (p *Process) gatherCounters(ctx context.Context, e op.Gather) {
	objs, err := p.deps.Store.List(ctx, stepPrefix)
	if err != nil {
		p.loop.Post(op.Gathered{Window: e.Window, Result: resultOf(err)})
		return
	}
	all := p.knownCounters()
	for _, o := range objs {
		var r op.StepRecord
		if err := json.Unmarshal(o.Value, &r); err != nil {
			p.log.Error("cannot decode step record " + o.Key + ": " + err.Error())
			continue
		}
		all = append(all, r.Usage)
	}
	all = append(all, p.gatherPeerCounters(ctx)...)
	p.loop.Post(op.Gathered{Window: e.Window, Result: op.Done, Counters: all})
}

// gatherPeerCounters reads the counters of all live peers at once. Peers that
// do not answer are left out.
func (p *Process) gatherPeerCounters(ctx context.Context) []op.Counters {
	var members []op.MemberInfo
	p.loop.Query(func(_ clock.Millis, s *decide.State) { members = s.Members.LiveMembers() })
	answers := make(chan []op.Counters)
	for _, m := range members {
		go func() {
			c, cancel := p.peers.callContext(ctx, peerTimeout)
			defer cancel()
			var got []op.Counters
			if m.Incarnation != p.self.Incarnation {
				if r, err := p.peers.client(m.Address).Counters(c, &rpc.CountersRequest{}); err == nil {
					got = countersFromRPC(r.Counters)
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

// readLastSealed finds the newest sealed window by reading the windows in the order
// of their sequence numbers, from the last reported one on.
func (p *Process) readLastSealed(ctx context.Context) {
	var progress reportProgress
	_, err := p.readObject(ctx, reportedKey, &progress)
	if err != nil {
		p.loop.Post(op.SealedRead{Result: resultOf(err)})
		return
	}
	last, err := p.readSealedWindow(ctx, progress.Seq)
	for err == nil {
		var next *op.SealedWindow
		seq := int64(1)
		if last != nil {
			seq = last.Seq + 1
		}
		next, err = p.readSealedWindow(ctx, seq)
		if next == nil {
			break
		}
		last = next
	}
	p.loop.Post(op.SealedRead{Result: resultOf(err), Last: last, Reported: progress.Window})
}

// readSealedWindow reads the sealed window with a sequence number. It returns nil
// if there is none.
func (p *Process) readSealedWindow(ctx context.Context, seq int64) (*op.SealedWindow, error) {
	var w op.SealedWindow
	rev, err := p.readObject(ctx, sealedWindowKey(seq), &w)
	if err != nil || rev == 0 {
		return nil, err
	}
	return &w, nil
}

// sealWindow stores a sealed window, unless there is already one with its sequence
// number.
func (p *Process) sealWindow(ctx context.Context, e op.Seal) {
	_, err := p.writeObject(ctx, sealedWindowKey(e.Sealed.Seq), e.Sealed, 0)
	p.loop.Post(op.WindowSealed{Result: resultOf(err), Window: e.Sealed.Window})
}

// reportWindow sends a sealed window to the platform's usage endpoint.
func (p *Process) reportWindow(ctx context.Context, e op.Report) {
	err := p.deps.UsageReporter.Report(ctx, e.Window, e.Fence, e.Body, e.SendBefore)
	p.loop.Post(op.WindowReported{
		Window: e.Window, Result: resultOf(err), Different: errors.Is(err, platform.ErrReportConflict),
	})
}

// markReported stores the progress of reports and deletes what is no longer
// needed: the sealed window whose sequence number is lower by sealedWindowsKept,
// and the records of closed steps whose tokens were all reported.
func (p *Process) markReported(ctx context.Context, e op.MarkReported) {
	var old reportProgress
	rev, err := p.readObject(ctx, reportedKey, &old)
	if err == nil && old.Seq < e.Seq {
		_, err = p.writeObject(ctx, reportedKey, reportProgress(e), rev)
	}
	if err != nil {
		p.log.Warn("cannot store the progress of reports: " + err.Error())
		return
	}
	p.deleteObject(ctx, sealedWindowKey(e.Seq-sealedWindowsKept))
	p.deleteReportedSteps(ctx, e.Seq)
}

// deleteObject deletes a stored object if there is one. Errors are ignored.
func (p *Process) deleteObject(ctx context.Context, key string) {
	if o, err := p.deps.Store.Get(ctx, key); err == nil {
		_ = p.deps.Store.Delete(ctx, key, o.Revision)
	}
}

// deleteReportedSteps deletes the records of closed steps whose tokens were all
// reported and whose reported tokens have not changed for stepRetentionWindows.
// seq is the sequence number of the last reported window.
func (p *Process) deleteReportedSteps(ctx context.Context, seq int64) {
	w, err := p.readSealedWindow(ctx, seq)
	if err != nil || w == nil {
		return
	}
	for source, line := range w.Base {
		name, ok := strings.CutPrefix(source, "step:")
		if !ok || w.Window-line.Since < stepRetentionWindows {
			continue
		}
		var r op.StepRecord
		rev, err := p.readObject(ctx, stepPrefix+name, &r)
		if err == nil && r.Closed && usage.Sum(r.Usage) == line.Sum() {
			_ = p.deps.Store.Delete(ctx, stepPrefix+name, rev)
		}
	}
}
