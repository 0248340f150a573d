package scenario

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/catkinhead/catkinhead/internal/standin"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// stats returns the counters of the simulated platform.
func (env *testEnv) stats(ts *testscript.TestScript) standin.PlatformStats {
	var s standin.PlatformStats
	env.getJSON(ts, env.platformURL+"/stats", &s)
	return s
}

// engineStats returns the counters of an engine.
func (env *testEnv) engineStats(ts *testscript.TestScript, name string) standin.EngineStats {
	var s standin.EngineStats
	env.getJSON(ts, "http://"+env.addresses[name]+"/stats", &s)
	return s
}

// lease holds the fields of a stored lease that the scripts check. Holder is the
// incarnation of an instance, in the form "instance#start".
type lease struct {
	Holder string
	Fence  int64
}

// holder LEASE VAR [not=NAME] [within=D]: waits until a lease, such as
// orders.north or usage, is held by an instance other than NAME. It sets $VAR to
// the instance and $VAR_ADDR to its address.
func cmdHolder(ts *testscript.TestScript, _ bool, args []string) {
	env := envOf(ts)
	o := parseOptions(args[2:])
	limit := 15 * time.Second
	if o["within"] != "" {
		limit = duration(ts, o["within"])
	}
	env.waitUntil(ts, limit, "holder of "+args[0], func() bool {
		res, err := client.Get(env.platformURL + "/objects/lease%2F" + args[0])
		if err != nil {
			return false
		}
		defer res.Body.Close()
		var obj struct{ Value []byte }
		var l lease
		if json.NewDecoder(res.Body).Decode(&obj) != nil || json.Unmarshal(obj.Value, &l) != nil {
			return false
		}
		name, _, _ := strings.Cut(l.Holder, "#")
		if name == "" || name == o["not"] {
			return false
		}
		ts.Setenv(args[1], name)
		ts.Setenv(args[1]+"_ADDR", env.addresses[name])
		return true
	})
}

// in-charge [ENGINE...] [atleast=N]: checks that the platform, for each data
// centre, and each of the named engines accepted no order with an older fencing
// token after one with a newer token. With atleast, the platform must have
// accepted orders from at least N instances.
func cmdInCharge(ts *testscript.TestScript, _ bool, args []string) {
	env := envOf(ts)
	o := parseOptions(args)
	highest, senders := make(map[unit.DataCentre]unit.Fence), make(map[string]bool)
	for i, order := range env.stats(ts).Orders {
		if order.Refused {
			continue
		}
		if order.Fence < highest[order.DataCentre] {
			ts.Fatalf("order %d (%s from %s) has fencing token %d after %d", i, order.ID, order.From, order.Fence, highest[order.DataCentre])
		}
		highest[order.DataCentre] = order.Fence
		senders[order.From] = true
	}
	for _, e := range args {
		if !strings.Contains(e, "=") {
			checkSwapTokens(ts, e, env.engineStats(ts, e).Swaps)
		}
	}
	if n, _ := strconv.Atoi(o["atleast"]); len(senders) < n {
		ts.Fatalf("orders came from %d instances, want %d", len(senders), n)
	}
}

// checkSwapTokens checks the fencing tokens of the weight orders that an engine
// accepted.
func checkSwapTokens(ts *testscript.TestScript, name string, swaps []standin.SwapRecord) {
	var highest unit.Fence
	for i, swap := range swaps {
		if swap.Refused {
			continue
		}
		if swap.Fence < highest {
			ts.Fatalf("%s: order %d from %s has fencing token %d after %d", name, i, swap.From, swap.Fence, highest)
		}
		highest = swap.Fence
	}
	if len(swaps) == 0 {
		ts.Fatalf("%s received no order", name)
	}
}

