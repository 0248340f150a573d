package serve

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"net/http"
	"strings"

	"github.com/gin-gonic/gin"

	"github.com/catkinhead/catkinhead/internal/decide"
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/rpc"
	"github.com/catkinhead/catkinhead/pkg/spec"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// maxCallBody bounds a caller's body, in bytes.
	maxCallBody = 4 << 20
	// maxStepBody bounds the body of a remote procedure call, in bytes.
	maxStepBody = 256 << 20
)

// Handler returns the HTTP interface for callers, operators and peers.
func (p *Process) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	g := gin.New()
	g.Use(gin.CustomRecoveryWithWriter(nil, p.recovered))
	g.POST("/v1/chat/completions", p.chat)
	g.POST("/v1/completions", p.completions)
	g.GET("/v1/models", p.models)
	g.POST("/v1/routes/:route/*path", p.plainCall)
	g.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "alive\n") })
	g.GET("/readyz", p.readyz)
	g.GET("/metrics", func(c *gin.Context) { p.metrics.WritePrometheus(c.Writer) })
	g.GET("/dump", p.operatorOnly, p.dumpHTTP)
	p.mount(g, rpc.NewRolloutServer(rolloutServer{p}), p.withKey)
	p.mount(g, rpc.NewOperatorServer(operatorServer{p}), p.operatorOnly)
	p.mount(g, rpc.NewPeerServer(peerServer{p}), p.peersOnly)
	g.NoRoute(func(c *gin.Context) { fail(c, http.StatusNotFound, "NotFound", unit.NotRun, "no such path") })
	return g
}

func (p *Process) mount(g *gin.Engine, s rpc.TwirpServer, check gin.HandlerFunc) {
	g.POST(s.PathPrefix()+"*method", check, func(c *gin.Context) {
		c.Request.Body = http.MaxBytesReader(c.Writer, c.Request.Body, maxStepBody)
		s.ServeHTTP(c.Writer, c.Request)
	})
}

func (p *Process) recovered(c *gin.Context, err any) {
	if e, ok := err.(error); ok && errors.Is(e, http.ErrAbortHandler) {
		panic(http.ErrAbortHandler)
	}
	p.log.Errorf("handler failed: %v", err)
	fail(c, http.StatusInternalServerError, "Internal", unit.Unknown, "internal fault")
}

func (p *Process) readyz(c *gin.Context) {
	ready := false
	p.loop.Ask(func(now clock.Millis, s *decide.State) { ready = s.Ready(now) })
	if !ready {
		c.String(http.StatusServiceUnavailable, "not ready\n")
		return
	}
	c.String(http.StatusOK, "ready\n")
}

type keyHash struct{}

// withKey puts the hash of the caller's key into the context. The key itself
// goes no further.
func (p *Process) withKey(c *gin.Context) {
	ctx := context.WithValue(c.Request.Context(), keyHash{}, hashOf(bearer(c)))
	c.Request = c.Request.WithContext(ctx)
}

func keyFrom(ctx context.Context) string {
	h, _ := ctx.Value(keyHash{}).(string)
	return h
}

func (p *Process) operatorOnly(c *gin.Context) {
	got := hashOf(bearer(c))
	want := strings.ToLower(p.set.OperatorKeyHash)
	if subtle.ConstantTimeCompare([]byte(got), []byte(want)) != 1 {
		fail(c, http.StatusUnauthorized, "BadOperatorKey", unit.NotRun, "the operators' key is needed")
	}
}

func (p *Process) peersOnly(c *gin.Context) {
	got := c.GetHeader(secretHeader)
	if subtle.ConstantTimeCompare([]byte(got), []byte(p.set.FleetSecret)) != 1 {
		fail(c, http.StatusUnauthorized, "BadFleetSecret", unit.NotRun, "the fleet secret is needed")
	}
}

func bearer(c *gin.Context) string {
	scheme, token, ok := strings.Cut(c.GetHeader("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}

func hashOf(key string) string {
	if key == "" {
		return ""
	}
	return spec.HashKey(key)
}

// errorBody is an error in the form that published clients read.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
}

// outcomeHeader says what became of a refused request.
const outcomeHeader = "X-Catkinhead-Outcome"

func errorOf(code string, o unit.Outcome, msg string) errorBody {
	return errorBody{errorDetail{Message: msg, Type: "catkinhead_error", Code: code, Outcome: o.String()}}
}

func errorJSON(code string, o unit.Outcome, msg string) []byte {
	b, _ := json.Marshal(errorOf(code, o, msg))
	return b
}

func fail(c *gin.Context, status int, code string, o unit.Outcome, msg string) {
	c.Header(outcomeHeader, o.String())
	c.AbortWithStatusJSON(status, errorOf(code, o, msg))
}

// refused answers a request that was not served.
func refused(c *gin.Context, r op.Refuse) {
	if r.RetryAfter > 0 {
		c.Header("Retry-After", retryAfter(r.RetryAfter))
	}
	fail(c, statusOf(r.Reason), string(r.Reason), r.Outcome, meaning[r.Reason])
}

func retryAfter(d clock.Millis) string {
	return itoa(int64(max((d+clock.Second-1)/clock.Second, 1)))
}

func statusOf(r op.Reason) int {
	switch r {
	case op.NoKey, op.BadKey, op.Withdrawn:
		return http.StatusUnauthorized
	case op.NotAllowed:
		return http.StatusForbidden
	case op.NoRoute, op.NoStep:
		return http.StatusNotFound
	case op.WrongKind:
		return http.StatusBadRequest
	case op.Overloaded:
		return http.StatusTooManyRequests
	case op.CrashSuspect:
		return http.StatusUnprocessableEntity
	case op.Deadline:
		return http.StatusGatewayTimeout
	case op.TargetFailed:
		return http.StatusBadGateway
	case op.StaleEpoch, op.StepClosed, op.BadReceipt:
		return http.StatusConflict
	default:
		return http.StatusServiceUnavailable
	}
}

// meaning says in words what a reason means to a caller.
var meaning = map[op.Reason]string{
	op.NoKey:        "a key is needed: send Authorization: Bearer KEY",
	op.BadKey:       "the key is not known",
	op.Withdrawn:    "the key was withdrawn",
	op.NotFresh:     "this instance is cut off and cannot tell whether keys still hold; try another",
	op.NoRoute:      "no such route",
	op.NotAllowed:   "the key's workspace may not use this route",
	op.WrongKind:    "the route leads to another kind of target",
	op.Overloaded:   "too many requests are waiting",
	op.Draining:     "this instance is stopping; try another",
	op.CrashSuspect: "the request was running in two crashes of targets and is not run again",
	op.Deadline:     "the deadline passed",
	op.TargetFailed: "the target failed",
	op.NoConfig:     "this instance has no configuration yet; try another",
	op.NoStep:       "the step is not at home here; open it again",
	op.StaleEpoch:   "the step has a newer home; open it again",
	op.StepClosed:   "the step is closed",
	op.BadReceipt:   "a receipt does not match its sample",
}
