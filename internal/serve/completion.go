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
	// defaultMaxTokens bounds an answer if the caller sets no limit.
	defaultMaxTokens unit.Tokens = 256
	// maxTokensLimit is the largest limit that a caller may set.
	maxTokensLimit unit.Tokens = 1 << 20
	// prefixBytes is the length of the prompt prefix whose hash selects the
	// target, so that prompts with a common prefix can share its cache.
	prefixBytes = 256
)

// chatRequest is the body of a chat or text completion request in the OpenAI
// API. Other fields of that API are accepted, since existing clients send them,
// and ignored.
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

// apiFormat is one of the two response formats of the OpenAI API: chat or text
// completions. object and chunk are the values of the field "object" in a
// complete answer and in a streamed chunk.
type apiFormat struct {
	object string
	chunk  string
	chat   bool
}

var (
	chatFormat = apiFormat{object: "chat.completion", chunk: "chat.completion.chunk", chat: true}
	textFormat = apiFormat{object: "text_completion", chunk: "text_completion"}
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

// weightSpan says which weight version produced the tokens from FirstToken on.
type weightSpan struct {
	Version    unit.Version `json:"version"`
	FirstToken unit.Tokens  `json:"first_token"`
}

// completion is an answer or one chunk of it. WeightVersions lists the versions
// of the weights that produced the answer.
type completion struct {
	ID             string       `json:"id"`
	Object         string       `json:"object"`
	Created        int64        `json:"created"`
	Model          string       `json:"model"`
	Choices        []choice     `json:"choices"`
	Usage          *tokenUsage  `json:"usage,omitempty"`
	WeightVersions []weightSpan `json:"weight_versions,omitempty"`
}

func (p *Process) serveChatCompletion(c *gin.Context) { p.serveCompletion(c, chatFormat) }
func (p *Process) serveTextCompletion(c *gin.Context) { p.serveCompletion(c, textFormat) }

// serveCompletion answers a completion request in one of the formats.
func (p *Process) serveCompletion(c *gin.Context, f apiFormat) {
	r, err := decodeChat(c.Request.Body)
	if err != nil {
		writeError(c, http.StatusBadRequest, "BadRequest", unit.NotRun, err.Error())
		return
	}
	req, err := r.modelRequest(f)
	if err == nil && containsKey(c, req.prompt) {
		err = errKeyInBody
	}
	if err != nil {
		writeError(c, http.StatusBadRequest, "BadRequest", unit.NotRun, err.Error())
		return
	}
	call := &pendingCall{
		id: p.newRequestID(), model: req, stream: r.Stream,
		chunks: make(chan string, chunkBuffer), result: make(chan callResult, 1),
	}
	p.calls.add(call)
	defer p.calls.remove(call.id)
	p.loop.Post(op.Arrive{Request: op.Request{
		ID: call.id, Route: unit.Route(r.Model), KeyHash: keyHashFrom(c.Request.Context()), Class: op.Live,
		Cost: req.maxTokens, Prefix: prefixHash(req.prompt), Fingerprint: fingerprint(r.Model, req.prompt),
	}})
	if r.Stream {
		p.streamAnswer(c, call, f, r)
		return
	}
	p.writeAnswer(c, call, f, r)
}

// errKeyInBody refuses a request that would reveal the caller's key to a
// target.
var errKeyInBody = errors.New("the body holds the caller's own key; send the key in the Authorization header only")

// containsKey reports whether a text that is sent to a target contains the key
// that came with the request.
func containsKey(c *gin.Context, text string) bool {
	key := bearerToken(c)
	return key != "" && strings.Contains(text, key)
}

// decodeChat decodes the body of a completion request.
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

// modelRequest validates r and converts it to a request to a model.
func (r chatRequest) modelRequest(f apiFormat) (modelRequest, error) {
	req := modelRequest{maxTokens: unit.Tokens(r.MaxTokens)}
	if r.MaxCompletionTokens != 0 {
		req.maxTokens = unit.Tokens(r.MaxCompletionTokens)
	}
	if r.Model == "" {
		return req, errors.New("model is missing; name a route")
	}
	if r.N > 1 {
		return req, errors.New("n is above 1; one answer a request is served")
	}
	if req.maxTokens < 0 || req.maxTokens > maxTokensLimit {
		return req, fmt.Errorf("max_tokens is %d; 1 to %d is allowed", req.maxTokens, maxTokensLimit)
	}
	if req.maxTokens == 0 {
		req.maxTokens = defaultMaxTokens
	}
	if r.Seed != nil {
		req.seed = *r.Seed
	}
	var err error
	if f.chat {
		req.prompt, err = joinMessages(r.Messages)
	} else {
		req.prompt, err = contentText(r.Prompt)
	}
	if err == nil && req.prompt == "" {
		err = errors.New("the prompt is empty")
	}
	return req, err
}

// joinMessages joins the messages to one prompt. Each starts with its role,
// unless there is only one.
func joinMessages(ms []chatMessage) (string, error) {
	var b strings.Builder
	for i, m := range ms {
		t, err := contentText(m.Content)
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

// contentText returns a string as it is, and the text parts of a list joined.
func contentText(v any) (string, error) {
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

// prefixHash hashes the start of a prompt. The result is never 0, because 0
// means that there is no prefix.
func prefixHash(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), prefixBytes)]) | 1
}

