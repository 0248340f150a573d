// Command 3 freezes one of two machines for some seconds, while a trainer ends a step
// through it. The trainer goes on, and hands in its next step, which repeats the
// groups that were not complete, at the other machine. It then looks which runs of
// the workers made the texts of the results.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/catkinhead/catkinhead/review/rig"
)

const (
	slots     = 12
	groupSize = 4
	// The first step has shortGroups and longGroups; the trainer waits for nine tenths.
	shortGroups = 18
	longGroups  = 2
	groups      = shortGroups + longGroups
	wanted      = groups * 9 / 10
	shortEvents = 40
	longEvents  = 150
	// The workers differ in speed.
	slowEvent = 80 * time.Millisecond
	fastEvent = 30 * time.Millisecond
	loadTime  = 900 * time.Millisecond
	// freeze is how long a machine stands still. It begins freezeLead before the end of
	// the step is sent.
	freeze     = 3200 * time.Millisecond
	freezeLead = 100 * time.Millisecond
	// training is the time between the end of a step and the next version. endTimeout is
	// how long the trainer waits for the answer to the end of a step before it sends it
	// again.
	training   = time.Second
	endTimeout = 3 * time.Second
	// giveUpAfter is when the trainer gives up a step, 4.5 s after the results are due.
	giveUpAfter = 12 * time.Second
	model       = "daka510000"
	firstJob    = "7c41e09b52d6a3f8"
	secondJob   = "7c41e09b52d6a3f9"
	routes      = `[{"name":"r-draft","hostname":"desk.example","path_prefix":"/draft/","route_kind":"rollout","timeout_ms":10000,"target_latency_ms":400,"priority":1,"service":"drafting-models","max_attempts":3,"queue_ttl_s":40.0,"result_deadline_ms":7500,"single_version":false,"public":false,"sticky":true,"resumable":true}]`
	services    = `[{"name":"drafting-models","health_path":"/healthz","max_conns":170,"protocol":"h1","tls":false,"engine":{"slots":12,"kv_capacity":49588,"models":[{"name":"daka510000"}]}}]`
)

func main() { rig.Main(run) }

func run(r *rig.Rig) (string, error) {
	r.Configure(3, routes, services)
	var fleet []*rig.Worker
	for i, every := range []time.Duration{slowEvent, fastEvent} {
		w := &rig.Worker{
			ID: fmt.Sprintf("i-draft-%d", i), Service: "drafting-models", Slots: slots, EventsOf: events, EventEvery: every,
			Sampled: true, LoadTime: loadTime,
		}
		if err := r.AddWorker(w); err != nil {
			return "", err
		}
		fleet = append(fleet, w)
	}
	edges, err := r.StartEdges(2)
	if err != nil {
		return "", err
	}
	open, frozen := edges[0], edges[1]
	var first []string
	for g := range groups {
		for i := range groupSize {
			first = append(first, itemID(g, i))
		}
	}
	results, err := runStep(r, open, firstJob, 0, first, wanted)
	if err != nil {
		return "", err
	}
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
	if r.Trouble {
		frozen.Signal(syscall.SIGSTOP)
		time.AfterFunc(freeze, func() { frozen.Signal(syscall.SIGCONT) })
		time.Sleep(freezeLead)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		endStep(r, []*rig.Edge{frozen, open}, firstJob)
	}()
	time.Sleep(training)
	r.Store.Set("versions", model, fmt.Sprintf(`{"model":%q,"version":2}`, model))
	r.Note("version 2 of %s named", model)
	more, err := runStep(r, open, secondJob, 1, again, len(again)/groupSize)
	if err != nil {
		return "", err
	}
	<-ended
	endStep(r, edges, secondJob)
	return judge(r, fleet, map[string][]rig.Result{firstJob: results, secondJob: more}), nil
}

// itemID names an item of a group. The groups from shortGroups on are long.
func itemID(group, i int) string { return fmt.Sprintf("e5b2907c14%02d%04d", group, i) }

// groupOf returns the group of an item.
func groupOf(id string) int {
	g, _ := strconv.Atoi(id[10:12])
	return g
}

