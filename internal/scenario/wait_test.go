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

	"github.com/catkinhead/catkinhead/internal/loadgen"
	"github.com/catkinhead/catkinhead/internal/standin"
	"github.com/catkinhead/catkinhead/pkg/platform"
)

// ordered N WITHIN: waits until the platform has accepted at least N orders with
// different IDs. Here and in the commands below, WITHIN is the longest time to
// wait, such as 10s.
func cmdOrdered(ts *testscript.TestScript, _ bool, args []string) {
	env := envOf(ts)
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	env.waitUntil(ts, duration(ts, args[1]), args[0]+" orders", func() bool {
		ids := make(map[string]bool)
		for _, o := range env.stats(ts).Orders {
			if !o.Refused {
				ids[o.ID] = true
			}
		}
		return len(ids) >= n
	})
}

// deciding CENTRE WITHIN: waits until an instance has decided on an order for the
// data centre and is about to send it.
func cmdDeciding(ts *testscript.TestScript, _ bool, args []string) {
	env := envOf(ts)
	env.waitUntil(ts, duration(ts, args[1]), "an order that is about to be sent", func() bool {
		for _, name := range env.instances {
			var d struct {
				State struct {
					Fleet struct {
						Centres map[string]struct{ Sending map[string]bool }
					}
				}
			}
			req, err := http.NewRequest(http.MethodGet, "http://"+env.addresses[name]+"/dump", nil)
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

// equal A B: checks that two strings are equal.
func cmdEqual(ts *testscript.TestScript, _ bool, args []string) {
	if args[0] != args[1] {
		ts.Fatalf("%q is not %q", args[0], args[1])
	}
}

// ready NAME...: waits until the instances report that they are ready.
func cmdReady(ts *testscript.TestScript, _ bool, args []string) {
	env := envOf(ts)
	for _, name := range args {
		env.waitUntilUp(ts, "http://"+env.addresses[name]+"/readyz")
	}
}

// await-call WITHIN STATUS URL OPTIONS: repeats a call until it returns the status.
func cmdAwaitCall(ts *testscript.TestScript, _ bool, args []string) {
	envOf(ts).waitUntil(ts, duration(ts, args[0]), strings.Join(args[1:], " "), func() bool {
		status, _, _, err := sendCall(args[2], parseOptions(args[3:]))
		return err == nil && fmt.Sprint(status) == args[1]
	})
}

// sleep DURATION: pauses the script.
func cmdSleep(ts *testscript.TestScript, _ bool, args []string) { time.Sleep(duration(ts, args[0])) }

// stored KEY TEXT WITHIN: waits until an object in the store contains a text.
func cmdStored(ts *testscript.TestScript, _ bool, args []string) {
	env := envOf(ts)
	env.waitUntil(ts, duration(ts, args[2]), args[0]+" to contain "+args[1], func() bool {
		res, err := client.Get(env.platformURL + "/objects/" + args[0])
		if err != nil {
			return false
		}
		defer res.Body.Close()
		var o platform.Object
		return json.NewDecoder(res.Body).Decode(&o) == nil && strings.Contains(string(o.Value), args[1])
	})
}

// one-of A B CODE1 CODE2: waits until two processes have exited and checks that
// one returned each exit code.
func cmdOneOf(ts *testscript.TestScript, _ bool, args []string) {
	env := envOf(ts)
	a, b := env.procs[args[0]], env.procs[args[1]]
	<-a.done
	<-b.done
	got := fmt.Sprint(a.cmd.ProcessState.ExitCode(), b.cmd.ProcessState.ExitCode())
	if got != args[2]+" "+args[3] && got != args[3]+" "+args[2] {
		ts.Fatalf("exit codes %s, want %s and %s in any order", got, args[2], args[3])
	}
}

// leave ENGINE: makes an engine report that it is leaving. It doesn't refuse
// requests, so that scripts can check that instances stop sending them.
func cmdLeave(ts *testscript.TestScript, _ bool, args []string) {
	env := envOf(ts)
	env.postBody(ts, "http://"+env.addresses[args[0]]+"/leave", "")
}

// loaded NAME MIN: checks the output of the finished process NAME, which ran
// catkinhead load --json: it got at least MIN answers and no request failed.
func cmdLoaded(ts *testscript.TestScript, _ bool, args []string) {
	env := envOf(ts)
	b, err := os.ReadFile(filepath.Join(env.dir, args[0]+".log"))
	ts.Check(err)
	var r loadgen.Result
	ts.Check(json.Unmarshal(b, &r))
	minAnswers, err := strconv.ParseInt(args[1], 10, 64)
	ts.Check(err)
	if r.Live["live"].Count < minAnswers || len(r.Refused) > 0 {
		ts.Fatalf("%d answers, want at least %s and none refused or cut off: %v", r.Live["live"].Count, args[1], r.Refused)
	}
}

// balancer: starts a load balancer that sends requests in turn to the instances
// that were ready at its last check, and sets $BALANCER to its address.
func cmdBalancer(ts *testscript.TestScript, _ bool, _ []string) {
	env := envOf(ts)
	var ready atomic.Pointer[[]string]
	checkReady := func() {
		var list []string
		for _, name := range env.instances {
			res, err := client.Get("http://" + env.addresses[name] + "/readyz")
			if err == nil {
				res.Body.Close()
				if res.StatusCode == http.StatusOK {
					list = append(list, env.addresses[name])
				}
			}
		}
		ready.Store(&list)
	}
	checkReady()
	stop := make(chan struct{})
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
				checkReady()
			}
		}
	}()
	var requestCount atomic.Int64
	proxy := &httputil.ReverseProxy{Rewrite: func(r *httputil.ProxyRequest) {
		list := *ready.Load()
		r.SetURL(&url.URL{Scheme: "http", Host: list[int(requestCount.Add(1))%len(list)]})
	}, Transport: &http.Transport{DisableKeepAlives: true}}
	srv := httptest.NewServer(proxy)
	ts.Setenv("BALANCER", strings.TrimPrefix(srv.URL, "http://"))
	ts.Defer(func() {
		close(stop)
		srv.Close()
	})
}

// whole ADDRESS KEY TOKENS N: sends N requests with different prompts and checks
// that each answer is the complete text that an engine generates for its prompt.
// The expected text has 40 tokens, so TOKENS must be 40.
func cmdWhole(ts *testscript.TestScript, _ bool, args []string) {
	tokens, err := strconv.ParseInt(args[2], 10, 64)
	ts.Check(err)
	n, err := strconv.Atoi(args[3])
	ts.Check(err)
	for i := range n {
		prompt := fmt.Sprintf("question %d", i)
		body := fmt.Sprintf(`{"model":"draft","max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, tokens, prompt)
		status, _, b, err := sendCall(args[0]+"/v1/chat/completions", map[string]string{"key": args[1], "body": body})
		ts.Check(err)
		var out struct {
			Choices []struct{ Message struct{ Content string } }
		}
		ts.Check(json.Unmarshal(b, &out))
		if status != http.StatusOK || out.Choices[0].Message.Content != standin.Text(prompt, 0, 40) {
			ts.Fatalf("answer %d is incomplete or wrong: %d %s", i, status, b)
		}
	}
}

// running VERSION WITHIN ENGINE...: waits until all engines report a version of
// the weights.
func cmdRunning(ts *testscript.TestScript, _ bool, args []string) {
	env := envOf(ts)
	env.waitUntil(ts, duration(ts, args[1]), "version "+args[0]+" on all engines", func() bool {
		for _, e := range args[2:] {
			var l platform.Load
			env.getJSON(ts, "http://"+env.addresses[e]+"/load", &l)
			if fmt.Sprint(l.Version) != args[0] {
				return false
			}
		}
		return true
	})
}

// edit-anywhere WORKSPACE WITHIN: creates a workspace through the first running
// instance that accepts the change, and records the time for the command
// everywhere.
func cmdEditAnywhere(ts *testscript.TestScript, _ bool, args []string) {
	env := envOf(ts)
	env.waitUntil(ts, duration(ts, args[1]), "workspace "+args[0]+" to be created", func() bool {
		for _, name := range env.runningInstances() {
			if ts.Exec("catkinhead", "workspace", "create", args[0], "--address", env.addresses[name]) == nil {
				return true
			}
		}
		return false
	})
	env.marks["edited"] = time.Now()
}

// everywhere TEXT WITHIN: waits until the configuration in force on each running
// instance contains a text, and logs the time since the last edit-anywhere.
func cmdEverywhere(ts *testscript.TestScript, _ bool, args []string) {
	env := envOf(ts)
	env.waitUntil(ts, duration(ts, args[1]), args[0]+" to be in force on all instances", func() bool {
		for _, name := range env.runningInstances() {
			_, _, b, err := sendCall(env.addresses[name]+"/twirp/catkinhead.Operator/GetConfig", map[string]string{"key": operatorKey, "body": "{}"})
			var doc struct{ Document []byte }
			if err != nil || json.Unmarshal(b, &doc) != nil || !strings.Contains(string(doc.Document), args[0]) {
				return false
			}
		}
		return true
	})
	ts.Logf("%s in force on all instances %v after the edit", args[0], time.Since(env.marks["edited"]))
}

// runningInstances lists the instances whose process has not exited.
func (env *testEnv) runningInstances() []string {
	var out []string
	for _, name := range env.instances {
		select {
		case <-env.procs[name].done:
		default:
			out = append(out, name)
		}
	}
	return out
}
