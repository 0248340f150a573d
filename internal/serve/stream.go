package serve

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/gin-gonic/gin"
)

// stream writes one answer as server-sent events.
type stream struct {
	c         *gin.Context
	x         *call
	form      form
	model     string
	wantUsage bool
	// begun is set once the head was written; a refusal before that has a
	// status of its own.
	begun bool
}

// piece writes a chunk of text.
func (s *stream) piece(text string) {
	role := ""
	if !s.begun {
		role = "assistant"
	}
	s.write(s.chunk(s.form.delta(text, role, nil)))
}

// end writes what is left of a whole answer, or says that it is not whole.
func (s *stream) end(e ending) {
	for len(s.x.chunks) > 0 {
		s.piece(<-s.x.chunks)
	}
	switch r := e.refusal; {
	case r == nil:
		s.finish(s.x.get())
	case s.begun:
		s.write(errorOf(string(r.Reason), r.Outcome, meaning[r.Reason]+"; the answer is not whole"))
	default:
		refused(s.c, *r)
	}
}

// finish writes the last chunk, the versions and the end mark.
func (s *stream) finish(a answer) {
	s.piece(a.text)
	stop := "stop"
	last := s.chunk(s.form.delta("", "", &stop))
	last.WeightVersions = weights(a.spans)
	s.write(last)
	if s.wantUsage {
		u := s.chunk()
		u.Usage = usageOf(a)
		s.write(u)
	}
	_, _ = fmt.Fprint(s.c.Writer, "data: [DONE]\n\n")
	s.c.Writer.Flush()
}

func (s *stream) chunk(choices ...choice) completion {
	out := s.form.shell(s.x, s.model, s.form.chunk)
	out.Choices = append([]choice{}, choices...)
	return out
}

// write sends one event at once.
func (s *stream) write(v any) {
	if !s.begun {
		s.begun = true
		s.c.Header("Content-Type", "text/event-stream")
		s.c.Header("Cache-Control", "no-cache")
		s.c.Status(http.StatusOK)
	}
	// Every value written here encodes.
	b, _ := json.Marshal(v)
	_, _ = fmt.Fprintf(s.c.Writer, "data: %s\n\n", b)
	s.c.Writer.Flush()
}
