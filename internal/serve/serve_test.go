package serve

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sashabaranov/go-openai"
	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/internal/setting"
	"github.com/catkinhead/catkinhead/internal/standin"
	"github.com/catkinhead/catkinhead/internal/trace"
	"github.com/catkinhead/catkinhead/pkg/client"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/platform/wire"
	"github.com/catkinhead/catkinhead/pkg/rpc"
	"github.com/catkinhead/catkinhead/pkg/spec"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const testKey = "ck-key-of-the-test"

// testInstance is one instance with its own platform and one engine, all in the
// process of the test.
type testInstance struct {
	p      *Process
	url    string
	engine *standin.Engine
}

// newTestInstance starts an instance and waits until it is ready.
func newTestInstance(t testing.TB, set setting.Settings, cfg standin.EngineConfig) *testInstance {
	t.Helper()
	plat := &standin.Platform{}
	ps := httptest.NewServer(plat.Handler())
	t.Cleanup(ps.Close)
	e := standin.NewEngine(cfg)
	if err := e.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	plat.AddTarget(platform.TargetState{Target: "e1", Pool: "p", DataCentre: "north", Address: e.Address()})
	set.Instance, set.DataCentre, set.Platform = "i1", "north", ps.URL
	set.FleetSecret, set.OperatorKeyHash = "secret-of-the-test", spec.HashKey("op")
	set.Policy = "fair"
	set.Window, set.StoreTimeout, set.DrainDeadline, set.LogLevel = 2*time.Second, time.Second, 5*time.Second, "error"
	log := logrus.New()
	log.SetOutput(io.Discard)
	c := clock.System{}
	w, en := wire.NewPlatform(ps.URL, c, time.Second), wire.NewEngines(c, time.Second)
	p, err := New(set, Dependencies{w, w, w, en, en, en, en, w, w}, c, log)
	if err != nil {
		t.Fatal(err)
	}
	p.Run(context.Background())
	t.Cleanup(p.Stop)
	srv := httptest.NewServer(p.Handler())
	t.Cleanup(srv.Close)
	r := &testInstance{p: p, url: srv.URL, engine: e}
	r.configure(t)
	return r
}

// configure applies a configuration with one route and waits until the instance
// is ready.
func (r *testInstance) configure(t testing.TB) {
	doc, err := spec.Format(spec.Config{
		Workspaces: []spec.Workspace{{Name: "w"}},
		Keys:       []spec.Key{{ID: "k", Workspace: "w", Hash: spec.HashKey(testKey)}},
		Routes:     []spec.Route{{Name: "draft", Pool: "p"}},
		Pools:      []spec.Pool{{Name: "p", Kind: spec.Model}},
	})
	if err != nil {
		t.Fatal(err)
	}
	operator := operatorServer{r.p}
	if _, err := operator.ApplyConfig(context.Background(), &rpc.ApplyConfigRequest{Document: doc}); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		res, err := http.Get(r.url + "/readyz")
		if err == nil {
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Now().After(end) {
			t.Fatal("not ready within 5 s")
		}
	}
}

// TestOpenAIClient checks that an unchanged third-party OpenAI client gets
// answers in one response and as a stream, the list of models, and typed
// errors.
func TestOpenAIClient(t *testing.T) {
	r := newTestInstance(t, setting.Settings{}, standin.EngineConfig{})
	cfg := openai.DefaultConfig(testKey)
	cfg.BaseURL = r.url + "/v1"
	c := openai.NewClientWithConfig(cfg)
	ctx := context.Background()
	req := openai.ChatCompletionRequest{
		Model: "draft", MaxTokens: 20,
		Messages: []openai.ChatCompletionMessage{{Role: "user", Content: "a blessing"}},
	}
	want := standin.Text("a blessing", 0, 20)
	res, err := c.CreateChatCompletion(ctx, req)
	if err != nil {
		t.Fatal(err)
	}
	if res.Choices[0].Message.Content != want || res.Usage.CompletionTokens != 20 {
		t.Fatalf("got %+v", res)
	}
	if got := readStream(t, c, req); got != want {
		t.Fatalf("stream gave %q, want %q", got, want)
	}
	list, err := c.ListModels(ctx)
	if err != nil || len(list.Models) != 1 || list.Models[0].ID != "draft" {
		t.Fatalf("models: %v %v", list, err)
	}
	req.Model = "nothing"
	_, err = c.CreateChatCompletion(ctx, req)
	var ae *openai.APIError
	if !errors.As(err, &ae) || ae.HTTPStatusCode != http.StatusNotFound || ae.Code != "NoRoute" {
		t.Fatalf("got %v", err)
	}
}

