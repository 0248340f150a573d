package edge

import (
	"flag"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"
)

var exploreGuided = flag.Int("explore-guided", 20_000, "number of guided orders of events")

const (
	// maxAddedMoves is how many moves are added to an order at most.
	maxAddedMoves = 8
	// maxChunksTold is the number of chunks up to which situations are told apart.
	maxChunksTold = 4
)

// guidedMoves are the moves of a guided order: steps of one instance that follow each
// other. A move is possible if its condition holds.
var guidedMoves = []struct {
	steps    []string
	possible func(x *explorer, in *exploredInstance) bool
}{
	{[]string{"run goes on"}, hasRun},
	{[]string{"run goes on", "run goes on"}, hasRun},
	{[]string{"run breaks"}, hasRun},
	{[]string{"write"}, hasWrite},
	{[]string{"answer of write lost"}, hasWrite},
	{[]string{"write delayed"}, hasWrite},
	{[]string{"delayed write applied"}, func(x *explorer, _ *exploredInstance) bool { return len(x.lateWrites) > 0 }},
	{[]string{"takes over"}, func(_ *explorer, in *exploredInstance) bool { return !ownsJob(nil, in) }},
	{[]string{"drops the job for a higher epoch"}, ownsJob},
	{[]string{"crashes"}, ownsJob},
	{[]string{"time passes", "time passes", "time passes", "saves"}, ownsJob},
	{[]string{"time passes"}, ownsJob},
}

func hasRun(_ *explorer, in *exploredInstance) bool   { return len(in.active) > 0 }
func hasWrite(_ *explorer, in *exploredInstance) bool { return len(in.appends) > 0 }
func ownsJob(_ *explorer, in *exploredInstance) bool  { return in.state.Jobs[testJob] != nil }

// guidedSearch makes orders of events from earlier ones that reached a situation which
// no order had reached before, and adds only steps that are possible. Purely random
// orders hardly ever make the long ones that some faults need.
type guidedSearch struct {
	rng *rand.Rand
	// seen are the situations that were reached, kept the orders that were the first
	// to reach one.
	seen map[uint64]bool
	kept [][]int
}

func newGuidedSearch(seed int64) *guidedSearch {
	return &guidedSearch{rng: rand.New(rand.NewPCG(uint64(seed), 0)), seen: make(map[uint64]bool), kept: [][]int{{0}, {1}, {2}}}
}

// run plays orders until one breaks a rule, and returns it, shortened, with what is
// wrong and the number of orders that were played.
func (g *guidedSearch) run(orders int) (order []int, wrong string, played int) {
	for played = 1; played <= orders; played++ {
		if order, wrong = g.play(); wrong != "" {
			return shortenOrder(order, playOrder), wrong, played
		}
	}
	return nil, "", orders
}

// play plays an order that begins as one of those that were kept, and returns it and
// what is wrong, empty if nothing is.
func (g *guidedSearch) play() (order []int, wrong string) {
	from := g.kept[g.pick()]
	if g.rng.IntN(3) == 0 {
		from = from[:1+g.rng.IntN(len(from))]
	}
	order = slices.Clone(from)
	x := newExplorer(order[0])
	for _, step := range order[1:] {
		x.step(step)
	}
	for range 1 + g.rng.IntN(maxAddedMoves) {
		for _, step := range g.move(x) {
			order = append(order, step)
			x.step(step)
			if wrong := x.violation(); wrong != "" {
				return order, wrong
			}
		}
		if s := x.situation(); !g.seen[s] && len(order) <= maxOrderLength {
			g.seen[s] = true
			g.kept = append(g.kept, slices.Clone(order))
		}
	}
	return order, x.finish()
}

// move returns the steps of a move that is possible.
func (g *guidedSearch) move(x *explorer) []int {
	for {
		instance, move := g.rng.IntN(len(x.instances)), guidedMoves[g.rng.IntN(len(guidedMoves))]
		if !move.possible(x, x.instances[instance]) {
			continue
		}
		var out []int
		run := g.rng.IntN(2) * len(exploredSteps) * len(x.instances)
		for _, name := range move.steps {
			out = append(out, slices.Index(exploredSteps, name)+instance*len(exploredSteps)+run)
		}
		return out
	}
}

// pick returns the number of a kept order. Half of the time it is one of the latest.
func (g *guidedSearch) pick() int {
	n := len(g.kept)
	if recent := max(n/10, 3); g.rng.IntN(2) == 0 {
		return n - 1 - g.rng.IntN(min(recent, n))
	}
	return g.rng.IntN(n)
}

// shortenOrder leaves out steps as long as the order still breaks a rule.
func shortenOrder(order []int, play func([]int) string) []int {
	for shorter := true; shorter; {
		shorter = false
		for i := len(order) - 1; i > 0; i-- {
			if without := slices.Delete(slices.Clone(order), i, i+1); play(without) != "" {
				order, shorter = without, true
			}
		}
	}
	return order
}

// situation returns a hash of what matters about the instances and the store, without
// the lengths of texts: how many instances own and have claimed the job, what they have
// in flight, what a new owner would read, and whether an owner has other texts than that.
func (x *explorer) situation() uint64 {
	h := fnv.New64a()
	stored := x.storedTexts()
	for i := range stored.texts {
		fmt.Fprint(h, len(stored.texts[i].events) > 0, stored.listed[i])
	}
	var owners []string
	for _, in := range x.instances {
		if ownsJob(x, in) {
			owners = append(owners, in.situation(stored))
		}
	}
	slices.Sort(owners)
	fmt.Fprint(h, owners)
	fmt.Fprint(h, min(len(x.chunks), maxChunksTold))
	for _, l := range x.lateWrites[:min(len(x.lateWrites), 1)] {
		fmt.Fprint(h, l.n == len(x.chunks))
	}
	return h.Sum64()
}

// situation describes an owner.
func (in *exploredInstance) situation(stored *jobContent) string {
	text := fmt.Sprint(in.state.Jobs[testJob].Claimed)
	in.contents.withJob(testJob, func(c *jobContent) {
		for i := range c.texts {
			t, other := c.texts[i].events, stored.texts[i].events
			n := min(len(t), len(other))
			text += fmt.Sprint(len(t) > c.texts[i].savedEvents, slices.Equal(t[:n], other[:n]))
		}
	})
	return text
}

// TestGuidedOrdersOfOwners plays orders that are made from those that reached new
// situations. It checks the same rules as TestRandomOrdersOfOwners, and finds faults
// that need many steps in order.
func TestGuidedOrdersOfOwners(t *testing.T) {
	g := newGuidedSearch(*exploreSeed)
	order, wrong, played := g.run(*exploreGuided)
	if wrong != "" {
		t.Fatalf("%s after %d orders: %v: %s", wrong, played, order, describeOrder(order))
	}
	t.Logf("%d orders, %d situations, %d orders kept", played, len(g.seen), len(g.kept))
}
