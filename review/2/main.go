// Command 2 runs the steps of a trainer, whose items have reward calls, while the
// store loses the answers of some of its writes. It compares the scores of the results
// with the signatures of the answers to the reward calls.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/catkinhead/catkinhead/review/rig"
)

const (
	groupSize = 4
	groups    = 10
	wanted    = groups * 9 / 10
	// The model worker has slots places, that of the service of the reward calls has
	// scoreSlots. A reward call takes scoreTime, so the reward calls of a step take
	// longer than its texts.
	slots      = 48
	events     = 20
	eventEvery = 30 * time.Millisecond
	scoreSlots = 3
	scoreTime  = 150 * time.Millisecond
	loadTime   = 900 * time.Millisecond
	// lostShare is the share of the writes whose answer the store loses, for lostTime
	// at a time, with calmTime between.
	lostShare = 0.35
	lostTime  = 4500 * time.Millisecond
	calmTime  = 500 * time.Millisecond
	// lasts bounds the time in which steps are handed in.
	lasts = 95 * time.Second
	// every is the time between two steps, training that between the end of a step and
	// the next version, readEvery that between two reads. A step is given up after
	// giveUpAfter.
	every       = 4 * time.Second
	training    = 500 * time.Millisecond
	readEvery   = 500 * time.Millisecond
	giveUpAfter = 2400 * time.Millisecond
	routes      = `[
{"name":"r-draft","hostname":"desk.example","path_prefix":"/draft/","route_kind":"rollout","timeout_ms":10000,"target_latency_ms":400,"priority":1,"service":"warp-tutor","max_attempts":3,"queue_ttl_s":40.0,"result_deadline_ms":1500,"single_version":false,"public":false,"sticky":true,"resumable":true},
{"name":"r-sync","hostname":"desk.example","path_prefix":"/sync/","route_kind":"idempotent","timeout_ms":1500,"target_latency_ms":150,"priority":2,"service":"beam-counter","max_attempts":2,"public":false}]`
	services = `[{"name":"warp-tutor","health_path":"/healthz","max_conns":150,"protocol":"h1","tls":false,"engine":{"slots":48,"kv_capacity":52791,"models":[{"name":"daka510000"}]}},
{"name":"beam-counter","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}]`
)

func main() { rig.Main(run) }

func run(r *rig.Rig) (string, error) {
	store := &losingStore{rig: r}
	address, err := r.Serve(store)
	if err != nil {
		return "", err
	}
	r.StoreAddress = address
	r.Configure(3, routes, services)
	tutor := &rig.Worker{ID: "i-tutor-0", Service: "warp-tutor", Slots: slots, Events: events, EventEvery: eventEvery, LoadTime: loadTime}
	scorer := &rig.Worker{ID: "i-counter-0", Service: "beam-counter", Slots: scoreSlots, RequestTime: scoreTime}
	for _, w := range []*rig.Worker{tutor, scorer} {
		if err := r.AddWorker(w); err != nil {
			return "", err
		}
	}
	edges, err := r.StartEdges(2)
	if err != nil {
		return "", err
	}
	if r.Trouble {
		go store.loseAtTimes(lasts)
	}
	t := &trainer{rig: r, edges: edges, scorer: scorer}
	t.run()
	r.Note("the store lost the answers of %d of %d writes", store.lost.Load(), store.writes.Load())
	return t.fault, nil
}

// losingStore is the platform's store. At times it carries out a write and never
// answers it.
type losingStore struct {
	rig          *rig.Rig
	losing       atomic.Bool
	writes, lost atomic.Int64
}

// loseAtTimes loses answers for lostTime again and again.
func (s *losingStore) loseAtTimes(lasts time.Duration) {
	for until := time.Now().Add(lasts); time.Now().Before(until); {
		s.losing.Store(true)
		s.rig.Note("the store begins to lose answers")
		time.Sleep(lostTime)
		s.losing.Store(false)
		s.rig.Note("the store loses no more answers")
		time.Sleep(calmTime)
	}
}

