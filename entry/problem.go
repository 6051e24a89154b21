package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"nutmegfield.example/request"
)

// Headers of the callers' side.
const (
	HeaderWorkspace   = "Nutmegfield-Workspace"
	HeaderProfile     = "Nutmegfield-Profile"
	HeaderTimeout     = "Nutmegfield-Timeout"
	HeaderRequest     = "Nutmegfield-Request"
	HeaderOutcome     = "Nutmegfield-Outcome"
	HeaderTarget      = "Nutmegfield-Target"
	HeaderIdempotency = "Idempotency-Key"
)

// Problem is the body of every answer that is no target's, as RFC 9457 has
// it.
type Problem struct {
	Type    string          `json:"type"`
	Title   string          `json:"title"`
	Status  int             `json:"status"`
	Detail  string          `json:"detail,omitempty"`
	Outcome request.Outcome `json:"outcome"`
	Reason  request.Reason  `json:"reason,omitempty"`
	Request string          `json:"request,omitempty"`
	// RetryAfter is in seconds.
	RetryAfter int `json:"retryAfter,omitempty"`
	// Error says the same as chat clients expect it.
	Error chatError `json:"error"`
}

// chatError is the error object of the chat interface.
type chatError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code,omitempty"`
}

// chatError returns what a problem says to a chat client.
func (problem *Problem) chatError() chatError {
	said := chatError{Message: problem.Detail, Type: "server_error", Code: string(problem.Reason)}
	if said.Message == "" {
		said.Message = problem.Title
	}
	switch {
	case problem.Status == http.StatusTooManyRequests:
		said.Type = "rate_limit_error"
	case problem.Status < http.StatusInternalServerError:
		said.Type = "invalid_request_error"
	}
	return said
}

// badRequest is a caller's mistake: the request was not run.
func badRequest(status int, detail string) *Problem {
	return &Problem{
		Type:    "about:blank",
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  detail,
		Outcome: request.NotRun,
	}
}

// leastRetry is the shortest wait that a Retry-After header can name.
const leastRetry = time.Second

// notRun says that a request was certainly not dispatched, and when to send
// it again.
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
		RetryAfter: wholeSeconds(max(retryAfter, leastRetry)),
	}
}

// ended says how a dispatched request ended without a whole answer.
func ended(outcome request.Outcome, reason request.Reason, detail string) *Problem {
	return &Problem{
		Type:    "about:blank",
		Title:   http.StatusText(http.StatusBadGateway),
		Status:  http.StatusBadGateway,
		Detail:  detail,
		Outcome: outcome,
		Reason:  reason,
	}
}

func wholeSeconds(wait time.Duration) int { return int(math.Ceil(wait.Seconds())) }

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
	// The caller may be gone; there is nobody to tell.
	_ = json.NewEncoder(writer).Encode(problem)
}
