package client

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/catkinhead/catkinhead/pkg/platform/link"
	"github.com/catkinhead/catkinhead/pkg/rpc"
)

const (
	// pullWaitMillis is how long the owner may hold a pull open while no
	// samples are ready.
	pullWaitMillis = 1000
	// callTimeout bounds a pull or close call; after it the client reopens the
	// step at the next address.
	callTimeout = 4 * time.Second
	// openTimeout bounds an OpenStep call.
	openTimeout = 15 * time.Second
	// minBackoff and maxBackoff bound the exponential backoff between attempts
	// to open a step.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// maxIdleConnections is the number of idle connections kept per address.
	maxIdleConnections = 16
)

// Client calls a fleet. Addresses and Key must be set. It is not safe for
// concurrent use.
type Client struct {
	// Addresses are the host:port of instances, or of a load balancer in front
	// of them.
	Addresses []string
	// Key is the caller's API key.
	Key string

	next int
	http *http.Client
}

// Step describes one step of samples.
type Step struct {
	// Name is unique among the workspace's steps.
	Name  string
	Route string
	// Samples to generate; the position in the slice is the sample's index.
	Samples []*rpc.SampleSpec
	// Staleness is how many versions a sample's weights may be behind the newer
	// of the active version and the one that Version returns.
	Staleness int64
	// Version returns the newest weight version that the trainer knows; nil
	// means that it knows none.
	Version func() int64
}

// Report summarizes a run of a step.
type Report struct {
	// Delivered counts the samples passed to the handler; Failed counts those
	// among them that could not be generated.
	Delivered, Failed int
	// Repeated counts duplicate samples that were dropped.
	Repeated int
	// Homes counts how often the step was opened, which is the number of
	// successive owners.
	Homes int
	// Recorded is set when the store holds the step's final record.
	Recorded bool
}

// stepRun is the state of one Run call. delivered holds, by index, the samples
// passed to the handler, in the form in which a new owner is told of them;
// unacknowledged holds those to acknowledge in the next call.
type stepRun struct {
	c              *Client
	step           Step
	handler        func(*rpc.Sample) error
	delivered      map[int32]*rpc.Held
	unacknowledged []int32
	epoch          int64
	report         Report
}

// Run opens a step and calls handler once for every sample. When the owner of
// the step fails, it reopens the step at another instance and retries until ctx
// ends. An error that every instance would return ends the run, and so does an
// error from handler, which leaves the step open. The Report is valid also if Run
// returns an error.
func (c *Client) Run(ctx context.Context, step Step, handler func(*rpc.Sample) error) (Report, error) {
	if c.http == nil {
		c.http = link.NewClient(maxIdleConnections, true, nil)
	}
	r := &stepRun{c: c, step: step, handler: handler, delivered: make(map[int32]*rpc.Held)}
	for {
		owner, err := r.open(ctx)
		if errorReason(err) == "StepClosed" && len(r.delivered) == len(step.Samples) {
			// The step was closed but the response was lost.
			r.report.Recorded = true
			return r.report, nil
		}
		if err != nil {
			return r.report, err
		}
		err = r.pullAll(ctx, owner)
		if err == nil {
			return r.report, nil
		}
		var permanent *permanentError
		if errors.As(err, &permanent) {
			return r.report, permanent.err
		}
	}
}

// permanentError ends the run: no other instance is tried.
type permanentError struct{ err error }

func (e *permanentError) Error() string { return e.err.Error() }

