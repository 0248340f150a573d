package scenario

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/catkinhead/catkinhead/internal/cli"
	"github.com/catkinhead/catkinhead/internal/standin"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/spec"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	operatorKey = "ck-operator-of-the-scenario"
	tideKey     = "ck-key-of-the-workspace-tide"
	tulleKey    = "ck-key-of-the-workspace-tulle"
	// atOnce bounds the scripts that run at the same time.
	atOnce = 3
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"catkinhead": func() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) },
		"standin":    func() { os.Exit(standin.Main(os.Args[1:])) },
	})
}

var slots = make(chan struct{}, atOnce)

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: setup,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"platform": cmdPlatform, "engine": cmdEngine, "instance": cmdInstance, "configure": cmdConfigure,
			"launch": cmdLaunch, "signal": cmdSignal, "exited": cmdExited, "await": cmdAwait, "logged": cmdLogged,
			"fault": cmdFault, "call": cmdCall, "post": cmdPost, "holder": cmdHolder, "passed": cmdPassed, "mark": cmdMark,
			"in-charge": cmdInCharge, "usage": cmdUsage, "ran": cmdRan, "unseen": cmdUnseen, "samples": cmdSamples,
			"stream": cmdStream, "streamed": cmdStreamed, "quiet": cmdQuiet, "storecalls": cmdStoreCalls, "crashes": cmdCrashes, "lines": cmdLines, "sum": cmdSum, "link": cmdLink, "cut": cmdCut,
			"ordered": cmdOrdered, "deciding": cmdDeciding, "equal": cmdEqual, "ready": cmdReady, "await-call": cmdAwaitCall,
			"sleep": cmdSleep, "stored": cmdStored, "one-of": cmdOneOf, "leave": cmdLeave, "loaded": cmdLoaded,
			"balancer": cmdBalancer, "whole": cmdWhole, "running": cmdRunning, "edit-anywhere": cmdEditAnywhere, "everywhere": cmdEverywhere,
		},
	})
}

// world is the processes and addresses of one script.
type world struct {
	mu      sync.Mutex
	procs   map[string]*process
	url     string
	address map[string]string
	order   []string
	streams map[string]chan string
	links   map[string]*link
	marks   map[string]time.Time
	dir     string
	env     []string
}

type process struct {
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

func setup(e *testscript.Env) error {
	slots <- struct{}{}
	w := &world{
		procs: make(map[string]*process), address: make(map[string]string),
		streams: make(map[string]chan string), links: make(map[string]*link), marks: make(map[string]time.Time), dir: e.WorkDir,
	}
	e.Values["world"] = w
	e.Vars = append(e.Vars,
		"CATKINHEAD_FLEET_SECRET=secret-of-the-scenario", "CATKINHEAD_OPERATOR_KEY="+operatorKey,
		"CATKINHEAD_OPERATOR_KEY_HASH="+spec.HashKey(operatorKey), "CATKINHEAD_KEY="+tideKey,
		"TIDE="+tideKey, "TULLE="+tulleKey, "CATKINHEAD_WINDOW=2s", "CATKINHEAD_DRAIN_LAG=300ms",
		"CATKINHEAD_DRAIN_DEADLINE=20s",
	)
	e.Defer(func() {
		w.stop()
		<-slots
	})
	return os.WriteFile(filepath.Join(e.WorkDir, "config.yaml"), []byte(document()), 0o600)
}

// document is the configuration of every script.
func document() string {
	return fmt.Sprintf(`Workspaces:
  - {Name: tide, Weight: 2}
  - {Name: tulle, Weight: 1}
Keys:
  - {Id: tide-key, Workspace: tide, Hash: %s}
  - {Id: tulle-key, Workspace: tulle, Hash: %s}
Routes:
  - {Name: draft, Pool: draft-pool}
  - {Name: private, Pool: draft-pool, Workspaces: [tulle]}
  - {Name: book, Pool: book-pool, DeadlineMillis: 6000}
  - {Name: hours, Pool: book-pool, Open: true, Idempotent: true}
Pools:
  - {Name: draft-pool, Kind: Model}
  - {Name: book-pool, Kind: Plain}
`, spec.HashKey(tideKey), spec.HashKey(tulleKey))
}

func worldOf(ts *testscript.TestScript) *world { return ts.Value("world").(*world) }

// stop ends the processes that the script started.
func (w *world) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.procs {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.done
	}
}

