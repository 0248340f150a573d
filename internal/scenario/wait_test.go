package scenario

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/catkinhead/catkinhead/internal/load"
	"github.com/catkinhead/catkinhead/internal/standin"
	"github.com/catkinhead/catkinhead/pkg/platform"
)

// ordered N WITHIN: waits until the platform took N different orders.
func cmdOrdered(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	w.until(ts, duration(ts, args[1]), args[0]+" orders", func() bool {
		ids := make(map[string]bool)
		for _, o := range w.stats(ts).Orders {
			if !o.Refused {
				ids[o.ID] = true
			}
		}
		return len(ids) >= n
	})
}

// deciding CENTRE WITHIN: waits until an instance has an order on its way.
func cmdDeciding(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	w.until(ts, duration(ts, args[1]), "an order on its way", func() bool {
		for _, name := range w.order {
			var d struct {
				State struct {
					Fleet struct {
						Centres map[string]struct{ Sending map[string]bool }
					}
				}
			}
			req, err := http.NewRequest(http.MethodGet, "http://"+w.address[name]+"/dump", nil)
			ts.Check(err)
			req.Header.Set("Authorization", "Bearer "+operatorKey)
			res, err := client.Do(req)
			if err != nil {
				continue
			}
			err = json.NewDecoder(res.Body).Decode(&d)
			res.Body.Close()
			if err == nil && len(d.State.Fleet.Centres[args[0]].Sending) > 0 {
				return true
			}
		}
		return false
	})
}

// equal A B: compares two texts.
func cmdEqual(ts *testscript.TestScript, _ bool, args []string) {
	if args[0] != args[1] {
		ts.Fatalf("%q is not %q", args[0], args[1])
	}
}

// ready NAME...: waits until instances are ready.
func cmdReady(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	for _, name := range args {
		w.untilUp(ts, "http://"+w.address[name]+"/readyz")
	}
}

// await-call WITHIN STATUS URL OPTIONS: repeats a call until it has a status.
func cmdAwaitCall(ts *testscript.TestScript, _ bool, args []string) {
	worldOf(ts).until(ts, duration(ts, args[0]), strings.Join(args[1:], " "), func() bool {
		status, _, _, err := do(args[2], options(args[3:]))
		return err == nil && fmt.Sprint(status) == args[1]
	})
}

func cmdSleep(ts *testscript.TestScript, _ bool, args []string) { time.Sleep(duration(ts, args[0])) }

// stored KEY TEXT WITHIN: waits until an object in the store holds a text.
func cmdStored(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	w.until(ts, duration(ts, args[2]), args[0]+" holds "+args[1], func() bool {
		res, err := client.Get(w.url + "/objects/" + args[0])
		if err != nil {
			return false
		}
		defer res.Body.Close()
		var o platform.Object
		return json.NewDecoder(res.Body).Decode(&o) == nil && strings.Contains(string(o.Value), args[1])
	})
}

// one-of A B CODE1 CODE2: the two processes end, one with each code.
func cmdOneOf(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	a, b := w.procs[args[0]], w.procs[args[1]]
	<-a.done
	<-b.done
	got := fmt.Sprint(a.cmd.ProcessState.ExitCode(), b.cmd.ProcessState.ExitCode())
	if got != args[2]+" "+args[3] && got != args[3]+" "+args[2] {
		ts.Fatalf("ended with %s, want %s and %s", got, args[2], args[3])
	}
}

// leave ENGINE: the engine takes no new work from now on.
func cmdLeave(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	w.post(ts, "http://"+w.address[args[0]]+"/leave", "")
}

// loaded NAME MIN: checks that a load ended with so many answers and nothing
// refused or cut.
func cmdLoaded(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	b, err := os.ReadFile(filepath.Join(w.dir, args[0]+".log"))
	ts.Check(err)
	var r load.Result
	ts.Check(json.Unmarshal(b, &r))
	least, err := strconv.ParseInt(args[1], 10, 64)
	ts.Check(err)
	if r.Live["live"].Count < least || len(r.Refused) > 0 {
		ts.Fatalf("%d answers, want %s; refused or cut: %v", r.Live["live"].Count, args[1], r.Refused)
	}
}

