package wire

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/platform/link"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// maxBody bounds what is read of one answer, in bytes.
const maxBody = 4 << 20

// Platform is the platform's HTTP interface. It implements platform.Store,
// Orders, Instances, Weights and Intake.
type Platform struct {
	// Base is the URL of the platform, without a trailing slash.
	Base string
	// Timeout bounds each call but watches.
	Timeout time.Duration
	// From names the caller to the platform, which the stand-in's faults and
	// counts go by.
	From unit.Instance
	// Calls counts the calls made to the object API, a watch as one.
	Calls atomic.Int64
	// Bytes counts what was read and written, orders and reports left out.
	Bytes atomic.Int64

	plain  *http.Client
	orders *http.Client
}

// NewPlatform returns a client for the platform at base.
func NewPlatform(base string, c clock.Clock, timeout time.Duration) *Platform {
	p := &Platform{Base: base, Timeout: timeout, orders: link.OrderClient(c)}
	p.plain = link.Client(8, true, &p.Bytes)
	return p
}

// Get reads an object.
func (p *Platform) Get(ctx context.Context, key string) (platform.Object, error) {
	p.Calls.Add(1)
	var o platform.Object
	err := p.call(ctx, http.MethodGet, "/objects/"+url.PathEscape(key), nil, &o)
	return o, err
}

// Put writes an object conditionally.
func (p *Platform) Put(ctx context.Context, key string, value []byte, ifRev unit.Revision) (unit.Revision, error) {
	p.Calls.Add(1)
	var o platform.Object
	path := fmt.Sprintf("/objects/%s?if=%d", url.PathEscape(key), ifRev)
	err := p.call(ctx, http.MethodPut, path, value, &o)
	return o.Revision, err
}

// Delete removes an object conditionally.
func (p *Platform) Delete(ctx context.Context, key string, ifRev unit.Revision) error {
	p.Calls.Add(1)
	path := fmt.Sprintf("/objects/%s?if=%d", url.PathEscape(key), ifRev)
	return p.call(ctx, http.MethodDelete, path, nil, nil)
}

// List reads all objects under a prefix.
func (p *Platform) List(ctx context.Context, prefix string) ([]platform.Object, error) {
	p.Calls.Add(1)
	var objs []platform.Object
	err := p.call(ctx, http.MethodGet, "/objects?prefix="+url.QueryEscape(prefix), nil, &objs)
	return objs, err
}

// Watch waits for a change under a prefix.
func (p *Platform) Watch(ctx context.Context, prefix string, after unit.Revision) (unit.Revision, error) {
	p.Calls.Add(1)
	var rev unit.Revision
	path := "/watch?prefix=" + url.QueryEscape(prefix) + "&after=" + strconv.FormatInt(int64(after), 10)
	err := p.do(ctx, p.plain, http.MethodGet, p.Base+path, nil, &rev)
	return rev, err
}

// Send hands an order over. The connection writes only before o.SendBefore.
func (p *Platform) Send(ctx context.Context, o platform.Order) error {
	ctx, cancel := context.WithTimeout(link.WithBefore(ctx, o.SendBefore), p.Timeout)
	defer cancel()
	body, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	return p.do(ctx, p.orders, http.MethodPost, p.Base+"/orders", body, nil)
}

// Targets lists targets.
func (p *Platform) Targets(ctx context.Context) ([]platform.TargetState, error) {
	var ts []platform.TargetState
	err := p.call(ctx, http.MethodGet, "/targets", nil, &ts)
	return ts, err
}

// Instances lists catkinhead processes.
func (p *Platform) Instances(ctx context.Context) ([]platform.InstanceState, error) {
	var is []platform.InstanceState
	err := p.call(ctx, http.MethodGet, "/instances", nil, &is)
	return is, err
}

// Versions lists the versions published for a pool.
func (p *Platform) Versions(ctx context.Context, pool unit.Pool) ([]unit.Version, error) {
	var vs []unit.Version
	err := p.call(ctx, http.MethodGet, "/weights?pool="+url.QueryEscape(string(pool)), nil, &vs)
	return vs, err
}

// Report hands over a window. The connection writes only before sendBefore.
func (p *Platform) Report(ctx context.Context, w unit.Window, fence unit.Fence, body []byte, sendBefore clock.Millis) error {
	ctx, cancel := context.WithTimeout(link.WithBefore(ctx, sendBefore), p.Timeout)
	defer cancel()
	u := fmt.Sprintf("%s/usage?window=%d&fence=%d", p.Base, w, fence)
	return p.do(ctx, p.orders, http.MethodPost, u, body, nil)
}

func (p *Platform) call(ctx context.Context, method, path string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, p.Timeout)
	defer cancel()
	return p.do(ctx, p.plain, method, p.Base+path, body, out)
}

func (p *Platform) do(ctx context.Context, c *http.Client, method, u string, body []byte, out any) error {
	res, wrote, err := send(ctx, c, method, u, header{contentType: "application/json", from: p.From}, body)
	if err != nil {
		return failed(wrote, err)
	}
	defer res.Body.Close()
	b, err := io.ReadAll(io.LimitReader(res.Body, maxBody))
	if err != nil {
		return failed(true, fmt.Errorf("read answer: %w", err))
	}
	if err := statusError(res, b); err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(b, out); err != nil {
		return failed(true, fmt.Errorf("decode answer: %w", err))
	}
	return nil
}

// header is all that goes into a request's head. Nothing of a caller's own
// head is ever copied.
type header struct {
	contentType string
	from        unit.Instance
}

// send makes a request and tells whether any byte of it may have been written.
func send(ctx context.Context, c *http.Client, method, u string, h header, body []byte) (*http.Response, bool, error) {
	var w link.Written
	req, err := http.NewRequestWithContext(w.Trace(ctx), method, u, bytes.NewReader(body))
	if err != nil {
		return nil, false, fmt.Errorf("make request: %w", err)
	}
	if h.contentType != "" {
		req.Header.Set("Content-Type", h.contentType)
	}
	if h.from != "" {
		req.Header.Set("X-Instance", string(h.from))
	}
	// Without GetBody the transport cannot send the body a second time.
	req.GetBody = nil
	res, err := c.Do(req)
	if errors.Is(err, platform.ErrLeaseEnded) {
		return nil, false, platform.ErrLeaseEnded
	}
	return res, w.Any(), err
}

func failed(wrote bool, err error) error {
	f := &platform.Failure{Outcome: unit.NotRun, Err: err}
	if wrote {
		f.Outcome = unit.Unknown
	}
	return f
}

func statusError(res *http.Response, body []byte) error {
	switch res.StatusCode {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return platform.ErrNotFound
	case http.StatusPreconditionFailed:
		return platform.ErrConflict
	case http.StatusConflict:
		return platform.ErrStaleFence
	case http.StatusUnprocessableEntity:
		return platform.ErrDifferent
	}
	f := &platform.Failure{Err: fmt.Errorf("status %d: %s", res.StatusCode, bytes.TrimSpace(body))}
	if res.Header.Get("X-Outcome") == unit.NotRun.String() {
		f.Outcome = unit.NotRun
		f.Leaving = res.Header.Get("X-Leaving") != ""
	}
	return f
}
