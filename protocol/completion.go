package protocol

import (
	"bytes"
	"encoding/json"
	"net/http"

	"nutmegfield.example/request"
)

// completionMessage is the part of a completion, or of a chunk of one, that
// contains its request's id and the token usage.
type completionMessage struct {
	ID    string        `json:"id"`
	Usage *usageMessage `json:"usage"`
}

// usageMessage is the encoding of an answer's token usage.
type usageMessage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

func (usageMessage *usageMessage) usage() request.Usage {
	if usageMessage == nil {
		return request.Usage{}
	}
	return request.Usage{
		PromptTokens: usageMessage.PromptTokens,
		CachedTokens: usageMessage.Details.CachedTokens,
		OutputTokens: usageMessage.CompletionTokens,
	}
}

// parseCompletion decodes a completion or a chunk. It returns Garbled if that
// fails or if the completion belongs to another request.
func parseCompletion(data []byte, id request.ID) (completionMessage, error) {
	var completionMessage completionMessage
	if err := json.Unmarshal(data, &completionMessage); err != nil {
		return completionMessage, Garbled.Wrap(err, "read answer")
	}
	if completionMessage.ID != id.String() {
		return completionMessage, Garbled.New("an answer of request %.64q", completionMessage.ID)
	}
	return completionMessage, nil
}

// completionBody is the body of a completion that is not streamed. It returns
// no data until the answer is complete and was checked to belong to this request.
type completionBody struct {
	answer *limitedBody
	id     request.ID
	// abandon cancels the request on the engine.
	abandon func()
	// content is nil until the answer has been read and checked.
	content *bytes.Reader
	room    room
	usage   request.Usage
}

func completionAnswer(response *http.Response, limits Limits, id request.ID, abandon func()) *Answer {
	completionBody := &completionBody{answer: newLimitedBody(response.Body, limits), id: id, abandon: abandon, room: room{budget: limits.Memory}}
	return &Answer{
		Status: response.StatusCode,
		Header: response.Header,
		Body:   completionBody,
		Usage:  func() request.Usage { return completionBody.usage },
	}
}

// Read returns io.EOF only after the complete answer.
func (completionBody *completionBody) Read(buffer []byte) (int, error) {
	if completionBody.content == nil {
		data, err := completionBody.room.readAll(completionBody.answer)
		if err != nil {
			return 0, err
		}
		completionMessage, err := parseCompletion(data, completionBody.id)
		if err != nil {
			return 0, err
		}
		completionBody.usage = completionMessage.Usage.usage()
		completionBody.content = bytes.NewReader(data)
	}
	return completionBody.content.Read(buffer)
}

// Close closes the answer and abandons the request unless the complete answer was
// read.
func (completionBody *completionBody) Close() error {
	completionBody.room.release()
	err := completionBody.answer.Close()
	if completionBody.content == nil {
		completionBody.abandon()
	}
	return err
}
