package batch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/internal/roster"
	"github.com/catkinhead/catkinhead/internal/route"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// This file plays the heaviest moment of a deployment without a network: three
// trainers submit a step at the same time to three instances, each of which learns
// of the others' runs only from heartbeats.

const (
	// simTargets and simSlots are the number of engines and of their slots.
	simTargets = 9
	simSlots   = 8
	// simTick is the resolution of the simulation.
	simTick clock.Millis = 5
	// simHeartbeat is the time between two exchanges of the numbers of runs.
	simHeartbeat clock.Millis = 250
	// simEventMillis is the time between two events of an engine without other
	// work. It grows by simSlowdown for each thousand events of context that the
	// engine holds: a thousand events are 65,000 tokens.
	simEventMillis = 36.0
	simSlowdown    = 0.5
	// simDue is when a step is due.
	simDue clock.Millis = 7500
	// simLongest is the longest output in events. It takes 6.9 s if the engine has no
	// other work.
	simLongest = 185
	// simGroup is the number of items of a group. The trainer waits for simWanted of
	// the groups.
	simGroup  = 4
	simWanted = 0.9
)

// simRun is a run in the simulation.
type simRun struct {
	owner  int
	run    op.RunItem
	events float64
	length int
}

// stepSimulation is a set of owners in front of the same engines.
type stepSimulation struct {
	owners  []*fixture
	lengths []map[int]int
	// unfinished counts the unfinished items of each group, by owner.
	unfinished []map[int]int
	runs       []*simRun
	now        clock.Millis
}

// newStepSimulation returns a simulation in which each owner has just got a job
// with the given number of items. Estimates of lengths are off by a factor whose
// logarithm has a standard deviation of 0.5.
func newStepSimulation(rng *rand.Rand, jobs ...int) *stepSimulation {
	s := &stepSimulation{}
	for n, items := range jobs {
		f := &fixture{state: State{Self: unit.Instance(fmt.Sprint("owner-", n))}}
		f.view = View{Roster: &roster.State{}, Table: route.New(platform.Configuration{Routes: []platform.RouteRule{{
			Name: "r", Repeat: platform.Batch, MaxAttempts: 3, GiveUpAfter: 40_000, DueAfter: simDue, Split: []platform.WeightedPool{{Pool: "p"}},
		}}}, 1)}
		for t := range simTargets {
			e := target(unit.Target(fmt.Sprint("t", t)), simSlots, 1)
			e.Pool = "p"
			f.view.Roster.Upsert(0, e)
		}
		s.owners = append(s.owners, f)
		lengths := make(map[int]int)
		shapes := make([]op.ItemShape, items)
		for i := range shapes {
			lengths[i] = min(max(int(20*math.Exp(0.9*rng.NormFloat64())), 1), simLongest)
			if i%simGroup == 0 && i < 2*simGroup {
				lengths[i] = simLongest
			}
			shapes[i].Expected = max(int(65*float64(lengths[i])*math.Exp(0.5*rng.NormFloat64())), 1)
		}
		s.lengths = append(s.lengths, lengths)
		s.unfinished = append(s.unfinished, make(map[int]int))
		for i := range shapes {
			s.unfinished[n][i/simGroup]++
		}
		f.ownJob(1, shapes...)
		s.addRuns(n)
	}
	return s
}

// addRuns adds the runs that an owner has just started.
func (s *stepSimulation) addRuns(owner int) {
	f := s.owners[owner]
	for _, r := range f.runs {
		s.runs = append(s.runs, &simRun{owner: owner, run: r, length: s.lengths[owner][r.Item]})
	}
	f.runs = nil
}

// step advances the simulation by simTick.
func (s *stepSimulation) step() {
	s.now += simTick
	if s.now%simHeartbeat == 0 {
		s.exchange()
	}
	context := make(map[unit.Target]float64)
	for _, r := range s.runs {
		context[r.run.Target] += r.events
	}
	running := s.runs
	s.runs = nil
	for _, r := range running {
		r.events += float64(simTick) / (simEventMillis * (1 + simSlowdown*context[r.run.Target]/1000))
		if r.events < float64(r.length) {
			s.runs = append(s.runs, r)
			continue
		}
		s.unfinished[r.owner][r.run.Item/simGroup]--
		f := s.owners[r.owner]
		f.now = s.now
		f.apply(op.ItemRunEnded{Job: "j", Item: r.run.Item, Run: r.run.Run, Target: r.run.Target, End: op.ItemComplete, Last: int64(r.length)})
		s.addRuns(r.owner)
	}
}

// exchange tells each owner how many runs the others have.
func (s *stepSimulation) exchange() {
	for n, f := range s.owners {
		others := make(map[unit.Target]int)
		for _, r := range s.runs {
			if r.owner != n {
				others[r.run.Target]++
			}
		}
		f.view.Roster.SetRemoteAttempts(others)
	}
}

// complete reports whether an owner's trainer has the groups that it waits for.
func (s *stepSimulation) complete(owner int) bool {
	n := 0
	for _, left := range s.unfinished[owner] {
		if left == 0 {
			n++
		}
	}
	return n >= int(simWanted*float64(len(s.unfinished[owner])))
}

// TestStepsAreInTimeUnderLoad checks that trainers get the groups that they wait
// for in time, even if each step has two items that take nearly as long as the
// step may.
func TestStepsAreInTimeUnderLoad(t *testing.T) {
	for seed := range uint64(20) {
		s := newStepSimulation(rand.New(rand.NewPCG(seed, 7)), 36, 52, 44)
		for s.now < simDue {
			s.step()
		}
		for owner := range s.owners {
			if !s.complete(owner) {
				t.Errorf("seed %d: the step of %s is late", seed, s.owners[owner].state.Self)
			}
		}
	}
}
