package entry

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"strings"

	"nutmegfield.example/request"
	"nutmegfield.example/timeline"
)

const (
	healthPath = "/healthz"
	readyPath  = "/readyz"
)

// Handler returns the callers' side. It routes by the path as it was sent: a
// service gets its path unchanged.
func (entry *Entry) Handler() http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, received *http.Request) {
		limited := newCallerWriter(writer, entry.Settings.WriteTimeout)
		if len(received.TransferEncoding) > 0 {
			// What follows a chunked body is not trusted to be a request.
			limited.Header().Set("Connection", "close")
		}
		entry.route(limited, received)
	})
}

func (entry *Entry) route(writer *callerWriter, received *http.Request) {
	path := received.URL.EscapedPath()
	switch {
	case path == healthPath:
		writer.WriteHeader(http.StatusOK)
	case path == readyPath:
		entry.readyz(writer)
	case path == chatPath:
		entry.handle(writer, received, entry.chatJob)
	case path == modelsPath || strings.HasPrefix(path, modelsPath+"/"):
		entry.models(writer, received)
	case strings.HasPrefix(path, servicePrefix):
		entry.handle(writer, received, entry.serviceJob)
	default:
		badRequest(http.StatusNotFound, "there is nothing here").write(writer, request.NewID())
	}
}

func (entry *Entry) readyz(writer http.ResponseWriter) {
	if !entry.Ready() {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

// handle reads the body, makes the job and runs it.
func (entry *Entry) handle(writer *callerWriter, received *http.Request, newJob func(*http.Request, []byte) (*job, *Problem)) {
	if !entry.enter() {
		notRun(request.ReasonDraining, spread(retryDraining)).write(writer, request.NewID())
		return
	}
	defer entry.leave()
	var started *job
	defer func() {
		if cause := recover(); cause != nil {
			entry.recovered(writer, started, cause)
		}
	}()
	body, taken, problem := entry.readBody(writer, received)
	defer entry.bodyBytes.Add(-taken)
	if problem != nil {
		problem.write(writer, request.NewID())
		return
	}
	started, problem = newJob(received, body)
	if problem != nil {
		problem.write(writer, request.NewID())
		return
	}
	entry.jobs.add(started)
	defer entry.jobs.remove(started)
	entry.run(received.Context(), writer, started)
	if started.abort {
		panic(http.ErrAbortHandler)
	}
}

// recovered answers a request whose handling panicked. An answer that has
// begun is aborted, so that the caller can't take it for whole.
func (entry *Entry) recovered(writer *callerWriter, started *job, cause any) {
	if err, ok := cause.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(cause)
	}
	id := request.NewID()
	outcome := request.NotRun
	if started != nil {
		id = started.id
		if started.machine.WasDispatched() {
			outcome = request.Unknown
		}
		started.machine.Answer()
	}
	detail := fmt.Sprintf("%v\n%s", cause, debug.Stack())
	entry.Events.Record(eventPanicked, timeline.Event{Request: id.String(), Detail: detail})
	if writer.begun {
		panic(http.ErrAbortHandler)
	}
	problem := badRequest(http.StatusInternalServerError, "the host failed on this request")
	problem.Outcome = outcome
	problem.write(writer, id)
}

// readBody reads the body within its bounds. The count is what it took of
// the bytes that all bodies may take.
func (entry *Entry) readBody(writer *callerWriter, received *http.Request) ([]byte, int64, *Problem) {
	if received.ContentLength > entry.Settings.BodyBytes {
		return nil, 0, tooLarge(writer)
	}
	if received.Body == nil || received.Body == http.NoBody {
		return nil, 0, nil
	}
	reader := &bodyReader{entry: entry, body: http.MaxBytesReader(writer.ResponseWriter, received.Body, entry.Settings.BodyBytes)}
	entry.armRead(writer)
	body, err := io.ReadAll(reader)
	if err != nil {
		return nil, reader.taken, bodyProblem(writer, err)
	}
	return body, reader.taken, nil
}