func events(id string) int {
	if groupOf(id) >= shortGroups {
		return longEvents
	}
	return shortEvents
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

// runStep hands a step in and reads its results until enough groups are complete or
// the trainer's time is up. It returns the results that were read.
func runStep(r *rig.Rig, e *rig.Edge, job string, number int, ids []string, wanted int) ([]rig.Result, error) {
	submitted := time.Now()
	var list []map[string]any
	groups := make(map[int]bool)
	for _, id := range ids {
		g := groupOf(id)
		groups[g] = true
		list = append(list, map[string]any{
			"id": id, "path": "/draft/x", "headers": map[string]string{
				"X-Model": model, "X-Token-Count": fmt.Sprintf("255,%d", events(id)), "X-Prompt-Prefix": fmt.Sprintf("5d07b8%02d:255", g),
				"X-Length-Hint": strconv.Itoa(events(id)),
			},
			"body": "q83vEjRWeJA=", "token_count": 255 + events(id), "group": fmt.Sprintf("g%d", g),
		})
	}
	body, err := json.Marshal(map[string]any{"step": number, "model": model, "min_version": 1, "desired_count": wanted, "items": list})
	if err != nil {
		return nil, fmt.Errorf("encode step: %w", err)
	}
	if status, text := r.Call(e, http.MethodPost, "/draft/0", job, nil, string(body), 3*time.Second); status != http.StatusAccepted {
		return nil, fmt.Errorf("step %d was answered with %d: %s", number, status, text)
	}
	r.Note("step %d, job %s: %d items accepted by %s", number, job, len(ids), e.Name)
	var results []rig.Result
	for time.Since(submitted) < giveUpAfter {
		page, status := r.Read(e, job, len(results))
		results = append(results, page.Results...)
		n := 0
		for g := range groups {
			if complete(results, g) {
				n++
			}
		}
		r.Note("step %d: read %d, %d of %d results, %d groups complete", number, status, len(results), page.Total, n)
		if n >= wanted {
			return results, nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return results, nil
}

// endStep ends a step at one machine after the other until one acknowledges it.
func endStep(r *rig.Rig, edges []*rig.Edge, job string) {
	for n := range 6 {
		e := edges[n%len(edges)]
		r.Note("the end of job %s is sent to %s", job, e.Name)
		status, _ := r.Call(e, http.MethodDelete, "/lots/"+job, "", nil, "", endTimeout)
		r.Note("the end of job %s is answered with %d by %s", job, status, e.Name)
		if status == http.StatusOK {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// judge returns how the rule was broken, or an empty text.
func judge(r *rig.Rig, fleet []*rig.Worker, steps map[string][]rig.Result) string {
	runs := make(map[int64]rig.Run)
	for _, w := range fleet {
		for _, one := range w.Runs() {
			runs[one.Serial] = one
		}
	}
	countOverlaps(r, runs)
	whole, joined := 0, 0
	for job, results := range steps {
		for _, one := range results {
			if one.State != "completed" {
				continue
			}
			whole++
			if fault := check(one, runs); fault != "" {
				joined++
				r.Note("job %s lists a text of item %s that is not allowed: %s", job, one.ID, fault)
				r.Note("runs of its events: %s", strings.Join(parts(one.Text), ", "))
			}
		}
	}
	if joined == 0 {
		return ""
	}
	return fmt.Sprintf("ORDER: %d of %d texts that were listed as completed join events of two runs of which the later was not asked to go on there", joined, whole)
}

// countOverlaps notes the runs that went on elsewhere while the run before still
// worked on the same item 400 ms later.
func countOverlaps(r *rig.Rig, runs map[int64]rig.Run) {
	n := 0
	for _, later := range runs {
		for _, one := range runs {
			if later.LastEvent != "" && one.ID == later.ID && one.Worker != later.Worker && one.Serial < later.Serial &&
				(one.Ended.IsZero() || one.Ended.Sub(later.Began) > 400*time.Millisecond) {
				n++
			}
		}
	}
	r.Note("%d runs went on at another worker while the one before worked on for more than 400 ms", n)
}

// check returns what is wrong with a text, or an empty text. Line n of it is event n;
// it ends with the number of the run that made it.
func check(one rig.Result, runs map[int64]rig.Run) string {
	lines := strings.Split(one.Text, "\n")
	if len(lines) != events(one.ID) {
		return fmt.Sprintf("it has %d events instead of %d", len(lines), events(one.ID))
	}
	before := int64(0)
	for n, line := range lines {
		data, serial, ok := cut(line)
		if !ok || data != rig.EventData(one.ID, n) {
			return fmt.Sprintf("event %d is %q", n, line)
		}
		if serial != before && n > 0 {
			if asked := runs[serial].LastEvent; asked != strconv.Itoa(n-1) {
				return fmt.Sprintf("after event %d of run %d it goes on with run %d, which was asked with Last-Event-Id %q", n-1, before, serial, asked)
			}
		}
		before = serial
	}
	return ""
}

// cut splits the data of an event into that of all runs and the number of the run.
func cut(line string) (string, int64, bool) {
	i := strings.LastIndex(line, "-")
	if i < 0 {
		return "", 0, false
	}
	serial, err := strconv.ParseInt(line[i+1:], 10, 64)
	return line[:i], serial, err == nil
}

// parts lists the runs of a text's events in order, with the number of events.
func parts(text string) []string {
	var out []string
	last, n := int64(0), 0
	flush := func() {
		if n > 0 {
			out = append(out, fmt.Sprintf("run %d: %d", last, n))
		}
	}
	for _, line := range strings.Split(text, "\n") {
		_, serial, _ := cut(line)
		if serial != last {
			flush()
			last, n = serial, 0
		}
		n++
	}
	flush()
	return slices.Clip(out)
}
