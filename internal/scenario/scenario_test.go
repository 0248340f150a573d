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
	// Keys of the operators and of the two workspaces in the configuration.
	operatorKey = "ck-operator-of-the-scenario"
	tideKey     = "ck-key-of-the-workspace-tide"
	tulleKey    = "ck-key-of-the-workspace-tulle"
	// maxParallel bounds the scripts that run at the same time.
	maxParallel = 3
)

// TestMain makes the two commands available to the scripts as programs.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"catkinhead": func() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) },
		"standin":    func() { os.Exit(standin.Main(os.Args[1:])) },
	})
}

// scriptSlots has an element for each running script.
var scriptSlots = make(chan struct{}, maxParallel)

// TestScenarios runs each script under testdata as a subtest.
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

// testEnv is the state of one script, which its commands share.
type testEnv struct {
	mu sync.Mutex
	// procs holds every process by its name in the script. A restarted process
	// replaces the earlier one.
	procs map[string]*process
	// platformURL is the base URL of the simulated platform.
	platformURL string
	// addresses holds the host:port of each process that listens.
	addresses map[string]string
	// instances lists the instances in the order of their first start.
	instances []string
	// streams delivers the last line of each streamed response when it ends.
	streams map[string]chan string
	// proxies holds the proxies between peers and instances.
	proxies map[string]*peerProxy
	// marks holds the times that mark recorded.
	marks map[string]time.Time
	// dir is the working directory, with the configuration and the log files.
	dir string
	// env is not used.
	env []string
}

// process is a started process. The channel done is closed when it has exited.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// setup prepares a script: its environment variables and config.yaml. It first
// waits until fewer than maxParallel scripts run.
func setup(e *testscript.Env) error {
	scriptSlots <- struct{}{}
	env := &testEnv{
		procs: make(map[string]*process), addresses: make(map[string]string),
		streams: make(map[string]chan string), proxies: make(map[string]*peerProxy), marks: make(map[string]time.Time), dir: e.WorkDir,
	}
	e.Values["world"] = env
	e.Vars = append(e.Vars,
		"CATKINHEAD_FLEET_SECRET=secret-of-the-scenario", "CATKINHEAD_OPERATOR_KEY="+operatorKey,
		"CATKINHEAD_OPERATOR_KEY_HASH="+spec.HashKey(operatorKey), "CATKINHEAD_KEY="+tideKey,
		"TIDE="+tideKey, "TULLE="+tulleKey, "CATKINHEAD_WINDOW=2s", "CATKINHEAD_DRAIN_LAG=300ms",
		"CATKINHEAD_DRAIN_DEADLINE=20s",
	)
	e.Defer(func() {
		env.killAll()
		<-scriptSlots
	})
	return os.WriteFile(filepath.Join(e.WorkDir, "config.yaml"), []byte(baseConfig()), 0o600)
}