// start runs a program of ours as a process, with its output in NAME.log.
func (w *world) start(ts *testscript.TestScript, name, prog string, args ...string) {
	log, err := os.OpenFile(filepath.Join(w.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	ts.Check(err)
	path := ""
	for _, dir := range filepath.SplitList(ts.Getenv("PATH")) {
		if _, err := os.Stat(filepath.Join(dir, prog)); err == nil {
			path = filepath.Join(dir, prog)
			break
		}
	}
	cmd := exec.Command(path, args...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = w.dir, log, log
	cmd.Env = environment(ts)
	ts.Check(cmd.Start())
	log.Close()
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.procs[name] = p
}

func environment(ts *testscript.TestScript) []string {
	env := []string{"PATH=" + ts.Getenv("PATH"), "HOME=" + ts.Getenv("HOME")}
	for _, n := range []string{
		"FLEET_SECRET", "OPERATOR_KEY", "OPERATOR_KEY_HASH", "KEY", "WINDOW", "DRAIN_LAG",
		"DRAIN_DEADLINE", "ORDER_PAUSE", "DATA", "RECORD",
	} {
		if v := ts.Getenv("CATKINHEAD_" + n); v != "" {
			env = append(env, "CATKINHEAD_"+n+"="+v)
		}
	}
	return env
}

func free(ts *testscript.TestScript) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	ts.Check(err)
	defer ln.Close()
	return ln.Addr().String()
}

// platform [flags]: starts the platform and sets $PLATFORM.
func cmdPlatform(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	a := free(ts)
	w.url = "http://" + a
	w.address["platform"] = a
	w.start(ts, "platform", "standin", append([]string{"platform", "--listen", a}, args...)...)
	ts.Setenv("PLATFORM", w.url)
	w.untilUp(ts, w.url+"/stats")
}

// engine NAME POOL CENTRE [flags]: starts a target and has it listed.
func cmdEngine(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	name, a := args[0], free(ts)
	if w.address[name] != "" {
		a = w.address[name]
	}
	w.address[name] = a
	w.start(ts, name, "standin", append([]string{"engine", "--listen", a, "--name", name}, args[3:]...)...)
	ts.Setenv(name, a)
	w.untilUp(ts, "http://"+a+"/load")
	w.send(ts, w.url+"/targets", platform.TargetState{
		Target: unit.Target(name), Pool: unit.Pool(args[1]), DataCentre: unit.DataCentre(args[2]), Address: a,
	})
}

// instance NAME CENTRE [flags]: starts an instance, again at its old address.
func cmdInstance(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	name, a := args[0], w.address[args[0]]
	if a == "" {
		a = free(ts)
		w.order = append(w.order, name)
	}
	w.address[name] = a
	reach := a
	if l := w.links[name]; l != nil {
		reach = l.begin(ts, a)
	}
	w.send(ts, w.url+"/instances", platform.InstanceState{
		Instance: unit.Instance(name), DataCentre: unit.DataCentre(args[1]), Address: reach,
	})
	w.start(ts, name, "catkinhead", append([]string{
		"serve", "--instance", name, "--data-centre", args[1], "--listen", a, "--advertise", reach, "--platform", w.url,
	}, args[2:]...)...)
	ts.Setenv(name, a)
	ts.Setenv("CATKINHEAD_ADDRESS", w.address[w.order[0]])
	w.untilUp(ts, "http://"+a+"/healthz")
}

// configure [FILE]: applies a configuration and waits until all are ready.
func cmdConfigure(ts *testscript.TestScript, _ bool, args []string) {
	file := "config.yaml"
	if len(args) > 0 {
		file = args[0]
	}
	w := worldOf(ts)
	withCounts(ts, w.dir)
	w.until(ts, 10*time.Second, "configuration applied", func() bool {
		return ts.Exec("catkinhead", "apply", file) == nil
	})
	for _, name := range w.order {
		w.untilUp(ts, "http://"+w.address[name]+"/readyz")
	}
}

// withCounts makes NAME.yaml of each NAME.tail: the configuration of every
// script with another draft-pool.
func withCounts(ts *testscript.TestScript, dir string) {
	tails, err := filepath.Glob(filepath.Join(dir, "*.tail"))
	ts.Check(err)
	for _, tail := range tails {
		b, err := os.ReadFile(tail)
		ts.Check(err)
		doc := strings.Replace(document(), "  - {Name: draft-pool, Kind: Model}\n", string(b), 1)
		doc = strings.Replace(doc, "{Name: draft, Pool: draft-pool}", "{Name: draft, Pool: draft-pool, DeadlineMillis: 8000}", 1)
		ts.Check(os.WriteFile(strings.TrimSuffix(tail, ".tail")+".yaml", []byte(doc), 0o600))
	}
}

// launch NAME PROG ARGS: starts any program of ours in the background.
func cmdLaunch(ts *testscript.TestScript, _ bool, args []string) {
	worldOf(ts).start(ts, args[0], args[1], args[2:]...)
}

// signal NAME STOP|CONT|KILL|TERM; NAME may be $VAR.
func cmdSignal(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	sig := map[string]syscall.Signal{
		"STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "KILL": syscall.SIGKILL, "TERM": syscall.SIGTERM,
	}[args[1]]
	p := w.procs[args[0]]
	if p == nil || sig == 0 {
		ts.Fatalf("no process %q or signal %q", args[0], args[1])
	}
	ts.Check(p.cmd.Process.Signal(sig))
	switch sig {
	case syscall.SIGKILL:
		<-p.done
	case syscall.SIGSTOP:
		w.until(ts, 5*time.Second, args[0]+" stands still", func() bool { return stopped(p.cmd.Process.Pid) })
	}
}

// stopped tells whether every thread of a process has stopped, which comes a
// while after the signal was sent.
func stopped(pid int) bool {
	stats, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil || len(stats) == 0 {
		return false
	}
	for _, name := range stats {
		b, err := os.ReadFile(name)
		_, state, ok := strings.Cut(string(b), ") ")
		if err != nil || !ok || state[0] != 'T' {
			return false
		}
	}
	return true
}

// exited NAME CODE [TIMEOUT]: waits for the end of a process.
func cmdExited(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	limit := 40 * time.Second
	if len(args) > 2 {
		limit = duration(ts, args[2])
	}
	p := w.procs[args[0]]
	select {
	case <-p.done:
	case <-time.After(limit):
		ts.Fatalf("%s still runs after %v", args[0], limit)
	}
	if got := fmt.Sprint(p.cmd.ProcessState.ExitCode()); got != args[1] {
		log, _ := os.ReadFile(filepath.Join(w.dir, args[0]+".log"))
		ts.Fatalf("%s ended with %s, want %s\n%s", args[0], got, args[1], log)
	}
}

// await TIMEOUT COMMAND: repeats one of the commands here, or a program, until
// it succeeds.
func cmdAwait(ts *testscript.TestScript, neg bool, args []string) {
	limit := duration(ts, args[0])
	worldOf(ts).until(ts, limit, strings.Join(args[1:], " "), func() bool {
		return (ts.Exec(args[1], args[2:]...) == nil) != neg
	})
}

// logged NAME TEXT: waits for a text in a process's log.
func cmdLogged(ts *testscript.TestScript, neg bool, args []string) {
	w := worldOf(ts)
	has := func() bool {
		b, err := os.ReadFile(filepath.Join(w.dir, args[0]+".log"))
		return err == nil && strings.Contains(string(b), args[1])
	}
	if neg {
		if has() {
			ts.Fatalf("%s logged %q", args[0], args[1])
		}
		return
	}
	w.until(ts, 20*time.Second, args[0]+" logs "+args[1], has)
}

func (w *world) until(ts *testscript.TestScript, limit time.Duration, what string, f func() bool) {
	end := time.Now().Add(limit)
	for !f() {
		if time.Now().After(end) {
			ts.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(25 * time.Millisecond)
	}
}

func duration(ts *testscript.TestScript, s string) time.Duration {
	d, err := time.ParseDuration(s)
	ts.Check(err)
	return d
}
