package replay

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"nutmegfield.example/entry"
	"nutmegfield.example/head"
	"nutmegfield.example/load"
	"nutmegfield.example/request"
)

// maxAnswerBytes limits how much of an answer is read; the rest is ignored.
const maxAnswerBytes = 64 << 20

// Answer is what a caller received for a request of the trace.
type Answer struct {
	// Request is the id that the host assigned, empty if the answer has none. A
	// stored answer of a key has the id of the request that ran.
	Request string
	Outcome request.Outcome
	Reason  request.Reason
	Body    []byte
	// Err is the cause of a Broken outcome; nil if the answer lacked an outcome.
	Err error
}

// Player sends each request of a trace at its time, without waiting for
// earlier ones. Fields are set before Run.
type Player struct {
	Trace *Trace
	// URLs are the hosts' base addresses.
	URLs []string

	client *http.Client
}

// Run plays the trace and returns an answer for each request, in the order of
// the trace. When the context ends, requests that were not sent yet are left
// out and those in flight are cancelled; their answers are Broken.
func (player *Player) Run(ctx context.Context) []Answer {
	player.client = &http.Client{
		// On a reused connection http.Transport retries requests with an
		// idempotency key by itself.
		Transport:     head.NewTransport(&http.Transport{DisableKeepAlives: true}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	answers := make([]Answer, len(player.Trace.Requests))
	started := time.Now()
	var group sync.WaitGroup
	for i := range answers {
		planned := &player.Trace.Requests[i]
		group.Go(func() {
			answers[i] = player.sendAt(ctx, planned, started.Add(planned.At))
		})
	}
	group.Wait()
	return answers
}

func (player *Player) sendAt(ctx context.Context, planned *Request, at time.Time) Answer {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return brokenAnswer(ctx.Err())
	}
	ctx, cancel := context.WithTimeout(ctx, planned.Patience)
	defer cancel()
	httpRequest, err := planned.newHTTPRequest(ctx, player.URLs[planned.Host])
	if err != nil {
		return brokenAnswer(err)
	}
	response, err := player.client.Do(httpRequest)
	if err != nil {
		return brokenAnswer(err)
	}
	defer func() { _ = response.Body.Close() }()
	return readAnswer(response)
}

func brokenAnswer(err error) Answer { return Answer{Outcome: Broken, Err: err} }

func (planned *Request) newHTTPRequest(ctx context.Context, host string) (*http.Request, error) {
	method, address, body := planned.Method, host+"/services/"+planned.Pool+planned.Path, []byte(planned.Body)
	if planned.Kind != KindService {
		var err error
		if body, err = planned.chatBody(); err != nil {
			return nil, err
		}
		method, address = http.MethodPost, host+"/v1/chat/completions"
	}
	httpRequest, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	headers := httpRequest.Header
	set := func(name, value string) {
		if value != "" {
			headers.Set(name, value)
		}
	}
	set(entry.HeaderWorkspace, planned.Workspace)
	set(entry.HeaderProfile, planned.Profile)
	set(entry.HeaderIdempotency, planned.Key)
	if planned.Token != "" {
		set("Authorization", "Bearer "+planned.Token)
	}
	if planned.Timeout > 0 {
		set(entry.HeaderTimeout, planned.Timeout.String())
	}
	if len(body) > 0 {
		set("Content-Type", "application/json")
	}
	return httpRequest, nil
}

type chatRequest struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream,omitempty"`
	MaxTokens int           `json:"max_tokens,omitempty"`
	Messages  []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (planned *Request) chatBody() ([]byte, error) {
	prompt := planned.Prompt
	if planned.PromptTokens > 0 {
		generated := load.Request{Prompt: []load.Segment{{Seed: planned.Seed, Tokens: planned.PromptTokens}}}
		prompt = generated.Text()
	}
	body, err := json.Marshal(chatRequest{
		Model: planned.Pool, Stream: planned.Kind == KindStream, MaxTokens: planned.OutputTokens,
		Messages: []chatMessage{{Role: "user", Content: prompt}},
	})
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	return body, nil
}

func readAnswer(response *http.Response) Answer {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return brokenAnswer(err)
	}
	answer := Answer{
		Request: response.Header.Get(entry.HeaderRequest),
		Outcome: request.Outcome(response.Header.Get(entry.HeaderOutcome)),
		Body:    body,
	}
	if trailer := response.Trailer.Get(entry.HeaderOutcome); trailer != "" {
		answer.Outcome = request.Outcome(trailer)
	}
	if answer.Outcome == "" {
		answer.Outcome = Broken
	}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "application/problem+json") {
		var problem entry.Problem
		// The reason stays empty if the problem can't be decoded.
		_ = json.Unmarshal(body, &problem)
		answer.Reason = problem.Reason
	}
	return answer
}
