package scenario

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/catkinhead/catkinhead/internal/crowd"
	"github.com/catkinhead/catkinhead/internal/setting"
	"github.com/catkinhead/catkinhead/internal/standin"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/rpc"
	"github.com/catkinhead/catkinhead/pkg/spec"
)

const (
	// The tests of crowds run an instance with small limits: crowdMemory in bytes, and
	// crowdDescriptors, of which reservedDescriptors are for files.
	crowdMemory         = 128 << 20
	crowdDescriptors    = 400
	reservedDescriptors = 200
	// crowdSize clients are more than the instance has descriptors for.
	crowdSize = 250
	// crowdTime is how long a crowd goes on.
	crowdTime = 3 * time.Second
	// crowdWait bounds the waits for readiness and for an ordinary answer.
	crowdWait = 20 * time.Second
)

// crowdInstance is a process of "catkinhead serve" in front of a simulated engine.
type crowdInstance struct {
	t       *testing.T
	address string
	cmd     *exec.Cmd
}

// startCrowdInstance starts an instance with small limits and configures it.
func startCrowdInstance(t *testing.T) crowdInstance {
	t.Helper()
	p := &standin.Platform{}
	served := httptest.NewServer(p.Handler())
	t.Cleanup(served.Close)
	engine := standin.NewEngine(standin.EngineConfig{Name: "engine-0"})
	if err := engine.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(engine.Close)
	p.AddTarget(platform.TargetState{Target: "engine-0", Pool: "draft-pool", DataCentre: "north", Address: engine.Address()})
	i := crowdInstance{t: t, address: freeLoopback()}
	p.AddInstance(platform.InstanceState{Instance: "entry-1", DataCentre: "north", Address: i.address})
	i.start(served.URL)
	i.configure()
	return i
}

// freeLoopback returns a free host:port.
func freeLoopback() string {
	s := httptest.NewServer(http.NotFoundHandler())
	defer s.Close()
	return strings.TrimPrefix(s.URL, "http://")
}

// start starts the process, which is this test's binary under the program's name.
func (i *crowdInstance) start(platformURL string) {
	program, err := os.Executable()
	if err != nil {
		i.t.Fatal(err)
	}
	logs, err := os.Create(filepath.Join(i.t.TempDir(), "log"))
	if err != nil {
		i.t.Fatal(err)
	}
	i.cmd = exec.Command(program, "serve", "--instance", "entry-1", "--data-centre", "north", "--listen", i.address, "--platform", platformURL)
	i.cmd.Args[0] = "catkinhead"
	i.cmd.Env = append(
		os.Environ(), setting.Prefix+"FLEET_SECRET=secret-of-the-crowd-fleet", setting.Prefix+"OPERATOR_KEY_HASH="+spec.HashKey(operatorKey),
		fmt.Sprintf("%sMEMORY_MB=%d", setting.Prefix, crowdMemory>>20), fmt.Sprintf("%sDESCRIPTORS=%d", setting.Prefix, crowdDescriptors),
	)
	i.cmd.Stdout, i.cmd.Stderr = logs, logs
	if err := i.cmd.Start(); err != nil {
		i.t.Fatal(err)
	}
	i.t.Cleanup(func() {
		// Signal fails only if the process has ended, which the test reports.
		_ = i.cmd.Process.Signal(syscall.SIGKILL)
		_ = i.cmd.Wait()
		logs.Close()
	})
}

// configure applies a configuration, and waits until a request is served.
func (i *crowdInstance) configure() {
	doc, err := spec.Format(spec.Config{
		Workspaces: []spec.Workspace{{Name: "tide"}},
		Keys:       []spec.Key{{ID: "tide-1", Workspace: "tide", Hash: spec.HashKey(tideKey)}},
		Routes:     []spec.Route{{Name: "draft", Pool: "draft-pool"}},
		Pools:      []spec.Pool{{Name: "draft-pool", Kind: spec.Model}},
	})
	if err != nil {
		i.t.Fatal(err)
	}
	ctx, err := twirp.WithHTTPRequestHeaders(i.t.Context(), http.Header{"Authorization": {"Bearer " + operatorKey}})
	if err != nil {
		i.t.Fatal(err)
	}
	operator := rpc.NewOperatorProtobufClient("http://"+i.address, client)
	i.await("the configuration", func() bool {
		_, err := operator.ApplyConfig(ctx, &rpc.ApplyConfigRequest{Document: doc})
		return err == nil
	})
	i.checkOrdinary()
}

