// Package gateway forwards callers' requests unchanged to targets of the pool that
// their route selects, and passes on the targets' answers.
package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"nutmegfield.example/balance"
	"nutmegfield.example/budget"
	"nutmegfield.example/detour"
	"nutmegfield.example/limit"
	"nutmegfield.example/listener"
	"nutmegfield.example/memory"
	"nutmegfield.example/origin"
	"nutmegfield.example/quarantine"
	"nutmegfield.example/quota"
	"nutmegfield.example/rollout"
	"nutmegfield.example/route"
	"nutmegfield.example/timeline"
	"nutmegfield.example/upstream"
	"nutmegfield.example/witness"
)

const (
	// defaultMaxBodyBytes limits a request body if the configuration has no limit.
	defaultMaxBodyBytes = 4 << 20
	// defaultTimeout applies to requests for which neither the route nor the
	// caller sets a timeout.
	defaultTimeout = time.Minute
	// refreshTimeout limits the refresh of the routes before a request is denied.
	refreshTimeout = 500 * time.Millisecond
	// noRoutesRetryAfter is the retry time for callers while the host has no
	// routes or can't refresh them.
	noRoutesRetryAfter = 400 * time.Millisecond
)

// Gateway is the HTTP handler for callers. Its fields are set before use.
type Gateway struct {
	Protocol    Protocol
	Connections *upstream.Connections
	Balancer    *balance.Balancer
	// Ledger keeps the quotas of the workspaces.
	Ledger *quota.Ledger
	// Budget limits the retries of each pool.
	Budget *budget.Budget
	// Attempts tracks the requests sent to targets, to notice targets that crash.
	Attempts *quarantine.Attempts
	// Witnesses tell whether targets outlived their answers without a length.
	Witnesses *witness.Witnesses
	// Suspects says which requests crash targets and must be refused.
	Suspects *quarantine.Suspects
	// Limiter knows the limits that targets name.
	Limiter *limit.Limiter
	// Origins knows the versions that began streams.
	Origins *origin.Origins
	// Rollouts choose the versions of targets while requests move to another one. Nil means
	// that there are none.
	Rollouts *rollout.Rollouts
	// Paths tells which pools this host reaches itself, and Detours sends requests over
	// other hosts. Both may be nil.
	Paths   *detour.Paths
	Detours *detour.Client
	Events  *timeline.Recorder
	// Table returns the routes in force, nil before the first are received.
	Table func() *route.Table
	// TargetsAge returns the time since the targets' entries were last known to be the newest. It may be
	// nil.
	TargetsAge func() time.Duration
	// Refresh returns once the routes in force are the newest, or an error.
	Refresh func(ctx context.Context) error

	// Notice is how long a draining host still accepts requests, so that the
	// load balancer sees that it is not ready.
	Notice time.Duration
	// Callers is the listener for callers.
	Callers *listener.Listener
	// WaitForwarded waits for the requests that this host sends for others. It may be nil.
	WaitForwarded func(ctx context.Context) error

	waitTracker waitTracker
	bufferRoom  bufferRoom
	draining    atomic.Bool
	// endsAt is when the answers of a host that takes no connections any more must have ended,
	// in nanoseconds since 1970; 0 before, and without a limit.
	endsAt          atomic.Int64
	runningRequests atomic.Int64
}

// ServeHTTP forwards one request and writes its answer.
func (gateway *Gateway) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	gateway.runningRequests.Add(1)
	defer gateway.runningRequests.Add(-1)
	forwarding := &forwarding{
		gateway:   gateway,
		writer:    writer,
		request:   request,
		conn:      listener.Of(request),
		call:      gateway.Protocol.ReadCall(request.Header),
		arrivedAt: time.Now(),
	}
	forwarding.run()
}