func (s *losingStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet || !s.losing.Load() {
		s.rig.Store.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.writes.Add(1)
	inner := r.Clone(r.Context())
	inner.Body = io.NopCloser(bytes.NewReader(body))
	answer := httptest.NewRecorder()
	s.rig.Store.ServeHTTP(answer, inner)
	if answer.Code < http.StatusMultipleChoices && rand.Float64() < lostShare {
		s.lost.Add(1)
		s.rig.Note("the store has done %s %s and loses the answer", r.Method, r.URL.Path)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", answer.Header().Get("Content-Type"))
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

// trainer hands in one step after the other.
type trainer struct {
	rig    *rig.Rig
	edges  []*rig.Edge
	scorer *rig.Worker
	// calls counts the calls, which go to the edges in turn.
	calls int
	// group is the number of the next group.
	group int
	fault string
	// ends waits for the ends of steps that are not acknowledged yet.
	ends sync.WaitGroup
}

func (t *trainer) edge() *rig.Edge {
	t.calls++
	return t.edges[t.calls%len(t.edges)]
}

// run hands steps in until its time is up or a result is wrong.
func (t *trainer) run() {
	var carried []int
	for step, until := 0, time.Now().Add(lasts); time.Now().Before(until) && t.fault == ""; step++ {
		began := time.Now()
		list := slices.Clone(carried)
		for len(list) < groups {
			list = append(list, t.group)
			t.group++
		}
		carried = t.runStep(step, list)
		time.Sleep(training)
		if next := step + 1; next > 1 {
			t.rig.Store.Set("versions", rig.Model, fmt.Sprintf(`{"model":%q,"version":%d}`, rig.Model, next))
			t.rig.Note("version %d of %s named", next, rig.Model)
		}
		time.Sleep(time.Until(began.Add(every)))
	}
	t.ends.Wait()
}

// runStep hands a step in, reads its results until enough groups are complete or its
// time is up, and ends it. It returns the groups that were not complete, at most half
// of those that a step waits for.
func (t *trainer) runStep(step int, list []int) []int {
	job := fmt.Sprintf("7c41e09b52d6%04d", step)
	began := time.Now()
	if !t.submit(step, job, list) {
		t.rig.Note("step %d was not accepted", step)
		return nil
	}
	var results []rig.Result
	incomplete := list
	for time.Since(began) < giveUpAfter && len(list)-len(incomplete) < wanted {
		time.Sleep(readEvery)
		page, status := t.rig.Read(t.edge(), job, len(results))
		results = append(results, page.Results...)
		incomplete = nil
		for _, g := range list {
			if n := len(slices.DeleteFunc(slices.Clone(results), func(one rig.Result) bool { return groupOf(one.ID) != g })); n < groupSize {
				incomplete = append(incomplete, g)
			}
		}
		t.rig.Note("step %d: read %d, %d of %d results, %d groups incomplete", step, status, len(results), page.Total, len(incomplete))
	}
	t.check(job, results)
	t.ends.Go(func() {
		for range 10 {
			if status, _ := t.rig.Call(t.edges[step%len(t.edges)], http.MethodDelete, "/lots/"+job, "", nil, "", 4*time.Second); status == http.StatusOK {
				t.rig.Note("the end of step %d is acknowledged", step)
				return
			}
			time.Sleep(300 * time.Millisecond)
		}
	})
	return incomplete[:min(len(incomplete), wanted/2)]
}

// submit hands a step in. It reports whether the step was accepted.
func (t *trainer) submit(step int, job string, list []int) bool {
	var items []map[string]any
	for _, g := range list {
		for i := range groupSize {
			id := itemID(g, i)
			items = append(items, map[string]any{
				"id": id, "path": "/draft/x", "headers": map[string]string{
					"X-Model": rig.Model, "X-Token-Count": fmt.Sprintf("255,%d", events), "X-Prompt-Prefix": fmt.Sprintf("5d07b8%04d:255", g),
				},
				"body": "q83vEjRWeJA=", "token_count": 255 + events, "group": fmt.Sprintf("g%d", g),
				"scorer": map[string]string{"id": scorerID(id), "hostname": rig.Host, "path": "/sync/" + id, "body": "q83vEjRWeJA="},
			})
		}
	}
	body, err := json.Marshal(map[string]any{"step": step, "model": rig.Model, "min_version": max(step-1, 0), "desired_count": wanted, "items": items})
	if err != nil {
		return false
	}
	for range 6 {
		e := t.edge()
		status, _ := t.rig.Call(e, http.MethodPost, "/draft/0", job, nil, string(body), 3*time.Second)
		t.rig.Note("step %d, job %s, groups %v: %s answers %d", step, job, list, e.Name, status)
		if status == http.StatusAccepted {
			return true
		}
		time.Sleep(400 * time.Millisecond)
	}
	return false
}

// itemID names an item of a group.
func itemID(group, i int) string { return fmt.Sprintf("e5b2907c%04d%04d", group, i) }

// groupOf returns the group of an item.
func groupOf(id string) int {
	g, _ := strconv.Atoi(id[8:12])
	return g
}

// scorerID names the reward call of an item.
func scorerID(item string) string { return "5c" + item[2:] }

// check notes the results of a step whose score is not the signature of a successful
// answer to the item's reward call.
func (t *trainer) check(job string, results []rig.Result) {
	// good are the signatures of the answers by the request.
	good := make(map[string][]string)
	for _, one := range t.scorer.Runs() {
		if one.Finished {
			good[one.ID] = append(good[one.ID], rig.Stamp(t.scorer.ID, one.ID))
		}
	}
	var wrong []string
	for _, one := range results {
		call := scorerID(one.ID)
		if one.State == "completed" && !slices.Contains(good[call], one.Score) {
			t.rig.Note("job %s lists item %s as completed with score %q; the answers to its reward call were signed %q", job, one.ID, one.Score, good[call])
			wrong = append(wrong, one.ID)
		}
	}
	if len(wrong) > 0 {
		t.fault = fmt.Sprintf("MIXED: job %s lists %d results as completed whose score is not the signature of an answer to their reward call: %s", job, len(wrong), strings.Join(wrong, ", "))
	}
}
