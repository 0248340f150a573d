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

func (w *world) stats(ts *testscript.TestScript) standin.PlatformStats {
	var s standin.PlatformStats
	w.fetch(ts, w.url+"/stats", &s)
	return s
}

func (w *world) engineStats(ts *testscript.TestScript, name string) standin.EngineStats {
	var s standin.EngineStats
	w.fetch(ts, "http://"+w.address[name]+"/stats", &s)
	return s
}

// lease is a lease object as it stands in the store.
type lease struct {
	Holder string
	Fence  int64
}

// holder SCOPE VAR [not=NAME] [within=D]: waits for a holder of a lease, other
// than NAME, and sets VAR to its instance.
func cmdHolder(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	o := options(args[2:])
	limit := 15 * time.Second
	if o["within"] != "" {
		limit = duration(ts, o["within"])
	}
	w.until(ts, limit, "holder of "+args[0], func() bool {
		res, err := client.Get(w.url + "/objects/lease%2F" + args[0])
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
		ts.Setenv(args[1]+"_ADDR", w.address[name])
		return true
	})
}

// in-charge [ENGINE...] [atleast=N]: counts at the receivers, the platform and
// the engines named, that no order from an older grant was taken after one from
// a newer; atleast wants so many instances to have ordered.
func cmdInCharge(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	o := options(args)
	highest, senders := make(map[unit.DataCentre]unit.Fence), make(map[string]bool)
	for i, x := range w.stats(ts).Orders {
		if x.Refused {
			continue
		}
		if x.Fence < highest[x.DataCentre] {
			ts.Fatalf("order %d (%s from %s) has term %d after term %d", i, x.ID, x.From, x.Fence, highest[x.DataCentre])
		}
		highest[x.DataCentre] = x.Fence
		senders[x.From] = true
	}
	for _, e := range args {
		if !strings.Contains(e, "=") {
			swapsInCharge(ts, e, w.engineStats(ts, e).Swaps)
		}
	}
	if n, _ := strconv.Atoi(o["atleast"]); len(senders) < n {
		ts.Fatalf("orders came from %d instances, want %d", len(senders), n)
	}
}

func swapsInCharge(ts *testscript.TestScript, name string, swaps []standin.SwapRecord) {
	var highest unit.Fence
	for i, x := range swaps {
		if x.Refused {
			continue
		}
		if x.Fence < highest {
			ts.Fatalf("%s: order %d from %s has term %d after term %d", name, i, x.From, x.Fence, highest)
		}
		highest = x.Fence
	}
	if len(swaps) == 0 {
		ts.Fatalf("%s took no order", name)
	}
}

// usage WORKSPACE TOKENS [within=D]: waits until the reported windows add up,
// and checks that none was reported with other figures.
func cmdUsage(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	want, err := strconv.ParseInt(args[1], 10, 64)
	ts.Check(err)
	limit := 20 * time.Second
	if d := options(args[2:])["within"]; d != "" {
		limit = duration(ts, d)
	}
	var got int64
	w.until(ts, limit, fmt.Sprintf("usage of %s is %d", args[0], want), func() bool {
		s := w.stats(ts)
		got = reported(ts, s, args[0])
		if s.Different > 0 {
			ts.Fatalf("%d windows were reported with other figures", s.Different)
		}
		if got > want {
			ts.Fatalf("usage of %s is %d, want %d", args[0], got, want)
		}
		return got == want
	})
	logLateness(ts, w.stats(ts))
}

// logLateness logs how long after its end each window was accepted, at the
// most and in the median. Windows are those of the scripts' settings, 2 s long.
func logLateness(ts *testscript.TestScript, s standin.PlatformStats) {
	const length = 2000
	var late []int64
	for name, at := range s.WindowAt {
		n, err := strconv.ParseInt(name, 10, 64)
		ts.Check(err)
		late = append(late, at-(n+1)*length)
	}
	slices.Sort(late)
	if len(late) > 0 {
		ts.Logf("%d windows, lateness in ms: median %d, highest %d", len(late), late[len(late)/2], late[len(late)-1])
	}
}