// balancer: stands in for the platform's: it sends each request to an instance
// that was ready at its last look, and sets $BALANCER.
func cmdBalancer(ts *testscript.TestScript, _ bool, _ []string) {
	w := worldOf(ts)
	var ready atomic.Pointer[[]string]
	look := func() {
		var list []string
		for _, name := range w.order {
			res, err := client.Get("http://" + w.address[name] + "/readyz")
			if err == nil {
				res.Body.Close()
				if res.StatusCode == http.StatusOK {
					list = append(list, w.address[name])
				}
			}
		}
		ready.Store(&list)
	}
	look()
	stop := make(chan struct{})
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
				look()
			}
		}
	}()
	var turn atomic.Int64
	proxy := &httputil.ReverseProxy{Rewrite: func(r *httputil.ProxyRequest) {
		list := *ready.Load()
		r.SetURL(&url.URL{Scheme: "http", Host: list[int(turn.Add(1))%len(list)]})
	}, Transport: &http.Transport{DisableKeepAlives: true}}
	srv := httptest.NewServer(proxy)
	ts.Setenv("BALANCER", strings.TrimPrefix(srv.URL, "http://"))
	ts.Defer(func() {
		close(stop)
		srv.Close()
	})
}

// whole URL KEY TOKENS N: asks N times and compares each answer with what an
// engine gives for that prompt.
func cmdWhole(ts *testscript.TestScript, _ bool, args []string) {
	tokens, err := strconv.ParseInt(args[2], 10, 64)
	ts.Check(err)
	n, err := strconv.Atoi(args[3])
	ts.Check(err)
	for i := range n {
		prompt := fmt.Sprintf("question %d", i)
		body := fmt.Sprintf(`{"model":"draft","max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, tokens, prompt)
		status, _, b, err := do(args[0]+"/v1/chat/completions", map[string]string{"key": args[1], "body": body})
		ts.Check(err)
		var out struct {
			Choices []struct{ Message struct{ Content string } }
		}
		ts.Check(json.Unmarshal(b, &out))
		if status != http.StatusOK || out.Choices[0].Message.Content != standin.Text(prompt, 0, 40) {
			ts.Fatalf("answer %d is not whole: %d %s", i, status, b)
		}
	}
}

// running VERSION WITHIN ENGINE...: waits until engines report a version.
func cmdRunning(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	w.until(ts, duration(ts, args[1]), "version "+args[0]+" everywhere", func() bool {
		for _, e := range args[2:] {
			var l platform.Load
			w.fetch(ts, "http://"+w.address[e]+"/load", &l)
			if fmt.Sprint(l.Version) != args[0] {
				return false
			}
		}
		return true
	})
}

// edit-anywhere WORKSPACE WITHIN: creates a workspace through any instance
// that lives.
func cmdEditAnywhere(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	w.until(ts, duration(ts, args[1]), "workspace "+args[0]+" created", func() bool {
		for _, name := range w.alive() {
			if ts.Exec("catkinhead", "workspace", "create", args[0], "--address", w.address[name]) == nil {
				return true
			}
		}
		return false
	})
	w.marks["edited"] = time.Now()
}

// everywhere TEXT WITHIN: waits until each living instance has a configuration
// with a text in force.
func cmdEverywhere(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	w.until(ts, duration(ts, args[1]), args[0]+" in force everywhere", func() bool {
		for _, name := range w.alive() {
			_, _, b, err := do(w.address[name]+"/twirp/catkinhead.Operator/GetConfig", map[string]string{"key": operatorKey, "body": "{}"})
			var doc struct{ Document []byte }
			if err != nil || json.Unmarshal(b, &doc) != nil || !strings.Contains(string(doc.Document), args[0]) {
				return false
			}
		}
		return true
	})
	ts.Logf("%s everywhere %v after the edit", args[0], time.Since(w.marks["edited"]))
}

// alive lists the instances whose process runs.
func (w *world) alive() []string {
	var out []string
	for _, name := range w.order {
		select {
		case <-w.procs[name].done:
		default:
			out = append(out, name)
		}
	}
	return out
}
