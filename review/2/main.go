// Command 2 cuts one of two machines off from the store and from the other machine for
// some seconds, while a trainer hands in its next step there. It then looks whether the
// texts of the results are whole.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/catkinhead/catkinhead/review/rig"
)

const (
	slots     = 12
	groupSize = 4
	// The first step has shortGroups, and one group of two longer and two longest
	// items; the trainer waits for nine tenths of the groups.
	shortGroups   = 9
	groups        = shortGroups + 1
	wanted        = groups * 9 / 10
	shortEvents   = 75
	longEvents    = 150
	longestEvents = 200
	eventEvery    = 40 * time.Millisecond
	// cut is how long a machine is cut off. It begins cutLead before the next step is
	// handed in.
	cut     = 5500 * time.Millisecond
	cutLead = 300 * time.Millisecond
	// training is the time between the end of a step and the next one.
	training = time.Second
	// giveUpAfter is when the trainer gives up a step, 4.5 s after the results are due.
	giveUpAfter = 12 * time.Second
	firstJob    = "7c41e09b52d6a3f8"
	secondJob   = "7c41e09b52d6a3f9"
	routes      = `[{"name":"r-draft","hostname":"desk.example","path_prefix":"/draft/","route_kind":"rollout","timeout_ms":10000,"target_latency_ms":400,"priority":1,"service":"drafting-models","max_attempts":3,"queue_ttl_s":40.0,"result_deadline_ms":7500,"single_version":false,"public":false,"sticky":true,"resumable":true}]`
	services    = `[{"name":"drafting-models","health_path":"/healthz","max_conns":170,"protocol":"h1","tls":false,"engine":{"slots":12,"kv_capacity":49588,"models":[{"name":"daka510000"}]}}]`
)

func main() { rig.Main(run) }

func run(r *rig.Rig) (string, error) {
	r.Configure(3, routes, services)
	for i := range 2 {
		w := &rig.Worker{ID: fmt.Sprintf("i-draft-%d", i), Service: "drafting-models", Slots: slots, EventsOf: events, EventEvery: eventEvery}
		if err := r.AddWorker(w); err != nil {
			return "", err
		}
	}
	edges, ways, err := startEdges(r)
	if err != nil {
		return "", err
	}
	var first []string
	for g := range groups {
		for i := range groupSize {
			first = append(first, itemID(g, i))
		}
	}
	if status := submit(r, edges[0], firstJob, 0, first, wanted); status != http.StatusAccepted {
		return "", fmt.Errorf("the first step was answered with %d", status)
	}
	results := read(r, edges, firstJob, first, wanted)
	var again []string
	for g := range groups {
		if !complete(results, g) {
			for i := range groupSize {
				again = append(again, itemID(g, i))
			}
		}
	}
	if len(again) == 0 {
		return "", fmt.Errorf("all groups of the first step are complete")
	}
	status, _ := r.Call(edges[0], http.MethodDelete, "/lots/"+firstJob, "", nil, "", 3*time.Second)
	r.Note("the end of the first step is answered with %d", status)
	time.Sleep(training)
	if r.Trouble {
		setCut(r, ways, true)
		time.AfterFunc(cut, func() { setCut(r, ways, false) })
		time.Sleep(cutLead)
	}
	for n := range 8 {
		if status := submit(r, edges[n%len(edges)], secondJob, 1, again, len(again)/groupSize); status == http.StatusAccepted {
			break
		}
		time.Sleep(400 * time.Millisecond)
	}
	more := read(r, []*rig.Edge{edges[1]}, secondJob, again, len(again)/groupSize)
	return judge(r, map[string][]rig.Result{firstJob: results, secondJob: more}), nil
}

// startEdges starts two machines. It returns them, and the ways between the first of
// them and the store, and between the two.
func startEdges(r *rig.Rig) ([]*rig.Edge, []*rig.Proxy, error) {
	store, err := rig.NewProxy(r.StoreAddress)
	if err != nil {
		return nil, nil, err
	}
	ways := []*rig.Proxy{store}
	var edges []*rig.Edge
	for _, at := range []string{store.Address(), r.StoreAddress} {
		e, err := r.AddEdge(at)
		if err != nil {
			return nil, nil, err
		}
		way, err := rig.NewProxy(e.Peer)
		if err != nil {
			return nil, nil, err
		}
		e.Advertise = way.Address()
		ways = append(ways, way)
		edges = append(edges, e)
	}
	return edges, ways, r.StartAll(edges)
}

