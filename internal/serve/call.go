package serve

import (
	"context"
	"strings"
	"sync"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// chunkBuffer is the number of chunks buffered for a caller that reads slowly.
const chunkBuffer = 64

// modelRequest is what a caller or a step asks a model to generate.
type modelRequest struct {
	prompt    string
	maxTokens unit.Tokens
	seed      int64
}

// pendingCall is a live request whose handler waits for the answer.
type pendingCall struct {
	id unit.Request
	// model is what to generate, unless plain is set.
	model modelRequest
	// plain is a call to a plain service, which is not a model and answers with
	// one response.
	plain  *platform.Call
	stream bool
	chunks chan string
	// result has room for one result, so that the loop never waits for the
	// handler.
	result chan callResult

	mu     sync.Mutex
	answer answer
	// delivered counts the tokens handed to the caller so far.
	delivered unit.Tokens
}

// callResult tells a caller how its request ended: refused, or with a complete
// answer if refusal is nil.
type callResult struct{ refusal *op.Refuse }

// answer is the complete answer of a request. For a stream, text is only the
// last chunk.
type answer struct {
	text   string
	tokens unit.Tokens
	spans  []op.Span
	plain  platform.Answer
}

// callRegistry finds the pending calls by request id, and the functions that
// cancel running attempts by attempt id.
type callRegistry struct {
	mu       sync.Mutex
	byID     map[unit.Request]*pendingCall
	attempts map[unit.Request]context.CancelFunc
}

func newCallRegistry() *callRegistry {
	return &callRegistry{
		byID:     make(map[unit.Request]*pendingCall),
		attempts: make(map[unit.Request]context.CancelFunc),
	}
}

func (cs *callRegistry) add(c *pendingCall) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.byID[c.id] = c
}

func (cs *callRegistry) get(id unit.Request) *pendingCall {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.byID[id]
}

func (cs *callRegistry) remove(id unit.Request) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	delete(cs.byID, id)
}

// finish delivers the result of a request to its caller. Only the first result
// of a request counts.
func (cs *callRegistry) finish(id unit.Request, e callResult) {
	cs.mu.Lock()
	c := cs.byID[id]
	delete(cs.byID, id)
	cs.mu.Unlock()
	if c != nil {
		c.result <- e
	}
}

// addAttempt registers the function that cancels a running attempt.
func (cs *callRegistry) addAttempt(attempt unit.Request, cancel context.CancelFunc) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.attempts[attempt] = cancel
}

func (cs *callRegistry) removeAttempt(attempt unit.Request) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	delete(cs.attempts, attempt)
}

func (cs *callRegistry) cancelAttempt(attempt unit.Request) {
	cs.mu.Lock()
	cancel := cs.attempts[attempt]
	cs.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// collector accumulates the chunks of one attempt.
type collector struct {
	text   strings.Builder
	tokens unit.Tokens
	spans  []op.Span
}

// add appends a chunk, and starts a new span if another weight version produced
// it.
func (k *collector) add(c platform.Chunk) {
	if n := len(k.spans); n == 0 || k.spans[n-1].Version != c.Version {
		k.spans = append(k.spans, op.Span{Version: c.Version, First: c.Index})
	}
	k.tokens += c.Tokens
	k.text.WriteString(c.Text)
}
