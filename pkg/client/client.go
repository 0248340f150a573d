package client

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/catkinhead/catkinhead/pkg/rpc"
)

const (
	// pullWait is how long a pull waits at the home, in milliseconds.
	pullWait = 1000
	// callTime bounds a pull. A home that stays silent longer is left.
	callTime = 4 * time.Second
	// openTime bounds the opening of a step.
	openTime = 15 * time.Second
	// firstPause and lastPause bound the pause between two tries to open.
	firstPause = 50 * time.Millisecond
	lastPause  = 2 * time.Second
	// idleConnections is how many connections to an instance stay open.
	idleConnections = 16
)

// Client calls a fleet. Addresses and Key must be set.
type Client struct {
	// Addresses are host:port of instances or of a balancer before them.
	Addresses []string
	// Key is the caller's key.
	Key string

	next int
	http *http.Client
}

// Step is one step of samples.
type Step struct {
	// Name is unique among the workspace's steps.
	Name  string
	Route string
	// Samples by index.
	Samples []*rpc.SampleSpec
	// Staleness is how many versions behind the active one a sample may be.
	Staleness int64
	// Version returns the newest version the trainer knows; nil means none.
	Version func() int64
}

// Report says how a step went.
type Report struct {
	// Delivered counts the samples handed over, Failed those among them that
	// could not be run.
	Delivered, Failed int
	// Repeated counts samples that came again and were dropped.
	Repeated int
	// Homes counts the instances that were home.
	Homes int
	// Recorded is set when the store held the step's record at the end.
	Recorded bool
}

// run is a step under way.
type run struct {
	c     *Client
	step  Step
	each  func(*rpc.Sample) error
	held  map[int32]*rpc.Held
	unack []int32
	epoch int64
	rep   Report
}

// Run opens a step and calls each for every sample, once. It goes on through
// deaths of homes until ctx ends.
func (c *Client) Run(ctx context.Context, step Step, each func(*rpc.Sample) error) (Report, error) {
	if c.http == nil {
		c.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections}}
	}
	r := &run{c: c, step: step, each: each, held: make(map[int32]*rpc.Held)}
	for {
		home, err := r.open(ctx)
		if reason(err) == "StepClosed" && len(r.held) == len(step.Samples) {
			// The answer to the close was lost, and the close took effect.
			r.rep.Recorded = true
			return r.rep, nil
		}
		if err != nil {
			return r.rep, err
		}
		err = r.drain(ctx, home)
		if err == nil {
			return r.rep, nil
		}
		var stop *stopError
		if errors.As(err, &stop) {
			return r.rep, stop.err
		}
	}
}

// stopError ends the step instead of trying another home.
type stopError struct{ err error }

func (e *stopError) Error() string { return e.err.Error() }

// open makes the next instance that answers the home of the step.
func (r *run) open(ctx context.Context) (rpc.Rollout, error) {
	pause := firstPause
	for {
		home := r.c.rollout()
		err := r.openAt(ctx, home)
		if err == nil {
			r.rep.Homes++
			return home, nil
		}
		if final(err) {
			return nil, fmt.Errorf("open step %s: %w", r.step.Name, err)
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("open step %s: %w", r.step.Name, errors.Join(ctx.Err(), err))
		case <-time.After(pause):
		}
		pause = min(2*pause, lastPause)
	}
}

func (r *run) openAt(ctx context.Context, home rpc.Rollout) error {
	ctx, cancel := r.c.context(ctx, openTime)
	defer cancel()
	req := &rpc.OpenStepRequest{
		Step: r.step.Name, Route: r.step.Route, Samples: r.step.Samples,
		Staleness: r.step.Staleness, TrainerVersion: r.version(), Epoch: r.epoch,
	}
	for _, h := range r.held {
		req.Held = append(req.Held, h)
	}
	res, err := home.OpenStep(ctx, req)
	if err != nil {
		return err
	}
	if res.Epoch <= r.epoch {
		return fmt.Errorf("home opened under epoch %d, and %d was seen", res.Epoch, r.epoch)
	}
	r.epoch = res.Epoch
	r.unack = nil
	return nil
}

// drain pulls until the step is done, and closes it.
func (r *run) drain(ctx context.Context, home rpc.Rollout) error {
	for {
		done, err := r.pull(ctx, home)
		if err != nil {
			return err
		}
		if done {
			return r.close(ctx, home)
		}
	}
}

func (r *run) pull(ctx context.Context, home rpc.Rollout) (bool, error) {
	if ctx.Err() != nil {
		return false, &stopError{ctx.Err()}
	}
	c, cancel := r.c.context(ctx, callTime)
	defer cancel()
	res, err := home.PullSamples(c, &rpc.PullSamplesRequest{
		Step: r.step.Name, Epoch: r.epoch, Acknowledged: r.unack, Wait: pullWait, TrainerVersion: r.version(),
	})
	if err != nil {
		if final(err) {
			return false, &stopError{fmt.Errorf("pull samples: %w", err)}
		}
		return false, fmt.Errorf("pull samples: %w", err)
	}
	if res.Epoch != r.epoch {
		return false, errors.New("answer is under another epoch")
	}
	r.unack = nil
	for _, s := range res.Samples {
		if err := r.take(s); err != nil {
			return false, &stopError{err}
		}
	}
	return res.Done, nil
}

// take hands a sample over unless it was before.
func (r *run) take(s *rpc.Sample) error {
	r.unack = append(r.unack, s.Index)
	if r.held[s.Index] != nil {
		r.rep.Repeated++
		return nil
	}
	if err := r.each(s); err != nil {
		return fmt.Errorf("hand over sample %d: %w", s.Index, err)
	}
	r.held[s.Index] = &rpc.Held{Index: s.Index, Tokens: s.Tokens, Receipt: s.Receipt}
	r.rep.Delivered++
	if s.Failed != "" {
		r.rep.Failed++
	}
	return nil
}

func (r *run) close(ctx context.Context, home rpc.Rollout) error {
	c, cancel := r.c.context(ctx, callTime)
	defer cancel()
	res, err := home.CloseStep(c, &rpc.CloseStepRequest{Step: r.step.Name, Epoch: r.epoch, Acknowledged: r.unack})
	if err == nil {
		r.rep.Recorded = res.Recorded
		return nil
	}
	if reason(err) == "StepClosed" {
		r.rep.Recorded = true
		return nil
	}
	return fmt.Errorf("close step: %w", err)
}

func (r *run) version() int64 {
	if r.step.Version == nil {
		return 0
	}
	return r.step.Version()
}

func (c *Client) rollout() rpc.Rollout {
	a := c.Addresses[c.next%len(c.Addresses)]
	c.next++
	return rpc.NewRolloutProtobufClient("http://"+a, c.http)
}

// context adds the caller's key to outgoing calls.
func (c *Client) context(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	h := http.Header{"Authorization": {"Bearer " + c.Key}}
	ctx, err := twirp.WithHTTPRequestHeaders(ctx, h)
	if err != nil {
		panic("authorization header is reserved: " + err.Error())
	}
	return context.WithTimeout(ctx, d)
}

// final tells whether another instance would answer the same.
func final(err error) bool {
	switch reason(err) {
	case "NoKey", "BadKey", "KeyWithdrawn", "NotAllowed", "NoRoute", "WrongKind", "BadReceipt":
		return true
	case "StepClosed":
		return true
	}
	var te twirp.Error
	return errors.As(err, &te) && te.Code() == twirp.InvalidArgument
}

func reason(err error) string {
	var te twirp.Error
	if errors.As(err, &te) {
		return te.Meta("reason")
	}
	return ""
}
