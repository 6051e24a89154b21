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
	"nutmegfield.example/load"
	"nutmegfield.example/request"
)

// answerBytes is the longest answer read; what follows is not looked at.
const answerBytes = 64 << 20

// Answer is what a caller was told.
type Answer struct {
	// Request is the id that the host gave, empty if it told none. A kept
	// answer of a key carries that of the request which ran.
	Request string
	Outcome request.Outcome
	Reason  request.Reason
	Body    []byte
	// Err says why a Broken answer broke.
	Err error
}

// Player sends the requests of a trace, each at its time whatever became of
// those before. Fields are set before Run.
type Player struct {
	Trace *Trace
	// URLs are the hosts' base addresses.
	URLs []string

	client *http.Client
}

// Run plays the trace and returns an answer for each request. With the
// context those that are left are not sent and have Broken answers.
func (player *Player) Run(ctx context.Context) []Answer {
	player.client = &http.Client{
		// On a kept connection the client would send a request with a key again
		// by itself.
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	answers := make([]Answer, len(player.Trace.Requests))
	started := time.Now()
	var group sync.WaitGroup
	for i := range answers {
		planned := &player.Trace.Requests[i]
		group.Go(func() {
			answers[i] = player.playAt(ctx, planned, started.Add(planned.At))
		})
	}
	group.Wait()
	return answers
}

func (player *Player) playAt(ctx context.Context, planned *Request, at time.Time) Answer {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return broken(ctx.Err())
	}
	ctx, cancel := context.WithTimeout(ctx, planned.Patience)
	defer cancel()
	made, err := planned.make(ctx, player.URLs[planned.Host])
	if err != nil {
		return broken(err)
	}
	response, err := player.client.Do(made)
	if err != nil {
		return broken(err)
	}
	defer func() { _ = response.Body.Close() }()
	return read(response)
}

func broken(err error) Answer { return Answer{Outcome: Broken, Err: err} }

func (planned *Request) make(ctx context.Context, host string) (*http.Request, error) {
	method, address, body := planned.Method, host+"/services/"+planned.Pool+planned.Path, []byte(planned.Body)
	if planned.Kind != KindService {
		var err error
		if body, err = planned.chat(); err != nil {
			return nil, err
		}
		method, address = http.MethodPost, host+"/v1/chat/completions"
	}
	made, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	headers := made.Header
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
	return made, nil
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

func (planned *Request) chat() ([]byte, error) {
	prompt := planned.Prompt
	if planned.PromptTokens > 0 {
		made := load.Request{Prompt: []load.Segment{{Seed: planned.Seed, Tokens: planned.PromptTokens}}}
		prompt = made.Text()
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

func read(response *http.Response) Answer {
	body, err := io.ReadAll(io.LimitReader(response.Body, answerBytes))
	if err != nil {
		return broken(err)
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
		// A problem that can't be read has no reason.
		_ = json.Unmarshal(body, &problem)
		answer.Reason = problem.Reason
	}
	return answer
}