func setCut(r *rig.Rig, ways []*rig.Proxy, cut bool) {
	r.Note("the first machine is cut off: %t", cut)
	for _, way := range ways {
		way.SetCut(cut)
	}
}

// itemID names an item of a group.
func itemID(group, i int) string { return fmt.Sprintf("e5b2907c14%02d%04d", group, i) }

// groupOf returns the group of an item.
func groupOf(id string) int {
	g, _ := strconv.Atoi(id[10:12])
	return g
}

// events returns how many events the text of an item has.
func events(id string) int {
	switch {
	case groupOf(id) < shortGroups:
		return shortEvents
	case id < itemID(shortGroups, groupSize/2):
		return longEvents
	}
	return longestEvents
}

// complete reports whether all items of a group are listed.
func complete(results []rig.Result, group int) bool {
	n := 0
	for _, one := range results {
		if groupOf(one.ID) == group {
			n++
		}
	}
	return n == groupSize
}

// submit hands a step in and returns the status of the answer.
func submit(r *rig.Rig, e *rig.Edge, job string, number int, ids []string, wanted int) int {
	var list []map[string]any
	for _, id := range ids {
		g := groupOf(id)
		list = append(list, map[string]any{
			"id": id, "path": "/draft/x", "headers": map[string]string{
				"X-Model": rig.Model, "X-Token-Count": fmt.Sprintf("255,%d", events(id)), "X-Prompt-Prefix": fmt.Sprintf("5d07b8%02d:255", g),
				"X-Length-Hint": strconv.Itoa(events(id)),
			},
			"body": "q83vEjRWeJA=", "token_count": 255 + events(id), "group": fmt.Sprintf("g%d", g),
		})
	}
	body, err := json.Marshal(map[string]any{"step": number, "model": rig.Model, "min_version": 1, "desired_count": wanted, "items": list})
	if err != nil {
		r.Note("encode step: %v", err)
		return 0
	}
	status, _ := r.Call(e, http.MethodPost, "/draft/0", job, nil, string(body), 3*time.Second)
	r.Note("step %d, job %s, %d items: %s answers %d", number, job, len(ids), e.Name, status)
	return status
}

// read reads the results of a step until enough groups are complete or the trainer's
// time is up.
func read(r *rig.Rig, edges []*rig.Edge, job string, ids []string, wanted int) []rig.Result {
	groups := make(map[int]bool)
	for _, id := range ids {
		groups[groupOf(id)] = true
	}
	var results []rig.Result
	began := time.Now()
	for n := 0; time.Since(began) < giveUpAfter; n++ {
		page, status := r.Read(edges[n%len(edges)], job, len(results))
		results = append(results, page.Results...)
		done := 0
		for g := range groups {
			if complete(results, g) {
				done++
			}
		}
		r.Note("job %s: read %d, %d of %d results, %d groups complete", job, status, len(results), page.Total, done)
		if done >= wanted {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	return results
}

// judge returns how the rule was broken, or an empty text.
func judge(r *rig.Rig, steps map[string][]rig.Result) string {
	whole, cut := 0, 0
	for job, results := range steps {
		for _, one := range results {
			if one.State != "completed" {
				continue
			}
			var all []string
			for n := range events(one.ID) {
				all = append(all, rig.EventData(one.ID, n))
			}
			if one.Text == strings.Join(all, "\n") {
				whole++
				continue
			}
			cut++
			r.Note("job %s lists item %s as completed with %d lines of text instead of %d", job, one.ID, len(strings.Split(one.Text, "\n")), len(all))
		}
	}
	if cut == 0 {
		return ""
	}
	return fmt.Sprintf("MIXED: %d of %d results that were listed as completed have a text that isn't the item's whole output", cut, whole+cut)
}