// usage WORKSPACE TOKENS [within=D]: waits until the windows reported to the
// platform sum to TOKENS for the workspace, and checks that they never exceed it
// and that no window was reported twice with different figures.
func cmdUsage(ts *testscript.TestScript, _ bool, args []string) {
	env := envOf(ts)
	want, err := strconv.ParseInt(args[1], 10, 64)
	ts.Check(err)
	limit := 20 * time.Second
	if d := parseOptions(args[2:])["within"]; d != "" {
		limit = duration(ts, d)
	}
	var got int64
	env.waitUntil(ts, limit, fmt.Sprintf("usage of %s to reach %d", args[0], want), func() bool {
		s := env.stats(ts)
		got = reportedTokens(ts, s, args[0])
		if s.Different > 0 {
			ts.Fatalf("%d reports differed from the one already accepted for their window", s.Different)
		}
		if got > want {
			ts.Fatalf("usage of %s reached %d, want %d", args[0], got, want)
		}
		return got == want
	})
	logLateness(ts, env.stats(ts))
}

// logLateness logs the median and the highest delay between the end of a window
// and the acceptance of its report. It relies on the window length that setup
// configures.
func logLateness(ts *testscript.TestScript, s standin.PlatformStats) {
	const windowMillis = 2000
	var lateness []int64
	for name, at := range s.WindowAt {
		n, err := strconv.ParseInt(name, 10, 64)
		ts.Check(err)
		lateness = append(lateness, at-(n+1)*windowMillis)
	}
	slices.Sort(lateness)
	if len(lateness) > 0 {
		ts.Logf("%d windows, lateness in ms: median %d, highest %d", len(lateness), lateness[len(lateness)/2], lateness[len(lateness)-1])
	}
}

// reportedTokens sums the tokens of a workspace over all accepted windows.
func reportedTokens(ts *testscript.TestScript, s standin.PlatformStats, workspace string) int64 {
	var sum int64
	for _, b := range s.Windows {
		var body struct {
			Lines []struct {
				Workspace string
				Tokens    int64
			}
		}
		ts.Check(json.Unmarshal(b, &body))
		for _, l := range body.Lines {
			if l.Workspace == workspace {
				sum += l.Tokens
			}
		}
	}
	return sum
}

// ran BODY N ENGINE...: checks that a call with this body to a pool of kind Plain
// ran N times in total on the engines.
func cmdRan(ts *testscript.TestScript, _ bool, args []string) {
	env := envOf(ts)
	n := 0
	for _, e := range args[2:] {
		n += env.engineStats(ts, e).Calls[args[0]]
	}
	if fmt.Sprint(n) != args[1] {
		ts.Fatalf("%q ran %d times, want %s", args[0], n, args[1])
	}
}

// unseen TEXT ENGINE...: checks that no header or URL that the engines received
// contains TEXT.
func cmdUnseen(ts *testscript.TestScript, _ bool, args []string) {
	env := envOf(ts)
	for _, e := range args[1:] {
		s := env.engineStats(ts, e)
		if len(s.Seen) == 0 {
			ts.Fatalf("%s received no request", e)
		}
		for _, line := range s.Seen {
			if strings.Contains(strings.ToLower(line), strings.ToLower(args[0])) {
				ts.Fatalf("%s received %q in %s", e, args[0], line)
			}
		}
	}
}

// samples FILE N [oldest=V tokens=VAR]: checks that the file has N samples without
// duplicates, each complete and with the versions of the weights that produced
// it. With oldest, no version may be older than V; versions are compared as
// strings, so all must have the same number of digits. With tokens, $VAR is set to
// the sum of their tokens.
func cmdSamples(ts *testscript.TestScript, _ bool, args []string) {
	o := parseOptions(args[2:])
	list := readSamples(ts, args[0])
	seen := make(map[int32]bool)
	var tokens int64
	for _, s := range list {
		if seen[s.Index] {
			ts.Fatalf("sample %d was received twice", s.Index)
		}
		seen[s.Index] = true
		tokens += s.Tokens
		if int64(len(strings.Fields(s.Text))) != s.Tokens || len(s.Versions) == 0 {
			ts.Fatalf("sample %d is incomplete or has no version: %v", s.Index, s)
		}
		for _, v := range s.Versions {
			if fmt.Sprint(v.Version) < o["oldest"] {
				ts.Fatalf("sample %d was produced by version %d, want %s or newer", s.Index, v.Version, o["oldest"])
			}
		}
	}
	if fmt.Sprint(len(list)) != args[1] {
		ts.Fatalf("received %d samples, want %s", len(list), args[1])
	}
	if o["tokens"] != "" {
		ts.Setenv(o["tokens"], fmt.Sprint(tokens))
	}
}

