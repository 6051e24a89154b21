package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// stream is the answer to a request. It is kept for StreamTTL after its last
// reader left, so that it can be resumed.
type stream struct {
	engine *Engine
	job    *Job
	model  string
	// ended is closed once end is set.
	ended chan struct{}
	end   JobEnd
	// readers and read are guarded by the engine's mutex.
	readers  int
	lastRead time.Time
}

func (stream *stream) token(i int) string { return fmt.Sprintf("%s/%d ", stream.job.ID, i) }

func (stream *stream) usage() string {
	usage := stream.end.Usage
	return fmt.Sprintf(`{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d,"prompt_tokens_details":{"cached_tokens":%d}}`,
		usage.PromptTokens, usage.OutputTokens, usage.PromptTokens+usage.OutputTokens, usage.CachedTokens)
}

// serveComplete sends the complete answer when the job has ended. It cancels the
// job if the connection closes before.
func (stream *stream) serveComplete(writer http.ResponseWriter, request *http.Request) {
	stream.addReader()
	defer stream.removeReader()
	select {
	case <-stream.ended:
	case <-request.Context().Done():
		stream.engine.update(func(model *EngineModel) { model.Cancel(stream.job.ID) })
		return
	}
	if stream.end.Kind != JobDone {
		panic(http.ErrAbortHandler)
	}
	var text strings.Builder
	for i := range stream.job.OutputTokens {
		text.WriteString(stream.token(i))
	}
	writer.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(writer, `{"id":%q,"object":"chat.completion","model":%q,"choices":[{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":"stop"}],"usage":%s}`,
		stream.job.ID, stream.model, text.String(), stream.usage())
}

// serveEvents sends the events from an offset on. The job keeps running if the
// connection closes.
func (stream *stream) serveEvents(writer http.ResponseWriter, request *http.Request, offset int) {
	stream.addReader()
	defer stream.removeReader()
	writer.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(writer)
	for {
		produced, wait := stream.progress(offset)
		for ; offset < produced; offset++ {
			stream.writeEvent(writer, offset)
		}
		_ = control.Flush()
		if wait == 0 {
			stream.writeLast(writer)
			return
		}
		if !stream.waitForToken(request, wait) {
			return
		}
	}
}

// progress returns the number of output tokens so far and the expected time
// until the next token after the offset, 0 if the job has ended.
func (stream *stream) progress(offset int) (int, time.Duration) {
	produced := 0
	var wait time.Duration
	stream.engine.update(func(model *EngineModel) {
		stream.lastRead = time.Now()
		select {
		case <-stream.ended:
			produced = stream.end.Usage.OutputTokens
		default:
			produced = model.ProducedTokens(stream.job)
			wait = max(time.Microsecond, time.Until(model.TokenDue(stream.job, max(offset, produced)+1)))
		}
	})
	return produced, wait
}

// waitForToken waits for the given time or the end of the job. It returns false
// if the connection closes before.
func (stream *stream) waitForToken(request *http.Request, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-stream.ended:
	case <-request.Context().Done():
		return false
	}
	return true
}

func (stream *stream) writeEvent(writer http.ResponseWriter, i int) {
	_, _ = fmt.Fprintf(writer, "id: %d\ndata: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n",
		i, stream.job.ID, stream.model, stream.token(i))
}

// writeLast sends the usage and the end mark, or aborts the connection if the job
// was cancelled or the engine crashed.
func (stream *stream) writeLast(writer http.ResponseWriter) {
	if stream.end.Kind != JobDone {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(writer, "id: %d\ndata: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}],\"usage\":%s}\n\ndata: [DONE]\n\n",
		stream.job.OutputTokens, stream.job.ID, stream.model, stream.usage())
}

func (stream *stream) addReader() {
	stream.engine.mutex.Lock()
	defer stream.engine.mutex.Unlock()
	stream.readers++
}

func (stream *stream) removeReader() {
	stream.engine.mutex.Lock()
	defer stream.engine.mutex.Unlock()
	stream.readers--
	stream.lastRead = time.Now()
	if stream.readers == 0 {
		time.AfterFunc(stream.engine.model.Options.StreamTTL, stream.removeUnread)
	}
}

// removeUnread removes the stream and cancels its job if it has had no reader for
// StreamTTL.
func (stream *stream) removeUnread() {
	stream.engine.update(func(model *EngineModel) {
		if stream.readers > 0 || time.Since(stream.lastRead) < model.Options.StreamTTL {
			return
		}
		model.Cancel(stream.job.ID)
		if stream.engine.streams[stream.job.ID] == stream {
			delete(stream.engine.streams, stream.job.ID)
		}
	})
}

func (engine *Engine) streamOf(request *http.Request) *stream {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.streams[request.PathValue("request")]
}

func (engine *Engine) resume(writer http.ResponseWriter, request *http.Request) {
	offset, err := strconv.Atoi(request.FormValue("offset"))
	if err != nil || offset < 0 {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	stream := engine.streamOf(request)
	if stream == nil {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	stream.serveEvents(writer, request, offset)
}

func (engine *Engine) cancel(writer http.ResponseWriter, request *http.Request) {
	stream := engine.streamOf(request)
	if stream == nil {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	engine.update(func(model *EngineModel) {
		model.Cancel(stream.job.ID)
		delete(engine.streams, stream.job.ID)
	})
}

// StreamState describes a running stream in the answer to GET /engine/streams.
type StreamState struct {
	Request string `json:"request"`
	Offset  int    `json:"offset"`
	// Unread is the number of seconds since the last reader left, 0 while there
	// is one.
	Unread float64 `json:"unread"`
}

func (engine *Engine) listStreams(writer http.ResponseWriter, _ *http.Request) {
	states := []StreamState{}
	engine.update(func(model *EngineModel) {
		for id, running := range engine.streams {
			if model.jobs[id] == nil {
				continue
			}
			state := StreamState{Request: id, Offset: model.ProducedTokens(running.job)}
			if running.readers == 0 {
				state.Unread = time.Since(running.lastRead).Seconds()
			}
			states = append(states, state)
		}
	})
	_ = json.NewEncoder(writer).Encode(states)
}
