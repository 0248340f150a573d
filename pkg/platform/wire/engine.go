package wire

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/platform/link"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// Errors of generated text that is incomplete or belongs to another request.
var (
	errWrongRequest = errors.New("chunk belongs to another request")
	errOutOfOrder   = errors.New("chunk out of order")
	errTruncated    = errors.New("response ended before its last chunk")
)

// maxChunkBytes is the maximum size of an encoded chunk in bytes.
const maxChunkBytes = 1 << 20

// maxRefusalText is the maximum number of bytes that are kept of the body of a refusal.
const maxRefusalText = 200

// Engines is a client of the HTTP interface of model engines and plain
// services. It implements platform.Engine, Service, Loads and Swaps.
type Engines struct {
	// Timeout limits the calls that read load reports or order swaps.
	Timeout time.Duration
	// From is the name of this instance, sent with swaps.
	From unit.Instance
	// LoadBytes counts the bytes read and written to get load reports.
	LoadBytes *atomic.Int64

	client          *http.Client
	loadClient      *http.Client
	singleUseClient *http.Client
	orderClient     *http.Client
}

// NewEngines returns a client for engines and services.
func NewEngines(c clock.Clock, timeout time.Duration) *Engines {
	loads := &atomic.Int64{}
	return &Engines{
		Timeout:         timeout,
		LoadBytes:       loads,
		client:          link.NewClient(256, true, nil),
		loadClient:      link.NewReadingClient(256, loads, nil),
		singleUseClient: link.NewClient(0, false, nil),
		orderClient:     link.NewOrderClient(c),
	}
}

// Generate runs a request at an engine. A chunk of another request, a gap
// between chunks or a missing last chunk is a failure.
func (e *Engines) Generate(ctx context.Context, address string, req platform.GenerateRequest, each func(platform.Chunk) error) error {
	body, err := json.Marshal(req)
	if err != nil {
		return newFailure(false, fmt.Errorf("encode generation request: %w", err))
	}
	res, wrote, err := send(ctx, e.client, http.MethodPost, "http://"+address+"/generate", requestHeader{contentType: "application/json"}, body)
	if err != nil {
		return connectionFailure(ctx, wrote, err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		text, err := link.ReadStart(res, maxRefusalText, maxChunkBytes)
		if err != nil {
			return connectionFailure(ctx, true, fmt.Errorf("read refusal: %w", err))
		}
		return statusError(res, text)
	}
	return readChunks(ctx, res.Body, req.Request, each)
}

// readChunks decodes the chunks of request id, one per line, checks that they
// belong together and calls each with them.
func readChunks(ctx context.Context, r io.Reader, id unit.Request, each func(platform.Chunk) error) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 4096), maxChunkBytes)
	var next unit.Tokens
	for sc.Scan() {
		var c platform.Chunk
		if err := json.Unmarshal(sc.Bytes(), &c); err != nil {
			return &platform.Failure{Outcome: unit.Unknown, Err: fmt.Errorf("decode chunk: %w", err)}
		}
		if c.Request != id {
			return &platform.Failure{Outcome: unit.Unknown, Err: errWrongRequest}
		}
		if c.Index != next {
			return &platform.Failure{Outcome: unit.Unknown, Err: errOutOfOrder}
		}
		next += c.Tokens
		if err := each(c); err != nil {
			return &platform.Failure{Outcome: unit.Ran, Err: fmt.Errorf("process chunk: %w", err)}
		}
		if c.End {
			return nil
		}
	}
	err := sc.Err()
	if err == nil {
		err = errTruncated
	}
	return connectionFailure(ctx, true, err)
}

// connectionFailure returns the failure of a broken connection. Crashed is set
// only if a byte was written, the connection was not closed by cancelling ctx, and no
// answer came that is not valid.
func connectionFailure(ctx context.Context, wrote bool, err error) error {
	f := &platform.Failure{Outcome: unit.NotRun, Err: err}
	if wrote {
		f.Outcome = unit.Unknown
		f.Crashed = ctx.Err() == nil && !errors.Is(err, link.ErrNotValid)
	}
	return f
}

// Call sends a request to a plain service, with only the content type and the
// request id besides the body. It opens a new connection, since the outcome is
// unknown after a write to an idle connection that the service has just closed.
func (e *Engines) Call(ctx context.Context, address string, c platform.Call) (platform.Answer, error) {
	u := "http://" + address + "/call/" + c.Path + "?request=" + string(c.Request)
	res, wrote, err := send(ctx, e.singleUseClient, http.MethodPost, u, requestHeader{contentType: c.ContentType}, c.Body)
	if err != nil {
		return platform.Answer{}, connectionFailure(ctx, wrote, err)
	}
	defer res.Body.Close()
	b, err := link.ReadAnswer(res, maxResponseBytes)
	if err != nil {
		return platform.Answer{}, connectionFailure(ctx, true, fmt.Errorf("read response: %w", err))
	}
	if res.Header.Get("X-Outcome") == unit.NotRun.String() {
		return platform.Answer{}, statusError(res, b)
	}
	return platform.Answer{Status: res.StatusCode, ContentType: res.Header.Get("Content-Type"), Body: b}, nil
}

// Load reads a target's load report.
func (e *Engines) Load(ctx context.Context, address string) (platform.Load, error) {
	ctx, cancel := context.WithTimeout(ctx, e.Timeout)
	defer cancel()
	var l platform.Load
	p := Platform{}
	err := p.do(ctx, e.loadClient, http.MethodGet, "http://"+address+"/load", nil, &l)
	return l, err
}

// Swap orders an engine to stage or activate a version.
func (e *Engines) Swap(ctx context.Context, address string, s platform.Swap) error {
	ctx, cancel := context.WithTimeout(link.WithWriteDeadline(ctx, s.SendBefore), e.Timeout)
	defer cancel()
	body, err := json.Marshal(s)
	if err != nil {
		return fmt.Errorf("encode swap: %w", err)
	}
	p := Platform{From: e.From}
	return p.do(ctx, e.orderClient, http.MethodPost, "http://"+address+"/swap", body, nil)
}
