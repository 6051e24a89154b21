package target

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"nutmegfield.example/request"
)

func init() {
	Register("engine", func(limits Limits) *Client {
		engine := &engine{limits: limits, transport: newTransport(limits)}
		return &Client{Dispatch: engine.dispatch, Load: engine.load}
	})
}

// engine is the client of model engines: chat completions as JSON or
// server-sent events, and the engine's own calls under /engine.
type engine struct {
	limits    Limits
	transport *http.Transport
}

func (engine *engine) dispatch(ctx context.Context, address string, call *Call) (*Answer, error) {
	response, err := send(ctx, engine.transport, address, call)
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Nutmegfield-Leaving") != "" {
		_ = response.Body.Close()
		return nil, Leaving.New("%s takes no new work", address)
	}
	body := &wholeBody{body: response.Body, limit: engine.limits.Bytes}
	usage := &usageReader{body: body, stream: strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")}
	return &Answer{
		Status: response.StatusCode,
		Header: response.Header,
		Body:   usage,
		Usage:  usage.usage,
	}, nil
}

func (engine *engine) load(ctx context.Context, address string) (Load, error) {
	var load Load
	err := engine.get(ctx, address+"/engine/load", &load)
	return load, err
}

func (engine *engine) get(ctx context.Context, url string, into any) error {
	made, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return NotSent.Wrap(err, "make request")
	}
	response, err := engine.transport.RoundTrip(made)
	if err != nil {
		return Broken.Wrap(err, "ask %s", url)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return Garbled.New("%s: status %d", url, response.StatusCode)
	}
	decoder := json.NewDecoder(io.LimitReader(response.Body, engine.limits.Bytes))
	if err := decoder.Decode(into); err != nil {
		return Garbled.Wrap(err, "read answer of %s", url)
	}
	return nil
}

// usageReader passes an engine's answer on, reads the usage at its end and
// sees that a stream ends with its last event.
type usageReader struct {
	body   *wholeBody
	stream bool
	tail   []byte
}

// tailBytes is how much of an answer's end is kept to find the usage in.
const tailBytes = 4096

var streamEnd = []byte("data: [DONE]")

// Read ends with io.EOF only after the whole answer.
func (reader *usageReader) Read(into []byte) (int, error) {
	n, err := reader.body.Read(into)
	reader.keep(into[:n])
	if errors.Is(err, io.EOF) && reader.stream && !bytes.Contains(reader.tail, streamEnd) {
		return n, Broken.New("the stream ended before its last event")
	}
	return n, err
}

// Close cancels what still runs.
func (reader *usageReader) Close() error { return reader.body.Close() }

func (reader *usageReader) keep(part []byte) {
	reader.tail = append(reader.tail, part...)
	if extra := len(reader.tail) - tailBytes; extra > 0 {
		reader.tail = append(reader.tail[:0], reader.tail[extra:]...)
	}
}

// usageMessage is the part of an answer that tells its usage.
type usageMessage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

func (reader *usageReader) usage() request.Usage {
	start := bytes.LastIndex(reader.tail, []byte(`"usage":{`))
	if start < 0 {
		return request.Usage{}
	}
	var message usageMessage
	decoder := json.NewDecoder(bytes.NewReader(reader.tail[start+len(`"usage":`):]))
	if err := decoder.Decode(&message); err != nil {
		return request.Usage{}
	}
	return request.Usage{
		PromptTokens: message.PromptTokens,
		CachedTokens: message.Details.CachedTokens,
		OutputTokens: message.CompletionTokens,
	}
}
