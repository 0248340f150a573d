package wire

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
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

// maxResponseBytes is the maximum number of bytes read of a response body.
const maxResponseBytes = 4 << 20

// Platform is a client of the platform's HTTP interface. It implements
// platform.Store, Orders, Instances, Weights and UsageReporter.
type Platform struct {
	// Base is the URL of the platform, without a trailing slash.
	Base string
	// Timeout limits each call except watches.
	Timeout time.Duration
	// From is the name of this instance, sent with each call. The simulated
	// platform injects faults and counts calls by instance.
	From unit.Instance
	// Calls counts the calls to the object store; a watch is one call.
	Calls atomic.Int64
	// Bytes counts the bytes read and written, without orders and reports.
	Bytes atomic.Int64

	client      *http.Client
	orderClient *http.Client
}

// NewPlatform returns a client for the platform at base.
func NewPlatform(base string, c clock.Clock, timeout time.Duration) *Platform {
	p := &Platform{Base: base, Timeout: timeout, orderClient: link.NewOrderClient(c)}
	p.client = link.NewReadingClient(8, &p.Bytes, func() { p.Calls.Add(1) })
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
	err := p.do(ctx, p.client, http.MethodGet, p.Base+path, nil, &rev)
	return rev, err
}

// Send sends an order. Nothing is written from o.SendBefore on.
func (p *Platform) Send(ctx context.Context, o platform.Order) error {
	ctx, cancel := context.WithTimeout(link.WithWriteDeadline(ctx, o.SendBefore), p.Timeout)
	defer cancel()
	body, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	return p.do(ctx, p.orderClient, http.MethodPost, p.Base+"/orders", body, nil)
}

// Targets lists targets.
func (p *Platform) Targets(ctx context.Context) ([]platform.TargetState, error) {
	var ts []platform.TargetState
	err := p.call(ctx, http.MethodGet, "/targets", nil, &ts)
	return ts, err
}

// Instances lists catkinhead instances.
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

// Report sends the usage report of a window. Nothing is written from sendBefore
// on.
func (p *Platform) Report(ctx context.Context, w unit.Window, fence unit.Fence, body []byte, sendBefore clock.Millis) error {
	ctx, cancel := context.WithTimeout(link.WithWriteDeadline(ctx, sendBefore), p.Timeout)
	defer cancel()
	u := fmt.Sprintf("%s/usage?window=%d&fence=%d", p.Base, w, fence)
	return p.do(ctx, p.orderClient, http.MethodPost, u, body, nil)
}

// call sends a request to the platform within the timeout and decodes the
// response into out, which may be nil.
func (p *Platform) call(ctx context.Context, method, path string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, p.Timeout)
	defer cancel()
	return p.do(ctx, p.client, method, p.Base+path, body, out)
}

// do sends a request to the URL u and decodes the response into out, which may
// be nil.
func (p *Platform) do(ctx context.Context, c *http.Client, method, u string, body []byte, out any) error {
	res, wrote, err := send(ctx, c, method, u, requestHeader{contentType: "application/json", from: p.From}, body)
	if err != nil {
		return newFailure(wrote, err)
	}
	defer res.Body.Close()
	b, err := link.ReadAnswer(res, maxResponseBytes)
	if err != nil {
		return newFailure(true, fmt.Errorf("read response: %w", err))
	}
	if err := statusError(res, b); err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(b, out); err != nil {
		return newFailure(true, fmt.Errorf("decode response: %w", err))
	}
	return nil
}

// requestHeader holds the only headers that are set on a request. No header of
// a caller is copied.
type requestHeader struct {
	contentType string
	from        unit.Instance
}

// send sends a request and reports whether any byte of it may have been
// written.
func send(ctx context.Context, c *http.Client, method, u string, h requestHeader, body []byte) (*http.Response, bool, error) {
	var w link.WriteTracker
	req, err := http.NewRequestWithContext(w.Trace(ctx), method, u, bytes.NewReader(body))
	if err != nil {
		return nil, false, fmt.Errorf("create request: %w", err)
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
	return res, w.MayHaveWritten(), err
}

// newFailure returns the failure of a call without a usable response. The
// outcome is Unknown if any byte of the request may have been written, else
// NotRun.
func newFailure(wrote bool, err error) error {
	f := &platform.Failure{Outcome: unit.NotRun, Err: err}
	if wrote {
		f.Outcome = unit.Unknown
	}
	return f
}

// statusError returns the error for the status of a response, nil for success.
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
		return platform.ErrReportConflict
	}
	f := &platform.Failure{Err: fmt.Errorf("status %d: %s", res.StatusCode, bytes.TrimSpace(body))}
	if res.Header.Get("X-Outcome") == unit.NotRun.String() {
		f.Outcome = unit.NotRun
		f.Leaving = res.Header.Get("X-Leaving") != ""
	}
	return f
}