// mark NAME: records the current time under a name.
func cmdMark(ts *testscript.TestScript, _ bool, args []string) {
	envOf(ts).marks[args[0]] = time.Now()
}

// passed NAME MIN MAX: checks that the time since a mark is in a range.
func cmdPassed(ts *testscript.TestScript, _ bool, args []string) {
	d := time.Since(envOf(ts).marks[args[0]])
	ts.Logf("since %s: %v", args[0], d)
	if d < duration(ts, args[1]) || d > duration(ts, args[2]) {
		ts.Fatalf("%v since %s, want %s to %s", d, args[0], args[1], args[2])
	}
}

// quiet ENGINE MARK DURATION: checks that an engine started no request later than
// DURATION after a mark.
func cmdQuiet(ts *testscript.TestScript, _ bool, args []string) {
	env := envOf(ts)
	last := time.UnixMilli(env.engineStats(ts, args[0]).LastStart)
	if limit := env.marks[args[1]].Add(duration(ts, args[2])); last.After(limit) {
		ts.Fatalf("%s started a request %v after the mark", args[0], last.Sub(env.marks[args[1]]))
	}
}

// storecalls begin: starts counting the calls to the store.
// storecalls MAX: logs their rate since then and checks that it is at most MAX a
// second.
func cmdStoreCalls(ts *testscript.TestScript, _ bool, args []string) {
	env := envOf(ts)
	if args[0] == "begin" {
		env.marks["calls"] = time.Now()
		ts.Setenv("CALLS", fmt.Sprint(env.stats(ts).StoreCalls))
		return
	}
	before, _ := strconv.ParseInt(ts.Getenv("CALLS"), 10, 64)
	rate := float64(env.stats(ts).StoreCalls-before) / time.Since(env.marks["calls"]).Seconds()
	ts.Logf("store calls a second: %.1f", rate)
	limit, err := strconv.ParseFloat(args[0], 64)
	ts.Check(err)
	if rate > limit {
		ts.Fatalf("%.1f store calls a second, want at most %v", rate, limit)
	}
}

// crashes N ENGINE...: checks that exactly N of the engines have exited.
func cmdCrashes(ts *testscript.TestScript, _ bool, args []string) {
	env := envOf(ts)
	var down []string
	for _, e := range args[1:] {
		select {
		case <-env.procs[e].done:
			down = append(down, e)
		default:
		}
	}
	slices.Sort(down)
	if fmt.Sprint(len(down)) != args[0] {
		ts.Fatalf("engines that exited: %v, want %s", down, args[0])
	}
}

// lines FILE N: waits until a file has at least N lines.
func cmdLines(ts *testscript.TestScript, _ bool, args []string) {
	env := envOf(ts)
	n, err := strconv.Atoi(args[1])
	ts.Check(err)
	env.waitUntil(ts, 20*time.Second, args[1]+" lines in "+args[0], func() bool {
		b, err := os.ReadFile(ts.MkAbs(args[0]))
		return err == nil && strings.Count(string(b), "\n") >= n
	})
}

// sum A B VAR: sets $VAR to the sum of two numbers.
func cmdSum(ts *testscript.TestScript, _ bool, args []string) {
	a, err := strconv.Atoi(args[0])
	ts.Check(err)
	b, err := strconv.Atoi(args[1])
	ts.Check(err)
	ts.Setenv(args[2], strconv.Itoa(a+b))
}
