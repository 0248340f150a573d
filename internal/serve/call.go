package serve

import (
	"context"
	"strings"
	"sync"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// chunkBuffer is how many chunks may wait for a slow caller.
const chunkBuffer = 64

// work is what a model request asks for.
type work struct {
	prompt    string
	maxTokens unit.Tokens
	seed      int64
}

// call is a live request whose caller waits.
type call struct {
	id     unit.Request
	work   work
	plain  *platform.Call
	stream bool
	chunks chan string
	ends   chan ending

	mu     sync.Mutex
	answer answer
	// passed counts the tokens handed to the caller so far.
	passed unit.Tokens
}

// ending tells a caller how its request ended: a nil refusal is a whole
// answer.
type ending struct{ refusal *op.Refuse }

// answer is a whole answer. Text is all of it, or the last chunk for a
// stream.
type answer struct {
	text   string
	tokens unit.Tokens
	spans  []op.Span
	plain  platform.Answer
}

// calls finds the waiting callers and the running attempts.
type calls struct {
	mu       sync.Mutex
	byID     map[unit.Request]*call
	attempts map[unit.Request]context.CancelFunc
}

func newCalls() *calls {
	return &calls{
		byID:     make(map[unit.Request]*call),
		attempts: make(map[unit.Request]context.CancelFunc),
	}
}

func (cs *calls) add(c *call) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.byID[c.id] = c
}

func (cs *calls) get(id unit.Request) *call {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.byID[id]
}

func (cs *calls) remove(id unit.Request) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	delete(cs.byID, id)
}

// end tells a caller the end of its request, once.
func (cs *calls) end(id unit.Request, e ending) {
	cs.mu.Lock()
	c := cs.byID[id]
	delete(cs.byID, id)
	cs.mu.Unlock()
	if c != nil {
		c.ends <- e
	}
}

func (cs *calls) begin(run unit.Request, cancel context.CancelFunc) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.attempts[run] = cancel
}

func (cs *calls) finish(run unit.Request) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	delete(cs.attempts, run)
}

func (cs *calls) cancel(run unit.Request) {
	cs.mu.Lock()
	cancel := cs.attempts[run]
	cs.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// collector gathers the chunks of one attempt.
type collector struct {
	text   strings.Builder
	tokens unit.Tokens
	spans  []op.Span
}

// add notes a chunk and the version that produced it.
func (k *collector) add(c platform.Chunk) {
	if n := len(k.spans); n == 0 || k.spans[n-1].Version != c.Version {
		k.spans = append(k.spans, op.Span{Version: c.Version, First: c.Index})
	}
	k.tokens += c.Tokens
	k.text.WriteString(c.Text)
}