// await waits until ok returns true, and fails the test if it does not in time.
func (i *crowdInstance) await(what string, ok func() bool) {
	i.t.Helper()
	for end := time.Now().Add(crowdWait); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return
		}
	}
	i.t.Fatalf("no %s within %s", what, crowdWait)
}

// checkOrdinary fails the test unless an ordinary request is served.
func (i *crowdInstance) checkOrdinary() {
	i.t.Helper()
	i.await("answer to an ordinary request", func() bool { return i.complete(100) == http.StatusOK })
}

// complete asks for a completion of a prompt of n bytes on a new connection, and returns
// the status, 0 without an answer.
func (i *crowdInstance) complete(n int) int {
	body := fmt.Sprintf(`{"model":"draft","max_tokens":4,"messages":[{"role":"user","content":"%s"}]}`, strings.Repeat("p", n))
	req, err := http.NewRequest(http.MethodPost, "http://"+i.address+"/v1/chat/completions", bytes.NewReader([]byte(body)))
	if err != nil {
		i.t.Fatal(err)
	}
	req.Close = true
	req.Header.Set("Authorization", "Bearer "+tideKey)
	res, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

// play plays a crowd, and fails the test if the process ends or is above its limits.
func (i *crowdInstance) play(c crowd.Crowd) {
	i.t.Helper()
	m := crowd.Meter{
		PID: i.cmd.Process.Pid, Listeners: []string{i.address},
		Limits: crowd.Limits{Memory: crowdMemory, Descriptors: crowdDescriptors - reservedDescriptors},
	}
	peak, err := m.Play(i.t.Context(), crowdTime, c)
	i.t.Logf("peak: %d MB resident and %d MB unread, %d descriptors", peak.Resident>>20, peak.Unread>>20, peak.Descriptors)
	if err != nil {
		i.t.Error(err)
	}
}

// TestCrowd guards against clients that end a process of "catkinhead serve", or make it
// hold more than its machine has. Each row is a way not to behave, and what is asked for.
func TestCrowd(t *testing.T) {
	const (
		completions = "/v1/chat/completions"
		openStep    = "/twirp/catkinhead.Rollout/OpenStep"
		key         = "Authorization: Bearer " + tideKey + "\r\n"
	)
	type row struct{ path, key string }
	rows := map[string]row{}
	for name := range crowd.Kinds {
		rows[name] = row{path: "/readyz"}
	}
	for _, name := range []string{"chunks without end", "declared body", "held body", "slow chunks", "trailers", "expect"} {
		rows[name] = row{completions, ""}
		rows[name+", call"] = row{openStep, "Content-Type: application/protobuf\r\n"}
		rows[name+", call with key"] = row{openStep, key + "Content-Type: application/protobuf\r\n"}
	}
	rows["unread answers"] = row{"/metrics", ""}
	for name, tt := range rows {
		t.Run(name, func(t *testing.T) {
			i := startCrowdInstance(t)
			kind, _, _ := strings.Cut(name, ", call")
			i.play(crowd.Crowd{Address: i.address, Host: "h.example", Path: tt.path, Key: tt.key, Kind: crowd.Kinds[kind], Clients: crowdSize})
			i.checkOrdinary()
		})
	}
}

// TestCrowdOfFewDoesNotShutOutCalls guards against clients that take the whole room for
// bodies, so that nobody else can send one.
func TestCrowdOfFewDoesNotShutOutCalls(t *testing.T) {
	for name, clients := range map[string]int{"one": 1, "four": 4} {
		for _, kind := range []string{"declared body", "held body"} {
			t.Run(name+" "+kind, func(t *testing.T) {
				i := startCrowdInstance(t)
				ended := make(chan error, 1)
				c := crowd.Crowd{
					Address: i.address, Host: "h.example", Path: "/twirp/catkinhead.Rollout/OpenStep", Kind: crowd.Kinds[kind], Clients: clients,
					Key: "Authorization: Bearer " + tideKey + "\r\nContent-Type: application/protobuf\r\n",
				}
				ctx := t.Context()
				go func() { ended <- c.Run(ctx) }()
				time.Sleep(time.Second)
				for n := range 5 {
					if status := i.complete(100 << 10); status != http.StatusOK {
						t.Errorf("call %d was answered with %d", n, status)
					}
				}
			})
		}
	}
}