// readStream returns the text of a streamed answer.
func readStream(t *testing.T, c *openai.Client, req openai.ChatCompletionRequest) string {
	t.Helper()
	s, err := c.CreateChatCompletionStream(context.Background(), req)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	var b strings.Builder
	for {
		x, err := s.Recv()
		if errors.Is(err, io.EOF) {
			return b.String()
		}
		if err != nil {
			t.Fatal(err)
		}
		b.WriteString(x.Choices[0].Delta.Content)
	}
}

// TestInvalidRequests checks that each kind of invalid request gets a typed
// error.
func TestInvalidRequests(t *testing.T) {
	r := newTestInstance(t, setting.Settings{}, standin.EngineConfig{})
	const chat = "/v1/chat/completions"
	tests := map[string]struct {
		path, body string
		status     int
	}{
		"no JSON":                   {chat, "x", 400},
		"empty":                     {chat, "", 400},
		"no model":                  {chat, `{"messages":[{"role":"user","content":"a"}]}`, 400},
		"no prompt":                 {chat, `{"model":"draft","messages":[]}`, 400},
		"picture":                   {chat, `{"model":"draft","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, 400},
		"negative":                  {chat, `{"model":"draft","max_tokens":-1,"messages":[{"role":"user","content":"a"}]}`, 400},
		"several answers":           {chat, `{"model":"draft","n":3,"messages":[{"role":"user","content":"a"}]}`, 400},
		"too large":                 {chat, `{"model":"` + strings.Repeat("x", maxCallBody) + `"}`, 400},
		"no such path":              {"/v2/x", "{}", 404},
		"step name":                 {"/twirp/catkinhead.Rollout/OpenStep", `{"step":"../x","route":"draft"}`, 400},
		"no samples":                {"/twirp/catkinhead.Rollout/OpenStep", `{"step":"x","route":"draft"}`, 400},
		"held index out of range":   {"/twirp/catkinhead.Rollout/OpenStep", `{"step":"x","route":"draft","samples":[{"prompt":"a","max_tokens":1}],"held":[{"index":7}]}`, 400},
		"invalid receipt":           {"/twirp/catkinhead.Rollout/OpenStep", `{"step":"x","route":"draft","samples":[{"prompt":"a","max_tokens":1}],"held":[{"tokens":9,"receipt":"AAAA"}]}`, 400},
		"unknown step":              {"/twirp/catkinhead.Rollout/PullSamples", `{"step":"x","epoch":3}`, 404},
		"wrong type of a field":     {"/twirp/catkinhead.Rollout/CloseStep", `{"step":7}`, 400},
		"plain call of model route": {"/v1/routes/draft/x", "b", 400},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			req, err := http.NewRequest(http.MethodPost, r.url+tc.path, strings.NewReader(tc.body))
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set("Authorization", "Bearer "+testKey)
			req.Header.Set("Content-Type", "application/json")
			res, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			b, _ := io.ReadAll(res.Body)
			res.Body.Close()
			if res.StatusCode != tc.status || !strings.Contains(string(b), "code") {
				t.Fatalf("status %d, want %d: %s", res.StatusCode, tc.status, b)
			}
		})
	}
}

// TestDumpAndReplay runs a step, dumps the state and replays the recorded
// trace. Replay fails if the effects of an event differ from the recorded ones.
func TestDumpAndReplay(t *testing.T) {
	file := filepath.Join(t.TempDir(), "trace")
	r := newTestInstance(t, setting.Settings{Record: file}, standin.EngineConfig{})
	c := &client.Client{Addresses: []string{strings.TrimPrefix(r.url, "http://")}, Key: testKey}
	var specs []*rpc.SampleSpec
	for i := range 20 {
		specs = append(specs, &rpc.SampleSpec{Prompt: fmt.Sprint("p", i), MaxTokens: 10})
	}
	texts := make(map[int32]string)
	rep, err := c.Run(context.Background(), client.Step{Name: "s", Route: "draft", Samples: specs}, func(s *rpc.Sample) error {
		texts[s.Index] = s.Text
		return nil
	})
	if err != nil || rep.Delivered != 20 || !rep.Recorded {
		t.Fatalf("%+v %v", rep, err)
	}
	for i := range specs {
		if want := standin.Text(specs[i].Prompt, 0, 10); texts[int32(i)] != want {
			t.Fatalf("sample %d is %q, want %q", i, texts[int32(i)], want)
		}
	}
	b, err := r.p.dump()
	if err != nil || !strings.Contains(string(b), `"Decisions"`) || strings.Contains(string(b), testKey) {
		t.Fatalf("dump: %v", err)
	}
	r.p.Stop()
	f, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	n, err := trace.Replay(f)
	if err != nil || n < 40 {
		t.Fatalf("replayed %d events: %v", n, err)
	}
}

// TestStopLeaksNoGoroutines checks that a stopped process has ended all its
// goroutines.
func TestStopLeaksNoGoroutines(t *testing.T) {
	ignore := goleak.IgnoreCurrent()
	t.Run("run", func(t *testing.T) {
		newTestInstance(t, setting.Settings{}, standin.EngineConfig{})
	})
	http.DefaultClient.CloseIdleConnections()
	goleak.VerifyNone(t, ignore, goleak.IgnoreTopFunction("net/http.(*persistConn).readLoop"),
		goleak.IgnoreTopFunction("net/http.(*persistConn).writeLoop"), goleak.IgnoreTopFunction("internal/poll.runtime_pollWait"))
}

// FuzzChatRequest checks that every accepted request has a prompt and a length
// within the limits.
func FuzzChatRequest(f *testing.F) {
	f.Add(`{"model":"m","messages":[{"role":"user","content":"a"}]}`, true)
	f.Add(`{"model":"m","prompt":["a","b"]}`, false)
	f.Fuzz(func(t *testing.T, body string, chat bool) {
		r, err := decodeChat(strings.NewReader(body))
		if err != nil {
			return
		}
		form := textFormat
		if chat {
			form = chatFormat
		}
		w, err := r.modelRequest(form)
		if err == nil && (w.prompt == "" || w.maxTokens < 1 || w.maxTokens > maxTokensLimit) {
			t.Fatalf("accepted %+v", w)
		}
	})
}

// BenchmarkInstanceOverhead compares the latency of an answer through an
// instance with that of the engine itself, for concurrentCallers callers.
func BenchmarkInstanceOverhead(b *testing.B) {
	r := newTestInstance(b, setting.Settings{}, standin.EngineConfig{Slots: 64, TokenMicros: 1000})
	r.p.loop.Post(op.Tick{})
	direct := wire.NewEngines(clock.System{}, time.Second)
	b.Run("direct", func(b *testing.B) {
		benchConcurrent(b, func(i int) error {
			return direct.Generate(context.Background(), r.engine.Address(), platform.GenerateRequest{
				Request: unit.Request(fmt.Sprint(i)), Prompt: "p", MaxTokens: 32,
			}, func(platform.Chunk) error { return nil })
		})
	})
	http.DefaultTransport.(*http.Transport).MaxIdleConnsPerHost = 64
	b.Run("through", func(b *testing.B) {
		benchConcurrent(b, func(i int) error { return sendChat(r.url, i) })
	})
}

// sendChat requests an answer that is not streamed and discards it.
func sendChat(url string, i int) error {
	body := fmt.Sprintf(`{"model":"draft","max_tokens":32,"messages":[{"role":"user","content":"p%d"}]}`, i)
	req, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return errors.New(res.Status)
	}
	_, err = io.Copy(io.Discard, res.Body)
	return err
}
