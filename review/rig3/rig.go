package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/catkinhead/catkinhead/platform/standin"
)

const (
	// host is the host of all routes, key the key of the only tenant.
	host   = "h.example"
	key    = "key-of-the-trainer"
	tenant = "studio"
	// model is the only model, of version 1.
	model = "m"
	// startLimit bounds the time until all edges are ready.
	startLimit = 15 * time.Second
)

// rig is a deployment: the platform's store and cloud service, workers, and edges.
type rig struct {
	trouble bool
	dir     string
	store   *standin.Store
	// storeAddress and cloudAddress are the addresses of the platform's stand-ins.
	storeAddress, cloudAddress string
	edges                      []*edge
	began                      time.Time
	mu                         sync.Mutex
	file                       *os.File
	closers                    []func()
}

// edge is one process of the edge program.
type edge struct {
	name, front, ready string
	store              *proxy
	cmd                *exec.Cmd
}

// newRig starts the platform's stand-ins.
func newRig(record string, trouble bool) (*rig, error) {
	dir, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		return nil, fmt.Errorf("make folder: %w", err)
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	r := &rig{trouble: trouble, dir: dir, store: standin.NewStore(), began: time.Now(), file: file}
	r.closers = append(r.closers, func() { os.RemoveAll(dir) })
	if r.storeAddress, err = r.serve(r.store); err != nil {
		return nil, err
	}
	cloud := http.HandlerFunc(func(_ http.ResponseWriter, in *http.Request) { _, _ = io.Copy(io.Discard, in.Body) })
	if r.cloudAddress, err = r.serve(cloud); err != nil {
		return nil, err
	}
	r.record("trouble: %t", trouble)
	return r, nil
}

// serve serves a stand-in on a free port and returns its address.
func (r *rig) serve(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(ln) }()
	r.closers = append(r.closers, func() { s.Close() })
	return ln.Addr().String(), nil
}

// record writes a line to the record and to the standard output.
func (r *rig) record(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	fmt.Fprint(os.Stdout, line)
	fmt.Fprint(r.file, line)
}

// close ends everything that the rig started.
func (r *rig) close() {
	for _, e := range r.edges {
		_ = e.cmd.Process.Signal(syscall.SIGKILL)
		_ = e.cmd.Wait()
	}
	for i := len(r.closers) - 1; i >= 0; i-- {
		r.closers[i]()
	}
	r.file.Close()
}

