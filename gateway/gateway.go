// Package gateway forwards callers' requests, whole and unchanged, to targets
// of the pool that their route leads to, and passes on the targets' answers.
package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"nutmegfield.example/balance"
	"nutmegfield.example/budget"
	"nutmegfield.example/quota"
	"nutmegfield.example/route"
	"nutmegfield.example/timeline"
	"nutmegfield.example/upstream"
)

const (
	// bodyBytes is the longest body taken where the configuration has no limit.
	bodyBytes = 4 << 20
	// defaultWait is how long a request may take whose route and caller say
	// nothing of it.
	defaultWait = time.Minute
	// checkWait is how long a request waits for the newest routes before it is
	// denied.
	checkWait = 500 * time.Millisecond
	// retryNoRoutes is when callers may come back to a host that has no routes
	// yet.
	retryNoRoutes = 400 * time.Millisecond
)

// Gateway is the callers' side. Fields are set before use.
type Gateway struct {
	Protocol    Protocol
	Connections *upstream.Connections
	Balancer    *balance.Balancer
	Ledger      *quota.Ledger
	Budget      *budget.Budget
	Events      *timeline.Recorder
	// Table returns the routes in force, nil for none.
	Table func() *route.Table
	// Refresh makes sure that the routes in force are the newest.
	Refresh func(ctx context.Context) error

	// Notice is how long a host that shuts down goes on taking callers, so
	// that the balancer sees it.
	Notice time.Duration
	// Shutdown takes no more requests and waits for the running ones.
	Shutdown func(ctx context.Context) error

	waits   waits
	leaving atomic.Bool
	running atomic.Int64
}

// ServeHTTP answers one request.
func (gateway *Gateway) ServeHTTP(writer http.ResponseWriter, received *http.Request) {
	gateway.running.Add(1)
	defer gateway.running.Add(-1)
	forwarding := &forwarding{
		gateway:  gateway,
		writer:   writer,
		received: received,
		call:     gateway.Protocol.ReadCall(received.Header),
		arrived:  time.Now(),
	}
	if gateway.leaving.Load() {
		writer.Header().Set("Connection", "close")
	}
	forwarding.run()
}

// forwarding is one request of a caller and its answer.
type forwarding struct {
	gateway  *Gateway
	writer   http.ResponseWriter
	received *http.Request
	call     Call
	arrived  time.Time

	route     *route.Route
	pool      *route.Pool
	workspace *route.Workspace
	rank      int
	// returned tells that the caller was probably refused before.
	returned bool
	// version is that of the routes by which it was admitted.
	version int64
	// first is the time to the first event of the answer, events the number
	// of events of the last stream.
	first    time.Duration
	events   int
	body     []byte
	units    float64
	deadline time.Time

	// sent counts the targets that may have read the request; mayHaveRun tells that
	// one may have begun to run it.
	sent       int
	mayHaveRun bool
	// reserved tells that a repeat of the request is counted already.
	reserved atomic.Bool
	// tried are the targets that were tried.
	tried []string
	// begun tells that the answer's header is written; lastEvent is the id of
	// the last event passed on.
	begun     bool
	lastEvent string
	// fallback is a whole answer with a failure, given if no other comes.
	fallback *whole
}

// whole is an answer that was read to its end.
type whole struct {
	status int
	header http.Header
	body   []byte
}

func (forwarding *forwarding) run() {
	if !forwarding.admit() {
		return
	}
	if !forwarding.readBody() {
		return
	}
	if !forwarding.takeQuota() {
		return
	}
	ctx, cancel := context.WithDeadline(forwarding.received.Context(), forwarding.deadline)
	defer cancel()
	forwarding.gateway.Budget.Request(forwarding.pool.Name)
	forwarding.returned = forwarding.wasRefused()
	forwarding.attempts(ctx)
	if forwarding.sent == 0 && forwarding.workspace != nil {
		forwarding.gateway.Ledger.Return(forwarding.workspace.Name, forwarding.units)
	}
}

// admit finds the route and the workspace. A request is denied by the newest
// routes only.
func (forwarding *forwarding) admit() bool {
	gateway := forwarding.gateway
	table := gateway.Table()
	if table == nil {
		forwarding.refuse(http.StatusServiceUnavailable, retryNoRoutes, "no routes yet")
		return false
	}
	if limit := table.Configuration.Limits.HeaderBytes; limit > 0 && headerSize(forwarding.received) > limit {
		forwarding.refuse(http.StatusRequestHeaderFieldsTooLarge, 0, "the header is too long")
		return false
	}
	if forwarding.find(table) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(forwarding.received.Context(), checkWait)
	defer cancel()
	if err := gateway.Refresh(ctx); err != nil {
		forwarding.refuse(http.StatusServiceUnavailable, retryNoRoutes, "the routes may be old",
			timeline.Fact{Key: "cause", Value: err.Error()}, timeline.Count("routes", forwarding.version))
		return false
	}
	status := forwarding.find(gateway.Table())
	if status == 0 {
		return true
	}
	forwarding.refuse(status, 0, "no such route or key", timeline.Count("routes", forwarding.version))
	return false
}