// open tries one address after another, with backoff, until an instance
// accepts the step and becomes its owner.
func (r *stepRun) open(ctx context.Context) (rpc.Rollout, error) {
	backoff := minBackoff
	for {
		owner := r.c.nextInstance()
		err := r.openOn(ctx, owner)
		if err == nil {
			r.report.Homes++
			return owner, nil
		}
		if isPermanent(err) {
			return nil, fmt.Errorf("open step %s: %w", r.step.Name, err)
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("open step %s: %w", r.step.Name, errors.Join(ctx.Err(), err))
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// openOn asks one instance to take over the step under a new epoch.
func (r *stepRun) openOn(ctx context.Context, owner rpc.Rollout) error {
	ctx, cancel := r.c.withAuthorization(ctx, openTimeout)
	defer cancel()
	req := &rpc.OpenStepRequest{
		Step: r.step.Name, Route: r.step.Route, Samples: r.step.Samples,
		Staleness: r.step.Staleness, TrainerVersion: r.trainerVersion(), Epoch: r.epoch,
	}
	for _, h := range r.delivered {
		req.Held = append(req.Held, h)
	}
	res, err := owner.OpenStep(ctx, req)
	if err != nil {
		return err
	}
	if res.Epoch <= r.epoch {
		return fmt.Errorf("instance opened the step under epoch %d, but epoch %d was already seen", res.Epoch, r.epoch)
	}
	r.epoch = res.Epoch
	r.unacknowledged = nil
	return nil
}

// pullAll pulls samples until every one is acknowledged, then closes the step.
func (r *stepRun) pullAll(ctx context.Context, owner rpc.Rollout) error {
	for {
		done, err := r.pull(ctx, owner)
		if err != nil {
			return err
		}
		if done {
			return r.close(ctx, owner)
		}
	}
}

// pull acknowledges the samples delivered since the last pull, fetches more,
// and tells whether every sample of the step is acknowledged.
func (r *stepRun) pull(ctx context.Context, owner rpc.Rollout) (bool, error) {
	if ctx.Err() != nil {
		return false, &permanentError{ctx.Err()}
	}
	c, cancel := r.c.withAuthorization(ctx, callTimeout)
	defer cancel()
	res, err := owner.PullSamples(c, &rpc.PullSamplesRequest{
		Step: r.step.Name, Epoch: r.epoch, Acknowledged: r.unacknowledged, Wait: pullWaitMillis, TrainerVersion: r.trainerVersion(),
	})
	if err != nil {
		if isPermanent(err) {
			return false, &permanentError{fmt.Errorf("pull samples: %w", err)}
		}
		return false, fmt.Errorf("pull samples: %w", err)
	}
	if res.Epoch != r.epoch {
		return false, errors.New("response is from another epoch")
	}
	r.unacknowledged = nil
	for _, s := range res.Samples {
		if err := r.deliver(s); err != nil {
			return false, &permanentError{err}
		}
	}
	return res.Done, nil
}

// deliver passes a sample to the handler unless it was delivered before. Either
// way the sample is acknowledged with the next pull.
func (r *stepRun) deliver(s *rpc.Sample) error {
	r.unacknowledged = append(r.unacknowledged, s.Index)
	if r.delivered[s.Index] != nil {
		r.report.Repeated++
		return nil
	}
	if err := r.handler(s); err != nil {
		return fmt.Errorf("handle sample %d: %w", s.Index, err)
	}
	r.delivered[s.Index] = &rpc.Held{Index: s.Index, Tokens: s.Tokens, Receipt: s.Receipt}
	r.report.Delivered++
	if s.Failed != "" {
		r.report.Failed++
	}
	return nil
}

// close closes the step with the last acknowledgements. A step that is already
// closed counts as recorded.
func (r *stepRun) close(ctx context.Context, owner rpc.Rollout) error {
	c, cancel := r.c.withAuthorization(ctx, callTimeout)
	defer cancel()
	res, err := owner.CloseStep(c, &rpc.CloseStepRequest{Step: r.step.Name, Epoch: r.epoch, Acknowledged: r.unacknowledged})
	if err == nil {
		r.report.Recorded = res.Recorded
		return nil
	}
	if errorReason(err) == "StepClosed" {
		r.report.Recorded = true
		return nil
	}
	return fmt.Errorf("close step: %w", err)
}

func (r *stepRun) trainerVersion() int64 {
	if r.step.Version == nil {
		return 0
	}
	return r.step.Version()
}

// nextInstance returns a client for the next address, in round-robin order.
func (c *Client) nextInstance() rpc.Rollout {
	a := c.Addresses[c.next%len(c.Addresses)]
	c.next++
	return rpc.NewRolloutProtobufClient("http://"+a, c.http)
}

// withAuthorization adds the caller's key and a timeout to an outgoing call.
func (c *Client) withAuthorization(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	h := http.Header{"Authorization": {"Bearer " + c.Key}}
	ctx, err := twirp.WithHTTPRequestHeaders(ctx, h)
	if err != nil {
		panic("authorization header is reserved: " + err.Error())
	}
	return context.WithTimeout(ctx, d)
}

// isPermanent tells whether every instance would answer with the same error.
func isPermanent(err error) bool {
	switch errorReason(err) {
	case "NoKey", "BadKey", "KeyWithdrawn", "NotAllowed", "NoRoute", "WrongKind", "BadReceipt":
		return true
	case "StepClosed":
		return true
	}
	var te twirp.Error
	return errors.As(err, &te) && te.Code() == twirp.InvalidArgument
}

// errorReason returns the reason that the fleet attached to an error, or "".
func errorReason(err error) string {
	var te twirp.Error
	if errors.As(err, &te) {
		return te.Meta("reason")
	}
	return ""
}