// baseConfig returns the configuration that config.yaml holds in every script.
func baseConfig() string {
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

// envOf returns the state of the running script.
func envOf(ts *testscript.TestScript) *testEnv { return ts.Value("world").(*testEnv) }

// killAll kills all processes that the script started and waits for them.
func (env *testEnv) killAll() {
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, p := range env.procs {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.done
	}
}

// startProcess starts the program prog, which is catkinhead or standin, in the
// background and appends its output to NAME.log.
func (env *testEnv) startProcess(ts *testscript.TestScript, name, prog string, args ...string) {
	log, err := os.OpenFile(filepath.Join(env.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	ts.Check(err)
	path := ""
	for _, dir := range filepath.SplitList(ts.Getenv("PATH")) {
		if _, err := os.Stat(filepath.Join(dir, prog)); err == nil {
			path = filepath.Join(dir, prog)
			break
		}
	}
	cmd := exec.Command(path, args...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = env.dir, log, log
	cmd.Env = environment(ts)
	ts.Check(cmd.Start())
	log.Close()
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	env.mu.Lock()
	defer env.mu.Unlock()
	env.procs[name] = p
}

// environment returns the environment of a process: PATH, HOME and the listed
// CATKINHEAD_ variables, as far as the script has set them.
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

// freeAddress returns a loopback address with an unused port.
func freeAddress(ts *testscript.TestScript) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	ts.Check(err)
	defer ln.Close()
	return ln.Addr().String()
}

// platform [FLAGS]: starts the simulated platform and sets $PLATFORM to its URL.
func cmdPlatform(ts *testscript.TestScript, _ bool, args []string) {
	env := envOf(ts)
	a := freeAddress(ts)
	env.platformURL = "http://" + a
	env.addresses["platform"] = a
	env.startProcess(ts, "platform", "standin", append([]string{"platform", "--listen", a}, args...)...)
	ts.Setenv("PLATFORM", env.platformURL)
	env.waitUntilUp(ts, env.platformURL+"/stats")
}

// engine NAME POOL CENTRE [FLAGS]: starts a simulated engine, adds it to the
// platform's list of targets and sets $NAME to its address. A restarted engine
// keeps its address.
func cmdEngine(ts *testscript.TestScript, _ bool, args []string) {
	env := envOf(ts)
	name, a := args[0], freeAddress(ts)
	if env.addresses[name] != "" {
		a = env.addresses[name]
	}
	env.addresses[name] = a
	env.startProcess(ts, name, "standin", append([]string{"engine", "--listen", a, "--name", name}, args[3:]...)...)
	ts.Setenv(name, a)
	env.waitUntilUp(ts, "http://"+a+"/load")
	env.postJSON(ts, env.platformURL+"/targets", platform.TargetState{
		Target: unit.Target(name), Pool: unit.Pool(args[1]), DataCentre: unit.DataCentre(args[2]), Address: a,
	})
}

// instance NAME CENTRE [FLAGS]: adds an instance to the platform's list, starts it
// and sets $NAME to its address. A restarted instance keeps its address. Commands
// without --address call the instance that was started first.
func cmdInstance(ts *testscript.TestScript, _ bool, args []string) {
	env := envOf(ts)
	name, a := args[0], env.addresses[args[0]]
	if a == "" {
		a = freeAddress(ts)
		env.instances = append(env.instances, name)
	}
	env.addresses[name] = a
	advertised := a
	if p := env.proxies[name]; p != nil {
		advertised = p.listen(ts, a)
	}
	env.postJSON(ts, env.platformURL+"/instances", platform.InstanceState{
		Instance: unit.Instance(name), DataCentre: unit.DataCentre(args[1]), Address: advertised,
	})
	env.startProcess(ts, name, "catkinhead", append([]string{
		"serve", "--instance", name, "--data-centre", args[1], "--listen", a, "--advertise", advertised, "--platform", env.platformURL,
	}, args[2:]...)...)
	ts.Setenv(name, a)
	ts.Setenv("CATKINHEAD_ADDRESS", env.addresses[env.instances[0]])
	env.waitUntilUp(ts, "http://"+a+"/healthz")
}

// configure [FILE]: applies a configuration, by default config.yaml, and waits
// until all instances are ready.
func cmdConfigure(ts *testscript.TestScript, _ bool, args []string) {
	file := "config.yaml"
	if len(args) > 0 {
		file = args[0]
	}
	env := envOf(ts)
	writeVariants(ts, env.dir)
	env.waitUntil(ts, 10*time.Second, "the configuration to be applied", func() bool {
		return ts.Exec("catkinhead", "apply", file) == nil
	})
	for _, name := range env.instances {
		env.waitUntilUp(ts, "http://"+env.addresses[name]+"/readyz")
	}
}

// writeVariants writes NAME.yaml for each NAME.tail of the script. It is the base
// configuration with the pool draft-pool replaced by the content of NAME.tail and
// with a deadline for the route draft.
func writeVariants(ts *testscript.TestScript, dir string) {
	tails, err := filepath.Glob(filepath.Join(dir, "*.tail"))
	ts.Check(err)
	for _, tail := range tails {
		b, err := os.ReadFile(tail)
		ts.Check(err)
		doc := strings.Replace(baseConfig(), "  - {Name: draft-pool, Kind: Model}\n", string(b), 1)
		doc = strings.Replace(doc, "{Name: draft, Pool: draft-pool}", "{Name: draft, Pool: draft-pool, DeadlineMillis: 8000}", 1)
		ts.Check(os.WriteFile(strings.TrimSuffix(tail, ".tail")+".yaml", []byte(doc), 0o600))
	}
}

// launch NAME PROGRAM ARGS...: starts catkinhead or standin in the background.
func cmdLaunch(ts *testscript.TestScript, _ bool, args []string) {
	envOf(ts).startProcess(ts, args[0], args[1], args[2:]...)
}

// signal NAME STOP|CONT|KILL|TERM: sends a signal to a process. It waits until the
// process has exited after KILL, and until all its threads have stopped after
// STOP.
func cmdSignal(ts *testscript.TestScript, _ bool, args []string) {
	env := envOf(ts)
	sig := map[string]syscall.Signal{
		"STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "KILL": syscall.SIGKILL, "TERM": syscall.SIGTERM,
	}[args[1]]
	p := env.procs[args[0]]
	if p == nil || sig == 0 {
		ts.Fatalf("no process %q or signal %q", args[0], args[1])
	}
	ts.Check(p.cmd.Process.Signal(sig))
	switch sig {
	case syscall.SIGKILL:
		<-p.done
	case syscall.SIGSTOP:
		env.waitUntil(ts, 5*time.Second, args[0]+" to stop", func() bool { return stopped(p.cmd.Process.Pid) })
	}
}

// stopped reports whether every thread of a process has stopped, which takes a
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

// exited NAME CODE [TIMEOUT]: waits until a process exits and checks its exit code.
func cmdExited(ts *testscript.TestScript, _ bool, args []string) {
	env := envOf(ts)
	limit := 40 * time.Second
	if len(args) > 2 {
		limit = duration(ts, args[2])
	}
	p := env.procs[args[0]]
	select {
	case <-p.done:
	case <-time.After(limit):
		ts.Fatalf("%s is still running after %v", args[0], limit)
	}
	if got := fmt.Sprint(p.cmd.ProcessState.ExitCode()); got != args[1] {
		log, _ := os.ReadFile(filepath.Join(env.dir, args[0]+".log"))
		ts.Fatalf("%s exited with code %s, want %s\n%s", args[0], got, args[1], log)
	}
}

// await TIMEOUT PROGRAM ARGS...: runs a program again and again until it succeeds,
// or with ! until it fails.
func cmdAwait(ts *testscript.TestScript, neg bool, args []string) {
	limit := duration(ts, args[0])
	envOf(ts).waitUntil(ts, limit, strings.Join(args[1:], " "), func() bool {
		return (ts.Exec(args[1], args[2:]...) == nil) != neg
	})
}

// logged NAME TEXT: waits until the log of a process contains a text; with ! it
// checks that it doesn't contain it now.
func cmdLogged(ts *testscript.TestScript, neg bool, args []string) {
	env := envOf(ts)
	has := func() bool {
		b, err := os.ReadFile(filepath.Join(env.dir, args[0]+".log"))
		return err == nil && strings.Contains(string(b), args[1])
	}
	if neg {
		if has() {
			ts.Fatalf("%s logged %q", args[0], args[1])
		}
		return
	}
	env.waitUntil(ts, 20*time.Second, args[0]+" to log "+args[1], has)
}

// waitUntil polls isMet and fails the script if it doesn't return true in time.
// condition describes for the failure what was awaited.
func (env *testEnv) waitUntil(ts *testscript.TestScript, timeout time.Duration, condition string, isMet func() bool) {
	deadline := time.Now().Add(timeout)
	for !isMet() {
		if time.Now().After(deadline) {
			ts.Fatalf("timed out after %v waiting for: %s", timeout, condition)
		}
		time.Sleep(25 * time.Millisecond)
	}
}

// duration parses an argument such as 5s.
func duration(ts *testscript.TestScript, s string) time.Duration {
	d, err := time.ParseDuration(s)
	ts.Check(err)
	return d
}