// forwarding is the state of one caller's request while it is forwarded.
type forwarding struct {
	gateway *Gateway
	writer  http.ResponseWriter
	request *http.Request
	// conn is the caller's connection, nil in tests without a listener.
	conn      *listener.Conn
	call      Call
	arrivedAt time.Time

	route     *route.Route
	pool      *route.Pool
	workspace *route.Workspace
	rank      int
	// isRetry reports whether the caller was probably refused before.
	isRetry bool
	// routesVersion is the version of the routes by which the request was
	// admitted or denied.
	routesVersion int64
	// timeToFirstEvent is the time from arrival until the first event of a stream
	// was received or another answer was passed on; eventCount is the number of
	// events in the stream of the last attempt.
	timeToFirstEvent time.Duration
	eventCount       int
	// body is that of the request; hasBody means that it was read whole.
	body       []byte
	hasBody    bool
	quotaUnits float64
	deadline   time.Time

	// sends is the number of targets that may have read the request;
	// mayHaveRun reports whether one of them may have begun to run it.
	sends      int
	mayHaveRun bool
	// hasSkipped means that an answer that may be this request's was not taken as such.
	hasSkipped bool
	// retry is the permission for the next target, nil for none; hasEnded means that it
	// won't be needed.
	retry    atomic.Pointer[budget.Retry]
	hasEnded atomic.Bool
	// lacksRetry means that the last attempt was the last one as the budget allowed no
	// retry.
	lacksRetry bool
	// triedTargets are the ids of the targets tried so far.
	triedTargets []string
	// headerWritten reports whether the answer's header is written, headType is its content
	// type; lastEventID is the id of the last event passed on.
	headerWritten bool
	headType      string
	lastEventID   string
	// hasPassedEvent reports whether an event was passed on, hasGaps whether the ids of
	// those that were are not consecutive integers.
	hasPassedEvent, hasGaps bool
	// weights is the newest version of the model's weights that the stream's events are of, 0
	// if not known.
	weights int64
	// version is that of the targets at which the stream goes on, 0 for a new stream.
	version balance.VersionID
	// isStartDoubted is set if the target that runs a new stream may have started again since its
	// entry was read.
	isStartDoubted bool
	// choice is that of the version of the next target, counted what the target answers while
	// its pool has a rollout.
	choice  rollout.Choice
	counted *rollout.Attempt
	// content identifies the request when its caller sends it again; shared is what other
	// requests may have in common with it.
	content func() quarantine.Trait
	shared  []quarantine.Trait
	// fallback is a target's server error, passed on if no better answer comes.
	fallback *bufferedAnswer
	// heldHeads are what was counted for the heads of answers.
	heldHeads []int
}

// bufferedAnswer is an answer that was read to its end.
type bufferedAnswer struct {
	status int
	header http.Header
	body   buffer
}

// releaseFallback drops the fallback.
func (forwarding *forwarding) releaseFallback() {
	if forwarding.fallback != nil {
		forwarding.fallback.body.release()
		forwarding.fallback = nil
	}
}

func (forwarding *forwarding) run() {
	defer forwarding.releaseHeads()
	defer forwarding.releaseFallback()
	endRequest, begun := forwarding.begin()
	defer endRequest()
	if !begun || !forwarding.admit() {
		return
	}
	ctx, cancel := context.WithDeadline(forwarding.request.Context(), forwarding.deadline)
	defer cancel()
	forwarding.describe(cancel)
	releaseBody, hasBody := forwarding.readBody()
	defer releaseBody()
	if !hasBody {
		return
	}
	release, admitted := forwarding.admitTraits()
	if !admitted {
		return
	}
	defer release()
	if !forwarding.findVersion(ctx) {
		return
	}
	if !forwarding.takeQuota() {
		return
	}
	forwarding.gateway.Budget.RecordRequest(forwarding.pool.Name)
	forwarding.isRetry = forwarding.isRetryOfRefused()
	defer forwarding.returnRetry()
	forwarding.attemptTargets(ctx)
	if forwarding.sends == 0 && forwarding.workspace != nil {
		forwarding.gateway.Ledger.Return(forwarding.workspace.Name, forwarding.quotaUnits)
	}
}

// admit resolves the route and the workspace. It refreshes the routes before it
// denies a request, as the host's may be outdated. It returns false if it has
// refused the request.
func (forwarding *forwarding) admit() bool {
	gateway := forwarding.gateway
	table := gateway.Table()
	if table == nil {
		forwarding.refuse(http.StatusServiceUnavailable, noRoutesRetryAfter, "no routes yet")
		return false
	}
	if limit := table.Configuration.Limits.HeaderBytes; limit > 0 && headerSize(forwarding.request) > limit {
		forwarding.refuse(http.StatusRequestHeaderFieldsTooLarge, 0, "the header is too long")
		return false
	}
	if forwarding.resolveRoute(table) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(forwarding.request.Context(), refreshTimeout)
	defer cancel()
	// Until the routes are known to be the newest it gives way to those that have one.
	holder := forwarding.conn.Holder()
	holder.Describe(&memory.Details{Request: forwarding.call.ID, Cancel: cancel})
	holder.Enter(memory.Queued)
	err := gateway.Refresh(ctx)
	if !holder.Enter(memory.Waiting) {
		forwarding.refuseGaveWay()
		return false
	}
	if err != nil {
		forwarding.refuse(http.StatusServiceUnavailable, noRoutesRetryAfter, "the routes may be old",
			timeline.Fact{Key: "cause", Value: err.Error()}, timeline.Count("routes", forwarding.routesVersion))
		return false
	}
	status := forwarding.resolveRoute(gateway.Table())
	if status == 0 {
		return true
	}
	forwarding.conn.Deny(forwarding.writer)
	forwarding.refuse(status, 0, "no such route or key", timeline.Count("routes", forwarding.routesVersion))
	return false
}

