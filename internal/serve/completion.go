package serve

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gin-gonic/gin"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// defaultTokens bounds an answer for which the caller names no length.
	defaultTokens unit.Tokens = 256
	// mostTokens bounds what a caller may ask for.
	mostTokens unit.Tokens = 1 << 20
	// prefixBytes is how much of a prompt decides where it is cached.
	prefixBytes = 256
)

// chatRequest is the published form of a chat completion. Fields that mean
// nothing here are allowed, as published clients send them, and go no further.
type chatRequest struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	Prompt              any           `json:"prompt"`
	MaxTokens           int64         `json:"max_tokens"`
	MaxCompletionTokens int64         `json:"max_completion_tokens"`
	Seed                *int64        `json:"seed"`
	Stream              bool          `json:"stream"`
	N                   int           `json:"n"`
	StreamOptions       *struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content any    `json:"content"`
}

// form writes answers in one of the published forms.
type form struct {
	object string
	chunk  string
	chat   bool
}

var (
	chatForm = form{object: "chat.completion", chunk: "chat.completion.chunk", chat: true}
	textForm = form{object: "text_completion", chunk: "text_completion"}
)

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type tokenUsage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

type weightSpan struct {
	Version    unit.Version `json:"version"`
	FirstToken unit.Tokens  `json:"first_token"`
}

// completion is an answer or a chunk of one. WeightVersions names the weights
// that produced the answer.
type completion struct {
	ID             string       `json:"id"`
	Object         string       `json:"object"`
	Created        int64        `json:"created"`
	Model          string       `json:"model"`
	Choices        []choice     `json:"choices"`
	Usage          *tokenUsage  `json:"usage,omitempty"`
	WeightVersions []weightSpan `json:"weight_versions,omitempty"`
}

func (p *Process) chat(c *gin.Context)        { p.complete(c, chatForm) }
func (p *Process) completions(c *gin.Context) { p.complete(c, textForm) }

func (p *Process) complete(c *gin.Context, f form) {
	p.withKey(c)
	r, err := decodeChat(http.MaxBytesReader(c.Writer, c.Request.Body, maxCallBody))
	if err != nil {
		fail(c, http.StatusBadRequest, "BadRequest", unit.NotRun, err.Error())
		return
	}
	w, err := r.work(f)
	if err == nil && carriesKey(c, w.prompt) {
		err = errKeyInBody
	}
	if err != nil {
		fail(c, http.StatusBadRequest, "BadRequest", unit.NotRun, err.Error())
		return
	}
	x := &call{
		id: p.requestID(), work: w, stream: r.Stream,
		chunks: make(chan string, chunkBuffer), ends: make(chan ending, 1),
	}
	p.calls.add(x)
	defer p.calls.remove(x.id)
	p.loop.Post(op.Arrive{Request: op.Request{
		ID: x.id, Route: unit.Route(r.Model), KeyHash: keyFrom(c.Request.Context()), Class: op.Live,
		Cost: w.maxTokens, Prefix: prefixOf(w.prompt), Fingerprint: fingerprint(r.Model, w.prompt),
	}})
	if r.Stream {
		p.streamAnswer(c, x, f, r)
		return
	}
	p.wholeAnswer(c, x, f, r)
}

// errKeyInBody refuses a request that would show the caller's key to a target.
var errKeyInBody = errors.New("the body holds the caller's own key; send the key in the Authorization header only")

// carriesKey tells whether a text that goes to a target holds the key that
// came with the request.
func carriesKey(c *gin.Context, text string) bool {
	key := bearer(c)
	return key != "" && strings.Contains(text, key)
}

// decodeChat reads the body of a request.
func decodeChat(body io.Reader) (chatRequest, error) {
	var r chatRequest
	if err := json.NewDecoder(body).Decode(&r); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return r, fmt.Errorf("body is above %d bytes", maxCallBody)
		}
		return r, fmt.Errorf("body is not a JSON request: %w", err)
	}
	return r, nil
}

