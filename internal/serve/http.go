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
	"github.com/catkinhead/catkinhead/internal/listen"
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/rpc"
	"github.com/catkinhead/catkinhead/pkg/spec"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// maxCallBody bounds the body of a caller's request, in bytes.
	maxCallBody = 4 << 20
	// maxRPCBody bounds the body of a Twirp call, in bytes. Opening a step
	// sends all its prompts.
	maxRPCBody = 256 << 20
)

// Handler returns the HTTP interface for callers, operators and peers.
func (p *Process) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	g := gin.New()
	g.Use(gin.CustomRecoveryWithWriter(nil, p.handlePanic), p.endConnection)
	call := p.readBody(bodyRule{limit: p.maxBody(maxCallBody), copies: 1, keyed: true, refuse: refuseCall})
	g.POST("/v1/chat/completions", p.withKey, call, p.serveChatCompletion)
	g.POST("/v1/completions", p.withKey, call, p.serveTextCompletion)
	g.GET("/v1/models", p.models)
	g.POST("/v1/routes/:route/*path", p.withKey, call, p.servePlain)
	g.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "alive\n") })
	g.GET("/readyz", p.readyz)
	metrics := listen.AtMost(metricsAtOnce, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { p.metrics.WritePrometheus(w) }))
	g.GET("/metrics", gin.WrapH(metrics))
	g.GET("/dump", p.operatorOnly, p.serveDump)
	p.mountRPC(g, rpc.NewRolloutServer(rolloutServer{p}), p.withKey, true)
	p.mountRPC(g, rpc.NewOperatorServer(operatorServer{p}), p.operatorOnly, false)
	p.mountRPC(g, rpc.NewPeerServer(peerServer{p}), p.peerOnly, false)
	g.NoRoute(func(c *gin.Context) { writeError(c, http.StatusNotFound, "NotFound", unit.NotRun, "no such path") })
	return g
}

// mountRPC serves a Twirp service. check runs before each call. operatorOnly and
// peerOnly abort a call without the right secret; withKey only stores the hash of
// the caller's key, which the methods of the service then check, and before a long body is
// read if keyed is set.
func (p *Process) mountRPC(g *gin.Engine, s rpc.TwirpServer, check gin.HandlerFunc, keyed bool) {
	body := p.readBody(bodyRule{limit: p.maxBody(maxRPCBody), copies: rpcCopies, keyed: keyed, refuse: refuseRPC})
	g.POST(s.PathPrefix()+"*method", check, body, gin.WrapH(s))
}

// endConnection makes an answer end its connection during the graceful shutdown.
func (p *Process) endConnection(c *gin.Context) {
	if p.stopping.Load() {
		c.Header("Connection", "close")
	}
}

// handlePanic answers a request whose handler panicked. http.ErrAbortHandler is
// passed on to net/http.
func (p *Process) handlePanic(c *gin.Context, err any) {
	if e, ok := err.(error); ok && errors.Is(e, http.ErrAbortHandler) {
		panic(http.ErrAbortHandler)
	}
	p.log.Errorf("handler panicked: %v", err)
	writeError(c, http.StatusInternalServerError, "Internal", unit.Unknown, "internal fault")
}

func (p *Process) readyz(c *gin.Context) {
	ready := false
	p.loop.Query(func(now clock.Millis, s *decide.State) { ready = s.Ready(now) })
	if !ready {
		c.String(http.StatusServiceUnavailable, "not ready\n")
		return
	}
	c.String(http.StatusOK, "ready\n")
}

// keyHashContextKey is the context key for the hash of the caller's key.
type keyHashContextKey struct{}

// withKey puts the hash of the caller's key into the request's context. The key
// itself is not passed on.
func (p *Process) withKey(c *gin.Context) {
	ctx := context.WithValue(c.Request.Context(), keyHashContextKey{}, hashKey(bearerToken(c)))
	c.Request = c.Request.WithContext(ctx)
}

func keyHashFrom(ctx context.Context) string {
	h, _ := ctx.Value(keyHashContextKey{}).(string)
	return h
}

// operatorOnly aborts requests without the operators' key.
func (p *Process) operatorOnly(c *gin.Context) {
	got := hashKey(bearerToken(c))
	want := strings.ToLower(p.set.OperatorKeyHash)
	if subtle.ConstantTimeCompare([]byte(got), []byte(want)) != 1 {
		writeError(c, http.StatusUnauthorized, "BadOperatorKey", unit.NotRun, "the operators' key is needed")
	}
}

// peerOnly aborts requests without the fleet secret.
func (p *Process) peerOnly(c *gin.Context) {
	got := c.GetHeader(secretHeader)
	if subtle.ConstantTimeCompare([]byte(got), []byte(p.set.FleetSecret)) != 1 {
		writeError(c, http.StatusUnauthorized, "BadFleetSecret", unit.NotRun, "the fleet secret is needed")
	}
}

// bearerToken returns the token of the Authorization header, empty if there is none.
func bearerToken(c *gin.Context) string {
	scheme, token, ok := strings.Cut(c.GetHeader("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}

// hashKey returns the hash of a key, empty if there is no key.
func hashKey(key string) string {
	if key == "" {
		return ""
	}
	return spec.HashKey(key)
}

// errorBody is an error in the format of the OpenAI API.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
}

// outcomeHeader is the response header that says whether the request ran, as the
// name of a unit.Outcome.
const outcomeHeader = "X-Catkinhead-Outcome"

func newErrorBody(code string, o unit.Outcome, msg string) errorBody {
	return errorBody{errorDetail{Message: msg, Type: "catkinhead_error", Code: code, Outcome: o.String()}}
}

// errorJSON returns an error as JSON.
func errorJSON(code string, o unit.Outcome, msg string) []byte {
	b, _ := json.Marshal(newErrorBody(code, o, msg))
	return b
}

// writeError ends a request with an error.
func writeError(c *gin.Context, status int, code string, o unit.Outcome, msg string) {
	c.Header(outcomeHeader, o.String())
	c.AbortWithStatusJSON(status, newErrorBody(code, o, msg))
}

// writeRefusal answers a request that the reducer refused.
func writeRefusal(c *gin.Context, r op.Refuse) {
	if r.RetryAfter > 0 {
		c.Header("Retry-After", retryAfterSeconds(r.RetryAfter))
	}
	writeError(c, httpStatus(r.Reason), string(r.Reason), r.Outcome, reasonText[r.Reason])
}

// retryAfterSeconds rounds up to whole seconds, at least 1.
func retryAfterSeconds(d clock.Millis) string {
	return itoa(int64(max((d+clock.Second-1)/clock.Second, 1)))
}

// httpStatus returns the status code for a reason of refusal.
func httpStatus(r op.Reason) int {
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

// reasonText explains the reasons of refusals to callers.
var reasonText = map[op.Reason]string{
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