// find looks the request up and returns 0, or the status that denies it.
func (forwarding *forwarding) find(table *route.Table) int {
	forwarding.version = table.Configuration.Version
	forwarding.route = table.Find(forwarding.received.Host, forwarding.received.URL.EscapedPath())
	if forwarding.route == nil {
		return http.StatusNotFound
	}
	forwarding.rank = rank(nil, forwarding.route)
	forwarding.workspace = nil
	if table.Keyed() && !forwarding.route.Anonymous {
		forwarding.workspace = table.WorkspaceOf(forwarding.call.Key)
		if forwarding.workspace == nil {
			return http.StatusUnauthorized
		}
		forwarding.rank = rank(forwarding.workspace, forwarding.route)
	}
	forwarding.pool = table.Pool(forwarding.route.Choose(rand.Float64()))
	if forwarding.pool == nil {
		return http.StatusNotFound
	}
	wait := defaultWait
	if forwarding.route.Timeout > 0 {
		wait = forwarding.route.Timeout
	}
	if forwarding.call.Timeout > 0 {
		wait = min(wait, forwarding.call.Timeout)
	}
	forwarding.deadline = forwarding.arrived.Add(wait)
	return 0
}

// routeTiers is how many tiers of routes are told apart within a tier of
// workspaces.
const routeTiers = 8

// rank orders requests: by the tier of the workspace, then by that of the
// route. Requests without a workspace's tier come by their route's alone.
func rank(workspace *route.Workspace, route *route.Route) int {
	tier := min(max(route.Tier, 0), routeTiers-1)
	if workspace != nil && workspace.Tier != nil {
		tier += routeTiers * max(*workspace.Tier, 0)
	}
	return tier
}

// wasRefused reports whether the caller was probably refused before.
func (forwarding *forwarding) wasRefused() bool {
	route := forwarding.route.Host + forwarding.route.Prefix
	pressure := forwarding.gateway.Balancer.Pressure(forwarding.pool.Name)
	return forwarding.gateway.waits.returned(route, forwarding.call.Timeout, pressure)
}

// tier is the place in the order of waiting requests: by rank, and of the same
// rank those last that came back, as they are late already.
func (forwarding *forwarding) tier() int {
	if forwarding.returned {
		return 2*forwarding.rank + 1
	}
	return 2 * forwarding.rank
}

// readBody takes the caller's body whole.
func (forwarding *forwarding) readBody() bool {
	limit := int64(bodyBytes)
	if table := forwarding.gateway.Table(); table != nil && table.Configuration.Limits.BodyBytes > 0 {
		limit = int64(table.Configuration.Limits.BodyBytes)
	}
	body, err := io.ReadAll(http.MaxBytesReader(forwarding.writer, forwarding.received.Body, limit))
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		forwarding.refuse(http.StatusRequestEntityTooLarge, 0, "the body is too long")
		return false
	case err != nil:
		// The caller broke off; there is nobody to answer.
		panic(http.ErrAbortHandler)
	}
	forwarding.body = body
	return true
}

// takeQuota uses the workspace's quota.
func (forwarding *forwarding) takeQuota() bool {
	if forwarding.workspace == nil || forwarding.workspace.Quota.Rate <= 0 {
		return true
	}
	quota := forwarding.workspace.Quota
	forwarding.units = 1
	if quota.InTokens {
		forwarding.units = float64(quota.PlainTokens)
		if forwarding.call.HasTokenCounts {
			forwarding.units = float64(forwarding.call.PromptTokens + forwarding.call.OutputTokens)
		}
	}
	decision := forwarding.gateway.Ledger.Take(forwarding.workspace.Name, forwarding.units)
	if !decision.Allowed {
		forwarding.refuse(http.StatusTooManyRequests, spread(decision.After), "over the quota",
			timeline.Fact{Key: "workspace", Value: forwarding.workspace.Name},
			timeline.Count("units", int64(forwarding.units)),
			timeline.Count("left", int64(decision.Level)),
			timeline.Count("rate", int64(decision.Limit.Rate)),
			timeline.Count("burst", int64(decision.Limit.Burst)),
			timeline.Count("hostsSilent", decision.Silent),
			timeline.Count("hosts", 1+decision.Peers),
			timeline.Count("routes", forwarding.version),
		)
	}
	return decision.Allowed
}

// path is the request target as the caller sent it.
func (forwarding *forwarding) path() string {
	if target := forwarding.received.RequestURI; strings.HasPrefix(target, "/") {
		return target
	}
	return forwarding.received.URL.RequestURI()
}
