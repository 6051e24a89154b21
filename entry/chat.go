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

// chatRequest is the part of a chat completion request that scheduling needs. The
// target gets the caller's body unchanged.
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

// chatMessage is a message whose content is a text or an array of parts.
type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// maxTokens limits the number of output tokens assumed for a request, whatever its
// caller asks for.
const maxTokens = 1 << 20

// checkChat checks the head of a chat completion request.
func (entry *Entry) checkChat(received *http.Request) (*profile.Workspace, *Problem) {
	if received.Method != http.MethodPost {
		return nil, badRequest(http.StatusMethodNotAllowed, "use POST")
	}
	return entry.checkHead(received, "", profile.KindModel)
}

// newChatJob creates the job of a chat completion request.
func (entry *Entry) newChatJob(received *http.Request, body []byte) (*job, *Problem) {
	var chatRequest chatRequest
	if problem := decodeJSON(body, entry.Settings.Nesting, &chatRequest); problem != nil {
		return nil, problem
	}
	if problem := chatRequest.check(); problem != nil {
		return nil, problem
	}
	job, problem := entry.classify(received, chatRequest.Model, profile.KindModel, body)
	if problem != nil {
		return nil, problem
	}
	prompt := chatRequest.prompt()
	job.path = chatPath
	job.header = headersForEngine(received.Header)
	job.stream = chatRequest.Stream
	job.prefixes = prefix.Sample(prefix.BlockHashes(prompt))
	job.size = request.Size{
		PromptTokens: prefix.EstimateTokens(len(prompt)),
		OutputTokens: chatRequest.outputTokens(job.profile.OutputTokens),
	}
	return job, nil
}

// check returns a problem if a field is missing or has an invalid value.
func (chatRequest *chatRequest) check() *Problem {
	switch {
	case chatRequest.Model == "" || len(chatRequest.Messages) == 0:
		return badRequest(http.StatusBadRequest, "model and messages are needed")
	case chatRequest.N < 0 || chatRequest.MaxTokens < 0 || chatRequest.MaxCompletionTokens < 0:
		return badRequest(http.StatusBadRequest, "n, max_tokens and max_completion_tokens must not be below 0")
	}
	for _, message := range chatRequest.Messages {
		if !validContent(message.Content) {
			return badRequest(http.StatusBadRequest, "the content of a message is a text or an array of parts")
		}
	}
	return nil
}

// validContent reports whether a message's content is a text, an array of parts,
// null or absent. Messages that call tools have none.
func validContent(content json.RawMessage) bool {
	if len(content) == 0 {
		return true
	}
	return content[0] == '"' || content[0] == '[' || content[0] == 'n'
}

// outputTokens returns the number of output tokens of all choices together, at most
// maxTokens: the caller's limit, or else the expected number, for each choice.
func (chatRequest *chatRequest) outputTokens(expected int) int {
	tokens := chatRequest.MaxTokens
	if chatRequest.MaxCompletionTokens > 0 {
		tokens = chatRequest.MaxCompletionTokens
	}
	if tokens == 0 {
		tokens = expected
	}
	return min(min(tokens, maxTokens)*max(1, min(chatRequest.N, maxTokens)), maxTokens)
}

// prompt returns the text whose blocks engines cache: the role and the content of
// each message in order.
func (chatRequest *chatRequest) prompt() []byte {
	var prompt bytes.Buffer
	for _, message := range chatRequest.Messages {
		prompt.WriteString(message.Role)
		prompt.WriteByte('\n')
		prompt.Write(message.Content)
		prompt.WriteByte('\n')
	}
	return prompt.Bytes()
}
