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
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

func (entry *Entry) chat(writer http.ResponseWriter, received *http.Request) {
	entry.handle(writer, received, func(body []byte) (*job, *Problem) {
		return entry.chatJob(received, body)
	})
}

func (entry *Entry) chatJob(received *http.Request, body []byte) (*job, *Problem) {
	if received.Method != http.MethodPost {
		return nil, badRequest(http.StatusMethodNotAllowed, "use POST")
	}
	var chat chatRequest
	if problem := decodeJSON(body, entry.Settings.Nesting, &chat); problem != nil {
		return nil, problem
	}
	if chat.Model == "" || len(chat.Messages) == 0 {
		return nil, badRequest(http.StatusBadRequest, "model and messages are needed")
	}
	job, problem := entry.classify(received, chat.Model, profile.KindModel, body)
	if problem != nil {
		return nil, problem
	}
	prompt := chat.prompt()
	job.path = chatPath
	job.stream = chat.Stream
	job.prefixes = prefix.Thin(prefix.Chain(prompt))
	job.size = request.Size{PromptTokens: prefix.Tokens(len(prompt)), OutputTokens: chat.MaxTokens}
	if chat.MaxTokens <= 0 {
		job.size.OutputTokens = job.profile.OutputTokens
	}
	return job, nil
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
