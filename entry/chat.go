package entry

import (
	"bytes"
	"encoding/json"
	"net/http"

	"nutmegfield.example/prefix"
	"nutmegfield.example/profile"
	"nutmegfield.example/request"
)

const chatPath = "/v1/chat/completions"

// chatRequest is the part of a chat completion request that scheduling
// needs; the target gets the caller's own bytes.
type chatRequest struct {
	Model    string        `json:"model"`
	Messages []chatMessage `json:"messages"`
	Stream   bool          `json:"stream"`
	// MaxTokens is the older name of MaxCompletionTokens.
	MaxTokens           int `json:"max_tokens"`
	MaxCompletionTokens int `json:"max_completion_tokens"`
	// N is the number of choices to generate; 0 stands for 1.
	N int `json:"n"`
}

// chatMessage has a text or an array of parts as its content.
type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// mostTokens bounds what a caller can claim of an answer's length.
const mostTokens = 1 << 20

func (entry *Entry) chatJob(received *http.Request, body []byte) (*job, *Problem) {
	if received.Method != http.MethodPost {
		return nil, badRequest(http.StatusMethodNotAllowed, "use POST")
	}
	var chat chatRequest
	if problem := decodeJSON(body, entry.Settings.Nesting, &chat); problem != nil {
		return nil, problem
	}
	if problem := chat.check(); problem != nil {
		return nil, problem
	}
	job, problem := entry.classify(received, chat.Model, profile.KindModel, body)
	if problem != nil {
		return nil, problem
	}
	prompt := chat.prompt()
	job.path = chatPath
	job.header = toEngine(received.Header)
	job.stream = chat.Stream
	job.prefixes = prefix.Sample(prefix.BlockHashes(prompt))
	job.size = request.Size{
		PromptTokens: prefix.EstimateTokens(len(prompt)),
		OutputTokens: chat.outputTokens(job.profile.OutputTokens),
	}
	return job, nil
}

func (chat *chatRequest) check() *Problem {
	switch {
	case chat.Model == "" || len(chat.Messages) == 0:
		return badRequest(http.StatusBadRequest, "model and messages are needed")
	case chat.N < 0 || chat.MaxTokens < 0 || chat.MaxCompletionTokens < 0:
		return badRequest(http.StatusBadRequest, "n, max_tokens and max_completion_tokens must not be below 0")
	}
	for _, message := range chat.Messages {
		if !validContent(message.Content) {
			return badRequest(http.StatusBadRequest, "the content of a message is a text or an array of parts")
		}
	}
	return nil
}

// validContent accepts a text, an array of parts, null and none: a message
// that calls tools has no content.
func validContent(content json.RawMessage) bool {
	if len(content) == 0 {
		return true
	}
	return content[0] == '"' || content[0] == '[' || content[0] == 'n'
}

// outputTokens is the most that the answer's choices can hold together.
func (chat *chatRequest) outputTokens(expected int) int {
	tokens := chat.MaxTokens
	if chat.MaxCompletionTokens > 0 {
		tokens = chat.MaxCompletionTokens
	}
	if tokens == 0 {
		tokens = expected
	}
	return min(min(tokens, mostTokens)*max(1, min(chat.N, mostTokens)), mostTokens)
}

// prompt is the text whose blocks engines cache: each message's role and
// content in order.
func (chat *chatRequest) prompt() []byte {
	var prompt bytes.Buffer
	for _, message := range chat.Messages {
		prompt.WriteString(message.Role)
		prompt.WriteByte('\n')
		prompt.Write(message.Content)
		prompt.WriteByte('\n')
	}
	return prompt.Bytes()
}
