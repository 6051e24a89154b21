package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"nutmegfield.example/prefix"
	"nutmegfield.example/target"
)

// Engine is a stand-in of a model engine: it takes time by tokens and answers
// with a text that names the request.
type Engine struct {
	Name string
	// PrefillRate and DecodeRate are tokens a second.
	PrefillRate float64
	DecodeRate  float64

	mutex    sync.Mutex
	running  int
	received []Received
}

type chatBody struct {
	Model    string `json:"model"`
	Messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
	Stream    bool `json:"stream"`
	MaxTokens int  `json:"max_tokens"`
}

// defaultOutput is the number of tokens where the caller sets no limit.
const defaultOutput = 16

// Received returns the calls that the stand-in got.
func (standin *Engine) Received() []Received {
	standin.mutex.Lock()
	defer standin.mutex.Unlock()
	return append([]Received(nil), standin.received...)
}

// Handler returns the engine's API and, at /standin/received, what it got.
func (standin *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", standin.chat)
	mux.HandleFunc("GET /engine/load", standin.load)
	mux.HandleFunc("GET /standin/received", func(writer http.ResponseWriter, _ *http.Request) {
		standin.mutex.Lock()
		defer standin.mutex.Unlock()
		_ = json.NewEncoder(writer).Encode(standin.received)
	})
	return mux
}

func (standin *Engine) load(writer http.ResponseWriter, _ *http.Request) {
	standin.mutex.Lock()
	defer standin.mutex.Unlock()
	_ = json.NewEncoder(writer).Encode(target.Load{Running: standin.running, At: time.Now()})
}

func (standin *Engine) chat(writer http.ResponseWriter, request *http.Request) {
	var body chatBody
	if !decodeBody(writer, request, &body) {
		return
	}
	id := request.Header.Get("Nutmegfield-Request")
	standin.enter(request, id)
	defer standin.leave()
	var prompt strings.Builder
	for _, message := range body.Messages {
		fmt.Fprintf(&prompt, "%s\n%s\n", message.Role, message.Content)
	}
	promptTokens := prefix.Tokens(prompt.Len())
	outputTokens := body.MaxTokens
	if outputTokens <= 0 {
		outputTokens = defaultOutput
	}
	answer := &engineAnswer{
		engine: standin, id: id, model: body.Model,
		usage: fmt.Sprintf(`{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d,"prompt_tokens_details":{"cached_tokens":0}}`,
			promptTokens, outputTokens, promptTokens+outputTokens),
	}
	time.Sleep(span(promptTokens, standin.PrefillRate))
	if body.Stream {
		answer.stream(writer, request, outputTokens)
		return
	}
	time.Sleep(span(outputTokens, standin.DecodeRate))
	answer.whole(writer, outputTokens)
}

func (standin *Engine) enter(request *http.Request, id string) {
	standin.mutex.Lock()
	defer standin.mutex.Unlock()
	standin.running++
	standin.received = append(standin.received, Received{
		Request: id, Method: request.Method, Path: request.URL.Path, At: time.Now(),
	})
}

func (standin *Engine) leave() {
	standin.mutex.Lock()
	defer standin.mutex.Unlock()
	standin.running--
}

func span(tokens int, rate float64) time.Duration {
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}

type engineAnswer struct {
	engine *Engine
	id     string
	model  string
	usage  string
}

func (answer *engineAnswer) token(i int) string { return fmt.Sprintf("%s/%d ", answer.id, i) }

func (answer *engineAnswer) whole(writer http.ResponseWriter, tokens int) {
	var text strings.Builder
	for i := range tokens {
		text.WriteString(answer.token(i))
	}
	writer.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(writer, `{"id":%q,"object":"chat.completion","model":%q,"choices":[{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":"stop"}],"usage":%s}`,
		answer.id, answer.model, text.String(), answer.usage)
}

func (answer *engineAnswer) stream(writer http.ResponseWriter, request *http.Request, tokens int) {
	writer.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(writer)
	for i := range tokens {
		time.Sleep(span(1, answer.engine.DecodeRate))
		if request.Context().Err() != nil {
			return
		}
		_, _ = fmt.Fprintf(writer, "id: %d\ndata: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n",
			i, answer.id, answer.model, answer.token(i))
		_ = control.Flush()
	}
	_, _ = fmt.Fprintf(writer, "id: %d\ndata: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}],\"usage\":%s}\n\ndata: [DONE]\n\n",
		tokens, answer.id, answer.model, answer.usage)
}
