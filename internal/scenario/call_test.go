package scenario

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/catkinhead/catkinhead/pkg/rpc"
)

// client sends the HTTP requests of all scripts.
var client = &http.Client{Timeout: 30 * time.Second}

// postJSON posts a value as JSON and fails the script unless it is accepted.
func (env *testEnv) postJSON(ts *testscript.TestScript, url string, v any) {
	b, err := json.Marshal(v)
	ts.Check(err)
	res, err := client.Post(url, "application/json", bytes.NewReader(b))
	ts.Check(err)
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		ts.Fatalf("%s: status %s", url, res.Status)
	}
}

// getJSON decodes the JSON response of a GET request, whose status it ignores.
func (env *testEnv) getJSON(ts *testscript.TestScript, url string, v any) {
	res, err := client.Get(url)
	ts.Check(err)
	defer res.Body.Close()
	ts.Check(json.NewDecoder(res.Body).Decode(v))
}

// waitUntilUp waits up to 10 s until a GET request returns 200.
func (env *testEnv) waitUntilUp(ts *testscript.TestScript, url string) {
	env.waitUntil(ts, 10*time.Second, url, func() bool {
		res, err := client.Get(url)
		if err != nil {
			return false
		}
		res.Body.Close()
		return res.StatusCode == http.StatusOK
	})
}

// fault PROCESS JSON: sets a fault of the platform or of an engine, given as a
// standin.Fault. Without a Mode it clears the fault.
func cmdFault(ts *testscript.TestScript, _ bool, args []string) {
	env := envOf(ts)
	env.postBody(ts, "http://"+env.addresses[args[0]]+"/faults", args[1])
}

// post PROCESS PATH JSON: posts to the platform or to an engine.
func cmdPost(ts *testscript.TestScript, _ bool, args []string) {
	env := envOf(ts)
	env.postBody(ts, "http://"+env.addresses[args[0]]+args[1], args[2])
}

// postBody posts a body and fails the script unless it is accepted.
func (env *testEnv) postBody(ts *testscript.TestScript, url, body string) {
	res, err := client.Post(url, "application/json", strings.NewReader(body))
	ts.Check(err)
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(res.Body)
		ts.Fatalf("%s: %s %s", url, res.Status, b)
	}
}

// parseOptions parses key=value arguments.
func parseOptions(args []string) map[string]string {
	out := make(map[string]string)
	for _, a := range args {
		k, v, _ := strings.Cut(a, "=")
		out[k] = v
	}
	return out
}

// call STATUS URL [key= ticket= body= type= match= header=]: posts to an instance
// and sets $OUTCOME, and $TICKET if the response has a ticket. URL has no scheme.
// STATUS is a regular expression for the status of the response, or none if the
// call must fail without a response. match is a regular expression for the body.
func cmdCall(ts *testscript.TestScript, _ bool, args []string) {
	o := parseOptions(args[2:])
	status, header, body, err := sendCall(args[1], o)
	if err != nil {
		if args[0] == "none" {
			return
		}
		ts.Fatalf("%s: %v", args[1], err)
	}
	if ok, _ := regexp.MatchString("^("+args[0]+")$", fmt.Sprint(status)); !ok {
		ts.Fatalf("%s: status %d, want %s\n%s", args[1], status, args[0], body)
	}
	if m := o["match"]; m != "" && !regexp.MustCompile(m).Match(body) {
		ts.Fatalf("%s: no match for %q in\n%s", args[1], m, body)
	}
	ts.Setenv("OUTCOME", header.Get("X-Catkinhead-Outcome"))
	var t struct{ Ticket string }
	if json.Unmarshal(body, &t) == nil && t.Ticket != "" {
		ts.Setenv("TICKET", t.Ticket)
	}
}

// sendCall posts to an instance. o holds the options of the command call, url has
// no scheme. The error is not nil if there was no complete response.
func sendCall(url string, o map[string]string) (int, http.Header, []byte, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+url, strings.NewReader(o["body"]))
	if err != nil {
		return 0, nil, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	if t := o["type"]; t != "" {
		req.Header.Set("Content-Type", t)
	}
	if k := o["key"]; k != "" {
		req.Header.Set("Authorization", "Bearer "+k)
	}
	if t := o["ticket"]; t != "" {
		req.Header.Set("Idempotency-Key", t)
	}
	if k, v, ok := strings.Cut(o["header"], ":"); ok {
		req.Header.Set(k, v)
	}
	res, err := client.Do(req)
	if err != nil {
		return 0, nil, nil, err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return res.StatusCode, res.Header, b, err
}

// stream NAME URL KEY BODY: starts a request with a streamed response and waits
// for the first chunk.
func cmdStream(ts *testscript.TestScript, _ bool, args []string) {
	env := envOf(ts)
	req, err := http.NewRequest(http.MethodPost, "http://"+args[1], strings.NewReader(args[3]))
	ts.Check(err)
	req.Header.Set("Authorization", "Bearer "+args[2])
	res, err := client.Do(req)
	ts.Check(err)
	if res.StatusCode != http.StatusOK {
		ts.Fatalf("stream: status %s", res.Status)
	}
	sc := bufio.NewScanner(res.Body)
	sc.Scan()
	ended := make(chan string, 1)
	env.streams[args[0]] = ended
	go func() {
		defer res.Body.Close()
		last := sc.Text()
		for sc.Scan() {
			if sc.Text() != "" {
				last = sc.Text()
			}
		}
		ended <- last
	}()
}

// streamed NAME WITHIN REGEX: waits at most WITHIN for the end of a stream and
// checks that its last line matches REGEX.
func cmdStreamed(ts *testscript.TestScript, _ bool, args []string) {
	select {
	case last := <-envOf(ts).streams[args[0]]:
		if !regexp.MustCompile(args[2]).MatchString(last) {
			ts.Fatalf("stream ended with %q, want %q", last, args[2])
		}
	case <-time.After(duration(ts, args[1])):
		ts.Fatalf("stream %s did not end within %s", args[0], args[1])
	}
}

// readSamples reads the samples in a file written by `catkinhead step --out`.
func readSamples(ts *testscript.TestScript, file string) []*rpc.Sample {
	var out []*rpc.Sample
	for line := range strings.SplitSeq(strings.TrimSpace(ts.ReadFile(file)), "\n") {
		if line == "" {
			continue
		}
		s := &rpc.Sample{}
		ts.Check(json.Unmarshal([]byte(line), s))
		out = append(out, s)
	}
	return out
}
