package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"unicode/utf8"

	"github.com/sirupsen/logrus"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/platform"
)

// appendChunk stores the next chunk of a job's results. If another owner has
// stored a chunk under that number, it adds that chunk to the job's content
// instead. Whatever happens, it applies ChunkAppended.
func (p *Process) appendChunk(ctx context.Context, e op.AppendChunk) {
	event, err := p.storeChunk(ctx, e)
	if err != nil {
		p.log.WithFields(logrus.Fields{"Job": e.Job, "Chunk": e.Chunk, "Error": err.Error()}).Warn("results not stored")
		event = op.ChunkAppended{Job: e.Job, Chunk: e.Chunk, Result: op.Lost, Unready: event.Unready}
	}
	p.apply(event)
}

// storeChunk is appendChunk without the event.
func (p *Process) storeChunk(ctx context.Context, e op.AppendChunk) (op.ChunkAppended, error) {
	event := op.ChunkAppended{Job: e.Job, Chunk: e.Chunk, Result: op.Done}
	var chunk chunkRecord
	if !p.contents.withJob(e.Job, func(c *jobContent) { chunk, event.Unready = c.buildChunk(e) }) {
		return event, errors.New("job content is no longer held")
	}
	if len(event.Unready) > 0 {
		p.log.WithFields(logrus.Fields{"Job": e.Job, "Chunk": e.Chunk, "Items": event.Unready}).Error("items without a complete output are not listed")
	}
	chunk, event.Shortened = fitChunk(chunk)
	chunk.Owner = p.environment.Instance
	value, err := json.Marshal(chunk)
	if err != nil {
		return event, fmt.Errorf("encode results: %w", err)
	}
	_, err = p.deps.Store.Put(ctx, chunkKey(e.Job, e.Chunk), value, 0)
	if errors.Is(err, platform.ErrConflict) {
		event.Result, event.Shortened = op.Conflict, false
		chunk, err = p.readChunk(ctx, e.Job, e.Chunk)
	}
	if err != nil {
		return event, fmt.Errorf("store results: %w", err)
	}
	added := false
	p.contents.withJob(e.Job, func(c *jobContent) {
		if event.Result == op.Done {
			// The texts of the parts are in the content already.
			c.markSaved(chunk.Parts)
			chunk.Parts = nil
		}
		event.Other, added = c.addChunk(e.Chunk, chunk)
	})
	if !added {
		return event, errors.New("job content does not end before this chunk")
	}
	return event, nil
}

// readChunk reads a chunk that another owner stored.
func (p *Process) readChunk(ctx context.Context, job string, n int) (chunkRecord, error) {
	var chunk chunkRecord
	o, err := p.deps.Store.Get(ctx, chunkKey(job, n))
	if err != nil {
		return chunk, fmt.Errorf("read results of another owner: %w", err)
	}
	if err := json.Unmarshal(o.Value, &chunk); err != nil {
		return chunk, fmt.Errorf("decode results: %w", err)
	}
	return chunk, nil
}

const (
	// maxEscape is how many bytes a character of a text takes in JSON if it has to be
	// escaped.
	maxEscape = 6
	// resultOverhead is what a result takes in a chunk beside its text, in bytes.
	resultOverhead = 128
)

// encodedSize returns how many bytes a text takes at most in a stored chunk.
func encodedSize(text string) int {
	size := 0
	for _, r := range text {
		switch {
		case r < ' ' || r == '<' || r == '>' || r == '&' || r == utf8.RuneError || r == '\u2028' || r == '\u2029':
			size += maxEscape
		case r == '"' || r == '\\':
			size += 2
		default:
			size += utf8.RuneLen(r)
		}
	}
	return size
}

// fitChunk shortens a chunk to the size limit of an object, and reports whether it
// did. What it cuts off is stored with a later chunk, so a chunk whose results are
// cut does not end the job.
func fitChunk(c chunkRecord) (chunkRecord, bool) {
	size, shortened := 0, false
	for i, part := range c.Parts {
		for _, ev := range part.Events {
			size += encodedSize(ev) + eventOverhead
		}
		if size > maxChunkBytes/2 && i > 0 {
			c.Parts, shortened = c.Parts[:i], true
			break
		}
	}
	for i, r := range c.Results {
		size += encodedSize(r.Text) + resultOverhead
		if size > maxChunkBytes && i > 0 {
			c.Results, c.Ended, shortened = c.Results[:i], false, true
			break
		}
	}
	return c, shortened
}
