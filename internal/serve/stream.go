package serve

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/gin-gonic/gin"
)

// eventStream writes one answer as server-sent events.
type eventStream struct {
	c            *gin.Context
	call         *pendingCall
	format       apiFormat
	model        string
	includeUsage bool
	// started is set once the response header was written. A refusal before
	// that is answered with its own status code.
	started bool
}

// writeText sends a chunk of text.
func (s *eventStream) writeText(text string) {
	role := ""
	if !s.started {
		role = "assistant"
	}
	s.send(s.newChunk(s.format.delta(text, role, nil)))
}

// close sends the chunks that are still buffered and the end of the answer, or
// the refusal.
func (s *eventStream) close(e callResult) {
	for len(s.call.chunks) > 0 {
		s.writeText(<-s.call.chunks)
	}
	switch r := e.refusal; {
	case r == nil:
		s.writeLast(s.call.finalAnswer())
	case s.started:
		s.send(newErrorBody(string(r.Reason), r.Outcome, reasonText[r.Reason]+"; the answer is not whole"))
	default:
		writeRefusal(s.c, *r)
	}
}

// writeLast sends the last chunk of text, the weight versions, the usage if it
// was asked for, and the end mark.
func (s *eventStream) writeLast(a answer) {
	s.writeText(a.text)
	stop := "stop"
	last := s.newChunk(s.format.delta("", "", &stop))
	last.WeightVersions = newWeightSpans(a.spans)
	s.send(last)
	if s.includeUsage {
		u := s.newChunk()
		u.Usage = newTokenUsage(a)
		s.send(u)
	}
	_, _ = fmt.Fprint(s.c.Writer, "data: [DONE]\n\n")
	s.c.Writer.Flush()
}

// newChunk returns a chunk with the given choices.
func (s *eventStream) newChunk(choices ...choice) completion {
	out := s.format.newCompletion(s.call, s.model, s.format.chunk)
	out.Choices = append([]choice{}, choices...)
	return out
}

// send writes v as one event and flushes it.
func (s *eventStream) send(v any) {
	if !s.started {
		s.started = true
		s.c.Header("Content-Type", "text/event-stream")
		s.c.Header("Cache-Control", "no-cache")
		s.c.Status(http.StatusOK)
	}
	// Marshal cannot fail for the types that are sent.
	b, _ := json.Marshal(v)
	_, _ = fmt.Fprintf(s.c.Writer, "data: %s\n\n", b)
	s.c.Writer.Flush()
}
