package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"nutmegfield.example/request"
)

// Headers of callers' requests and of the answers to them.
const (
	HeaderWorkspace   = "Nutmegfield-Workspace"
	HeaderProfile     = "Nutmegfield-Profile"
	HeaderTimeout     = "Nutmegfield-Timeout"
	HeaderRequest     = "Nutmegfield-Request"
	HeaderOutcome     = "Nutmegfield-Outcome"
	HeaderTarget      = "Nutmegfield-Target"
	HeaderIdempotency = "Idempotency-Key"
)

// Problem is the RFC 9457 body of every answer that is not a target's.
type Problem struct {
	Type    string          `json:"type"`
	Title   string          `json:"title"`
	Status  int             `json:"status"`
	Detail  string          `json:"detail,omitempty"`
	Outcome request.Outcome `json:"outcome"`
	Reason  request.Reason  `json:"reason,omitempty"`
	Request string          `json:"request,omitempty"`
	// RetryAfter is in whole seconds.
	RetryAfter int `json:"retryAfter,omitempty"`
	// Error repeats the problem for clients of the chat API.
	Error chatError `json:"error"`
}

// chatError is the error object of the chat API.
type chatError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code,omitempty"`
}

// chatError returns the problem as an error object of the chat API.
func (problem *Problem) chatError() chatError {
	chatError := chatError{Message: problem.Detail, Type: "server_error", Code: string(problem.Reason)}
	if chatError.Message == "" {
		chatError.Message = problem.Title
	}
	switch {
	case problem.Status == http.StatusTooManyRequests:
		chatError.Type = "rate_limit_error"
	case problem.Status < http.StatusInternalServerError:
		chatError.Type = "invalid_request_error"
	}
	return chatError
}

// badRequest returns the problem of a request that is refused with the given
// status because of what it contains or names. It was not run.
func badRequest(status int, detail string) *Problem {
	return &Problem{
		Type:    "about:blank",
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  detail,
		Outcome: request.NotRun,
	}
}

// minRetryAfter is the shortest time that a Retry-After header can hold, 0 aside.
const minRetryAfter = time.Second

// notRun returns the problem of a request that was not dispatched and may be sent
// again after the given time. The status is 429 where a limit or shedding is the
// reason, else 503.
func notRun(reason request.Reason, retryAfter time.Duration) *Problem {
	status := http.StatusServiceUnavailable
	if reason == request.ReasonShed || reason == request.ReasonLimited {
		status = http.StatusTooManyRequests
	}
	return &Problem{
		Type:       "about:blank",
		Title:      "The request was not run",
		Status:     status,
		Outcome:    request.NotRun,
		Reason:     reason,
		RetryAfter: ceilSeconds(max(retryAfter, minRetryAfter)),
	}
}

// badGateway returns the problem of a dispatched request that has no complete
// answer.
func badGateway(outcome request.Outcome, reason request.Reason, detail string) *Problem {
	return &Problem{
		Type:    "about:blank",
		Title:   http.StatusText(http.StatusBadGateway),
		Status:  http.StatusBadGateway,
		Detail:  detail,
		Outcome: outcome,
		Reason:  reason,
	}
}

// ceilSeconds rounds up to whole seconds.
func ceilSeconds(wait time.Duration) int { return int(math.Ceil(wait.Seconds())) }

// write sends the problem as the answer of the request with the given id.
func (problem *Problem) write(writer http.ResponseWriter, id request.ID) {
	problem.Request = id.String()
	problem.Error = problem.chatError()
	header := writer.Header()
	header.Set("Content-Type", "application/problem+json")
	header.Set(HeaderRequest, problem.Request)
	header.Set(HeaderOutcome, string(problem.Outcome))
	if problem.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(problem.RetryAfter))
	}
	if problem.Status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	writer.WriteHeader(problem.Status)
	// A write error means that the caller is gone.
	_ = json.NewEncoder(writer).Encode(problem)
}
