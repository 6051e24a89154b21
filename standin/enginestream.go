package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// stream is the answer to one request, kept for a while after nobody reads it.
type stream struct {
	engine *Engine
	job    *Job
	model  string
	// ended is closed when end is set.
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

// serveComplete answers in one piece. A caller that hangs up cancels it.
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
	for i := range stream.job.Output {
		text.WriteString(stream.token(i))
	}
	writer.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(writer, `{"id":%q,"object":"chat.completion","model":%q,"choices":[{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":"stop"}],"usage":%s}`,
		stream.job.ID, stream.model, text.String(), stream.usage())
}

// serveEvents sends the events from an offset on. The job goes on when the reader
// hangs up.
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

// progress returns how many tokens there are and, unless all have come, how
// long the next one after the offset should take.
func (stream *stream) progress(offset int) (int, time.Duration) {
	produced := 0
	var wait time.Duration
	stream.engine.update(func(model *EngineModel) {
		stream.lastRead = time.Now()
		select {
		case <-stream.ended:
			produced = stream.end.Usage.OutputTokens
		default:
			produced = model.Produced(stream.job)
			wait = max(time.Microsecond, time.Until(model.TokenDue(stream.job, max(offset, produced)+1)))
		}
	})
	return produced, wait
}

// waitForToken reports false when the reader is gone.
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

// writeLast sends the usage and the end; a stream that did not end well breaks.
func (stream *stream) writeLast(writer http.ResponseWriter) {
	if stream.end.Kind != JobDone {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(writer, "id: %d\ndata: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}],\"usage\":%s}\n\ndata: [DONE]\n\n",
		stream.job.Output, stream.job.ID, stream.model, stream.usage())
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

// removeUnread drops the stream, and cancels its job, when nobody has read it for
// long enough.
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

func (standin *Engine) streamOf(request *http.Request) *stream {
	standin.mutex.Lock()
	defer standin.mutex.Unlock()
	return standin.streams[request.PathValue("request")]
}

func (standin *Engine) resume(writer http.ResponseWriter, request *http.Request) {
	offset, err := strconv.Atoi(request.FormValue("offset"))
	if err != nil || offset < 0 {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	found := standin.streamOf(request)
	if found == nil {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	found.serveEvents(writer, request, offset)
}

func (standin *Engine) cancel(writer http.ResponseWriter, request *http.Request) {
	found := standin.streamOf(request)
	if found == nil {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	standin.update(func(model *EngineModel) {
		model.Cancel(found.job.ID)
		delete(standin.streams, found.job.ID)
	})
}

// StreamState is a running stream, as GET /engine/streams lists it.
type StreamState struct {
	Request string `json:"request"`
	Offset  int    `json:"offset"`
	// Unread is the seconds since anybody read it.
	Unread float64 `json:"unread"`
}

func (standin *Engine) listStreams(writer http.ResponseWriter, _ *http.Request) {
	states := []StreamState{}
	standin.update(func(model *EngineModel) {
		for id, running := range standin.streams {
			if model.jobs[id] == nil {
				continue
			}
			state := StreamState{Request: id, Offset: model.Produced(running.job)}
			if running.readers == 0 {
				state.Unread = time.Since(running.lastRead).Seconds()
			}
			states = append(states, state)
		}
	})
	_ = json.NewEncoder(writer).Encode(states)
}
