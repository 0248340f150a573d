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

// Errors of answers that cannot be trusted.
var (
	errCrossed = errors.New("chunk belongs to another request")
	errGap     = errors.New("chunk out of order")
	errCut     = errors.New("answer ended before its last chunk")
)

// maxLine bounds one chunk on the wire, in bytes.
const maxLine = 1 << 20

// Engines is the HTTP interface of model engines and plain services. It
// implements platform.Engine, Service, Loads and Swaps.
type Engines struct {
	// Timeout bounds load reports and swaps.
	Timeout time.Duration
	// From names the sender of weight orders.
	From unit.Instance
	// LoadBytes counts what load reports read and wrote.
	LoadBytes *atomic.Int64

	plain  *http.Client
	loads  *http.Client
	once   *http.Client
	orders *http.Client
}

// NewEngines returns a client for engines and services.
func NewEngines(c clock.Clock, timeout time.Duration) *Engines {
	loads := &atomic.Int64{}
	return &Engines{
		Timeout:   timeout,
		LoadBytes: loads,
		plain:     link.Client(256, true, nil),
		loads:     link.Client(256, true, loads),
		once:      link.Client(0, false, nil),
		orders:    link.OrderClient(c),
	}
}

// Generate runs work at an engine. A chunk of another request, a gap or an
// answer without its end is a failure, never a whole answer.
func (e *Engines) Generate(ctx context.Context, address string, w platform.Work, each func(platform.Chunk) error) error {
	body, err := json.Marshal(w)
	if err != nil {
		return failed(false, fmt.Errorf("encode work: %w", err))
	}
	res, wrote, err := send(ctx, e.plain, http.MethodPost, "http://"+address+"/generate", header{contentType: "application/json"}, body)
	if err != nil {
		return crashed(ctx, wrote, err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(io.LimitReader(res.Body, maxLine))
		return statusError(res, b)
	}
	return readChunks(ctx, res.Body, w.Request, each)
}

func readChunks(ctx context.Context, r io.Reader, id unit.Request, each func(platform.Chunk) error) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 4096), maxLine)
	var next unit.Tokens
	for sc.Scan() {
		var c platform.Chunk
		if err := json.Unmarshal(sc.Bytes(), &c); err != nil {
			return &platform.Failure{Outcome: unit.Unknown, Err: fmt.Errorf("decode chunk: %w", err)}
		}
		if c.Request != id {
			return &platform.Failure{Outcome: unit.Unknown, Err: errCrossed}
		}
		if c.Index != next {
			return &platform.Failure{Outcome: unit.Unknown, Err: errGap}
		}
		next += c.Tokens
		if err := each(c); err != nil {
			return &platform.Failure{Outcome: unit.Ran, Err: fmt.Errorf("hand on chunk: %w", err)}
		}
		if c.End {
			return nil
		}
	}
	err := sc.Err()
	if err == nil {
		err = errCut
	}
	return crashed(ctx, true, err)
}

// crashed marks a broken connection as a crash, unless we broke it.
func crashed(ctx context.Context, wrote bool, err error) error {
	f := &platform.Failure{Outcome: unit.NotRun, Err: err}
	if wrote {
		f.Outcome = unit.Unknown
		f.Crashed = ctx.Err() == nil
	}
	return f
}

// Call makes one call to a plain service. Only the content type and the
// request id go with it. It takes a new connection, since a write to one that
// the service has just closed would leave the outcome unknown.
func (e *Engines) Call(ctx context.Context, address string, c platform.Call) (platform.Answer, error) {
	u := "http://" + address + "/call/" + c.Path + "?request=" + string(c.Request)
	res, wrote, err := send(ctx, e.once, http.MethodPost, u, header{contentType: c.ContentType}, c.Body)
	if err != nil {
		return platform.Answer{}, crashed(ctx, wrote, err)
	}
	defer res.Body.Close()
	b, err := io.ReadAll(io.LimitReader(res.Body, maxBody))
	if err != nil {
		return platform.Answer{}, crashed(ctx, true, fmt.Errorf("read answer: %w", err))
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
	err := p.do(ctx, e.loads, http.MethodGet, "http://"+address+"/load", nil, &l)
	return l, err
}

// Swap orders an engine to stage or activate a version.
func (e *Engines) Swap(ctx context.Context, address string, s platform.Swap) error {
	ctx, cancel := context.WithTimeout(link.WithBefore(ctx, s.SendBefore), e.Timeout)
	defer cancel()
	body, err := json.Marshal(s)
	if err != nil {
		return fmt.Errorf("encode swap: %w", err)
	}
	p := Platform{From: e.From}
	return p.do(ctx, e.orders, http.MethodPost, "http://"+address+"/swap", body, nil)
}
