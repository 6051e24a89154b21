package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"nutmegfield.example/errorkind"
	"nutmegfield.example/kernel"
	"nutmegfield.example/listener"
	"nutmegfield.example/memory"
	"nutmegfield.example/operator"
	"nutmegfield.example/timeline"
)

// noMemoryRetryAfter is the retry time for callers for whose requests there is no memory. Those
// that make no progress have given way until then.
const noMemoryRetryAfter = time.Second

// Reasons of refusals for want of memory or progress.
const (
	reasonNoMemory   = "no memory for the request"
	reasonNoBodyRoom = "no memory for the body"
	reasonGaveWay    = "the request gave way to others"
	reasonSlowBody   = "the body did not come in time"
)

// The listeners of a gateway, in the order of boundListeners.
const (
	peersListener = iota
	readinessListener
	callersListener
	operatorsListener
)

// smallHeaderBytes limits heads at the listener for the balancer's checks.
const smallHeaderBytes = 4 << 10

// boundListeners bounds what callers can make the host hold at each of its listeners.
func (host *host) boundListeners(kernelHost *kernel.Host, listeners []net.Listener) {
	plan := kernelHost.Memory()
	host.gateway.bufferRoom.budget = plan.Callers
	smallLimits := func() listener.Limits { return listener.Limits{HeaderBytes: smallHeaderBytes} }
	listener.RecordDivision(kernelHost.Events, plan)
	for number, bounds := range []struct {
		name   string
		budget *memory.Budget
		limits func() listener.Limits
	}{
		peersListener:     {"peers", plan.Peers, nil},
		readinessListener: {"readiness", plan.Readiness, smallLimits},
		callersListener:   {"callers", plan.Callers, host.callerLimits},
		operatorsListener: {"operators", plan.Operators, operator.Limits},
	} {
		bounded := &listener.Listener{
			Listener: listeners[number], Budget: bounds.budget, Limits: bounds.limits, RetryAfter: noMemoryRetryAfter,
			Messages: number == peersListener, IsSmall: listener.IsSmall(plan.Machine),
		}
		(&listener.Report{Name: bounds.name, Events: kernelHost.Events}).Observe(bounded)
		if number == callersListener {
			host.gateway.Callers = bounded
		}
		listeners[number] = bounded
	}
}

// newOperatorsHandler returns the handler of operators' requests. Pages are built in memory.
func (host *host) newOperatorsHandler(kernelHost *kernel.Host) http.Handler {
	mux := operator.NewMux(kernelHost.Events)
	mux.HandleFunc("GET /status", func(writer http.ResponseWriter, _ *http.Request) {
		settings := &kernelHost.Settings.Host
		status := host.status(settings.ID, settings.Zone)
		status.Memory = kernelHost.Memory().Usage()
		operator.WriteJSON(writer, status)
	})
	return listener.Handler(operator.Limit(mux))
}

// status returns the routes in force and the rollouts that this host knows of.
func (host *host) status(id, zone string) operator.Status {
	status := operator.Status{Host: id, Zone: zone, Rollouts: host.gateway.Rollouts.Statuses()}
	if table := host.routes.Table(); table != nil {
		status.Version = table.Configuration.Version
	}
	return status
}

// callerLimits returns the limits of the routes in force for the heads of callers.
func (host *host) callerLimits() listener.Limits {
	table := host.routes.Table()
	if table == nil {
		return listener.Limits{}
	}
	limits := &table.Configuration.Limits
	return listener.Limits{HeaderBytes: limits.HeaderBytes, HeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout}
}

// begin counts the memory of the request. It returns false if there is none and the request was
// refused. End must be called in any case.
func (forwarding *forwarding) begin() (end func(), begun bool) {
	end, begun = forwarding.conn.Begin(forwarding.writer, forwarding.request)
	if !begun {
		forwarding.refuse(http.StatusServiceUnavailable, addJitter(noMemoryRetryAfter), reasonNoMemory)
	}
	return end, begun
}

// describe tells the listener what it needs to choose who gives way. Cancel ends the wait of
// the request.
func (forwarding *forwarding) describe(cancel context.CancelFunc) {
	if forwarding.conn == nil {
		return
	}
	forwarding.conn.Holder().Describe(&memory.Details{
		Request: forwarding.call.ID, Workspace: forwarding.workspaceName(), Declared: forwarding.request.ContentLength,
		Deadline: forwarding.deadline, Due: forwarding.due(), Cancel: cancel,
	})
}

// readBody reads the caller's body. It returns false if the request was refused. Release must
// be called in any case.
func (forwarding *forwarding) readBody() (release func(), ok bool) {
	limit := int64(defaultMaxBodyBytes)
	if table := forwarding.gateway.Table(); table != nil && table.Configuration.Limits.BodyBytes > 0 {
		limit = int64(table.Configuration.Limits.BodyBytes)
	}
	body, err := forwarding.conn.ReadBody(forwarding.request, limit, forwarding.deadline)
	if err != nil {
		forwarding.refuseBody(err)
		return func() {}, false
	}
	forwarding.body, forwarding.hasBody = body.Bytes, true
	forwarding.content = sync.OnceValue(forwarding.hashContent)
	forwarding.shared = forwarding.sharedTraits()
	return body.Release, true
}

// refuseBody refuses a request whose body was not read to its end.
func (forwarding *forwarding) refuseBody(err error) {
	cause := timeline.Fact{Key: "cause", Value: err.Error()}
	switch {
	case errorkind.Is(err, listener.TooLong):
		forwarding.refuse(http.StatusRequestEntityTooLarge, 0, "the body is too long", cause)
	case errorkind.Is(err, listener.TooSlow):
		forwarding.writer.Header().Set("Connection", "close")
		forwarding.refuse(http.StatusRequestTimeout, 0, reasonSlowBody, cause)
	case errorkind.Is(err, listener.NoRoom):
		forwarding.refuse(http.StatusServiceUnavailable, addJitter(noMemoryRetryAfter), reasonNoBodyRoom, cause)
	case errorkind.Is(err, listener.GaveWay):
		forwarding.refuseGaveWay(cause)
	default:
		// The caller has left, so there is nobody to answer.
		panic(http.ErrAbortHandler)
	}
}

// beginRun marks the request as one that is sent to a target, and gives way to no other any
// more. It returns false if it has given way.
func (forwarding *forwarding) beginRun() bool { return forwarding.conn.Holder().Enter(memory.Running) }

// hasGivenWay reports whether the request gave way to others while it waited for a target.
func (forwarding *forwarding) hasGivenWay() bool {
	return forwarding.sends == 0 && forwarding.request.Context().Err() == nil && forwarding.conn.Holder().Phase() == memory.Gone
}

// refuseGaveWay refuses a request that has given way to others.
func (forwarding *forwarding) refuseGaveWay(facts ...timeline.Fact) {
	after, reason := noMemoryRetryAfter, reasonGaveWay
	if forwarding.gateway.endsAt.Load() != 0 {
		after, reason = minRetryAfter, reasonDraining
	}
	forwarding.refuse(http.StatusServiceUnavailable, addJitter(after), reason,
		append(facts, timeline.Duration("waited", time.Since(forwarding.arrivedAt)))...)
}
