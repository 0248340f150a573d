package batch

import (
	"cmp"
	"slices"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/internal/roster"
	"github.com/catkinhead/catkinhead/internal/route"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// reservedSlots is the number of slots of a target that reward calls leave to
	// the requests of live services. The reward calls of a step come in a burst.
	reservedSlots = 1
	// defaultRewardTimeout bounds an attempt of a reward call if its route has no
	// timeout.
	defaultRewardTimeout clock.Millis = 2 * clock.Second
	// breaksBeforeRewardBackoff is the number of consecutive attempts without an
	// answer after which the next one is delayed. Until then it is sent to another
	// target at once.
	breaksBeforeRewardBackoff = 2
	// maxRewardBackoff is the upper bound of that delay.
	maxRewardBackoff clock.Millis = clock.Second
	// rewardRetryDelay is how long a job's reward calls wait after no target had a
	// free slot, unless one of its own calls ends before.
	rewardRetryDelay clock.Millis = 20
	// never is later than any time.
	never clock.Millis = 1 << 62
)

// rewardCall is the scheduling state of an item's reward call.
type rewardCall struct {
	// Tried are the targets of the consecutive attempts without an answer. They
	// are avoided as long as there is another one.
	Tried []unit.Target
	// Fails counts the failures that targets reported. At the attempt limit the
	// item is given up.
	Fails int
	// Since is when the output was complete.
	Since clock.Millis
}

// outputComplete records that the output of an item is complete.
func (j *Job) outputComplete(now clock.Millis, it *Item) {
	it.Phase = done
	if it.Reward.Path != "" {
		it.Phase, it.NotBefore, j.rewardsDueAt = unscored, now, now
		it.Call = rewardCall{Since: now}
	}
}

// sendRewardCalls sends the reward calls of a job's items that are due to targets
// with free slots.
func (s *State) sendRewardCalls(now clock.Millis, j *Job, v View, out *op.List) {
	if j.Ending || j.Leaving || v.Table == nil || now < j.rewardsDueAt {
		return
	}
	due, next := j.dueRewardCalls(now)
	j.rewardsDueAt = next
	if len(due) == 0 {
		return
	}
	full := make(map[unit.Pool]bool)
	for _, i := range due {
		it := &j.Items[i]
		rule, _ := v.Table.Match(it.Reward.Host, it.Reward.Path)
		var t *roster.Target
		for _, pool := range s.split.Order(rule) {
			if t == nil && !full[pool] {
				t = it.Call.pickTarget(now, pool, v)
				full[pool] = t == nil
			}
		}
		if t == nil {
			j.rewardsDueAt = min(j.rewardsDueAt, now+rewardRetryDelay)
			continue
		}
		s.lastRun++
		it.Phase, it.Run, it.Target = scoring, s.lastRun, t.Target
		v.Roster.AttemptStarted(t.Target)
		out.Add(op.SendRewardCall{
			Job: j.ID, Item: i, Run: it.Run, Route: rule.Name, Target: t.Target, Address: t.Address,
			Until: now + it.Call.attemptTime(rule), Since: it.Call.Since,
		})
	}
}

// pickTarget returns a target with free slots, nil if there is none. It prefers
// those that were not tried, then any but the last one tried.
func (r *rewardCall) pickTarget(now clock.Millis, pool unit.Pool, v View) *roster.Target {
	last := r.Tried[max(len(r.Tried)-1, 0):]
	for _, avoided := range [][]unit.Target{r.Tried, last, nil} {
		if t := v.Roster.PickFree(now, pool, avoided, reservedSlots); t != nil {
			return t
		}
	}
	return nil
}

// dueRewardCalls returns the items whose reward call can be sent now, and when the
// next one of the others can. Those that leave the fewest items of their group
// unfinished come first.
func (j *Job) dueRewardCalls(now clock.Millis) (due []int, next clock.Millis) {
	next = never
	for i := range j.Items {
		switch it := &j.Items[i]; {
		case it.Phase != unscored:
		case now >= it.NotBefore:
			due = append(due, i)
		default:
			next = min(next, it.NotBefore)
		}
	}
	if len(due) < 2 {
		return due, next
	}
	unfinished := make(map[string]int)
	for i := range j.Items {
		if it := &j.Items[i]; it.Phase < done {
			unfinished[it.Group]++
		}
	}
	slices.SortStableFunc(due, func(a, b int) int {
		return cmp.Compare(unfinished[j.Items[a].Group], unfinished[j.Items[b].Group])
	})
	return due, next
}

// attemptTime returns how long the next attempt may take. It grows with the
// attempts that got no answer.
func (r *rewardCall) attemptTime(rule platform.RouteRule) clock.Millis {
	timeout := rule.Timeout
	if timeout <= 0 {
		timeout = defaultRewardTimeout
	}
	return route.AttemptTime(timeout, rule.MaxAttempts-len(r.Tried))
}

// rewardCallEnded records how an attempt of a reward call ended.
func (s *State) rewardCallEnded(now clock.Millis, e op.RewardCallEnded, v View) {
	j := s.Jobs[e.Job]
	if j == nil || e.Item >= len(j.Items) {
		return
	}
	it := &j.Items[e.Item]
	if it.Phase != scoring || it.Run != e.Run {
		return
	}
	v.Roster.AttemptEnded(now, e.Target, e.End == op.RewardBroken || e.Leaving)
	it.Phase, j.rewardsDueAt = unscored, now
	switch e.End {
	case op.RewardScored:
		it.Phase = done
	case op.RewardImpossible:
		it.Phase = givenUp
	case op.RewardFailed:
		it.Call.Tried = nil
		it.Call.Fails++
		it.NotBefore = now + failureDelay
		if it.Call.Fails >= s.maxRewardFailures(j, it, v) {
			it.Phase = givenUp
		}
	default:
		it.Call.Tried = append(it.Call.Tried, e.Target)
		if n := len(it.Call.Tried) - breaksBeforeRewardBackoff; n > 0 {
			it.NotBefore = now + min(failureDelay<<min(n, 10), maxRewardBackoff)
		}
	}
}

// maxRewardFailures returns after how many failures of its reward call an item is
// given up: the attempt limit of the call's route or of the job's, whichever is
// higher.
func (s *State) maxRewardFailures(j *Job, it *Item, v View) int {
	limit := s.maxFailures(j, v)
	if v.Table != nil {
		if rule, ok := v.Table.Match(it.Reward.Host, it.Reward.Path); ok {
			limit = max(limit, rule.MaxAttempts)
		}
	}
	return limit
}
