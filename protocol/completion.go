package protocol

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"

	"nutmegfield.example/request"
)

// completionMessage is the part of a completion, or of a chunk of one, that
// tells whose it is and its usage.
type completionMessage struct {
	ID    string        `json:"id"`
	Usage *usageMessage `json:"usage"`
}

// usageMessage is the part of an answer that tells its usage.
type usageMessage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

func (message *usageMessage) usage() request.Usage {
	if message == nil {
		return request.Usage{}
	}
	return request.Usage{
		PromptTokens: message.PromptTokens,
		CachedTokens: message.Details.CachedTokens,
		OutputTokens: message.CompletionTokens,
	}
}

// readCompletion reads a completion or chunk and refuses another request's.
func readCompletion(text []byte, id request.ID) (completionMessage, error) {
	var message completionMessage
	if err := json.Unmarshal(text, &message); err != nil {
		return message, Garbled.Wrap(err, "read answer")
	}
	if message.ID != id.String() {
		return message, Garbled.New("an answer of request %q", message.ID)
	}
	return message, nil
}

// completion is a plain answer. None of it is passed on before it is known to
// be whole and this request's.
type completion struct {
	whole  *wholeBody
	id     request.ID
	giveUp func()
	text   *bytes.Reader
	usage  request.Usage
}

func completionAnswer(response *http.Response, limits Limits, id request.ID, giveUp func()) *Answer {
	body := &completion{whole: newWholeBody(response.Body, limits), id: id, giveUp: giveUp}
	return &Answer{
		Status: response.StatusCode,
		Header: response.Header,
		Body:   body,
		Usage:  func() request.Usage { return body.usage },
	}
}

// Read ends with io.EOF only after the whole answer.
func (body *completion) Read(into []byte) (int, error) {
	if body.text == nil {
		text, err := io.ReadAll(body.whole)
		if err != nil {
			return 0, err
		}
		message, err := readCompletion(text, body.id)
		if err != nil {
			return 0, err
		}
		body.usage = message.Usage.usage()
		body.text = bytes.NewReader(text)
	}
	return body.text.Read(into)
}

// Close cancels what still runs.
func (body *completion) Close() error {
	err := body.whole.Close()
	if body.text == nil {
		body.giveUp()
	}
	return err
}