// fingerprint identifies the content of a request, to recognise content that
// was in flight when targets crashed.
func fingerprint(route, content string) unit.Fingerprint {
	return unit.Fingerprint(xxhash.Sum64String(route + "\x00" + content))
}

// writeAnswer waits for the end of a request and writes the answer as one JSON
// object.
func (p *Process) writeAnswer(c *gin.Context, call *pendingCall, f apiFormat, r chatRequest) {
	select {
	case e := <-call.result:
		if e.refusal != nil {
			writeRefusal(c, *e.refusal)
			return
		}
	case <-c.Request.Context().Done():
		p.loop.Post(op.CallerGone{Request: call.id})
		return
	}
	a := call.finalAnswer()
	out := f.newCompletion(call, r.Model, f.object)
	stop := "stop"
	out.Choices = []choice{f.choice(a.text, "assistant", &stop)}
	out.Usage, out.WeightVersions = newTokenUsage(a), newWeightSpans(a.spans)
	c.JSON(http.StatusOK, out)
}

// streamAnswer writes chunks as they arrive. The last chunk, which completes
// the answer, is written only after the request has succeeded.
func (p *Process) streamAnswer(c *gin.Context, call *pendingCall, f apiFormat, r chatRequest) {
	s := &eventStream{c: c, call: call, format: f, model: r.Model}
	s.includeUsage = r.StreamOptions != nil && r.StreamOptions.IncludeUsage
	for {
		select {
		case text := <-call.chunks:
			s.writeText(text)
		case e := <-call.result:
			s.close(e)
			return
		case <-c.Request.Context().Done():
			p.loop.Post(op.CallerGone{Request: call.id, Passed: call.deliveredTokens()})
			return
		}
	}
}

// newCompletion returns a completion without choices.
func (f apiFormat) newCompletion(call *pendingCall, model, object string) completion {
	return completion{ID: "cmpl-" + string(call.id), Object: object, Created: time.Now().Unix(), Model: model}
}

// choice returns the choice of an answer that is not streamed.
func (f apiFormat) choice(text, role string, finish *string) choice {
	if f.chat {
		return choice{Message: &message{Role: role, Content: text}, FinishReason: finish}
	}
	return choice{Text: &text, FinishReason: finish}
}

// delta returns the choice of a streamed chunk.
func (f apiFormat) delta(text, role string, finish *string) choice {
	if f.chat {
		return choice{Delta: &message{Role: role, Content: text}, FinishReason: finish}
	}
	return choice{Text: &text, FinishReason: finish}
}

func newTokenUsage(a answer) *tokenUsage {
	return &tokenUsage{CompletionTokens: int64(a.tokens), TotalTokens: int64(a.tokens)}
}

func newWeightSpans(spans []op.Span) []weightSpan {
	var out []weightSpan
	for _, s := range spans {
		out = append(out, weightSpan{Version: s.Version, FirstToken: s.First})
	}
	return out
}

func itoa(n int64) string { return strconv.FormatInt(n, 10) }
