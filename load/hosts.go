package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"nutmegfield.example/head"
	"nutmegfield.example/pause"
	"nutmegfield.example/prefix"
	"nutmegfield.example/request"
)

// Hosts plays a schedule against running hosts over HTTP, each request at its
// time whatever became of those before. Fields are set before Run.
type Hosts struct {
	Scenario *Scenario
	Seed     uint64
	// URLs are the hosts' base addresses; each attempt goes to one at random.
	URLs []string
	// Client sends the requests; nil for one of its own.
	Client *http.Client

	started time.Time
	mutex   sync.Mutex
	results []*Result
}

// Run plays the schedule and returns the report. It ends early with the
// context; requests that were not sent are not judged.
func (hosts *Hosts) Run(ctx context.Context) *Report {
	if hosts.Client == nil {
		hosts.Client = &http.Client{Transport: head.NewTransport(&http.Transport{MaxIdleConnsPerHost: 256})}
	}
	hosts.started = time.Now()
	var group sync.WaitGroup
	for _, request := range hosts.Scenario.Schedule(hosts.Seed) {
		if !pause.For(ctx, time.Until(hosts.started.Add(request.At))) {
			break
		}
		group.Go(func() { hosts.play(ctx, request) })
	}
	group.Wait()
	report := NewReport(hosts.Scenario, hosts.results)
	report.Variant = "hosts"
	report.Seed = hosts.Seed
	return report
}

// play sends one request until it ran, its caller's patience or its time is
// over.
func (hosts *Hosts) play(ctx context.Context, planned *Request) {
	arrived := time.Now()
	deadline := arrived.Add(planned.Class.Deadline)
	result := &Result{Request: planned}
	key := strconv.FormatUint(rand.Uint64(), 16)
	for {
		result.Attempts++
		answer := hosts.send(ctx, planned, arrived, deadline, key)
		result.Outcome, result.Reason, result.FirstToken = answer.outcome, answer.reason, answer.first
		result.Computed = answer.computed
		again := time.Now().Add(answer.retryAfter)
		if answer.outcome != request.NotRun || answer.retryAfter == 0 ||
			result.Attempts > hosts.Scenario.Delays.Patience || !again.Before(deadline) || !pause.For(ctx, time.Until(again)) {
			break
		}
	}
	result.End = time.Since(arrived)
	hosts.mutex.Lock()
	defer hosts.mutex.Unlock()
	hosts.results = append(hosts.results, result)
}

// hostAnswer is what one attempt came to.
type hostAnswer struct {
	outcome    request.Outcome
	reason     request.Reason
	retryAfter time.Duration
	first      time.Duration
	computed   int
}

func (hosts *Hosts) send(ctx context.Context, planned *Request, arrived, deadline time.Time, key string) hostAnswer {
	url := hosts.URLs[rand.IntN(len(hosts.URLs))]
	made, err := newRequest(ctx, url, planned)
	if err != nil {
		return hostAnswer{outcome: request.Unknown}
	}
	made.Header.Set("Nutmegfield-Workspace", planned.Workspace)
	made.Header.Set("Nutmegfield-Profile", planned.Class.Profile)
	made.Header.Set("Nutmegfield-Timeout", max(time.Millisecond, time.Until(deadline)).String())
	if !planned.Class.Idempotent {
		made.Header.Set("Idempotency-Key", key)
	}
	response, err := hosts.Client.Do(made)
	if err != nil {
		return hostAnswer{outcome: request.Unknown}
	}
	defer response.Body.Close()
	return readAnswer(response, arrived)
}

func newRequest(ctx context.Context, url string, planned *Request) (*http.Request, error) {
	if len(planned.Prompt) == 0 {
		return http.NewRequestWithContext(ctx, planned.Class.Method, url+"/services/"+planned.Class.Pool+planned.Class.Path, http.NoBody)
	}
	body, err := json.Marshal(chatRequest{
		Model: planned.Class.Pool, Stream: true, MaxTokens: planned.Output,
		Messages: []chatMessage{{Role: "user", Content: planned.Text()}},
	})
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	return http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", bytes.NewReader(body))
}

type chatRequest struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Messages  []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// CrashingPrompt begins the prompts of crashing requests. It crashes stand-in engines
// whose faults say so.
const CrashingPrompt = "nutmegfield-standin-poison"

// Text writes the prompt out; equal segments make equal texts.
func (request *Request) Text() string {
	var text strings.Builder
	if request.Crashing != nil {
		text.WriteString(CrashingPrompt + " ")
	}
	for _, segment := range request.Prompt {
		random := rand.New(rand.NewPCG(segment.Seed, 5))
		for range segment.Tokens {
			for range prefix.BytesPerToken - 1 {
				text.WriteByte(byte('a' + random.IntN('z'-'a'+1)))
			}
			text.WriteByte(' ')
		}
	}
	return text.String()
}

// answerEnd is the part of an engine's answer that tells its usage.
type answerEnd struct {
	Usage struct {
		PromptTokens int `json:"prompt_tokens"`
		Details      struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

func readAnswer(response *http.Response, arrived time.Time) hostAnswer {
	var answer hostAnswer
	reader := &firstByte{Reader: response.Body, arrived: arrived}
	body, err := io.ReadAll(reader)
	answer.first = reader.first
	answer.outcome = request.Outcome(response.Header.Get("Nutmegfield-Outcome"))
	if answer.outcome == "" || response.Trailer.Get("Nutmegfield-Outcome") != "" {
		answer.outcome = request.Outcome(response.Trailer.Get("Nutmegfield-Outcome"))
	}
	if err != nil || answer.outcome == "" {
		answer.outcome = request.Unknown
	}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		answer.retryAfter = time.Duration(seconds) * time.Second
	}
	var problem struct {
		Reason request.Reason `json:"reason"`
	}
	if answer.outcome != request.Done && json.Unmarshal(body, &problem) == nil {
		answer.reason = problem.Reason
	}
	answer.computed = computed(body)
	return answer
}

// computed reads from an event stream how many prompt tokens were computed.
func computed(body []byte) int {
	start := bytes.LastIndex(body, []byte(`"usage":{`))
	if start < 0 {
		return 0
	}
	line := body[bytes.LastIndexByte(body[:start], '\n')+1:]
	line = bytes.TrimPrefix(line, []byte("data: "))
	var end answerEnd
	if json.NewDecoder(bytes.NewReader(line)).Decode(&end) != nil {
		return 0
	}
	return end.Usage.PromptTokens - end.Usage.Details.CachedTokens
}

// firstByte notes when the first byte came.
type firstByte struct {
	io.Reader
	arrived time.Time
	first   time.Duration
}

// Read passes the bytes on.
func (reader *firstByte) Read(into []byte) (int, error) {
	n, err := reader.Reader.Read(into)
	if n > 0 && reader.first == 0 {
		reader.first = time.Since(reader.arrived)
	}
	return n, err
}
