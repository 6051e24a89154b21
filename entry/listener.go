package entry

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"

	"nutmegfield.example/listener"
	"nutmegfield.example/memory"
	"nutmegfield.example/request"
	"nutmegfield.example/settings"
)

// newListener returns the listener that bounds what callers make the host hold, within the
// plan's part for them and the limits of the settings. Socket is the listener below that of TLS,
// nil without TLS.
func newListener(accepting, socket net.Listener, plan *memory.Plan, callers *settings.Callers) *listener.Listener {
	plan.FitBody(callers.BodyBytes)
	parts := &plan.Callers.Parts
	parts[memory.Connections] = min(parts[memory.Connections], int64(callers.Connections)*memory.ConnectionCost)
	limits := listener.Limits{HeaderBytes: callers.HeaderBytes, HeaderTimeout: callers.ReadTimeout, IdleTimeout: callers.IdleTimeout}
	return &listener.Listener{
		Listener: accepting, Socket: socket, Budget: plan.Callers, IsSmall: listener.IsSmall(plan.Machine),
		Limits: func() listener.Limits { return limits }, WriteTimeout: callers.WriteTimeout, Problem: describeRefusal,
	}
}

// describeRefusal returns the header fields and the problem of a refusal that the listener gives
// itself, before the request has an id.
func describeRefusal(status int) (fields, body string) {
	problem := badRequest(status, "the request did not come in time, or is too long")
	if status == http.StatusServiceUnavailable {
		problem = notRun(request.ReasonLimited, retryAfterLimited)
		problem.Status = status
		fields = "Retry-After: " + strconv.Itoa(problem.RetryAfter) + "\r\n"
	}
	problem.Error = problem.chatError()
	// A problem always has an encoding.
	text, _ := json.Marshal(problem)
	return fields + "Content-Type: application/problem+json\r\n" + HeaderOutcome + ": " + string(problem.Outcome) + "\r\n", string(text)
}

// refuseUnread answers a request whose body was not read, or not to its end.
func refuseUnread(callerWriter *callerWriter, received *http.Request, problem *Problem, id request.ID) {
	callerWriter.conn.Discard(callerWriter, received)
	problem.write(callerWriter, id)
	callerWriter.conn.Linger(callerWriter, received)
}