func reported(ts *testscript.TestScript, s standin.PlatformStats, workspace string) int64 {
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

// ran BODY N ENGINE...: counts the runs of a plain call at its receivers.
func cmdRan(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	n := 0
	for _, e := range args[2:] {
		n += w.engineStats(ts, e).Calls[args[0]]
	}
	if fmt.Sprint(n) != args[1] {
		ts.Fatalf("%q ran %d times, want %s", args[0], n, args[1])
	}
}

// unseen TEXT ENGINE...: checks that no header or URL at a target had a text.
func cmdUnseen(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	for _, e := range args[1:] {
		s := w.engineStats(ts, e)
		if len(s.Seen) == 0 {
			ts.Fatalf("%s saw no request", e)
		}
		for _, line := range s.Seen {
			if strings.Contains(strings.ToLower(line), strings.ToLower(args[0])) {
				ts.Fatalf("%s saw %q in %s", e, args[0], line)
			}
		}
	}
}

// samples FILE N [oldest=V tokens=VAR]: checks that each of N samples came
// once, whole and with its versions.
func cmdSamples(ts *testscript.TestScript, _ bool, args []string) {
	o := options(args[2:])
	list := readSamples(ts, args[0])
	seen := make(map[int32]bool)
	var tokens int64
	for _, s := range list {
		if seen[s.Index] {
			ts.Fatalf("sample %d came twice", s.Index)
		}
		seen[s.Index] = true
		tokens += s.Tokens
		if int64(len(strings.Fields(s.Text))) != s.Tokens || len(s.Versions) == 0 {
			ts.Fatalf("sample %d is not whole: %v", s.Index, s)
		}
		for _, v := range s.Versions {
			if fmt.Sprint(v.Version) < o["oldest"] {
				ts.Fatalf("sample %d is by version %d, want %s or newer", s.Index, v.Version, o["oldest"])
			}
		}
	}
	if fmt.Sprint(len(list)) != args[1] {
		ts.Fatalf("%d samples came, want %s", len(list), args[1])
	}
	if o["tokens"] != "" {
		ts.Setenv(o["tokens"], fmt.Sprint(tokens))
	}
}

// mark NAME; passed NAME MIN MAX: checks the time since a mark.
func cmdMark(ts *testscript.TestScript, _ bool, args []string) {
	worldOf(ts).marks[args[0]] = time.Now()
}

func cmdPassed(ts *testscript.TestScript, _ bool, args []string) {
	d := time.Since(worldOf(ts).marks[args[0]])
	ts.Logf("since %s: %v", args[0], d)
	if d < duration(ts, args[1]) || d > duration(ts, args[2]) {
		ts.Fatalf("%v since %s; %s to %s is allowed", d, args[0], args[1], args[2])
	}
}

// quiet ENGINE MARK AFTER: checks that an engine began no work later than
// AFTER a mark.
func cmdQuiet(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	last := time.UnixMilli(w.engineStats(ts, args[0]).LastStart)
	if limit := w.marks[args[1]].Add(duration(ts, args[2])); last.After(limit) {
		ts.Fatalf("%s began work %v after the mark", args[0], last.Sub(w.marks[args[1]]))
	}
}

// storecalls MAX SECONDS-SINCE-MARK: logs and bounds the calls a second to the
// object API.
func cmdStoreCalls(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	if args[0] == "begin" {
		w.marks["calls"] = time.Now()
		ts.Setenv("CALLS", fmt.Sprint(w.stats(ts).StoreCalls))
		return
	}
	before, _ := strconv.ParseInt(ts.Getenv("CALLS"), 10, 64)
	rate := float64(w.stats(ts).StoreCalls-before) / time.Since(w.marks["calls"]).Seconds()
	ts.Logf("store calls a second: %.1f", rate)
	limit, err := strconv.ParseFloat(args[0], 64)
	ts.Check(err)
	if rate > limit {
		ts.Fatalf("%.1f store calls a second; %v are allowed", rate, limit)
	}
}

// crashes N ENGINE...: counts the engines that have ended by themselves.
func cmdCrashes(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	var down []string
	for _, e := range args[1:] {
		select {
		case <-w.procs[e].done:
			down = append(down, e)
		default:
		}
	}
	slices.Sort(down)
	if fmt.Sprint(len(down)) != args[0] {
		ts.Fatalf("engines down: %v, want %s", down, args[0])
	}
}

// lines FILE N: waits until a file has N lines.
func cmdLines(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	n, err := strconv.Atoi(args[1])
	ts.Check(err)
	w.until(ts, 20*time.Second, args[1]+" lines in "+args[0], func() bool {
		b, err := os.ReadFile(ts.MkAbs(args[0]))
		return err == nil && strings.Count(string(b), "\n") >= n
	})
}

// sum A B VAR: adds two numbers.
func cmdSum(ts *testscript.TestScript, _ bool, args []string) {
	a, err := strconv.Atoi(args[0])
	ts.Check(err)
	b, err := strconv.Atoi(args[1])
	ts.Check(err)
	ts.Setenv(args[2], strconv.Itoa(a+b))
}