// freePorts returns n free ports of an address.
func freePorts(ip string, n int) ([]int, error) {
	var ports []int
	for range n {
		ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, fmt.Errorf("find a free port: %w", err)
		}
		defer ln.Close()
		ports = append(ports, ln.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// startEdges starts n edges, each with a proxy to the store, and waits until they are
// ready.
func (r *rig) startEdges(n int) error {
	for i := range n {
		if err := r.startEdge(i); err != nil {
			return err
		}
	}
	for _, e := range r.edges {
		if err := e.awaitReady(); err != nil {
			return err
		}
	}
	r.record("%d edges are ready", n)
	return nil
}

// startEdge starts an edge on an address of its own.
func (r *rig) startEdge(n int) error {
	ip := fmt.Sprintf("127.%d.%d.%d", 100+os.Getpid()/250%100, 1+os.Getpid()%250, 2+n)
	ports, err := freePorts(ip, 4)
	if err != nil {
		return err
	}
	at := func(i int) string { return net.JoinHostPort(ip, fmt.Sprint(ports[i])) }
	e := &edge{name: fmt.Sprintf("edge-north-%d", n+1), front: at(0), ready: at(1)}
	if e.store, err = newProxy(r.storeAddress); err != nil {
		return err
	}
	r.closers = append(r.closers, e.store.close)
	settings, err := json.Marshal(map[string]any{
		"node_name": e.name, "role": "edge", "machine_class": "edge", "serves": []string{"edge"},
		"ip": ip, "zone": "north", "region": "land", "zones": map[string]string{"north": "land"},
		"internal_ports": []int{ports[2], ports[2]}, "listen": map[string]string{"front": e.front, "ready": e.ready},
		"bootstrap": true, "limits": map[string]any{"memory_mb": 284, "max_fds": 4100},
		"discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
		"bounds": map[string]any{
			"contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 8, "config_apply_ms": 2000, "strict_revoke": true,
			"revoke_ms": 5000, "fencing_enforced": false, "lease_ms": 3000, "report_window_s": 5, "usage_late_s": 10,
		},
		"platform": map[string]any{"address": e.store.address, "form": "objects", "history_s": 20, "value_bytes": 1 << 20},
		"cloud":    map[string]any{"address": r.cloudAddress, "duties": []string{"usage"}},
	})
	if err != nil {
		return fmt.Errorf("encode settings: %w", err)
	}
	path := filepath.Join(r.dir, e.name+".json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	logs, err := os.Create(filepath.Join(r.dir, e.name+".log"))
	if err != nil {
		return fmt.Errorf("create log: %w", err)
	}
	if keep := os.Getenv("RIG_LOGS"); keep != "" {
		logs, err = os.Create(filepath.Join(keep, e.name+".log"))
		if err != nil {
			return fmt.Errorf("create log: %w", err)
		}
	}
	e.cmd = exec.Command("target/catkinhead", "edge", "--metrics", at(3))
	e.cmd.Env = append(os.Environ(), "CATKINHEAD_BOOT="+path)
	e.cmd.Stdout, e.cmd.Stderr = logs, logs
	if err := e.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", e.name, err)
	}
	r.edges = append(r.edges, e)
	return nil
}

// awaitReady waits until an edge says that it is ready.
func (e *edge) awaitReady() error {
	for until := time.Now().Add(startLimit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		res, err := http.Get("http://" + e.ready + "/readyz")
		if err != nil {
			continue
		}
		res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready in time", e.name)
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// call sends a request of a client on a new connection.
func (e *edge) call(method, path, attempt string, body []byte, limit time.Duration) (answer, error) {
	req, err := http.NewRequest(method, "http://"+e.front+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, fmt.Errorf("make request: %w", err)
	}
	req.Host = host
	req.Header.Set("X-Api-Key", key)
	req.Header.Set("X-Attempt-Id", attempt)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: limit}
	res, err := client.Do(req)
	if err != nil {
		return answer{}, fmt.Errorf("send request: %w", err)
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return answer{}, fmt.Errorf("read answer: %w", err)
	}
	return answer{res.StatusCode, res.Header, b}, nil
}

// errNotAccepted means that no edge accepted a batch job.
var errNotAccepted = errors.New("batch job was not accepted")

// submitAt submits a batch job at an edge, once.
func (r *rig) submitAt(e *edge, id string, job any) error {
	body, err := json.Marshal(job)
	if err != nil {
		return fmt.Errorf("encode batch job: %w", err)
	}
	a, err := e.call(http.MethodPost, "/jobs/"+id, id, body, 4*time.Second)
	r.record("batch job %s sent to %s: %d %v", id, e.name, a.status, err)
	if a.status != http.StatusAccepted {
		return errNotAccepted
	}
	return nil
}

// submit submits a batch job, at another edge after each failure.
func (r *rig) submit(id string, job any) error {
	body, err := json.Marshal(job)
	if err != nil {
		return fmt.Errorf("encode batch job: %w", err)
	}
	for i := range 6 {
		e := r.edges[i%len(r.edges)]
		a, err := e.call(http.MethodPost, "/jobs/"+id, id, body, 4*time.Second)
		r.record("batch job %s sent to %s: %d %v", id, e.name, a.status, err)
		if a.status == http.StatusAccepted {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errNotAccepted
}

// result is a result of a batch job.
type result struct {
	ID, State, Text string
	Versions        []int
}

// results reads the results of a batch job from the start.
func (r *rig) results(e *edge, id string) (total int, results []result, err error) {
	for {
		a, err := e.call(http.MethodGet, fmt.Sprintf("/lots/%s?after=%d", id, len(results)), id+"-read", nil, 3*time.Second)
		if err != nil || a.status != http.StatusOK {
			return total, results, fmt.Errorf("status %d: %w", a.status, errors.Join(err))
		}
		var page struct {
			Total   int
			Results []result
		}
		if err := json.Unmarshal(a.body, &page); err != nil {
			return total, results, fmt.Errorf("decode results: %w", err)
		}
		total = page.Total
		results = append(results, page.Results...)
		if len(page.Results) == 0 || len(results) == total {
			return total, results, nil
		}
	}
}