// resolveRoute sets route, workspace, pool, rank and deadline from a table. It
// returns 0, or the status with which the request is denied.
func (forwarding *forwarding) resolveRoute(table *route.Table) int {
	forwarding.routesVersion = table.Configuration.Version
	forwarding.route = table.Find(forwarding.request.Host, forwarding.request.URL.EscapedPath())
	if forwarding.route == nil {
		return http.StatusNotFound
	}
	forwarding.rank = rank(nil, forwarding.route)
	forwarding.workspace = nil
	if table.RequiresKey() && !forwarding.route.Anonymous {
		forwarding.workspace = table.WorkspaceByKey(forwarding.call.Key)
		if forwarding.workspace == nil {
			return http.StatusUnauthorized
		}
		forwarding.rank = rank(forwarding.workspace, forwarding.route)
	}
	forwarding.pool = table.Pool(forwarding.route.ChoosePool(rand.Float64()))
	if forwarding.pool == nil {
		return http.StatusNotFound
	}
	timeout := defaultTimeout
	if forwarding.route.Timeout > 0 {
		timeout = forwarding.route.Timeout
	}
	if forwarding.call.Timeout > 0 {
		timeout = min(timeout, forwarding.call.Timeout)
	}
	forwarding.deadline = forwarding.arrivedAt.Add(timeout)
	return 0
}

// routeTiers is the number of route tiers distinguished within a workspace tier.
const routeTiers = 8

// rank orders requests, 0 for the most important: first by the tier of the
// workspace, then by that of the route. Without a workspace tier only the route's
// tier counts.
func rank(workspace *route.Workspace, route *route.Route) int {
	tier := min(max(route.Tier, 0), routeTiers-1)
	if workspace != nil && workspace.Tier != nil {
		tier += routeTiers * max(*workspace.Tier, 0)
	}
	return tier
}

// isRetryOfRefused reports whether the caller was probably refused before, by the
// time that it still waits.
func (forwarding *forwarding) isRetryOfRefused() bool {
	route := forwarding.route.Host + forwarding.route.Prefix
	refusedFraction := forwarding.gateway.Balancer.RefusedFraction(forwarding.pool.Name)
	return forwarding.gateway.waitTracker.isRetry(route, forwarding.call.Timeout, refusedFraction)
}

// queueTier returns the tier for the balancer's queue: by rank, and within a rank
// streams that go on come first, as a part of them is delivered, and callers that were
// refused before last, as their answers are late already, with those that don't wait for the
// answer to the request before.
func (forwarding *forwarding) queueTier() int {
	const placesPerRank = 3
	switch {
	case forwarding.resumedAfter() != "":
		return placesPerRank * forwarding.rank
	case forwarding.isRetry || forwarding.conn.IsPipelined():
		return placesPerRank*forwarding.rank + 2
	default:
		return placesPerRank*forwarding.rank + 1
	}
}

// due returns the time until which the first event, or the answer, is in time; zero if there
// is none. The first event of a stream that its caller takes up was delivered before: it is
// in time while the caller still waits for the next one.
func (forwarding *forwarding) due() time.Time {
	route := forwarding.route
	switch {
	case route.Objective <= 0 || forwarding.headerWritten:
		return time.Time{}
	case forwarding.resumedAfter() != "":
		return forwarding.arrivedAt.Add(max(silentObjectiveFactor*route.Objective, silentGapFactor*route.EventGap))
	default:
		return forwarding.arrivedAt.Add(route.Objective)
	}
}

// takeQuota takes the request's units from the workspace's quota. It returns false
// if the quota is exceeded and the request was refused.
func (forwarding *forwarding) takeQuota() bool {
	if forwarding.workspace == nil || forwarding.workspace.Quota.Rate <= 0 {
		return true
	}
	quota := forwarding.workspace.Quota
	forwarding.quotaUnits = 1
	if quota.InTokens {
		forwarding.quotaUnits = float64(quota.PlainTokens)
		if forwarding.call.HasTokenCounts {
			forwarding.quotaUnits = float64(forwarding.call.PromptTokens + forwarding.call.OutputTokens)
		}
	}
	take := forwarding.gateway.Ledger.Take
	if forwarding.version != 0 {
		take = forwarding.gateway.Ledger.TakeForRest
	}
	decision := take(forwarding.workspace.Name, forwarding.quotaUnits)
	if !decision.Allowed {
		forwarding.refuse(http.StatusTooManyRequests, addJitter(decision.RetryAfter), "over the quota",
			timeline.Fact{Key: "workspace", Value: forwarding.workspace.Name},
			timeline.Fact{Key: "resumes", Value: forwarding.call.Resumes},
			timeline.Count("units", int64(forwarding.quotaUnits)),
			timeline.Count("left", int64(decision.Level)),
			timeline.Count("rate", int64(decision.Limit.Rate)),
			timeline.Count("burst", int64(decision.Limit.Burst)),
			timeline.Count("hostsSilent", decision.SilentPeers),
			timeline.Count("hosts", 1+decision.Peers),
			timeline.Count("routes", forwarding.routesVersion),
		)
	}
	return decision.Allowed
}

// requestTarget returns the path and query as the caller sent them.
func (forwarding *forwarding) requestTarget() string {
	if target := forwarding.request.RequestURI; strings.HasPrefix(target, "/") {
		return target
	}
	return forwarding.request.URL.RequestURI()
}