// work checks a request and turns it into what an engine runs.
func (r chatRequest) work(f form) (work, error) {
	w := work{maxTokens: unit.Tokens(r.MaxTokens)}
	if r.MaxCompletionTokens != 0 {
		w.maxTokens = unit.Tokens(r.MaxCompletionTokens)
	}
	if r.Model == "" {
		return w, errors.New("model is missing; name a route")
	}
	if r.N > 1 {
		return w, errors.New("n is above 1; one answer a request is served")
	}
	if w.maxTokens < 0 || w.maxTokens > mostTokens {
		return w, fmt.Errorf("max_tokens is %d; 1 to %d is allowed", w.maxTokens, mostTokens)
	}
	if w.maxTokens == 0 {
		w.maxTokens = defaultTokens
	}
	if r.Seed != nil {
		w.seed = *r.Seed
	}
	var err error
	if f.chat {
		w.prompt, err = joinMessages(r.Messages)
	} else {
		w.prompt, err = textOf(r.Prompt)
	}
	if err == nil && w.prompt == "" {
		err = errors.New("the prompt is empty")
	}
	return w, err
}

func joinMessages(ms []chatMessage) (string, error) {
	var b strings.Builder
	for i, m := range ms {
		t, err := textOf(m.Content)
		if err != nil {
			return "", fmt.Errorf("messages[%d].content: %w", i, err)
		}
		if len(ms) == 1 {
			return t, nil
		}
		b.WriteString(m.Role + ": " + t + "\n")
	}
	return b.String(), nil
}

// textOf reads a text, or the text parts of a list.
func textOf(v any) (string, error) {
	switch v := v.(type) {
	case string:
		return v, nil
	case []any:
		var b strings.Builder
		for _, part := range v {
			switch part := part.(type) {
			case string:
				b.WriteString(part)
			case map[string]any:
				t, ok := part["text"].(string)
				if !ok {
					return "", errors.New("only text parts are served")
				}
				b.WriteString(t)
			default:
				return "", errors.New("only text is served")
			}
		}
		return b.String(), nil
	default:
		return "", errors.New("text is missing")
	}
}

func prefixOf(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), prefixBytes)]) | 1
}

func fingerprint(route, content string) unit.Fingerprint {
	return unit.Fingerprint(xxhash.Sum64String(route + "\x00" + content))
}

// wholeAnswer waits for the end and writes the answer at once.
func (p *Process) wholeAnswer(c *gin.Context, x *call, f form, r chatRequest) {
	select {
	case e := <-x.ends:
		if e.refusal != nil {
			refused(c, *e.refusal)
			return
		}
	case <-c.Request.Context().Done():
		p.loop.Post(op.CallerGone{Request: x.id})
		return
	}
	a := x.get()
	out := f.shell(x, r.Model, f.object)
	stop := "stop"
	out.Choices = []choice{f.choice(a.text, "assistant", &stop)}
	out.Usage, out.WeightVersions = usageOf(a), weights(a.spans)
	c.JSON(http.StatusOK, out)
}

// streamAnswer writes chunks as they come. The last one, which makes the
// answer whole, comes only once the request has ended well.
func (p *Process) streamAnswer(c *gin.Context, x *call, f form, r chatRequest) {
	s := &stream{c: c, x: x, form: f, model: r.Model}
	s.wantUsage = r.StreamOptions != nil && r.StreamOptions.IncludeUsage
	for {
		select {
		case text := <-x.chunks:
			s.piece(text)
		case e := <-x.ends:
			s.end(e)
			return
		case <-c.Request.Context().Done():
			p.loop.Post(op.CallerGone{Request: x.id, Passed: x.taken()})
			return
		}
	}
}

func (f form) shell(x *call, model, object string) completion {
	return completion{ID: "cmpl-" + string(x.id), Object: object, Created: time.Now().Unix(), Model: model}
}

func (f form) choice(text, role string, finish *string) choice {
	if f.chat {
		return choice{Message: &message{Role: role, Content: text}, FinishReason: finish}
	}
	return choice{Text: &text, FinishReason: finish}
}

func (f form) delta(text, role string, finish *string) choice {
	if f.chat {
		return choice{Delta: &message{Role: role, Content: text}, FinishReason: finish}
	}
	return choice{Text: &text, FinishReason: finish}
}

func usageOf(a answer) *tokenUsage {
	return &tokenUsage{CompletionTokens: int64(a.tokens), TotalTokens: int64(a.tokens)}
}

func weights(spans []op.Span) []weightSpan {
	var out []weightSpan
	for _, s := range spans {
		out = append(out, weightSpan{Version: s.Version, FirstToken: s.First})
	}
	return out
}

func itoa(n int64) string { return strconv.FormatInt(n, 10) }
